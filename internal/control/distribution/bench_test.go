package distribution

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// These benchmarks measure the cost of one pull by the number of members and of
// changes, for client and server together, over TLS on loopback. Their results
// are the slopes in docs/CAPACITY.md.

var benchSizes = []int{100, 1000, 4000} // numbers of members

// meteredConn counts the bytes that are read and written.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(p []byte) (int, error)  { return c.count(c.Conn.Read(p)) }
func (c meteredConn) Write(p []byte) (int, error) { return c.count(c.Conn.Write(p)) }

func (c meteredConn) count(n int, err error) (int, error) {
	c.bytes.Add(int64(n))
	return n, err
}

// benchRecords returns the records of n agents, all with the given sequence.
func benchRecords(n int, sequence uint64) []membership.Change {
	changes := make([]membership.Change, n)
	for i := range changes {
		addr := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
		changes[i].Record = membership.Record{
			ID: fmt.Sprintf("comptoir-%04d", i), Role: membership.RoleAgent, Service: fmt.Sprint("service-", i%340),
			Domain: testDomains[i%3], Region: "mauricie", Tunnel: netip.AddrPortFrom(addr, 4100), Peer: netip.AddrPortFrom(addr, 4200),
			Incarnation: uint64(1764825600000000000 + i*7919), Sequence: sequence, State: membership.StateServing,
			Generation: 1200, Slots: 9, InProgress: i % 9, Flows: i * 31 % 2000,
		}
	}
	return changes
}

// benchNode returns a node that knows the given number of members, a function
// that pulls from it, and a counter of the bytes of all pulls on the wire.
func benchNode(b *testing.B, members int) (*Node, func(membership.Cursor, bool) peer.PullResponse, *atomic.Int64) {
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	bytes := &atomic.Int64{}
	n := New(Options{
		Self:  membership.Record{ID: "balancer-0", Role: membership.RoleBalancer, Domain: "shawi", Region: "mauricie"},
		Store: newFakeStore(), KeyRing: func() *keyring.Ring { return ring }, Listen: "127.0.0.1:0",
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return meteredConn{conn, bytes}, err
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go n.serve(listener) // without the other controllers, whose work would be measured as well
	b.Cleanup(func() { _ = n.server.Shutdown(context.Background()) })
	n.table.Merge(benchRecords(members, 1), time.Now())
	client := peer.NewClient(n.dialer, netip.MustParseAddrPort(listener.Addr().String()))
	self := membership.Record{ID: "balancer-1", Role: membership.RoleBalancer, Incarnation: 1764825600000000000, Sequence: 77}
	n.table.Merge([]membership.Change{{Record: self}}, time.Now())
	pull := func(cursor membership.Cursor, wantConfig bool) peer.PullResponse {
		resp, err := client.Pull(b.Context(), peer.PullRequest{
			ID: self.ID, Incarnation: self.Incarnation, Sequence: self.Sequence, Cursor: cursor,
			WantConfig: wantConfig, PlatformStateAge: 734 * time.Millisecond,
		})
		if err != nil {
			b.Fatal(err)
		}
		return resp
	}
	pull(n.table.Cursor(), false) // opens the connection
	return n, pull, bytes
}

func BenchmarkPull(b *testing.B) {
	for _, members := range benchSizes {
		for _, changes := range []int{0, 1, 10, 100} {
			b.Run(fmt.Sprintf("members=%d/changes=%d", members, changes), func(b *testing.B) {
				n, pull, bytes := benchNode(b, members)
				before, sequence := bytes.Load(), uint64(1)
				for b.Loop() {
					cursor := n.table.Cursor()
					sequence++
					n.table.Merge(benchRecords(changes, sequence), time.Now())
					pull(cursor, false)
				}
				b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
			})
		}
	}
}

func BenchmarkFullState(b *testing.B) {
	for _, members := range benchSizes {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			_, pull, bytes := benchNode(b, members)
			before := bytes.Load()
			for b.Loop() {
				for cursor, left := (membership.Cursor{}), members+2; left > 1; { // the requester's own record is left out
					resp := pull(cursor, false)
					cursor, left = resp.Cursor, left-len(resp.Changes)
				}
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
	}
}

func BenchmarkTable(b *testing.B) {
	for _, members := range benchSizes {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := membership.NewTable(membership.Record{ID: "self"}, 1, time.Now())
			table.Merge(benchRecords(members, 1), time.Now())
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				table.Snapshot(time.Now())
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(members), "heap-B/member")
		})
	}
}

func BenchmarkConfig(b *testing.B) {
	c := &config.Config{Generation: 1200, ChangeID: "c1200", AcceptedAt: time.Now()}
	c.Domains = []config.FailureDomain{{Name: "shawi", Region: "mauricie"}}
	for i := range 340 {
		c.Services = append(c.Services, config.Service{
			Name: fmt.Sprint("service-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 443),
			Limits: config.Limits{Slots: 9, Connections: 2000, ColdSlots: 2, WarmUp: 30 * time.Second}, RequestTimeout: time.Second,
		})
	}
	for i := range 2000 {
		c.Changes = append(c.Changes, config.PlannedChange{
			ID: fmt.Sprintf("sheet-%06x", i*7919), Kind: config.Leave, Subject: fmt.Sprintf("comptoir-%04d", i),
			Service: fmt.Sprint("service-", i%340), At: time.Unix(1764825600+int64(i), 0), Generation: 1200,
		})
	}
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = c.Encode()
		}
		b.ReportMetric(float64(len(data)), "json-B")
	})
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			_, _ = config.Parse(data)
		}
	})
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			c.View(time.Now())
		}
	})
	b.Run("pull", func(b *testing.B) {
		n, pull, bytes := benchNode(b, 1)
		n.config = encodedConfig{c.Generation, data}
		before := bytes.Load()
		for b.Loop() {
			pull(n.table.Cursor(), true)
		}
		b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
	})
}
