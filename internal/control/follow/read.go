package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Read lists all sections of the store once. Errors have the kinds of Store.
func Read(ctx context.Context, store Store) (view.View, error) {
	f := New(Options{Store: store, Board: view.NewBoard(), Logger: event.Discard()})
	for _, s := range view.Sections() {
		if _, err := f.list(ctx, s); err != nil {
			return view.View{}, err
		}
	}
	return f.o.Board.View(), nil
}

// Probe asks a process how current its view is. It answers at once. Errors have
// kind PeerDown.
func Probe(ctx context.Context, peer netip.AddrPort, v view.View) (age time.Duration, source string, err error) {
	links := newLinks()
	defer links.close()
	answer, err := links.ask(ctx, peer, newQuestion(v, 0))
	if err != nil {
		return 0, "", err
	}
	return time.Duration(answer.AgeMS) * time.Millisecond, answer.Source, nil
}
