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

// Guards against forged or damaged tickets that are accepted, and against a
// ticket that decodes to other values than were encoded.
func TestTicketIsAuthenticated(t *testing.T) {
	is := is.New(t)
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	is.NoErr(err)
	want := Ticket{netip.MustParseAddrPort("127.0.0.3:4000"), 7, 9, time.UnixMilli(1234)}
	text := want.Encode(ring.SigningKey())
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

// Guards against a ticketed request that runs twice, in any order of retries,
// completions and expiries, and against a table that exceeds its capacity.
func TestTicketRunsAtMostOnce(t *testing.T) {
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
			tk := rapid.SampledFrom(tickets).Draw(rt, "ticket")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1, 2:
				action, answer, _ := table.Lookup(tk, now)
				if action == Run {
					runs[tk.Serial]++
				}
				if action == Replay && answer.Status != int(tk.Serial) {
					rt.Fatalf("request %[2]d got the answer to request %[1]d", answer.Status, tk.Serial)
				}
			case 3:
				table.Complete(tk, Answer{Status: int(tk.Serial), Body: make([]byte, rapid.SampledFrom([]int{1, MaxAnswerBytes + 1}).Draw(rt, "size"))})
			}
			if runs[tk.Serial] > 1 {
				rt.Fatalf("request %d ran %d times", tk.Serial, runs[tk.Serial])
			}
			if len(table.entries) > capacity || len(table.byStart) > capacity {
				rt.Fatalf("%d entries and %d in order of start, above the capacity", len(table.entries), len(table.byStart))
			}
		}
	})
}
