package placement

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var start = time.Unix(1_800_000_000, 0)

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000)
}

// Guards against an opening whose packets reach two agents because load reports
// change between them, or that is passed on after MaxHops.
func TestPacketsOfOpeningGetOneDecision(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table := NewTable()
		now := start
		dcid := []byte("opening")
		hop := rapid.Uint8Range(0, 3).Draw(t, "hop")
		var first *storedDecision
		for range rapid.IntRange(2, 8).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			for i := range rapid.IntRange(0, 3).Draw(t, "reports") {
				table.RecordLoad(now, agentAddress(i), tunnel.Load{Flows: rapid.Uint16().Draw(t, "flows"), Limit: 9})
			}
			own := LocalState{Load: tunnel.Load{Flows: rapid.Uint16().Draw(t, "own"), Limit: 9}}
			decision, next := table.Decide(now, own, dcid, hop)
			if hop >= MaxHops && decision != Accept {
				t.Fatal("passed on after MaxHops")
			}
			if first == nil {
				first = &storedDecision{decision, next}
			}
			if *first != (storedDecision{decision, next}) {
				t.Fatalf("decided %v %v, first decision %v", decision, next, *first)
			}
		}
	})
}

// Guards against agents that pass an opening to each other without end because
// their reports of each other are outdated: all packets of an opening must be
// accepted by the same agent after MaxHops at most.
func TestOpeningEndsAtOneAgent(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		const agents = 3
		tables, owns := [agents]*Table{}, [agents]LocalState{}
		for i := range tables {
			tables[i] = NewTable()
			owns[i] = LocalState{
				Load: tunnel.Load{Flows: rapid.Uint16Range(0, 9).Draw(t, "flows"), Limit: 9},
				Full: rapid.Bool().Draw(t, "full"),
			}
			for j := range agents {
				if j != i {
					tables[i].RecordLoad(start, agentAddress(j), tunnel.Load{Flows: rapid.Uint16Range(0, 9).Draw(t, "stale"), Limit: 9})
				}
			}
		}
		ends := map[int]bool{}
		for range 3 {
			at, hop := 0, uint8(0)
			for {
				decision, next := tables[at].Decide(start, owns[at], []byte("dcid"), hop)
				if decision == Accept {
					break
				}
				if hop++; hop > MaxHops {
					t.Fatal("passed on more than MaxHops times")
				}
				at = int(next.Addr().As4()[3])
			}
			ends[at] = true
		}
		if len(ends) != 1 {
			t.Fatalf("packets of one opening accepted by agents %v", ends)
		}
	})
}

// Guards against openings that all go to one agent between two load reports,
// because its reported load doesn't include them yet.
func TestOpeningsSpreadBetweenReports(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 6 {
		table.RecordLoad(start, agentAddress(i), tunnel.Load{Limit: 9})
	}
	own := LocalState{Load: tunnel.Load{Limit: 9}}
	passed := map[netip.AddrPort]int{}
	for i := range 70 {
		decision, next := table.Decide(start, own, fmt.Appendf(nil, "dcid-%d", i), 0)
		if decision == Accept {
			own.Load.Flows++
			continue
		}
		passed[next]++
	}
	is.Equal(own.Load.Flows, uint16(10))
	for i := range 6 {
		is.Equal(passed[agentAddress(i)], 10)
	}
}

// Guards against openings passed on to an agent that is leaving or has stopped
// reporting, and against a leaving agent that accepts openings while another
// agent could take them.
func TestUnsuitableAgents(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.RecordLoad(start, agentAddress(1), tunnel.Load{Limit: 9, Flags: tunnel.FlagLeaving})
	table.RecordLoad(start.Add(-staleAfter), agentAddress(2), tunnel.Load{Limit: 9})
	decision, _ := table.Decide(start, LocalState{Full: true}, []byte("a"), 0)
	is.Equal(decision, Accept) // no other agent is suitable: the request is refused on the flow

	table.RecordLoad(start, agentAddress(3), tunnel.Load{Limit: 9, Flows: 500})
	leaving := LocalState{Load: tunnel.Load{Limit: 9, Flags: tunnel.FlagLeaving}}
	decision, next := table.Decide(start, leaving, []byte("b"), 0)
	is.Equal(decision, PassOn)
	is.Equal(next, agentAddress(3))

	busier := LocalState{Load: tunnel.Load{Limit: 9, Flows: 502}} // agent 3 counts 501: one opening was passed on above
	decision, _ = table.Decide(start, busier, []byte("c"), 0)
	is.Equal(decision, PassOn)
	is.Equal(len(table.FreshLoads(start)), 2)
}

// Guards against flows that stay unevenly distributed for hours because a
// backend server was cold for a few seconds while they were opened.
func TestColdStartDoesNotSkewFlows(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.RecordLoad(start, agentAddress(1), tunnel.Load{Limit: 9, Flows: 20})
	cold := LocalState{Load: tunnel.Load{Limit: 2, Flows: 19, Flags: tunnel.FlagCold}}
	decision, _ := table.Decide(start, cold, []byte("a"), 0)
	is.Equal(decision, Accept)
	cold.Load.Flows = 21
	decision, _ = table.Decide(start, cold, []byte("b"), 0)
	is.Equal(decision, PassOn)
}
