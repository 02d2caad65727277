// Package admin serves the operators' interface: HTTP/1.1 on an address of its own, one call for each connection. It
// shares neither limits nor locks with the client side, so that it answers however busy that side is.
//
// It makes no decisions: Server.Calls defines what the call of each path does.
package admin

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/http1"
)

const (
	headTimeout  = 2 * time.Second        // for a caller to send the head of its request; callers themselves wait half as long
	writeTimeout = time.Second            // for a caller to take the answer
	closeTimeout = 200 * time.Millisecond // for a caller to close its side of the connection
	maxDiscarded = 256 << 10              // bytes after the head that are read and discarded
)

// Call defines what the call of one path does. Either Do or Query is set.
type Call struct {
	Method string // HTTP method of the call
	// Do carries out a call without parameters. If ok is false, the body says why, and the status is 503.
	Do func() (ok bool, body []byte)
	// Query carries out a call with parameters. It gets the parsed query and returns an HTTP status. The body is JSON with
	// status 200 and plain text otherwise.
	Query func(query url.Values) (status int, body []byte)
}

// Server answers operators' calls, by path.
type Server struct {
	Calls    map[string]Call // by path
	MaxConns int             // connections at once; one more descriptor may be in use, and another one for the listener

	mu      sync.Mutex
	pending []net.Conn // connections whose request head has not arrived yet, the oldest first
}

// Serve answers calls on l until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	var g errgroup.Group
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, max(1, s.MaxConns))
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.closeOldest(s.MaxConns)
			return g.Wait()
		}
		if err != nil { // e.g. no descriptors are left, or the caller has disconnected: the listener still works
			slog.Warn("admin accept failed", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default: // the oldest connection without a request is closed to free a slot
			s.closeOldest(1)
			slots <- struct{}{}
		}
		s.mu.Lock()
		s.pending = append(s.pending, c)
		s.mu.Unlock()
		g.Go(func() error {
			defer func() { <-slots }()
			defer c.Close()
			s.handle(c)
			return nil
		})
	}
}

// closeOldest closes the n oldest connections whose request head has not arrived yet.
func (s *Server) closeOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.pending))
	for _, c := range s.pending[:n] {
		c.Close()
	}
	s.pending = slices.Delete(s.pending, 0, n)
}

// removePending takes a connection off the list of those whose request head has not arrived yet.
func (s *Server) removePending(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = slices.DeleteFunc(s.pending, func(o net.Conn) bool { return o == c })
}

// handle reads one call from a connection and answers it.
func (s *Server) handle(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(headTimeout))
	head, n := make([]byte, 0, 512), 0
	var req http1.Request
	var err error
	for n == 0 && err == nil {
		head = slices.Grow(head, 1)
		read, readErr := c.Read(head[len(head):cap(head)])
		if head = head[:len(head)+read]; readErr != nil {
			s.removePending(c)
			return
		}
		req, n, err = http1.ParseRequest(head)
	}
	s.removePending(c)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(s.makeAnswer(req, err)); err != nil {
		return
	}
	// Closing a connection with unread data resets it, and the caller may lose the answer.
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(closeTimeout))
	for discarded := 0; discarded < maxDiscarded; {
		n, err := c.Read(head[:cap(head)])
		if discarded += n; err != nil {
			return
		}
	}
}

// makeAnswer carries out a call and returns its answer. err is the error of reading the request head.
func (s *Server) makeAnswer(req http1.Request, err error) []byte {
	switch {
	case errors.Is(err, http1.ErrHeadTooLarge):
		return textAnswer(431, "Request Header Fields Too Large", "the head is too long")
	case err != nil:
		return textAnswer(400, "Bad Request", "the head can't be read")
	}
	call, ok := s.Calls[string(req.Path)]
	if !ok {
		return textAnswer(404, "Not Found", "this path does not exist")
	}
	if string(req.Method) != call.Method {
		return textAnswer(405, "Method Not Allowed", "the method must be "+call.Method, http1.Header{Name: "Allow", Value: call.Method})
	}
	if call.Query != nil {
		query, err := url.ParseQuery(string(req.Query))
		if err != nil {
			return textAnswer(400, "Bad Request", "the query can't be parsed")
		}
		status, body := call.Query(query)
		if status != http.StatusOK {
			return textAnswer(status, http.StatusText(status), string(body))
		}
		return http1.AppendResponse(nil, 200, "OK", body, http1.Header{Name: "Content-Type", Value: "application/json"})
	}
	succeeded, body := call.Do()
	if !succeeded {
		return textAnswer(503, "Service Unavailable", string(body))
	}
	return http1.AppendResponse(nil, 200, "OK", body, http1.Header{Name: "Content-Type", Value: "application/json"})
}

// textAnswer returns an HTTP answer with a plain text body.
func textAnswer(status int, reason, body string, headers ...http1.Header) []byte {
	headers = append(headers, http1.Header{Name: "Content-Type", Value: "text/plain; charset=utf-8"})
	return http1.AppendResponse(nil, status, reason, []byte(strings.TrimSpace(body)+"\n"), headers...)
}
