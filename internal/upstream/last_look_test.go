package upstream

import (
	"context"
	"sync/atomic"
	"testing"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// preparing is a Protocol that does something while a call is prepared.
type preparing struct {
	Meta
	during func()
}

// Append implements Protocol.
func (p preparing) Append(b []byte, a *Attempt) (head []byte, tail string) {
	p.during()
	return p.Meta.Append(b, a)
}

// A client that leaves while its call is prepared, as where the process is held up there, gets no attempt: the last look comes after that.
func TestClientLeavesWhileItsCallIsPrepared(t *testing.T) {
	var left atomic.Bool
	p := serve(t, hold)
	p.proto = preparing{during: func() { left.Store(true) }}
	sent := 0
	p.set.Called = func() { sent++ }
	req := &relay.Request{Key: []byte("k"), ID: []byte("01"), Facts: []byte("c=read,d=9"), Gone: left.Load}
	ctx, cancel := context.WithTimeout(t.Context(), testprog.Patience)
	defer cancel()
	if r := p.Call(ctx, ctx, 1, req); r.Status != hoptiller.Moot || sent > 0 {
		t.Errorf("status %v, %d calls were sent", r.Status, sent)
	}
}
