//go:build linux

package processtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const (
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// patience bounds waits for conditions that the design gives no bound for.
	// A busy machine runs a dozen processes of one test at a time.
	patience = 20 * time.Second
	// logTail is how much of a process's log a failed test shows, in bytes.
	logTail = 3000
)

// process is one program that the test started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	out  output // standard output
	log  output // standard error
	done chan struct{}
}

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

// String returns what was written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// spawn starts commands on one thread that lives as long as the test process:
// the kernel kills a child with Pdeathsig when the thread that started it ends.
var spawn = sync.OnceValue(func() chan<- func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for request := range requests {
			request()
		}
	}()
	return requests
})

// start runs a built program until the test ends.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaries, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit code is read from the process state
	}()
	t.Cleanup(p.end)
	return p
}

// end kills the process and waits for it. A failed test shows its log.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.done
	if !p.t.Failed() {
		return
	}
	text := p.log.String()
	p.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-logTail):])
}

// signal does nothing if the process has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// freeze stops the process with SIGSTOP and waits until every thread has
// stopped: the kernel tells one thread first, and on a busy machine the others
// go on running for a while.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, patience, p.name+" is stopped", p.stopped)
}

// stopped reports whether all threads are in the state "T" (stopped).
func (p *process) stopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		_, state, _ := strings.Cut(string(text), ") ")
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// kill ends the process without any notice and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exit waits for the process's end and returns its exit code.
func (p *process) exit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %s", p.name, limit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// events returns how often the process logged an event.
func (p *process) events(id event.ID) int {
	n := 0
	for lines := bufio.NewScanner(bytes.NewBufferString(p.log.String())); lines.Scan(); {
		var line struct {
			Fields struct{ Event event.ID }
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Fields.Event == id {
			n++
		}
	}
	return n
}

// eventually waits until a condition holds, and fails the test after limit.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
