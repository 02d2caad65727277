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

// maxReceipt is the maximum length of a receipt in bytes. It is the same limit as for a receipt whose length is stated.
const maxReceipt = 64 << 10

var errValueTooLong = errors.New("value too long")

// bufferedBody is a long value that has arrived completely. It implements relay.Body.
type bufferedBody struct {
	value     *buffer.Chain
	free      func()      // releases the memory of the value
	claimed   atomic.Bool // set by the first call of Copy or Close, which frees the value
	abandoned atomic.Bool // Close was called
}

// Len implements relay.Body.
func (b *bufferedBody) Len() int { return b.value.Len() }

// HoldsMemory implements relay.Body.
func (b *bufferedBody) HoldsMemory() bool { return true }

// Copy implements relay.Body.
func (b *bufferedBody) Copy(write func(piece []byte) error) error {
	if !b.claimed.CompareAndSwap(false, true) {
		return errAbandoned
	}
	defer b.free()
	for _, part := range b.value.Parts(nil) {
		if b.abandoned.Load() {
			return errAbandoned
		}
		if err := write(part); err != nil {
			return err
		}
	}
	return nil
}

// Close implements relay.Body.
func (b *bufferedBody) Close() {
	if b.abandoned.Store(true); b.claimed.CompareAndSwap(false, true) {
		b.free()
	}
}

// bufferBody reads the rest of a value whose length is known only at its end, because the client must be sent the
// length first. Memory is acquired as the value arrives, at most until the call's ctx is done.
func (p *Pool) bufferBody(ctx context.Context, stream *streamBody) relay.Result {
	const maxLen = meta.MaxLongValue
	defer context.AfterFunc(ctx, stream.Close)()
	memory := p.settings.ValueMemory.NewClaim(string(stream.call.req.ID), buffer.ChainSize(maxLen))
	buffered := &bufferedBody{value: &buffer.Chain{}}
	buffered.free = func() {
		buffered.value.Free()
		memory.Release()
	}
	if _, err := memory.Acquire(ctx, buffer.Size); err != nil {
		stream.Close()
		buffered.free()
		return relay.Result{Status: contextStatus(ctx)}
	}
	err := stream.Copy(func(part []byte) error {
		length := buffered.value.Len() + len(part)
		if length > maxLen {
			return errValueTooLong
		}
		for memory.Held() < int64(length) {
			if _, err := memory.Acquire(ctx, buffer.Size); err != nil {
				return err
			}
		}
		buffered.value.Append(part)
		return nil
	})
	memory.Complete()
	switch {
	case err == nil && stream.call.req.Write:
		defer buffered.free()
		receipt := bytes.Join(buffered.value.Parts(nil), nil)
		if len(receipt) > maxReceipt || !ValidReceipt(receipt) {
			return relay.Result{Status: hoptiller.ServerError}
		}
		return relay.Result{Status: hoptiller.OK, Data: receipt}
	case err == nil:
		return relay.Result{Status: hoptiller.OK, Body: buffered}
	case ctx.Err() != nil:
		buffered.free()
		return relay.Result{Status: contextStatus(ctx)}
	}
	buffered.free()
	return relay.Result{Status: hoptiller.ServerError}
}

// contextStatus returns the status of a call that ends because its ctx is done.
func contextStatus(ctx context.Context) hoptiller.Status {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hoptiller.Timeout
	}
	return hoptiller.Cancelled
}
