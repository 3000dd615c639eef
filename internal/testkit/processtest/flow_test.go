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

// Headers between callers and agents.
const (
	outcomeHeader = "Knapweedpier-Outcome"
	backendHeader = "Knapweedpier-Backend"
	ticketHeader  = "Knapweedpier-Ticket"
	attemptHeader = "Knapweedpier-Attempt"
	timeoutHeader = "Knapweedpier-Timeout-Ms"
)

// Timeouts of a caller's connection, as the design page gives them.
const (
	keepAlive   = 5 * time.Second
	idleTimeout = 15 * time.Second
)

// requestTimeout is the default deadline of one request.
const requestTimeout = 5 * time.Second

// flow is one QUIC connection of a caller.
type flow struct {
	site    *site
	service config.Service
	conn    *quic.Conn
	client  *http3.ClientConn
}

// answer is a complete answer.
type answer struct {
	status  int
	outcome caller.Outcome
	header  http.Header
	body    string
}

// dial opens a flow to a service.
func (s *site) dial(service config.Service) (*flow, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	conn, err := quic.DialAddr(ctx, service.Address.String(), &tls.Config{
		RootCAs: s.cert.Pool, ServerName: serverName, NextProtos: []string{http3.NextProtoH3},
	}, &quic.Config{KeepAlivePeriod: keepAlive, MaxIdleTimeout: idleTimeout})
	if err != nil {
		return nil, err
	}
	s.t.Cleanup(func() { _ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") })
	return &flow{s, service, conn, (&http3.Transport{DisableCompression: true}).NewClientConn(conn)}, nil
}

// open is dial for a flow that must be established.
func (s *site) open(service config.Service) *flow {
	s.t.Helper()
	f, err := s.dial(service)
	s.is.NoErr(err)
	return f
}

// send makes one request with pairs of header names and values.
func (f *flow) send(timeout time.Duration, method, path, body string, headers ...string) (answer, error) {
	ctx, cancel := context.WithTimeout(f.site.t.Context(), timeout)
	defer cancel()
	req, err := f.request(ctx, method, path, body)
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

func (f *flow) request(ctx context.Context, method, path, body string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, method, "https://"+f.service.Address.String()+path, strings.NewReader(body))
}

// catalogue makes a short idempotent request that must be answered.
func (f *flow) catalogue(n int) answer {
	f.site.t.Helper()
	a, err := f.send(requestTimeout, http.MethodGet, fmt.Sprintf("/catalogue?caller=test&n=%d", n), "")
	f.site.is.NoErr(err)
	f.site.is.Equal(a.status, http.StatusOK)
	f.site.is.True(strings.Contains(a.body, fmt.Sprintf(`"n":"%d"`, n)))
	return a
}

// ticket asks for a ticket.
func (f *flow) ticket() string {
	f.site.t.Helper()
	a, err := f.send(requestTimeout, http.MethodPost, "/.knapweedpier/ticket", "")
	f.site.is.NoErr(err)
	f.site.is.True(a.header.Get(ticketHeader) != "")
	return a.header.Get(ticketHeader)
}

// order places an order once.
func (f *flow) order(timeout time.Duration, id, ticket string, attempt int) (answer, error) {
	return f.send(timeout, http.MethodPost, "/orders", fmt.Sprintf(`{"order":%q}`, id),
		ticketHeader, ticket, attemptHeader, strconv.Itoa(attempt))
}

// feed is an open feed.
type feed struct {
	lines atomic.Int64
	ended chan struct{}
	err   error // how it ended; read after ended
}

// feed opens the service's feed and reads it until the test ends.
func (f *flow) feed() *feed {
	f.site.t.Helper()
	req, err := f.request(f.site.t.Context(), http.MethodGet, f.service.FeedPaths[0], "")
	f.site.is.NoErr(err)
	resp, err := f.client.RoundTrip(req)
	f.site.is.NoErr(err)
	f.site.is.Equal(resp.StatusCode, http.StatusOK)
	d := &feed{ended: make(chan struct{})}
	go d.read(resp.Body)
	return d
}

func (d *feed) read(body io.ReadCloser) {
	defer close(d.ended)
	defer body.Close()
	scan := bufio.NewScanner(body)
	for scan.Scan() {
		if strings.HasPrefix(scan.Text(), "data: ") {
			d.lines.Add(1)
		}
	}
	d.err = scan.Err()
}

// moves waits until the feed has n further lines.
func (d *feed) moves(s *site, n int64) {
	s.t.Helper()
	want := d.lines.Load() + n
	eventually(s.t, patience, "the feed goes on", func() bool { return d.lines.Load() >= want })
}
