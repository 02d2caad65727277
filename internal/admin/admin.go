// Package admin is where operators call: HTTP/1.1 on an address of its own, one call to a connection. It has
// nothing in common with the clients' side, neither limits nor locks, so that it answers however busy that is.
//
// It decides nothing: what a call does is told it by path.
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
	headTime  = 2 * time.Second        // for a caller to say what it wants; callers wait for half of that
	writeTime = time.Second            // for it to take the answer
	closeTime = 200 * time.Millisecond // for it to close its side
	mostRest  = 256 << 10              // bytes that it may send without need
)

// Call is what one path does.
type Call struct {
	Method string
	// Do carries the call out. Where it is not yes, the body says why.
	Do func() (yes bool, body []byte)
	// Ask is for calls that say more than their path, in its place: it is given what stands behind the question mark, and
	// answers with a status of HTTP. Only a body of 200 is JSON.
	Ask func(query url.Values) (status int, body []byte)
}

// Server answers operators' calls, by path.
type Server struct {
	Calls  map[string]Call
	Places int // connections at once; one descriptor more may be in use, and one for the listener

	mu      sync.Mutex
	callers []net.Conn // that have not asked yet, the oldest first
}

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	var g errgroup.Group
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	free := make(chan struct{}, max(1, s.Places))
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.drop(s.Places)
			return g.Wait()
		}
		if err != nil { // out of descriptors, or the caller has left again: not the end of the listener
			slog.Warn("admin accept failed", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case free <- struct{}{}:
		default: // whoever has waited longest without asking for anything makes room
			s.drop(1)
			free <- struct{}{}
		}
		s.mu.Lock()
		s.callers = append(s.callers, c)
		s.mu.Unlock()
		g.Go(func() error {
			defer func() { <-free }()
			defer c.Close()
			s.answer(c)
			return nil
		})
	}
}

// drop ends the connections of those that have waited longest without asking for anything.
func (s *Server) drop(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.callers))
	for _, c := range s.callers[:n] {
		c.Close()
	}
	s.callers = slices.Delete(s.callers, 0, n)
}

// asked takes a caller off those that have not asked yet.
func (s *Server) asked(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers = slices.DeleteFunc(s.callers, func(o net.Conn) bool { return o == c })
}

func (s *Server) answer(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(headTime))
	head, n := make([]byte, 0, 512), 0
	var q http1.Request
	var err error
	for n == 0 && err == nil {
		head = slices.Grow(head, 1)
		got, failed := c.Read(head[len(head):cap(head)])
		if head = head[:len(head)+got]; failed != nil {
			s.asked(c)
			return
		}
		q, n, err = http1.ParseRequest(head)
	}
	s.asked(c)
	c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.Write(s.reply(q, err)); err != nil {
		return
	}
	// To close with something unread resets the connection, and the answer may be lost with it.
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(closeTime))
	for rest := 0; rest < mostRest; {
		n, err := c.Read(head[:cap(head)])
		if rest += n; err != nil {
			return
		}
	}
}

// reply makes the answer to a call.
func (s *Server) reply(q http1.Request, err error) []byte {
	switch {
	case errors.Is(err, http1.ErrLarge):
		return text(431, "Request Header Fields Too Large", "the head is too long")
	case err != nil:
		return text(400, "Bad Request", "the head can't be read")
	}
	call, ok := s.Calls[string(q.Path)]
	if !ok {
		return text(404, "Not Found", "no such call")
	}
	if string(q.Method) != call.Method {
		return text(405, "Method Not Allowed", "to be called with "+call.Method, http1.Header{Name: "Allow", Value: call.Method})
	}
	if call.Ask != nil {
		query, err := url.ParseQuery(string(q.Query))
		if err != nil {
			return text(400, "Bad Request", "what stands behind the question mark can't be read")
		}
		status, body := call.Ask(query)
		if status != http.StatusOK {
			return text(status, http.StatusText(status), string(body))
		}
		return http1.AppendAnswer(nil, 200, "OK", body, http1.Header{Name: "Content-Type", Value: "application/json"})
	}
	yes, body := call.Do()
	if !yes {
		return text(503, "Service Unavailable", string(body))
	}
	return http1.AppendAnswer(nil, 200, "OK", body, http1.Header{Name: "Content-Type", Value: "application/json"})
}

func text(status int, reason, body string, headers ...http1.Header) []byte {
	headers = append(headers, http1.Header{Name: "Content-Type", Value: "text/plain; charset=utf-8"})
	return http1.AppendAnswer(nil, status, reason, []byte(strings.TrimSpace(body)+"\n"), headers...)
}
