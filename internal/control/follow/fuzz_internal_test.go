package follow

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	fullResponse = `{"Deltas":[{"Section":"configuration","From":0,"To":54,"Full":true,"Configuration":{"Version":17,"Routes":[{"Name":"r","Address":"198.18.0.1:8443","Targets":[{"Service":"huvo11a","Weight":90}],"Priority":2,"Timeout":1500000000,"Objective":150000000}],"Services":[{"Name":"huvo11a","MaxFlows":2000}],"IdleTimeout":15000000000}},{"Section":"members","To":54,"Full":true,"Members":[{"Name":"agent-10.1.0.32","Role":"agent","Domain":"a","Address":"10.1.0.32:8432","Peer":"10.1.0.32:7720","Service":"huvo11a","Slots":5,"State":"ready","Revision":9}]},{"Section":"evacuations","To":54,"Full":true}],"AgeMS":12,"MembersAgeMS":12,"HeldMS":0,"Source":"agent-10.1.0.32"}`
	nextResponse = `{"Deltas":[{"Section":"configuration","From":54,"To":60,"Configuration":{"Version":18,"Dropped":["198.18.0.1:8443"],"Services":[],"IdleTimeout":0}},{"Section":"members","From":54,"To":60,"Gone":["agent-10.1.0.32"]}],"AgeMS":12,"HeldMS":700,"Source":"agent-10.1.0.32"}`
)

// Guards against a response of a peer that ends the process, alone or after a usable one,
// and against a view that can't be passed on afterwards.
func FuzzApplyResponse(f *testing.F) {
	f.Add([]byte(fullResponse))
	f.Add([]byte(nextResponse))
	f.Add([]byte(`{"Deltas":[{"Section":"members","From":1,"To":99,"Members":[{"Name":"","Role":"other"}]},{"Section":"x","To":1,"Full":true}],"Source":"y"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		board := view.NewBoard()
		follower := New(Options{Name: "balancer-10.1.0.27", Board: board, Logger: event.Discard()})
		for _, b := range [][]byte{[]byte(fullResponse), text} {
			var r ChangesResponse
			if json.Unmarshal(b, &r) != nil {
				return
			}
			follower.applyResponse(time.Now(), r)
		}
		for _, s := range view.Sections() {
			if d := board.View().FullDelta(s); d.To < 54 {
				t.Fatalf("section %s went back to revision %d", s, d.To)
			}
		}
		follower.upstreamPeers()
	})
}

// Guards against a request of a peer that ends the process or gets no response.
func FuzzHandleRequest(f *testing.F) {
	f.Add([]byte(`{"Known":{"configuration":54,"evacuations":54,"members":54},"WaitMS":700}`))
	f.Add([]byte(`{"Known":null,"WaitMS":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, params []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // no request is held
		raw := json.RawMessage(params)
		response, err := handle(ctx, view.NewBoard(), &jsonrpc2.Request{Method: methodChanges, Params: &raw})
		if err == nil && response.AgeMS != -1 {
			t.Fatal("an empty view counts as current")
		}
	})
}
