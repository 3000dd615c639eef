package objectstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Guards against a write that the HTTP library sends twice: after a reused
// connection is cut, and after a redirect.
func TestWritesAreSentOnce(t *testing.T) {
	is := is.New(t)
	var writes atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"1"`) })
	mux.HandleFunc("PUT /v1/objects/cut", func(http.ResponseWriter, *http.Request) {
		writes.Add(1)
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("PUT /v1/objects/moved", func(w http.ResponseWriter, r *http.Request) {
		writes.Add(1)
		http.Redirect(w, r, "/v1/objects/cut", http.StatusTemporaryRedirect)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	c := NewClient(server.URL+"/", time.Second)
	defer c.Close()
	_, err := c.Get(context.Background(), "warm")
	is.NoErr(err)
	_, err = c.Put(context.Background(), "cut", []byte("x"), 1)
	is.True(errkind.Is(err, errkind.PlatformDown))
	is.Equal(writes.Load(), int32(1))
	_, err = c.Put(context.Background(), "moved", []byte("x"), 1)
	is.True(errkind.Is(err, errkind.Internal))
	is.Equal(writes.Load(), int32(2))
}

// Guards against a malformed or late response that is taken for an object or a
// listing.
func TestMalformedAnswers(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"no tag":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"bad tag": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"x"`) },
		"slow":    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			c := NewClient(server.URL, 100*time.Millisecond)
			defer c.Close()
			_, err := c.Get(context.Background(), "k")
			is.True(errkind.Is(err, errkind.PlatformDown))
			_, err = c.List(context.Background(), "k")
			is.True(errkind.Is(err, errkind.PlatformDown))
		})
	}
}
