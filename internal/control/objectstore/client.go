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

// Limits of a client's connections and of the responses that it reads.
const (
	maxIdleConnsPerHost = 4
	idleConnTimeout     = 90 * time.Second
	maxResponseBytes    = 64 << 20 // a listing of all members at the target size is a few MB
	maxErrorTextBytes   = 200
)

// Client implements Store over HTTP. It reuses connections and sends each write at
// most once: http.Transport resends a PUT or DELETE only if no byte of it was
// written, and redirects are not followed. It is safe for concurrent use.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at the URL base, such as
// http://127.0.0.1:8080. Each call takes at most timeout; a watch may take its
// wait in addition.
func NewClient(base string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{
		baseURL:    strings.TrimRight(base, "/"),
		timeout:    timeout,
		httpClient: &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect},
	}
}

func doNotFollowRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, err
	}
	version, err := resp.etagVersion()
	return Object{Key: key, Version: version, Value: resp.body}, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	resp, err := c.call(ctx, request{
		method: http.MethodPut, path: objectPath(key), body: value, header: preconditionHeader(ifVersion),
	})
	if err != nil {
		return Object{}, err
	}
	version, err := resp.etagVersion()
	return Object{Key: key, Version: version, Value: value}, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := c.call(ctx, request{
		method: http.MethodDelete, path: objectPath(key), header: preconditionHeader(ifVersion),
	})
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	resp, err := c.call(ctx, request{
		method: http.MethodGet, path: "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode(),
	})
	if err != nil {
		return Listing{}, err
	}
	return resp.decodeListing()
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	resp, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch?" + query.Encode(), wait: wait})
	if err != nil {
		return Listing{}, err
	}
	return resp.decodeListing()
}

// request is one call of the API.
type request struct {
	method string
	path   string // escaped, includes the query
	header http.Header
	body   []byte
	wait   time.Duration // added to the client's timeout
}

// response is the response to a successful call.
type response struct {
	header http.Header
	body   []byte
}

func (c *Client) call(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+req.wait)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, c.baseURL+req.path, bytes.NewReader(req.body))
	if err != nil {
		return response{}, errkind.Wrap(err, errkind.SettingInvalid, "platform address")
	}
	for name, values := range req.header {
		httpReq.Header[name] = values
	}
	httpResp, err := c.httpClient.Do(httpReq)
	if err != nil {
		return response{}, errkind.Wrap(err, errkind.PlatformDown, "call the platform")
	}
	defer func() { _ = httpResp.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes))
	if err != nil {
		return response{}, errkind.Wrap(err, errkind.PlatformDown, "read response")
	}
	return response{httpResp.Header, body}, statusError(req, httpResp.StatusCode, body)
}

// statusError returns nil for a successful status, and otherwise an error whose
// kind depends on the status and that quotes the start of the body.
func statusError(req request, status int, body []byte) error {
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
	return errkind.Errorf(kind, "%s %s: status %d: %s", req.method, req.path, status, text)
}

// etagVersion returns the object version in the ETag of a response.
func (resp response) etagVersion() (uint64, error) {
	text, err := strconv.Unquote(resp.header.Get("ETag"))
	if err != nil {
		return 0, errkind.Errorf(errkind.PlatformDown, "response with ETag %q: expected a quoted version", resp.header.Get("ETag"))
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errkind.Wrap(err, errkind.PlatformDown, "response with a malformed version")
}

func (resp response) decodeListing() (Listing, error) {
	var l Listing
	err := json.Unmarshal(resp.body, &l)
	return l, errkind.Wrap(err, errkind.PlatformDown, "response with a malformed listing")
}

func objectPath(key string) string {
	return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func preconditionHeader(ifVersion uint64) http.Header {
	if ifVersion == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(ifVersion, 10))}}
}
