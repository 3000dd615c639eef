package follow

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// maxPollTimeout bounds how long a request is held, whatever it asks for.
	maxPollTimeout = 5 * time.Second
	// unusableWait bounds how long a request is held by a process that the requester can't
	// follow, because it then polls the next one.
	unusableWait = 100 * time.Millisecond
)

// Limits on responses.
const (
	// maxSending is the maximum number of responses with changes that are encoded and sent
	// at a time. A full view takes about a megabyte, several times while it is encoded, and
	// after a large change all followers request it at once.
	maxSending = 8
	// sendTimeout bounds one write, so that a peer that doesn't read delays no others.
	sendTimeout = 2 * time.Second
)

// server serves the view of a board to peers. It implements jsonrpc2.Handler.
type server struct {
	board   *view.Board
	logger  *event.Logger
	sending chan struct{} // one element for each response with changes that is being sent
}

// Serve serves the view of board to the peers that connect to listener, until
// listener is closed. A panic while a request is handled ends that request only and is
// logged.
func Serve(ctx context.Context, listener net.Listener, board *view.Board, logger *event.Logger) {
	s := &server{board: board, logger: logger, sending: make(chan struct{}, maxSending)}
	for {
		conn, err := listener.Accept()
		if err != nil {
			// The listener was closed at shutdown.
			return
		}
		stream := jsonrpc2.NewBufferedStream(sendConn{conn}, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(s), jsonrpc2.SetLogger(discardLogger))
	}
}

// Handle implements jsonrpc2.Handler.
func (s *server) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var response ChangesResponse
	_, err := panics.Handle(s.logger, func() (err error) {
		response, err = handle(ctx, s.board, r)
		return err
	})
	// A response that can't be sent has no receiver any more.
	switch refusal := (*jsonrpc2.Error)(nil); {
	case errors.As(err, &refusal):
		_ = conn.ReplyWithError(ctx, r.ID, refusal)
	case err != nil:
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
	default:
		_ = s.send(ctx, conn, r.ID, response)
	}
}

// send encodes and sends a response. One with changes waits while maxSending others are
// being sent.
func (s *server) send(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, response ChangesResponse) error {
	if len(response.Deltas) > 0 {
		select {
		case s.sending <- struct{}{}:
			defer func() { <-s.sending }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return conn.Reply(ctx, id, response)
}

// sendConn is a connection that is closed when a write fails or takes longer than
// sendTimeout.
type sendConn struct{ net.Conn }

// Write implements net.Conn.
func (c sendConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close() // the write's error is the one that counts
	}
	return n, err
}

// handle answers the request of a peer. It returns a jsonrpc2.Error with
// CodeInvalidRequest if the method is unknown or its parameters are unreadable.
func handle(ctx context.Context, board *view.Board, r *jsonrpc2.Request) (ChangesResponse, error) {
	var req ChangesRequest
	if r.Method != methodChanges || r.Params == nil || json.Unmarshal(*r.Params, &req) != nil {
		return ChangesResponse{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "unknown method or unreadable parameters"}
	}
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxPollTimeout)
	return awaitChanges(ctx, board, req, wait), nil
}

// awaitChanges responds as soon as board is newer than the revisions of the request
// or the path of its changes, and without changes after wait.
func awaitChanges(ctx context.Context, board *view.Board, req ChangesRequest, wait time.Duration) ChangesResponse {
	changed, cancel := board.Subscribe()
	defer cancel()
	pathChanged, cancelPathChanged := board.SubscribePath()
	defer cancelPathChanged()
	initialPath := board.Path()
	if !isUsablePath(initialPath, req.From) {
		wait = min(wait, unusableWait)
	}
	receivedAt := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		changes := board.ChangesSince(req.Known)
		// Followers learn of a change of the path, such as the loss of the source, at once.
		if len(changes.Deltas) > 0 || !slices.Equal(board.Path(), initialPath) || expired {
			return newChangesResponse(board, changes, receivedAt)
		}
		select {
		case <-changed:
		case <-pathChanged:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
	}
}

// newChangesResponse returns the response with changes to a request received at
// receivedAt.
func newChangesResponse(board *view.Board, c view.Changes, receivedAt time.Time) ChangesResponse {
	now := time.Now()
	membersAge := ageMS(now, c.MembersConfirmedAt)
	return ChangesResponse{
		Deltas:       c.Deltas,
		AgeMS:        ageMS(now, c.ConfirmedAt),
		MembersAgeMS: &membersAge,
		HeldMS:       now.Sub(receivedAt).Milliseconds(),
		Source:       board.Source(),
		Path:         board.Path(),

		Eras: c.Eras, MembersIncomplete: c.MembersIncomplete,
	}
}

// ageMS returns the milliseconds from confirmedAt to now, rounded up, and -1 for the
// zero time.
func ageMS(now, confirmedAt time.Time) int64 {
	if confirmedAt.IsZero() {
		return -1
	}
	return (now.Sub(confirmedAt) + time.Millisecond - 1).Milliseconds()
}
