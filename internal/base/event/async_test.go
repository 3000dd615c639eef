package event

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that hangs because the pipe that takes its log is
// full and nobody reads it.
func TestFullPipeNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // unbuffered: a write blocks until it is read
	defer reader.Close()
	a := NewAsyncWriter(writer)
	logger, err := New(a, "json")
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			logger.Emit(Started, nil)
		}
		a.Close()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write or Close still blocked after 10 s with a full pipe")
	}
	is.True(a.Dropped() >= maxQueuedLines)
}

// Guards against a log whose volume grows with the load: the line rate must stay
// within the token bucket, and every other line must be counted as dropped.
func TestLineRateIsLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	now := time.Unix(1_790_000_000, 0)
	a.now = func() time.Time { return now }
	const seconds, offeredPerSecond = 5, 5000
	for range seconds {
		for range offeredPerSecond {
			_, _ = a.Write([]byte("x\n"))
			now = now.Add(time.Second / offeredPerSecond)
			for len(a.lines) > maxQueuedLines/2 {
				time.Sleep(time.Millisecond) // keep the queue from filling up, so that only the rate limit drops lines
			}
		}
	}
	a.Close()
	written := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(written <= maxLineBurst+seconds*maxLinesPerSecond)
	is.Equal(uint64(seconds*offeredPerSecond-written), a.Dropped())
}
