package standin

import (
	"context"
	"io"
	"net"
	"strings"
	"time"
)

// floodChunk is how many bytes a flood writes at once.
const floodChunk = 16 << 10

// OpenFloods implements Control.
func (s *routerControl) OpenFloods(i, clients int) (release func()) {
	text := []byte(strings.Repeat("mn\r\n", floodChunk/len("mn\r\n")))
	return (*Engine)(s).openClients(clients, func(ctx context.Context, _ int) {
		s.nodes[i].repeatConnection(ctx, func(conn net.Conn) {
			go io.Copy(io.Discard, conn)
			for err := error(nil); err == nil; {
				_, err = conn.Write(text)
			}
		})
	})
}

// openClients plays clients until release is called.
func (e *Engine) openClients(clients int, play func(ctx context.Context, number int)) (release func()) {
	ctx, cancel := context.WithCancel(e.ctx)
	for number := range clients {
		e.runUntilEnd(func() { play(ctx, number) })
	}
	return cancel
}

// repeatConnection uses one connection to the router after another until ctx is done, which also closes the connection.
func (n *routerNode) repeatConnection(ctx context.Context, use func(conn net.Conn)) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", n.addr)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond): // the router is restarting
			}
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		use(conn)
		stop()
		conn.Close()
	}
}
