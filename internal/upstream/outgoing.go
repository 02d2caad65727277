package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
)

const (
	// mostLookAge is how old the last look at a call may be when its first byte is written. An older one is made again: the process,
	// or the thread, stood still meanwhile.
	mostLookAge = 50 * time.Microsecond

	// mostLooks bounds the looks at one call. A machine on which each takes longer than mostLookAge would never send.
	mostLooks = 20
)

// outgoing is a call that is being written to its server. The client may have left since the call was picked, its time be over, or the
// directory have spoken, and a drain binds when a call is sent; so the last look at all of these comes behind everything that waits or
// prepares, right before the first byte.
type outgoing struct {
	conn       *conn
	begin, ctx context.Context // until when it may begin, and until when it may last
	call       *call
	buf        *buffer.Buffer

	told  time.Duration // what the server is told of the time that is left
	first []byte        // what is written first
	rest  net.Buffers   // and what follows it

	status hoptiller.Status // how the last look ended it; OK: it may begin
}

// prepare makes what is written of the call, which tells its server how much time is left. A short value goes with the first write.
func (o *outgoing) prepare(left time.Duration) {
	req := o.call.req
	attempt, free := newAttempt(o.buf[:], req, o.conn.host, left)
	first, tail := o.conn.pool.proto.Append(free, attempt)
	o.told, o.first, o.rest = left, first, nil
	switch {
	case !req.Write:
	case req.Long == nil && len(first)+len(req.Value)+len(tail) <= cap(first):
		o.first = append(append(first, req.Value...), tail...)
	default:
		o.rest = append(o.rest, req.Value)
		if req.Long != nil {
			o.rest = req.Long.Parts(o.rest)
		}
		o.rest = append(o.rest, []byte(tail))
	}
}

// look is the last look before the call's first byte. It takes no lock of the pool, which may wait for the write to end.
func (o *outgoing) look() (wanted bool) {
	for range mostLooks {
		at := time.Now()
		var left time.Duration
		if left, o.status = o.wanted(); o.status != hoptiller.OK {
			return false
		}
		if left/time.Millisecond < o.told/time.Millisecond { // it has waited for its turn
			o.prepare(left)
		}
		if time.Since(at) <= mostLookAge {
			return true
		}
		if lookedAgain := o.conn.pool.set.LookedAgain; lookedAgain != nil {
			lookedAgain()
		}
	}
	return true
}

// wanted tells how much time is left to the call, or how it ends if it may not begin any more. The client is looked at last, since
// nobody is told when it leaves.
func (o *outgoing) wanted() (left time.Duration, status hoptiller.Status) {
	if o.begin.Err() != nil {
		return 0, notBegun(o.begin)
	}
	left = timeLeft(o.ctx)
	if !o.conn.server.ready.Load() || left < leastLeft || over(o.begin) || o.call.req.ClientGone() {
		return 0, hoptiller.Moot
	}
	return left, hoptiller.OK
}

// write writes the call whole, unless the last look ends it first, and tells how many bytes of it were written.
func (o *outgoing) write() (written int64, err error) {
	n, err := o.writeFirst(false)
	blocked := err == syscall.EAGAIN
	switch {
	case err != nil && !blocked, o.status != hoptiller.OK:
		return int64(n), err
	case !blocked && n == len(o.first) && len(o.rest) == 0:
		return int64(n), nil
	}
	stop := context.AfterFunc(o.ctx, func() { o.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer func() { o.conn.stopped(stop()) }()
	if blocked {
		if n, err = o.writeFirst(true); err != nil || o.status != hoptiller.OK {
			return int64(n), err
		}
	}
	parts := append(net.Buffers{o.first[n:]}, o.rest...)
	more, err := parts.WriteTo(o.conn.Conn)
	return int64(n) + more, err
}

// writeFirst writes the first bytes of the call right behind the last look at it. Where the connection takes nothing it waits, and looks
// again, or fails with EAGAIN.
func (o *outgoing) writeFirst(wait bool) (n int, err error) {
	closed := o.conn.reader.Raw().Write(func(fd uintptr) (done bool) {
		n, err = 0, nil
		if !o.look() {
			return true
		}
		for n, err = syscall.Write(int(fd), o.first); err == syscall.EINTR; {
			n, err = syscall.Write(int(fd), o.first)
		}
		n = max(n, 0)
		return !wait || err != syscall.EAGAIN
	})
	if closed != nil {
		return n, closed
	}
	return n, err
}
