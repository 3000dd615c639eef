package config

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func sampleConfig() *Config {
	return &Config{
		Generation: 3,
		ChangeID:   "c3",
		Domains:    []FailureDomain{{"shawi", "mauricie", 0}, {"tr-centre", "mauricie", 1}},
		Services: []Service{{
			Name: "comptoir", Address: netip.MustParseAddrPort("127.0.0.1:7001"),
			Limits:         Limits{Slots: 9, Connections: 2000, ColdSlots: 2, WarmUp: 3 * time.Second},
			RequestTimeout: time.Second,
		}},
	}
}

// Guards against an invalid field that validation accepts, and against an
// error that does not name the invalid field.
func TestCheckNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"generation":                       func(c *Config) { c.Generation = 0 },
		"domains[1].name":                  func(c *Config) { c.Domains[1].Name = "shawi" },
		"domains[1].index":                 func(c *Config) { c.Domains[1].Index = 0 },
		"domains[0].region":                func(c *Config) { c.Domains[0].Region = "" },
		"services[0].address":              func(c *Config) { c.Services[0].Address = netip.AddrPort{} },
		"services[0].limits.slots":         func(c *Config) { c.Services[0].Limits.Slots = 0 },
		"services[0].limits.cold_slots":    func(c *Config) { c.Services[0].Limits.ColdSlots = 10 },
		"services[0].request_timeout":      func(c *Config) { c.Services[0].RequestTimeout = 0 },
		"services[0].objectives.answered_": func(c *Config) { c.Services[0].Objectives.AnsweredShare = 1 },
		"changes[0].subject":               func(c *Config) { c.Changes = []PlannedChange{{"a", DomainOut, "nowhere", "", start, 1}} },
		"changes[0].generation":            func(c *Config) { c.Changes = []PlannedChange{{"a", DomainOut, "shawi", "", start, 4}} },
		"changes[0].kind":                  func(c *Config) { c.Changes = []PlannedChange{{"a", "move", "shawi", "", start, 1}} },
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			c := sampleConfig()
			is.NoErr(c.Check())
			invalidate(c)
			err := c.Check()
			is.True(errkind.Is(err, errkind.ConfigInvalid))
			is.True(strings.Contains(err.Error(), field))
		})
	}
}

// Guards against a view that depends on the order of the list of changes: the
// latest due change of a subject must determine its state.
func TestViewIsIndependentOfOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := sampleConfig()
		kinds := rapid.SliceOfN(rapid.SampledFrom([]ChangeKind{DomainOut, DomainBack}), 1, 6).Draw(t, "kinds")
		for i, kind := range kinds {
			at := start.Add(time.Duration(i) * time.Minute)
			c.Changes = append(c.Changes, PlannedChange{string(rune('a' + i)), kind, "shawi", "", at, 1})
		}
		now := start.Add(time.Duration(rapid.IntRange(-30, 400).Draw(t, "seconds")) * time.Second)
		want := false
		for i, kind := range kinds {
			if !start.Add(time.Duration(i) * time.Minute).After(now) {
				want = kind == DomainOut
			}
		}
		c.Changes = rapid.Permutation(c.Changes).Draw(t, "order")
		if _, out := c.View(now).DomainOut("shawi"); out != want {
			t.Fatalf("out = %v, want %v", out, want)
		}
		if next, ok := c.View(now).NextChange(); ok && !next.After(now) {
			t.Fatalf("next change %v is not after %v", next, now)
		}
	})
}

// Guards against a backend server that serves before its planned join, or that
// does not serve after it.
func TestBackendServesBetweenJoinAndLeave(t *testing.T) {
	is := is.New(t)
	c := sampleConfig()
	c.Changes = []PlannedChange{
		{"j", Join, "comptoir-8", "comptoir", start, 1},
		{"l", Leave, "comptoir-8", "comptoir", start.Add(time.Hour), 2},
	}
	is.NoErr(c.Check())
	is.True(!c.View(start.Add(-time.Second)).BackendJoined("comptoir-8"))
	is.True(c.View(start).BackendJoined("comptoir-8"))
	_, leaving := c.View(start.Add(time.Hour)).BackendLeaving("comptoir-8")
	is.True(leaving)
	is.True(c.View(start).BackendJoined("comptoir-1"))
	var nilConfig *Config
	is.True(nilConfig.View(start).BackendJoined("comptoir-1"))
}

// Guards against fields that are lost or changed when a configuration is
// encoded and parsed again.
func TestEncodeParseRoundTrip(t *testing.T) {
	is := is.New(t)
	c := sampleConfig()
	c.Changes = []PlannedChange{{"j", Join, "comptoir-8", "comptoir", start, 1}}
	data, err := c.Encode()
	is.NoErr(err)
	decoded, err := Parse(data)
	is.NoErr(err)
	is.Equal(decoded, c)
	_, err = Parse([]byte(`{"generation":`))
	is.True(errkind.Is(err, errkind.ConfigInvalid))
}

// Guards against a backend server that stops serving before its planned leave
// because a join is also planned: a restart is planned as a leave followed by
// a join.
func TestBackendServesUntilLeaveBeforeJoin(t *testing.T) {
	is := is.New(t)
	c := sampleConfig()
	c.Changes = []PlannedChange{
		{"j", Join, "b-1", "comptoir", start.Add(2 * time.Hour), 1},
		{"l", Leave, "b-1", "comptoir", start.Add(time.Hour), 1},
	}
	is.True(c.View(start).BackendJoined("b-1"))
	_, leaving := c.View(start.Add(time.Hour)).BackendLeaving("b-1")
	is.True(leaving)
	_, leaving = c.View(start.Add(2 * time.Hour)).BackendLeaving("b-1")
	is.True(!leaving)
}
