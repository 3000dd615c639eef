package follow

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	changesMethod = "changes"
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 300 * time.Millisecond
	// maxPeerWait bounds how long a question may be held.
	maxPeerWait = 5 * time.Second
)

// silent drops the library's own lines, which aren't structured: the process
// that asks logs a connection that fails.
var silent = log.New(io.Discard, "", 0)

// Question asks a peer for what is newer than the known revisions.
type Question struct {
	Known  map[view.Section]view.Revision
	WaitMS int64 // how long to hold the question without changes
}

// newQuestion asks for what is newer than v.
func newQuestion(v view.View, wait time.Duration) Question {
	known := map[view.Section]view.Revision{}
	for _, s := range view.Sections() {
		known[s] = v.Revision(s)
	}
	return Question{Known: known, WaitMS: wait.Milliseconds()}
}

// Answer holds the changes, and how far the peer's view is to be relied on.
type Answer struct {
	Deltas []view.Delta
	AgeMS  int64  // of the peer's view, -1 if it was never current
	Source string // the process whose calls of the store keep it current, "" if there is none
}

// Serve answers peers on l until l is closed.
func Serve(ctx context.Context, l net.Listener, board *view.Board) {
	for {
		conn, err := l.Accept()
		if err != nil {
			// The listener was closed at shutdown.
			return
		}
		stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
			func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
				return handle(ctx, board, r)
			},
		)), jsonrpc2.SetLogger(silent))
	}
}

func handle(ctx context.Context, board *view.Board, r *jsonrpc2.Request) (any, error) {
	var q Question
	if r.Method != changesMethod || r.Params == nil || json.Unmarshal(*r.Params, &q) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "unknown question"}
	}
	wait := min(time.Duration(q.WaitMS)*time.Millisecond, maxPeerWait)
	return hold(ctx, board, q, wait), nil
}

// hold answers when there is something newer than the question knows, or after
// wait.
func hold(ctx context.Context, board *view.Board, q Question, wait time.Duration) Answer {
	changed, cancel := board.Subscribe()
	defer cancel()
	sourced, cancelSource := board.SubscribeSource()
	defer cancelSource()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := board.Source(); ; {
		deltas := newer(board, q)
		// A peer that has lost its source says so at once.
		if len(deltas) > 0 || board.Source() != first {
			return answer(board, deltas)
		}
		select {
		case <-changed:
		case <-sourced:
		case <-timer.C:
			return answer(board, nil)
		case <-ctx.Done():
			return answer(board, nil)
		}
	}
}

func answer(board *view.Board, deltas []view.Delta) Answer {
	return Answer{Deltas: deltas, AgeMS: board.AgeMS(), Source: board.Source()}
}

func newer(board *view.Board, q Question) []view.Delta {
	var deltas []view.Delta
	for _, s := range view.Sections() {
		deltas = append(deltas, board.Since(s, q.Known[s])...)
	}
	return deltas
}

// links are the connections to peers.
type links struct {
	open map[netip.AddrPort]*jsonrpc2.Conn
}

func newLinks() *links { return &links{open: map[netip.AddrPort]*jsonrpc2.Conn{}} }

func (l *links) close() {
	for peer := range l.open {
		l.drop(peer)
	}
}

func (l *links) drop(peer netip.AddrPort) {
	if c := l.open[peer]; c != nil {
		// A connection that failed has nothing left to close.
		_ = c.Close()
		delete(l.open, peer)
	}
}

// ask sends a question over the connection to a peer. Errors have kind
// PeerDown.
func (l *links) ask(ctx context.Context, peer netip.AddrPort, q Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+peerMargin)
	defer cancel()
	conn, err := l.conn(ctx, peer)
	if err != nil {
		return Answer{}, errkind.Wrap(err, errkind.PeerDown, "connect to a peer")
	}
	var a Answer
	if err := conn.Call(ctx, changesMethod, q, &a); err != nil {
		l.drop(peer)
		return Answer{}, errkind.Wrap(err, errkind.PeerDown, "ask a peer")
	}
	return a, nil
}

func (l *links) conn(ctx context.Context, peer netip.AddrPort) (*jsonrpc2.Conn, error) {
	if c := l.open[peer]; c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", peer.String())
	if err != nil {
		return nil, err
	}
	// The connection outlives the question that opened it.
	c := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}),
		jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "peers only answer"}
		}), jsonrpc2.SetLogger(silent))
	l.open[peer] = c
	return c, nil
}
