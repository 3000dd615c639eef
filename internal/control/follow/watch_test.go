package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// Guards against a process that misses changes of the store: during normal
// operation, after the store has discarded its history, and after an outage.
func TestFollowsTheStore(t *testing.T) {
	server := newStore(t)
	server.SetConfiguration(1)
	p := startFirst(t, server.Address())
	server.SetConfiguration(2)
	eventually(t, "change", func() bool { return p.version() == 2 })
	server.Evacuate("a", true)
	eventually(t, "evacuation", func() bool { return p.board.View().Evacuations.Domains["a"] })
	server.SetConfiguration(3)
	server.Evacuate("a", false)
	server.DropHistory()
	eventually(t, "changes in the discarded history", func() bool {
		return p.version() == 3 && !p.board.View().Evacuations.Domains["a"]
	})
	server.SetFault(platformtest.Unavailable)
	server.SetConfiguration(4)
	time.Sleep(200 * time.Millisecond)
	server.SetFault(platformtest.NoFault)
	eventually(t, "change during the outage", func() bool { return p.version() == 4 })
}

// Guards against a configuration object that another writer left unreadable and
// that removes the configuration in force or hides the next readable one.
func TestUnreadableConfigurationIsSkipped(t *testing.T) {
	server := newStore(t)
	server.SetConfiguration(1)
	p := startFirst(t, server.Address())
	server.SetUnreadableConfiguration()
	server.SetConfiguration(3)
	eventually(t, "next readable configuration", func() bool { return p.version() == 3 })
}

// Guards against a process that retries the calls for every section while the store
// refuses them: refused calls are charged too.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	server.SetConfiguration(1)
	p := startFirst(t, server.Address())
	server.SetFault(platformtest.RateLimited)
	server.SetConfiguration(2) // ends the pending watch
	server.Evacuate("z", true)
	server.PutMember("wake", `{"Name":"wake"}`)
	time.Sleep(time.Second)
	before := server.CallCount()
	time.Sleep(2 * time.Second)
	is.True(server.CallCount()-before <= 5) // one call per 500 ms
	server.SetFault(platformtest.NoFault)
	eventually(t, "all changes", func() bool { return p.version() == 2 && p.board.View().Evacuations.Domains["z"] })
}

// Guards against a view that counts as current although the watch that should
// keep it current has gone silent while the store answers other calls. A balancer
// with such a view resets open flows of agents that it doesn't know (issue 17).
func TestSilentWatchConfirmsNothing(t *testing.T) {
	server := newStore(t)
	server.SetConfiguration(1)
	p := startFirst(t, server.Address())
	server.StallWatches(true)
	// The watches that began before the stall end with this member's creation.
	server.PutMember("first", memberSpec("first"))
	time.Sleep(500 * time.Millisecond)
	createWhileWatching(t, server, "second", 5*time.Second, p)
}

// Guards against a view that counts as current at the time at which a slow response of
// the store arrives, although the response is as old as its way was long.
func TestSlowWatchConfirmsOnlyItsOwnTime(t *testing.T) {
	server := newStore(t)
	server.SetConfiguration(1)
	p := startFirst(t, server.Address())
	server.DelayWatchResponses(600 * time.Millisecond)
	for i := range 12 {
		createWhileWatching(t, server, fmt.Sprintf("member-%d", i), 450*time.Millisecond, p)
	}
}
