//go:build linux

package processtest

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// HTTP headers between callers and agents.
const (
	outcomeHeader = "Knapweedpier-Outcome"
	backendHeader = "Knapweedpier-Backend"
	ticketHeader  = "Knapweedpier-Ticket"
	attemptHeader = "Knapweedpier-Attempt"
	timeoutHeader = "Knapweedpier-Timeout-Ms"
)

// Keep-alive period and idle timeout of a caller's connection, as specified in
// docs/design.md.
const (
	keepAlive   = 5 * time.Second
	idleTimeout = 15 * time.Second
)

// requestTimeout is the default timeout of a request.
const requestTimeout = 5 * time.Second

// flow is one QUIC connection of a caller.
type flow struct {
	deployment *deployment
	service    config.Service
	conn       *quic.Conn
	client     *http3.ClientConn
}

// answer is an HTTP response with its complete body.
type answer struct {
	status  int
	outcome caller.Outcome
	header  http.Header
	body    string
}

// dial opens a flow to a service.
func (d *deployment) dial(service config.Service) (*flow, error) {
	ctx, cancel := context.WithTimeout(d.t.Context(), waitLimit)
	defer cancel()
	conn, err := quic.DialAddr(ctx, service.Address.String(), &tls.Config{
		RootCAs: d.cert.Pool, ServerName: serverName, NextProtos: []string{http3.NextProtoH3},
	}, &quic.Config{KeepAlivePeriod: keepAlive, MaxIdleTimeout: idleTimeout})
	if err != nil {
		return nil, err
	}
	d.t.Cleanup(func() { _ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") })
	return &flow{d, service, conn, (&http3.Transport{DisableCompression: true}).NewClientConn(conn)}, nil
}

// open opens a flow to a service and fails the test if that fails.
func (d *deployment) open(service config.Service) *flow {
	d.t.Helper()
	f, err := d.dial(service)
	d.is.NoErr(err)
	return f
}

// send sends one request and reads the answer. headers holds names and values
// in turn.
func (f *flow) send(timeout time.Duration, method, path, body string, headers ...string) (answer, error) {
	ctx, cancel := context.WithTimeout(f.deployment.t.Context(), timeout)
	defer cancel()
	req, err := f.newRequest(ctx, method, path, body)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(timeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, caller.Outcome(resp.Header.Get(outcomeHeader)), resp.Header, string(data)}, err
}

func (f *flow) newRequest(ctx context.Context, method, path, body string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, method, "https://"+f.service.Address.String()+path, strings.NewReader(body))
}

// getCatalogue sends a short idempotent request and checks that the answer is
// complete and belongs to this request.
func (f *flow) getCatalogue(n int) answer {
	f.deployment.t.Helper()
	a, err := f.send(requestTimeout, http.MethodGet, fmt.Sprintf("/catalogue?caller=test&n=%d", n), "")
	f.deployment.is.NoErr(err)
	f.deployment.is.Equal(a.status, http.StatusOK)
	f.deployment.is.True(strings.Contains(a.body, fmt.Sprintf(`"n":"%d"`, n)))
	return a
}

// requestTicket returns a new ticket from the agent.
func (f *flow) requestTicket() string {
	f.deployment.t.Helper()
	a, err := f.send(requestTimeout, http.MethodPost, "/.knapweedpier/ticket", "")
	f.deployment.is.NoErr(err)
	f.deployment.is.True(a.header.Get(ticketHeader) != "")
	return a.header.Get(ticketHeader)
}

// sendOrder sends one attempt to place an order.
func (f *flow) sendOrder(timeout time.Duration, id, ticket string, attempt int) (answer, error) {
	return f.send(timeout, http.MethodPost, "/orders", fmt.Sprintf(`{"order":%q}`, id),
		ticketHeader, ticket, attemptHeader, strconv.Itoa(attempt))
}

// feed counts the lines of an open feed.
type feed struct {
	lines atomic.Int64
	ended chan struct{}
	err   error // read error, if any; valid once ended is closed
}

// openFeed opens the service's feed and reads it in the background until the
// test ends.
func (f *flow) openFeed() *feed {
	f.deployment.t.Helper()
	req, err := f.newRequest(f.deployment.t.Context(), http.MethodGet, f.service.FeedPaths[0], "")
	f.deployment.is.NoErr(err)
	resp, err := f.client.RoundTrip(req)
	f.deployment.is.NoErr(err)
	f.deployment.is.Equal(resp.StatusCode, http.StatusOK)
	fd := &feed{ended: make(chan struct{})}
	go fd.read(resp.Body)
	return fd
}

func (fd *feed) read(body io.ReadCloser) {
	defer close(fd.ended)
	defer body.Close()
	scan := bufio.NewScanner(body)
	for scan.Scan() {
		if strings.HasPrefix(scan.Text(), "data: ") {
			fd.lines.Add(1)
		}
	}
	fd.err = scan.Err()
}

// awaitLines waits until the feed has received n further lines.
func (fd *feed) awaitLines(d *deployment, n int64) {
	d.t.Helper()
	want := fd.lines.Load() + n
	eventually(d.t, waitLimit, "the feed goes on", func() bool { return fd.lines.Load() >= want })
}
