package event

import (
	"io"
	"sync/atomic"
)

// asyncLines bounds the lines that wait for a reader, about 1 MB.
const asyncLines = 2048

// AsyncWriter passes lines on to a writer and never blocks: lines that find
// the queue full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			// A reader that is gone must not stop the process.
			_, _ = w.Write(line)
		}
	}()
	return a
}

// Write queues one line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and ends the writer. Nothing may be written
// after it.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}
