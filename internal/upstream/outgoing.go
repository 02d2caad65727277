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
	// maxCheckAge limits the age of a call's final check at the time when the call's first byte is written. An older
	// check is repeated, because the process or the thread was paused meanwhile.
	maxCheckAge = 50 * time.Microsecond

	// maxChecks limits the number of checks of one call. A machine on which each check takes longer than maxCheckAge
	// would otherwise never send.
	maxChecks = 20
)

// outgoing is a call that is being written to its server. Since the call was picked, its client may have
// disconnected, its time may have run out, or discovery may have listed the server as draining. No call may be sent
// to a server that is listed as draining. The final check of all this therefore comes right before the first byte,
// after everything that waits or prepares.
type outgoing struct {
	conn         *conn
	sendCtx, ctx context.Context // the call may be sent until sendCtx is done, and may last until ctx is done
	call         *pendingCall
	buf          *buffer.Buffer

	statedTime  time.Duration // the remaining time that the encoded call states
	firstWrite  []byte        // the bytes of the first write
	laterWrites net.Buffers   // the bytes that follow them

	status hoptiller.Status // result of the final check; OK: the call may be sent
}

// encode builds the bytes of the call, which state how much time is left. A short value is part of the first write.
func (o *outgoing) encode(timeLeft time.Duration) {
	req := o.call.req
	attempt, free := newAttempt(o.buf[:], req, o.conn.host, timeLeft)
	firstWrite, tail := o.conn.pool.protocol.AppendAttempt(free, attempt)
	o.statedTime, o.firstWrite, o.laterWrites = timeLeft, firstWrite, nil
	switch {
	case !req.Write:
	case req.LongValue == nil && len(firstWrite)+len(req.Value)+len(tail) <= cap(firstWrite):
		o.firstWrite = append(append(firstWrite, req.Value...), tail...)
	default:
		o.laterWrites = append(o.laterWrites, req.Value)
		if req.LongValue != nil {
			o.laterWrites = req.LongValue.Parts(o.laterWrites)
		}
		o.laterWrites = append(o.laterWrites, []byte(tail))
	}
}

// finalCheck decides right before the call's first byte whether the call may still be sent. It takes no lock of the
// pool, whose holder may be waiting for the write to end.
func (o *outgoing) finalCheck() (sendable bool) {
	for range maxChecks {
		checkedAt := time.Now()
		var timeLeft time.Duration
		if timeLeft, o.status = o.checkSendable(); o.status != hoptiller.OK {
			return false
		}
		if timeLeft/time.Millisecond < o.statedTime/time.Millisecond { // time has passed while the call waited for its turn
			o.encode(timeLeft)
		}
		if time.Since(checkedAt) <= maxCheckAge {
			return true
		}
		if checkRepeated := o.conn.pool.settings.CheckRepeated; checkRepeated != nil {
			checkRepeated()
		}
	}
	return true
}

// checkSendable returns how much time is left for the call, or the status with which the call ends if it may no
// longer be sent. The client is checked last, because nothing notifies the router when a client disconnects.
func (o *outgoing) checkSendable() (timeLeft time.Duration, status hoptiller.Status) {
	if o.sendCtx.Err() != nil {
		return 0, unsentStatus(o.sendCtx)
	}
	timeLeft = remainingTime(o.ctx)
	if !o.conn.server.ready.Load() || timeLeft < minTimeLeft || deadlinePassed(o.sendCtx) || o.call.req.ClientDisconnected() {
		return 0, hoptiller.NotSent
	}
	return timeLeft, hoptiller.OK
}

// write writes the complete call, unless the final check ends the call first, and returns how many bytes were
// written.
func (o *outgoing) write() (written int64, err error) {
	n, err := o.writeFirst(false)
	blocked := err == syscall.EAGAIN
	switch {
	case err != nil && !blocked, o.status != hoptiller.OK:
		return int64(n), err
	case !blocked && n == len(o.firstWrite) && len(o.laterWrites) == 0:
		return int64(n), nil
	}
	stop := context.AfterFunc(o.ctx, func() { o.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer func() { o.conn.afterWrite(stop()) }()
	if blocked {
		if n, err = o.writeFirst(true); err != nil || o.status != hoptiller.OK {
			return int64(n), err
		}
	}
	parts := append(net.Buffers{o.firstWrite[n:]}, o.laterWrites...)
	more, err := parts.WriteTo(o.conn.Conn)
	return int64(n) + more, err
}

// writeFirst writes the first bytes of the call right after the final check. If the connection accepts nothing, it
// waits and checks again, or, if wait is false, fails with EAGAIN.
func (o *outgoing) writeFirst(wait bool) (n int, err error) {
	rawErr := o.conn.reader.RawConn().Write(func(fd uintptr) (done bool) {
		n, err = 0, nil
		if !o.finalCheck() {
			return true
		}
		o.call.begun.Store(true)
		for n, err = syscall.Write(int(fd), o.firstWrite); err == syscall.EINTR; {
			n, err = syscall.Write(int(fd), o.firstWrite)
		}
		n = max(n, 0)
		return !wait || err != syscall.EAGAIN
	})
	if rawErr != nil {
		return n, rawErr
	}
	return n, err
}
