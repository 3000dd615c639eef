package follow

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// maxPollTimeout bounds how long a request is held, whatever it asks for.
const maxPollTimeout = 5 * time.Second

// Serve serves the view of board to the peers that connect to listener, until
// listener is closed. A panic while a request is handled ends that request only and is
// logged.
func Serve(ctx context.Context, listener net.Listener, board *view.Board, logger *event.Logger) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			// The listener was closed at shutdown.
			return
		}
		stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
			func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (response any, err error) {
				_, err = panics.Handle(logger, func() (err error) {
					response, err = handle(ctx, board, r)
					return err
				})
				return response, err
			},
		)), jsonrpc2.SetLogger(discardLogger))
	}
}

// handle answers the request of a peer. It returns a jsonrpc2.Error with
// CodeInvalidRequest if the method is unknown or its parameters are unreadable.
func handle(ctx context.Context, board *view.Board, r *jsonrpc2.Request) (any, error) {
	var req ChangesRequest
	if r.Method != methodChanges || r.Params == nil || json.Unmarshal(*r.Params, &req) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "unknown question"}
	}
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxPollTimeout)
	return awaitChanges(ctx, board, req, wait), nil
}

// awaitChanges responds as soon as board is newer than the revisions of the request
// or its source changes, and without changes after wait.
func awaitChanges(ctx context.Context, board *view.Board, req ChangesRequest, wait time.Duration) ChangesResponse {
	changed, cancel := board.Subscribe()
	defer cancel()
	sourceChanged, cancelSourceChanged := board.SubscribeSource()
	defer cancelSourceChanged()
	receivedAt := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for initialSource := board.Source(); ; {
		changes := board.ChangesSince(req.Known)
		// Followers learn of a change of the source, such as its loss, at once.
		if len(changes.Deltas) > 0 || board.Source() != initialSource || expired {
			return newChangesResponse(board, changes, receivedAt)
		}
		select {
		case <-changed:
		case <-sourceChanged:
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
