package follow

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	methodChanges = "changes"
	// pollGrace is added to the time for which a peer may hold a request, before
	// the peer counts as unresponsive.
	pollGrace = 600 * time.Millisecond
	// dialTimeout bounds how long connecting to a peer may take.
	dialTimeout = 300 * time.Millisecond
)

// discardLogger drops the log lines of the jsonrpc2 library, which aren't
// structured. The requesting process logs a failed connection as an event.
var discardLogger = log.New(io.Discard, "", 0)

// ChangesRequest asks a peer for the changes after the known revisions.
type ChangesRequest struct {
	Known  map[view.Section]view.Revision
	WaitMS int64 // how long to hold the request while there are no changes
	// From is the name of the requesting process; empty from peers of earlier versions and
	// from programs that follow no peer.
	From string `json:",omitempty"`
}

// newChangesRequest returns a request for the changes after the revisions of v.
func newChangesRequest(v view.View, wait time.Duration) ChangesRequest {
	known := map[view.Section]view.Revision{}
	for _, s := range view.Sections() {
		known[s] = v.Revision(s)
	}
	return ChangesRequest{Known: known, WaitMS: wait.Milliseconds()}
}

// ChangesResponse holds the changes, and the age and origin of the view to which
// they lead. Ages are in milliseconds at the time of the response, and -1 if the
// view was never current.
type ChangesResponse struct {
	Deltas       []view.Delta
	AgeMS        int64  // age of the oldest section
	MembersAgeMS *int64 // age of the members; nil from peers of earlier versions
	HeldMS       int64  // how long the peer held the request
	Source       string // the process whose calls of the store keep the view current, "" for none
	// Path names the processes through which changes reach the peer, Source first and the
	// peer last; empty from peers of earlier versions.
	Path []string `json:",omitempty"`
	// Eras holds the era of the store of each of the peer's sections, unless it is 0. Ages don't
	// apply to a section that this process has in another era.
	Eras map[view.Section]int64 `json:",omitempty"`
	// MembersIncomplete is set while the peer's members may lack some, because the store was
	// restored from a copy.
	MembersIncomplete bool `json:",omitempty"`
}

// isOfEarlierEra reports whether a section of the peer is of an earlier era than in v.
func (r ChangesResponse) isOfEarlierEra(v view.View) bool {
	return slices.ContainsFunc(view.Sections(), func(s view.Section) bool { return r.Eras[s] < v.Revision(s).Era() })
}

// path returns the processes through which changes reach the peer, as far as the response
// names them; none if the peer has no source.
func (r ChangesResponse) path() []string {
	if len(r.Path) == 0 && r.Source != "" {
		return []string{r.Source}
	}
	return r.Path
}

// membersAgeMS returns the age of the members.
func (r ChangesResponse) membersAgeMS() int64 {
	if r.MembersAgeMS == nil {
		return r.AgeMS
	}
	return *r.MembersAgeMS
}

// knownAgeMS returns the age of the oldest section that was ever current, -1 if none was.
// The configuration never was while none has been written.
func (r ChangesResponse) knownAgeMS() int64 {
	if r.AgeMS >= 0 {
		return r.AgeMS
	}
	return r.membersAgeMS()
}

// DialFunc opens a connection to a peer, until ctx ends.
type DialFunc func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

// dialTCP is the DialFunc of processes outside tests.
func dialTCP(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", peer.String())
}

// peerConns holds one open connection per peer. It is not safe for concurrent use.
type peerConns struct {
	dial   DialFunc
	byAddr map[netip.AddrPort]*jsonrpc2.Conn
}

func newPeerConns(dial DialFunc) *peerConns {
	return &peerConns{dial: dial, byAddr: map[netip.AddrPort]*jsonrpc2.Conn{}}
}

func (p *peerConns) closeAll() {
	for peer := range p.byAddr {
		p.closeConn(peer)
	}
}

func (p *peerConns) closeConn(peer netip.AddrPort) {
	if c := p.byAddr[peer]; c != nil {
		// A connection that failed has nothing left to close.
		_ = c.Close()
		delete(p.byAddr, peer)
	}
}

// poll sends a request to a peer and returns the response. Its errors have the kind
// PeerDown.
func (p *peerConns) poll(ctx context.Context, peer netip.AddrPort, req ChangesRequest) (ChangesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+pollGrace)
	defer cancel()
	conn, err := p.connect(ctx, peer)
	if err != nil {
		return ChangesResponse{}, errkind.Wrap(err, errkind.PeerDown, "connect to peer")
	}
	var resp ChangesResponse
	if err := conn.Call(ctx, methodChanges, req, &resp); err != nil {
		p.closeConn(peer)
		return ChangesResponse{}, errkind.Wrap(err, errkind.PeerDown, "poll peer")
	}
	return resp, nil
}

func (p *peerConns) connect(ctx context.Context, peer netip.AddrPort) (*jsonrpc2.Conn, error) {
	if c := p.byAddr[peer]; c != nil {
		return c, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := p.dial(dialCtx, peer)
	if err != nil {
		return nil, err
	}
	// The connection outlives the request that opened it.
	c := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(netConn, jsonrpc2.VarintObjectCodec{}),
		jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "peers only answer"}
		}), jsonrpc2.SetLogger(discardLogger))
	p.byAddr[peer] = c
	return c, nil
}
