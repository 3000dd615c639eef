package event

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that stops because nobody reads its log.
func TestFullPipeNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // holds nothing until it is read
	defer reader.Close()
	a := NewAsyncWriter(writer)
	logger, err := New(a, "json")
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * asyncLines {
			logger.Emit(Started, nil)
		}
		a.Close()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	is.True(a.Dropped() >= asyncLines)
}

// Guards against a log whose volume grows with the load.
func TestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	now := time.Unix(1_790_000_000, 0)
	a.now = func() time.Time { return now }
	const seconds, offered = 5, 5000
	for range seconds {
		for range offered {
			_, _ = a.Write([]byte("x\n"))
			now = now.Add(time.Second / offered)
			for len(a.lines) > asyncLines/2 {
				time.Sleep(time.Millisecond) // let the reader follow
			}
		}
	}
	a.Close()
	written := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(written <= lineBurst+seconds*linesPerSecond)
	is.Equal(uint64(seconds*offered-written), a.Dropped())
}
