package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerText returns the bytes of an answer to r, whose body is the path.
func answerText(r *http.Request, id bool) string {
	header := ""
	if id {
		header = RequestIDHeader + ": " + r.Header.Get(RequestIDHeader) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(r.URL.Path), r.URL.Path)
}

// startRepeater starts a backend server that calls answer for each request of a connection,
// with the requests so far.
func startRepeater(t *testing.T, answer func(conn net.Conn, requests []*http.Request)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				var requests []*http.Request
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					requests = append(requests, r)
					answer(conn, requests)
				}
			}()
		}
	}()
	p := newPool(l.Addr().(*net.TCPAddr).AddrPort(), &atomic.Int64{})
	t.Cleanup(p.Close)
	return p
}

// Guards against the second copy of an answer that the next caller gets as its own. The
// copy comes with the answer, or later. A later one may come after the next request was
// sent, which shows only if the server repeats the request's ID.
func TestSecondCopyOfAnswerReachesNoRequest(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, []*http.Request){
		"with the answer": func(conn net.Conn, requests []*http.Request) {
			text := answerText(requests[len(requests)-1], false)
			fmt.Fprint(conn, text+text)
		},
		"a little later": func(conn net.Conn, requests []*http.Request) {
			text := answerText(requests[len(requests)-1], true)
			fmt.Fprint(conn, text)
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(conn, text)
		},
		"after the next request": func(conn net.Conn, requests []*http.Request) {
			if len(requests) > 1 {
				fmt.Fprint(conn, answerText(requests[len(requests)-2], true))
			}
			fmt.Fprint(conn, answerText(requests[len(requests)-1], true))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := testPool{Pool: startRepeater(t, answer)}
			answered := 0
			for i := range 40 {
				path := fmt.Sprintf("/%d", i)
				got, _, err := p.do(context.Background(), "GET", path, "")
				if err == nil {
					answered++
					is.Equal(got, path)
				}
				if name == "a little later" {
					time.Sleep(time.Duration(i%4) * 3 * time.Millisecond)
				}
			}
			is.True(answered >= 20) // a new connection serves the next request
		})
	}
}

// Guards against a request that waits for its deadline, and whose outcome is then unknown: the
// reader goroutine had received a second copy of an answer and found no request in progress, but
// had not closed the connection yet when the request took it.
func TestRequestTakesNoEndedConnection(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	go func() {
		fmt.Fprint(theirs, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, theirs)
	}()
	p := newPool(netip.AddrPort{}, &atomic.Int64{})
	c := &conn{pool: p, netConn: ours, reader: bufio.NewReader(ours), writer: bufio.NewWriter(nil)}
	p.busy = append(p.busy, c)
	is.True(!c.readAnswer()) // the reader goroutine would close the connection next
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _, err := send(ctx, &Lease{conn: c}, "GET", "/", "")
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(failed.ConnLost)
	is.True(!failed.Sent)
	is.Equal(p.InProgress(), 0)
}
