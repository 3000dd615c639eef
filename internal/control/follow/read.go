package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// ReadView returns a view from one listing of each section of the store. Its errors
// have the kinds of Store.
func ReadView(ctx context.Context, store Store) (view.View, error) {
	f := New(Options{Store: store, Board: view.NewBoard(), Logger: event.Discard()})
	for _, s := range view.Sections() {
		if _, err := f.listSection(ctx, s); err != nil {
			return view.View{}, err
		}
	}
	return f.opts.Board.View(), nil
}

// ProbePeer returns the age of a peer's view, negative if it was never current,
// and its source. The peer is asked for the changes after v and does not hold
// the request. Errors have the kind PeerDown.
func ProbePeer(ctx context.Context, peer netip.AddrPort, v view.View) (age time.Duration, source string, err error) {
	conns := newPeerConns(dialTCP)
	defer conns.closeAll()
	response, err := conns.poll(ctx, peer, newChangesRequest(v, 0))
	if err != nil {
		return 0, "", err
	}
	return time.Duration(response.AgeMS) * time.Millisecond, response.Source, nil
}
