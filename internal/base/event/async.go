package event

import (
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the queue of lines to write: about 1 MB.
	maxQueuedLines = 2048
	// maxLinesPerSecond and maxLineBurst are the rate and the size of the token
	// bucket that limits the lines of a process.
	maxLinesPerSecond = 1000
	maxLineBurst      = 4000
	// droppedReportInterval is the interval of LogLinesDropped events.
	droppedReportInterval = 10 * time.Second
)

// AsyncWriter queues lines for another writer and never blocks: lines above the
// rate limit, and those that find the queue full, are dropped and counted. It is
// safe for concurrent use.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}
	now   func() time.Time

	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	dropped    uint64
}

// NewAsyncWriter returns an AsyncWriter that writes to w in a goroutine of its
// own until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), now: time.Now, tokens: maxLineBurst}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			// Ignored: a log whose reader has gone away must not stop the process.
			_, _ = w.Write(line)
		}
	}()
	return a
}

// Write queues a copy of one line, or drops it. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.tokens = min(a.tokens+now.Sub(a.refilledAt).Seconds()*maxLinesPerSecond, maxLineBurst)
	a.refilledAt = now
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

// ReportDropped emits a LogLinesDropped event every 10 s in which lines were
// dropped, until stop is closed.
func (a *AsyncWriter) ReportDropped(l *Logger, stop <-chan struct{}) {
	ticker := time.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case <-ticker.C:
			if n := a.Dropped(); n > reported {
				l.Emit(LogLinesDropped, Fields{"lines": n - reported})
				reported = n
			}
		case <-stop:
			return
		}
	}
}

// closeTimeout bounds how long Close waits for a writer that blocks because
// nobody reads its output.
const closeTimeout = 200 * time.Millisecond

// Close waits up to closeTimeout until the queued lines are written. Later lines
// are dropped. It must be called only once.
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
