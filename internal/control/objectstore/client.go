package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Bounds of one client's connections and answers.
const (
	idleConnections   = 4
	idleTimeout       = 90 * time.Second
	maxAnswerBytes    = 64 << 20 // a listing of all members at the target size is a few MB
	maxErrorTextBytes = 200
)

// Client reads and writes objects over HTTP. It reuses connections, and it
// sends each write at most once: http.Transport resends a PUT or DELETE only
// when no byte of it was written, and redirects are not followed. It is safe
// for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at base, such as
// http://127.0.0.1:8080. Each call takes at most timeout; a watch takes its
// wait in addition.
func NewClient(base string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base:    strings.TrimRight(base, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	a, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, err
	}
	version, err := a.version()
	return Object{Key: key, Version: version, Value: a.body}, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	a, err := c.call(ctx, request{
		method: http.MethodPut, path: objectPath(key), body: value, header: conditionHeader(ifVersion),
	})
	if err != nil {
		return Object{}, err
	}
	version, err := a.version()
	return Object{Key: key, Version: version, Value: value}, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := c.call(ctx, request{
		method: http.MethodDelete, path: objectPath(key), header: conditionHeader(ifVersion),
	})
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	a, err := c.call(ctx, request{
		method: http.MethodGet, path: "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode(),
	})
	if err != nil {
		return Listing{}, err
	}
	return a.listing()
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	a, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch?" + query.Encode(), wait: wait})
	if err != nil {
		return Listing{}, err
	}
	return a.listing()
}

// request is one call of the API.
type request struct {
	method string
	path   string // escaped, with its query
	header http.Header
	body   []byte
	wait   time.Duration // added to the client's timeout
}

// answer is a successful answer of the API.
type answer struct {
	header http.Header
	body   []byte
}

func (c *Client) call(ctx context.Context, q request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+q.wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, c.base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{}, errkind.Wrap(err, errkind.SettingInvalid, "platform address")
	}
	for name, values := range q.header {
		r.Header[name] = values
	}
	response, err := c.http.Do(r)
	if err != nil {
		return answer{}, errkind.Wrap(err, errkind.PlatformDown, "call")
	}
	defer func() { _ = response.Body.Close() }() // the answer has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errkind.Wrap(err, errkind.PlatformDown, "read answer")
	}
	return answer{response.Header, body}, statusError(q, response.StatusCode, body)
}

// statusError returns nil for a success, or the error that a status means.
func statusError(q request, status int, body []byte) error {
	if status == http.StatusOK || status == http.StatusNoContent || status == http.StatusCreated {
		return nil
	}
	kind := errkind.Internal
	switch {
	case status == http.StatusNotFound:
		kind = errkind.NotFound
	case status == http.StatusPreconditionFailed:
		kind = errkind.VersionConflict
	case status == http.StatusTooManyRequests:
		kind = errkind.PlatformLimited
	case status >= http.StatusInternalServerError:
		kind = errkind.PlatformDown
	}
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorTextBytes)]))
	return errkind.Errorf(kind, "%s %s: status %d: %s", q.method, q.path, status, text)
}

// version reads the ETag of an answer.
func (a answer) version() (uint64, error) {
	text, err := strconv.Unquote(a.header.Get("ETag"))
	if err != nil {
		return 0, errkind.Errorf(errkind.PlatformDown, "answer with ETag %q: expected a quoted version", a.header.Get("ETag"))
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errkind.Wrap(err, errkind.PlatformDown, "answer with a malformed version")
}

func (a answer) listing() (Listing, error) {
	var l Listing
	err := json.Unmarshal(a.body, &l)
	return l, errkind.Wrap(err, errkind.PlatformDown, "answer with a malformed listing")
}

func objectPath(key string) string {
	return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func conditionHeader(ifVersion uint64) http.Header {
	if ifVersion == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(ifVersion, 10))}}
}
