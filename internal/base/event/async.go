package event

import (
	"io"
	"sync"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a reader, about 1 MB.
	asyncLines = 2048
	// linesPerSecond and lineBurst bound the lines that a process writes.
	linesPerSecond = 1000
	lineBurst      = 4000
	// droppedInterval is how often dropped lines are told of.
	droppedInterval = 10 * time.Second
)

// AsyncWriter passes lines on to a writer and never blocks: lines beyond the
// rate, and those that find the queue full, are dropped and counted.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}
	now   func() time.Time

	mu      sync.Mutex
	closed  bool
	tokens  float64
	filled  time.Time
	dropped uint64
}

// NewAsyncWriter returns a writer that passes lines on to w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), now: time.Now, tokens: lineBurst}
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
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.tokens = min(a.tokens+now.Sub(a.filled).Seconds()*linesPerSecond, lineBurst)
	a.filled = now
	if a.closed || a.tokens < 1 {
		a.dropped++
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
		a.tokens--
	default:
		a.dropped++
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// TellDropped writes an event for dropped lines until stop is closed.
func (a *AsyncWriter) TellDropped(l *Logger, stop <-chan struct{}) {
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case <-ticker.C:
			if n := a.Dropped(); n > told {
				l.Emit(LinesDropped, Fields{"lines": n - told})
				told = n
			}
		case <-stop:
			return
		}
	}
}

// closeTimeout bounds how long Close waits for a reader that doesn't read.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and ends the writer. Later lines are dropped.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}
