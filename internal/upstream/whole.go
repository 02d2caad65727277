package upstream

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

const mostReceipt = 64 << 10 // bytes, as of one whose length is stated

var errLong = errors.New("value too long")

// whole is a long value that is here already. It is a relay.Body.
type whole struct {
	value *buffer.Chain
	free  func()
	begun atomic.Bool // whoever sets it frees the value
	given atomic.Bool // up
}

// Len implements relay.Body.
func (w *whole) Len() int { return w.value.Len() }

// Copy implements relay.Body.
func (w *whole) Copy(write func(piece []byte) error) error {
	if !w.begun.CompareAndSwap(false, true) {
		return errAbandoned
	}
	defer w.free()
	for _, part := range w.value.Parts(nil) {
		if w.given.Load() {
			return errAbandoned
		}
		if err := write(part); err != nil {
			return err
		}
	}
	return nil
}

// Close implements relay.Body.
func (w *whole) Close() {
	if w.given.Store(true); w.begun.CompareAndSwap(false, true) {
		w.free()
	}
}

// gather waits for the rest of a value whose length shows at its end: a client has to be told it first. Room for the
// longest is taken before more of it is read, and what it did not need is given back when it is here.
func (p *Pool) gather(ctx context.Context, b *body) relay.Result {
	const most = meta.MaxLong
	defer context.AfterFunc(ctx, b.Close)()
	if err := p.set.Room.Acquire(ctx, most); err != nil {
		b.Close()
		return relay.Result{Status: ended(ctx)}
	}
	w := &whole{value: &buffer.Chain{}}
	err := b.Copy(func(part []byte) error {
		if w.value.Len()+len(part) > most {
			return errLong
		}
		w.value.Append(part)
		return nil
	})
	held := int64(w.value.Len())
	w.free = func() {
		w.value.Free()
		p.set.Room.Release(held)
	}
	p.set.Room.Release(most - held)
	switch {
	case err == nil && b.out.req.Write:
		defer w.free()
		receipt := bytes.Join(w.value.Parts(nil), nil)
		if len(receipt) > mostReceipt || !Receipt(receipt) {
			return relay.Result{Status: hoptiller.ServerError}
		}
		return relay.Result{Status: hoptiller.OK, Data: receipt}
	case err == nil:
		return relay.Result{Status: hoptiller.OK, Body: w}
	case ctx.Err() != nil:
		w.free()
		return relay.Result{Status: ended(ctx)}
	}
	w.free()
	return relay.Result{Status: hoptiller.ServerError}
}

// ended is how a call ends with its context.
func ended(ctx context.Context) hoptiller.Status {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hoptiller.Timeout
	}
	return hoptiller.Cancelled
}
