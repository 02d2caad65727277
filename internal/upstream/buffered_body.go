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
// length first. Memory for the longest allowed value is acquired before more of the value is read; what the value did
// not need is released when it has arrived.
func (p *Pool) bufferBody(ctx context.Context, stream *streamBody) relay.Result {
	const maxLen = meta.MaxLongValue
	defer context.AfterFunc(ctx, stream.Close)()
	if _, err := p.settings.ValueMemory.Acquire(ctx, maxLen); err != nil {
		stream.Close()
		return relay.Result{Status: contextStatus(ctx)}
	}
	buffered := &bufferedBody{value: &buffer.Chain{}}
	err := stream.Copy(func(part []byte) error {
		if buffered.value.Len()+len(part) > maxLen {
			return errValueTooLong
		}
		buffered.value.Append(part)
		return nil
	})
	used := int64(buffered.value.Len())
	buffered.free = func() {
		buffered.value.Free()
		p.settings.ValueMemory.Release(used)
	}
	p.settings.ValueMemory.Release(maxLen - used)
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
