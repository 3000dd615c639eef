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

func agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000)
}

// Guards against an opening whose packets reach two agents, or that travels
// without end, whatever the reports say.
func TestOpeningStaysTogether(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table := NewTable()
		now := start
		dcid := []byte("opening")
		hop := rapid.Uint8Range(0, 3).Draw(t, "hop")
		var first *choice
		for range rapid.IntRange(2, 8).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			for i := range rapid.IntRange(0, 3).Draw(t, "reports") {
				table.Reported(now, agent(i), tunnel.Load{Flows: rapid.Uint16().Draw(t, "flows"), Limit: 9})
			}
			own := Own{Load: tunnel.Load{Flows: rapid.Uint16().Draw(t, "own"), Limit: 9}}
			verdict, next := table.Decide(now, own, dcid, hop)
			if hop >= MaxHops && verdict != Accept {
				t.Fatal("passed on after the last hop")
			}
			if first == nil {
				first = &choice{verdict, next}
			}
			if *first != (choice{verdict, next}) {
				t.Fatalf("decided %v %v, first %v", verdict, next, *first)
			}
		}
	})
}

// Guards against two agents that pass an opening to each other without end:
// each packet of it must end at the same agent after MaxHops at most.
func TestOpeningEndsAtOneAgent(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		const agents = 3
		tables, owns := [agents]*Table{}, [agents]Own{}
		for i := range tables {
			tables[i] = NewTable()
			owns[i] = Own{
				Load: tunnel.Load{Flows: rapid.Uint16Range(0, 9).Draw(t, "flows"), Limit: 9},
				Full: rapid.Bool().Draw(t, "full"),
			}
			for j := range agents {
				if j != i {
					tables[i].Reported(start, agent(j), tunnel.Load{Flows: rapid.Uint16Range(0, 9).Draw(t, "stale"), Limit: 9})
				}
			}
		}
		ends := map[int]bool{}
		for range 3 {
			at, hop := 0, uint8(0)
			for {
				verdict, next := tables[at].Decide(start, owns[at], []byte("dcid"), hop)
				if verdict == Accept {
					break
				}
				if hop++; hop > MaxHops {
					t.Fatal("passed on too often")
				}
				at = int(next.Addr().As4()[3])
			}
			ends[at] = true
		}
		if len(ends) != 1 {
			t.Fatalf("ended at %v", ends)
		}
	})
}

// Guards against openings that pile up at one agent between two load reports.
func TestOpeningsSpreadBetweenReports(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 6 {
		table.Reported(start, agent(i), tunnel.Load{Limit: 9})
	}
	own := Own{Load: tunnel.Load{Limit: 9}}
	passed := map[netip.AddrPort]int{}
	for i := range 70 {
		verdict, next := table.Decide(start, own, fmt.Appendf(nil, "dcid-%d", i), 0)
		if verdict == Accept {
			own.Load.Flows++
			continue
		}
		passed[next]++
	}
	is.Equal(own.Load.Flows, uint16(10))
	for i := range 6 {
		is.Equal(passed[agent(i)], 10)
	}
}

// Guards against openings sent to an agent that is leaving or silent, and
// against a leaving agent that keeps openings while another could take them.
func TestUnsuitableAgents(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Reported(start, agent(1), tunnel.Load{Limit: 9, Flags: tunnel.FlagLeaving})
	table.Reported(start.Add(-staleAfter), agent(2), tunnel.Load{Limit: 9})
	verdict, _ := table.Decide(start, Own{Full: true}, []byte("a"), 0)
	is.Equal(verdict, Accept) // nobody else: the flow is refused truthfully

	table.Reported(start, agent(3), tunnel.Load{Limit: 9, Flows: 500})
	leaving := Own{Load: tunnel.Load{Limit: 9, Flags: tunnel.FlagLeaving}}
	verdict, next := table.Decide(start, leaving, []byte("b"), 0)
	is.Equal(verdict, PassOn)
	is.Equal(next, agent(3))

	fuller := Own{Load: tunnel.Load{Limit: 9, Flows: 502}} // one was passed on above
	verdict, _ = table.Decide(start, fuller, []byte("c"), 0)
	is.Equal(verdict, PassOn)
	is.Equal(len(table.Peers(start)), 2)
}

// Guards against flows that stay uneven for hours because a backend server was
// cold, for seconds, when they were opened.
func TestColdStartDoesNotSkewFlows(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Reported(start, agent(1), tunnel.Load{Limit: 9, Flows: 20})
	cold := Own{Load: tunnel.Load{Limit: 2, Flows: 19, Flags: tunnel.FlagCold}}
	verdict, _ := table.Decide(start, cold, []byte("a"), 0)
	is.Equal(verdict, Accept)
	cold.Load.Flows = 21
	verdict, _ = table.Decide(start, cold, []byte("b"), 0)
	is.Equal(verdict, PassOn)
}
