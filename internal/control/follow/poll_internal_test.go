package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Guards against a view that counts as current in the future: this process was suspended
// during the request, so its steady clock shows less time than its peer held the request.
func TestPeerConfirmsNoFutureView(t *testing.T) {
	is := is.New(t)
	board := view.NewBoard()
	f := New(Options{Board: board, Logger: event.Discard()})
	f.confirmFromPeer(time.Now(), ChangesResponse{HeldMS: 700})
	is.True(!board.ConfirmedAt().After(time.Now()))
}
