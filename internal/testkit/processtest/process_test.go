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
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// waitLimit bounds waits for conditions that the design gives no bound for.
	// One test runs a dozen processes at a time, possibly on a busy machine.
	waitLimit = 20 * time.Second
	// logTailBytes is how many bytes of the end of a process's log a failed
	// test shows.
	logTailBytes = 3000
)

// process is a program that a test started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	out  output // standard output
	log  output // standard error
	done chan struct{}
}

// output collects the output of a process. It is safe for concurrent use.
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

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// starterThread returns a channel of functions that run on one OS thread, which
// lives as long as the test process. Processes are started on it because the
// kernel sends Pdeathsig to a child when the thread that started it ends.
var starterThread = sync.OnceValue(func() chan<- func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for request := range requests {
			request()
		}
	}()
	return requests
})

// start starts a built program and kills it when the test ends.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binariesDir, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starterThread() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // waitExit reads the exit code from the process state
	}()
	t.Cleanup(p.cleanUp)
	return p
}

// cleanUp kills the process and waits for its end. If the test failed, it logs
// the end of the process's log.
func (p *process) cleanUp() {
	p.signal(syscall.SIGKILL)
	<-p.done
	if !p.t.Failed() {
		return
	}
	text := p.log.String()
	p.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-logTailBytes):])
}

// signal sends a signal to the process. It does nothing if the process has
// ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// freeze stops the process with SIGSTOP and waits until every thread has
// stopped: the kernel delivers the signal to one thread first, and on a busy
// machine the other threads go on running for a while.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, waitLimit, p.name+" is stopped", p.allThreadsStopped)
}

// allThreadsStopped reports whether all threads are in the state "T" (stopped).
func (p *process) allThreadsStopped() bool {
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

// kill kills the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// waitExit waits for the end of the process and returns its exit code. It fails
// the test after limit.
func (p *process) waitExit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %s", p.name, limit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// eventCount returns how often the process has logged an event.
func (p *process) eventCount(id event.ID) int {
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
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
