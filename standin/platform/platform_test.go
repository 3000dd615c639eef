package platform_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	api "github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/standin/platform"
)

func start(t *testing.T, o platform.Options) (*platform.Server, *api.Client) {
	t.Helper()
	s := platform.New(o)
	addr, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := api.NewClient("http://"+addr.String(), 2*time.Second)
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

// Guards against a conditional update that overwrites a newer version, and
// against a deleted and recreated key that gets an earlier version again.
func TestConditionalUpdates(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t, platform.Options{})
	first, err := c.Put(ctx, "members/agent/a 1", []byte("x"), 0)
	is.NoErr(err)
	_, err = c.Put(ctx, "members/agent/a 1", []byte("y"), 0)
	is.True(errkind.Is(err, errkind.VersionConflict))
	second, err := c.Put(ctx, "members/agent/a 1", []byte("y"), first.Version)
	is.NoErr(err)
	is.True(errkind.Is(c.Delete(ctx, "members/agent/a 1", first.Version), errkind.VersionConflict))
	is.NoErr(c.Delete(ctx, "members/agent/a 1", second.Version))
	_, err = c.Get(ctx, "members/agent/a 1")
	is.True(errkind.Is(err, errkind.NotFound))
	third, err := c.Put(ctx, "members/agent/a 1", []byte("z"), 0)
	is.NoErr(err)
	is.True(third.Version > second.Version)
	_, ok := s.Ledger().AcceptedAt("members/agent/a 1", second.Version)
	is.True(ok)
	_, err = c.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 0)
	is.True(errkind.Is(err, errkind.Internal))
}

// Guards against a watch that misses a change or a deletion, reports keys under
// other prefixes, or is counted as more than one call.
func TestWatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t, platform.Options{})
	o, err := c.Put(ctx, "config/current", []byte("1"), 0)
	is.NoErr(err)
	seen, err := c.List(ctx, "config/")
	is.NoErr(err)
	is.Equal(len(seen.Objects), 1)
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = c.Put(ctx, "members/agent/a", []byte("2"), 0)
		_ = c.Delete(ctx, "config/current", o.Version)
	}()
	got, err := c.Watch(ctx, "config/", seen.Revision, 2*time.Second)
	is.NoErr(err)
	is.Equal(got.Objects, []api.Object{{Key: "config/current"}})
	is.Equal(s.Ledger().Watches, 1)
	got, err = c.Watch(ctx, "config/", got.Revision, 20*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(got.Objects), 0)
}

// Guards against injected faults with the wrong effect: a write with a lost
// answer must be stored, an outage must end watches and reject writes, and calls
// over the rate limit must be rejected and counted.
func TestInjectedFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t, platform.Options{WritesPerSecond: 3})
	s.LoseAnswers(1)
	_, err := c.Put(ctx, "k", []byte("1"), 0)
	is.True(errkind.Is(err, errkind.PlatformDown))
	o, err := c.Get(ctx, "k")
	is.NoErr(err)
	time.AfterFunc(30*time.Millisecond, func() { s.SetOutage(true) })
	_, err = c.Watch(ctx, "k", o.Version, 2*time.Second)
	is.True(errkind.Is(err, errkind.PlatformDown))
	_, err = c.Put(ctx, "k", []byte("2"), o.Version)
	is.True(errkind.Is(err, errkind.PlatformDown))
	s.SetOutage(false)
	again, err := c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(again, o)
	limited := 0
	for range 6 {
		_, err = c.Put(ctx, "other", nil, 0)
		if errkind.Is(err, errkind.PlatformLimited) {
			limited++
		}
	}
	is.True(limited > 0)
	is.Equal(s.Ledger().LimitedWrites, limited)
	is.Equal(s.Ledger().LostAnswers, 1)
}

// Guards against dropping a delayed write when its caller gives up. Clients that
// read a key back after a timeout must cope with a write that takes effect
// later; without it, no test would exercise that.
func TestDelayedWriteTakesEffect(t *testing.T) {
	is := is.New(t)
	s, c := start(t, platform.Options{})
	s.SetDelay(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Put(ctx, "k", make([]byte, 100_000), 0)
	is.True(errkind.Is(err, errkind.PlatformDown))
	s.SetDelay(0)
	_, err = c.Get(context.Background(), "k")
	is.True(errkind.Is(err, errkind.NotFound))
	got, err := c.Watch(context.Background(), "k", 0, 2*time.Second)
	is.NoErr(err)
	is.Equal(len(got.Objects), 1)
}

// Guards against a stand-in that keeps writes after the copy that it restores, that doesn't name
// the new era, or that serves a watch from a revision that it no longer has.
func TestRestoredCopyBeginsAnEra(t *testing.T) {
	is := is.New(t)
	s := platform.New(platform.Options{})
	defer s.Close()
	address, err := s.Start("127.0.0.1:0")
	is.NoErr(err)
	call := func(method, path string) *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address.String()+path, strings.NewReader("x"))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		_ = response.Body.Close()
		return response
	}
	call(http.MethodPut, "/v1/objects/a")
	c := s.Copy()
	is.Equal(call(http.MethodPut, "/v1/objects/b").Header.Get("Store-Era"), "0")
	s.Restore(c)
	response := call(http.MethodGet, "/v1/objects/b")
	is.Equal(response.StatusCode, http.StatusNotFound)
	is.Equal(response.Header.Get("Store-Era"), "1")
	is.Equal(call(http.MethodGet, "/v1/watch?after=2&timeout_ms=1").StatusCode, http.StatusGone)
	is.Equal(call(http.MethodGet, "/v1/watch?after=1&timeout_ms=1").StatusCode, http.StatusOK)
}
