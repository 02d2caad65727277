package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"hoptiller/internal/lab/model"
	"hoptiller/internal/meta"
)

const (
	shortWrittenValue = "hi"
	longWrittenBytes  = 70_000 // over meta.MaxShortValue, so that a router takes memory for long values
	slowWritePieces   = 64     // in which a slow client sends its value
)

// writtenValue returns the value that a write carries. Whether it is long is drawn by the operation, so that each try of it has the
// same value.
func (e *Engine) writtenValue(op *model.Operation) string {
	random := rand.New(rand.NewPCG(e.day.Seed, op.ID))
	if random.Float64() >= e.day.Load.LongWriteShare {
		return shortWrittenValue
	}
	return strings.Repeat("w", longWrittenBytes)
}

// OpenSlowWrites implements Control.
func (s *routerControl) OpenSlowWrites(i, writers int, over time.Duration) (release func()) {
	return (*Engine)(s).openClients(writers, func(ctx context.Context, number int) { s.nodes[i].writeSlowly(ctx, number, over) })
}

// writeSlowly sends a write of the longest value to the router, but for its last byte, in pieces that spread over a time. It then
// holds the connection until ctx is done.
func (n *routerNode) writeSlowly(ctx context.Context, number int, over time.Duration) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", n.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	id := fmt.Sprintf("5107%04x", number)
	fmt.Fprintf(conn, "ms %s %d O%s Pc=%s,d=%d,k=%s\r\n", id, meta.MaxLongValue, id, n.engine.day.Classes[0].Name,
		over.Milliseconds(), id)
	pause := time.NewTicker(max(over/slowWritePieces, time.Millisecond))
	defer pause.Stop()
	piece := []byte(strings.Repeat("s", meta.MaxLongValue/slowWritePieces))
	for rest := meta.MaxLongValue - 1; rest > 0; rest -= len(piece) {
		if _, err := conn.Write(piece[:min(rest, len(piece))]); err != nil {
			return
		}
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
	}
	<-ctx.Done()
}
