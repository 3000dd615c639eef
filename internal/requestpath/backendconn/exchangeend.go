package backendconn

import (
	"io"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
)

// abandon cancels the request at the backend server. The slot stays in use
// until the backend server closes the connection, at most for cancelConfirmTimeout.
func (x *exchange) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned || x.phase == ended {
		return
	}
	x.abandoned = true
	x.conn.netConn.SetWriteDeadline(expiredDeadline)
	x.conn.closeWrite()
	if x.phase == readingBody {
		x.conn.netConn.SetReadDeadline(expiredDeadline) // unblocks the reader of the body, which then ends the exchange
		return
	}
	x.conn.netConn.SetReadDeadline(time.Now().Add(cancelConfirmTimeout))
}

// abandonUnclaimed abandons an exchange whose answer will not be received. An
// answer that has arrived meanwhile is taken from the channel and ended here,
// because the reader goroutine waits for the end of the body.
func (x *exchange) abandonUnclaimed() {
	x.abandon()
	x.mu.Lock()
	arrived := x.phase == readingBody
	x.mu.Unlock()
	if arrived {
		<-x.result
		x.endBody(false, nil)
	}
}

var expiredDeadline = time.Unix(1, 0)

// releaseSlot releases the slot and calls OnRelease, once.
func (x *exchange) releaseSlot(s admission.Signal) {
	if x.markReleased() {
		x.conn.pool.freeSlot(x.conn)
		x.call.OnRelease(s)
	}
}

// returnConn makes the connection idle and releases the slot in one step, so that
// the next request finds the connection instead of dialling. It reports false if
// the connection must be closed.
func (x *exchange) returnConn() bool {
	first := x.markReleased()
	kept := x.conn.pool.putIdle(x.conn, !x.closeAfterAnswer)
	if first {
		x.call.OnRelease(x.signal)
	}
	return kept
}

func (x *exchange) markReleased() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := !x.released
	x.released = true
	return first
}

// endBody ends the exchange after the body phase, once. complete tells whether the
// whole body was read.
func (x *exchange) endBody(complete bool, err error) {
	x.mu.Lock()
	if x.phase == ended {
		x.mu.Unlock()
		return
	}
	x.phase = ended
	abandoned := x.abandoned
	x.mu.Unlock()
	x.stopWatchingCtx()
	switch {
	case complete && !abandoned:
		// Bytes after the answer belong to no request: the next one would take them for
		// its own answer.
		x.closeAfterAnswer = x.closeAfterAnswer || x.conn.reader.Buffered() > 0
		x.reusable <- x.returnConn()
	case err != nil && !abandoned:
		x.conn.netConn.Close()
		x.reusable <- false
		x.releaseSlot(admission.ConnectionLost)
		x.conn.pool.opts.OnLost(err) // the signal is not reported if the slot was released before
	default:
		go x.awaitClose()
	}
}

// awaitClose waits until the backend server confirms the cancellation by closing
// the connection, at most for cancelConfirmTimeout.
func (x *exchange) awaitClose() {
	x.conn.netConn.SetReadDeadline(time.Now().Add(cancelConfirmTimeout))
	x.conn.closeWrite()
	x.conn.discardUntilClosed()
	x.conn.netConn.Close()
	x.reusable <- false
	x.releaseSlot(admission.Neutral)
}

// answerBody is an answer's body that ends the exchange when it has been read or
// closed.
type answerBody struct {
	src      io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.exchange.endBody(true, nil)
	} else if err != nil {
		b.exchange.endBody(false, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.endBody(false, nil)
	return nil
}
