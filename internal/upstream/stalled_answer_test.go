package upstream

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// The server sends the beginning of an answer and nothing more, and keeps the connection open. The answer counts as
// corrupt long before the call's time is over, the connection is closed, and the next call is answered on another
// one.
func TestAnswerThatStops(t *testing.T) {
	t.Parallel()
	for name, beginning := range map[string]string{
		"in its first line": "VA 4 O0",
		"before its value":  "VA 4 O01 h1\r\n",
		"in its value":      "VA 4 O01 h1\r\nab",
		"before its end":    "VA 4 O01 h1\r\nabcd",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := make(chan bool, 1)
			first <- true
			p := serve(t, func(conn net.Conn, r *bufio.Reader) {
				select {
				case <-first:
					answer(beginning)(conn, r)
					holdOpen(conn, r)
				default:
					answer("EN O01\r\n")(conn, r)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), testprog.WaitTimeout)
			defer cancel()
			began := time.Now()
			if r := p.Call(ctx, ctx, 1, exampleRead); r.Status != hoptiller.ServerError || time.Since(began) > testprog.WaitTimeout/2 {
				t.Errorf("status %d after %v", r.Status, time.Since(began))
			}
			if r := p.Call(ctx, ctx, 1, exampleRead); r.Status != hoptiller.Miss {
				t.Errorf("the next call: status %d", r.Status)
			}
		})
	}
}
