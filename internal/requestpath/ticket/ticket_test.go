package ticket

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// Guards against a forged or damaged ticket, and against one that changes in
// transit.
func TestTicketIsAuthenticated(t *testing.T) {
	is := is.New(t)
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	is.NoErr(err)
	want := Ticket{netip.MustParseAddrPort("127.0.0.3:4000"), 7, 9, time.UnixMilli(1234)}
	text := want.Encode(ring.Signing())
	got, err := Parse(text, ring)
	is.NoErr(err)
	is.Equal(got, want)
	for i := range text {
		other := "A"
		if text[i] == 'A' {
			other = "B"
		}
		damaged := text[:i] + other + text[i+1:]
		_, err := Parse(damaged, ring)
		is.True(errkind.Is(err, errkind.TicketInvalid))
	}
	_, err = Parse(text[1:], ring)
	is.True(errkind.Is(err, errkind.TicketInvalid))
}

// Guards against a second run of a ticketed request in any order of retries,
// completions and expiries, and against an unbounded table.
func TestBegunAtMostOnce(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		const capacity = 4
		table, now := NewTable(capacity), time.Unix(0, 0)
		var tickets []Ticket
		runs := map[uint64]int{}
		for range rapid.IntRange(1, 120).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(rt, "s")) * time.Second)
			if len(tickets) == 0 || rapid.IntRange(0, 3).Draw(rt, "issue") == 0 {
				tickets = append(tickets, Ticket{Serial: table.NextSerial(), IssuedAt: now})
			}
			k := rapid.SampledFrom(tickets).Draw(rt, "ticket")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1, 2:
				action, answer, _ := table.Lookup(k, now)
				if action == Begin {
					runs[k.Serial]++
				}
				if action == Replay && answer.Status != int(k.Serial) {
					rt.Fatalf("answer of request %d to request %d", answer.Status, k.Serial)
				}
			case 3:
				table.Complete(k, Answer{Status: int(k.Serial), Body: make([]byte, rapid.SampledFrom([]int{1, MaxAnswer + 1}).Draw(rt, "size"))})
			}
			if runs[k.Serial] > 1 {
				rt.Fatalf("request %d began %d times", k.Serial, runs[k.Serial])
			}
			if len(table.entries) > capacity || len(table.begun) > capacity {
				rt.Fatalf("%d entries, %d begun", len(table.entries), len(table.begun))
			}
		}
	})
}
