package buffer

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// minReadSize is the size in bytes of the first read of a message, whose length is unknown. Later reads of a message
// that proves to be long are larger.
const minReadSize = 4 << 10

// MaxUnconsumed is the maximum number of bytes that are kept of one incomplete message. It fits the largest message that
// any protocol here allows, with its lines and headers. A message of that length has memory of its own for as long as
// it is needed.
const MaxUnconsumed = 96 << 10

// Reader reads a connection and holds a buffer only while there is something to read, because nearly all of hundreds
// of connections are idle at any time. Bytes that are left over between reads are kept in memory of their own size.
type Reader struct {
	LargeReads bool      // much data is expected: each read fills a whole buffer
	LastRead   time.Time // when the connection was read last
	TotalRead  int64     // bytes read so far

	// LastWait is how long the connection had been empty when the bytes of the last read arrived; 0 if they were there already.
	LastWait time.Duration

	raw       syscall.RawConn
	leftover  []byte    // bytes that were read and not consumed
	arrivals  arrivals  // arrival times of the leftover bytes
	notBefore time.Time // the bytes of the last read did not arrive before this time
	drained   bool      // the last read left nothing unread
	expected  int       // number of bytes of the message at the front of the leftover bytes, if known; else 0

	// mu excludes a read while the socket is checked for unread bytes. Otherwise bytes that a read has just taken
	// would be seen neither in the socket nor as unhandled.
	mu        sync.Mutex
	unhandled bool // something was read for which MarkHandled has not been called yet
}

// NewReader returns a Reader of a connection that has a file descriptor.
func NewReader(conn net.Conn) (*Reader, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no file descriptor")
	}
	raw, err := c.SyscallConn()
	return &Reader{raw: raw, notBefore: time.Now()}, err
}

// RawConn returns the raw connection, for a caller that must check something right before a system call.
func (r *Reader) RawConn() syscall.RawConn { return r.raw }

// EarliestArrival returns the earliest time at which the byte in front of an offset in the delivered bytes can have arrived.
// Bytes that arrived while nobody read may have waited since the read before. EarliestArrival is meant for the callback
// that gets the bytes from Next or Redeliver. Between reads, the offset counts from the first unconsumed byte and may lie behind
// the bytes that were read.
func (r *Reader) EarliestArrival(offset int) time.Time {
	if at, known := r.arrivals.timeOf(offset); known {
		return at
	}
	return r.notBefore
}

// Unconsumed returns the number of bytes that were read and not consumed.
func (r *Reader) Unconsumed() int { return len(r.leftover) }

// Unread returns the number of bytes that have arrived and were not read. It does not block.
func (r *Reader) Unread() (n int) {
	r.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n
}

// Expect states how many bytes the first message takes up of which a part has arrived; 0 if that is unknown. The callback of Next or
// Redeliver may call it, so that memory for the message is taken once.
func (r *Reader) Expect(size int) { r.expected = min(size, MaxUnconsumed) }

// Expected returns what the last callback passed to Expect, else 0.
func (r *Reader) Expected() int { return r.expected }

// MoreArrived reports whether more bytes have arrived that were not read. It does not block.
func (r *Reader) MoreArrived() (more bool) {
	n, err := r.peek()
	return err == nil && n > 0
}

// Quiet reports whether everything that arrived was handled and nothing more has arrived, not even the end of the
// connection. It does not block.
func (r *Reader) Quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unhandled {
		return false
	}
	_, err := r.peek()
	return err == syscall.EAGAIN
}

// MarkHandled records that all delivered bytes have been handled; the callback of Next or Redeliver calls it. Until
// then the connection is not quiet.
func (r *Reader) MarkHandled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhandled = false
}

// readOnce reads once, without waiting.
func (r *Reader) readOnce(fd uintptr, b []byte) (n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for err = syscall.EINTR; err == syscall.EINTR; {
		n, err = syscall.Read(int(fd), b)
	}
	r.unhandled = err != syscall.EAGAIN
	return n, err
}

// PeerClosed reports whether the peer has closed or reset the connection, as far as the operating system knows. Unread bytes may
// precede the end. It does not block.
func (r *Reader) PeerClosed() (closed bool) {
	err := r.raw.Control(func(fd uintptr) { closed = endSeen(fd) })
	return closed || err != nil
}

// endSeen reports whether the peer has closed or reset a connection: the end can be read, or the state tells it.
func endSeen(fd uintptr) bool {
	n, err := peek(fd)
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN || n > 0 && peerEnded(fd)
}

// peek returns how many bytes, at most 1, can be read, without reading them.
func (r *Reader) peek() (n int, err error) {
	controlErr := r.raw.Control(func(fd uintptr) { n, err = peek(fd) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// peek returns how many bytes, at most 1, can be read from a socket, without reading them.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for err = syscall.EINTR; err == syscall.EINTR; {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return n, err
}

// AwaitPeerClose waits until the peer has closed or broken a connection, or until the read deadline passes. It reads nothing:
// bytes that arrive meanwhile stay with the operating system. If unread bytes precede the end, AwaitPeerClose sees the end where
// the operating system reports the connection's state.
func (r *Reader) AwaitPeerClose() error {
	return r.raw.Read(endSeen)
}

// NewestArrival returns when the newest bytes arrived, to the nearest few milliseconds. It is before the latest read if
// the bytes waited to be read, as they do while the process is paused. If the operating system does not tell the time,
// NewestArrival returns that of the latest read.
func (r *Reader) NewestArrival() time.Time {
	arrivedAt := r.LastRead
	r.raw.Control(func(fd uintptr) {
		now := time.Now()
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			if t := now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond); t.Before(arrivedAt) {
				arrivedAt = t
			}
		}
	})
	return arrivedAt
}

// The TCP states, by Linux's numbers, in which the peer has not closed a connection.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// peerEnded reports whether the operating system knows that the peer has closed or broken a connection.
func peerEnded(fd uintptr) bool {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	switch info & 0xff { // the first byte is the state
	case tcpEstablished, tcpFinWait1, tcpFinWait2:
		return false
	}
	return true
}

// Next waits for more bytes and passes all unconsumed bytes to take. take returns how many it has consumed, and must
// not retain the slice. The rest is passed again later, followed by newer bytes. Next returns the error of the
// connection: io.EOF at its end, and io.ErrShortBuffer if too many bytes are left unconsumed.
func (r *Reader) Next(take func(b []byte) (used int)) error {
	if len(r.leftover) >= MaxUnconsumed {
		return io.ErrShortBuffer
	}
	var buf *Buffer
	var n int
	var readErr error
	var waited bool
	var emptyAt time.Time
	readSize := r.readSize()
	err := r.raw.Read(func(fd uintptr) bool {
		buf = Get()
		if n, readErr = r.readOnce(fd, buf[:readSize]); readErr == syscall.EAGAIN {
			Put(buf)
			if buf = nil; !waited {
				waited, emptyAt = true, time.Now()
			}
			return false
		}
		return true
	})
	if err == nil || waited { // otherwise the socket was not read at all
		now := time.Now()
		r.recordRead(now, waited, n < readSize)
		if r.LastWait = 0; waited {
			r.LastWait = now.Sub(emptyAt)
		}
	}
	defer func() { Put(buf) }()
	r.TotalRead += int64(max(n, 0))
	switch {
	case err != nil:
		return err
	case readErr != nil:
		return readErr
	case n == 0:
		return io.EOF
	}
	// take must not run inside the raw read above: closing the connection waits for that read, and take may wait for
	// the goroutine that closes it.
	r.expected = 0
	if len(r.leftover) > 0 {
		r.leftover = append(r.leftover, buf[:n]...)
		r.arrivals.add(len(r.leftover), r.notBefore)
		return r.Redeliver(take)
	}
	if used := take(buf[:n]); used < n {
		r.keep(buf[used:n])
		r.arrivals.add(n-used, r.notBefore)
	}
	return nil
}

// recordRead records the time of a read, whether the read had to wait, and whether it left nothing unread.
func (r *Reader) recordRead(now time.Time, waited, drained bool) {
	switch {
	case waited:
		r.notBefore = now
	case r.drained:
		r.notBefore = r.LastRead
	}
	r.LastRead, r.drained = now, drained
}

// readSize returns how many bytes the next read asks for.
func (r *Reader) readSize() int {
	if r.LargeReads {
		return Size
	}
	return min(Size, max(minReadSize, len(r.leftover)))
}

// Redeliver passes the leftover bytes to take without reading more.
func (r *Reader) Redeliver(take func(b []byte) (used int)) error {
	r.expected = 0
	used := take(r.leftover)
	r.keep(r.leftover[used:])
	r.arrivals.drop(used)
	return nil
}

// keep stores the bytes that take has not consumed. Memory that is far larger than they are is given up.
func (r *Reader) keep(leftover []byte) {
	switch {
	case len(leftover) == 0:
		r.leftover = nil
	case cap(r.leftover) < r.expected, cap(r.leftover) > 2*max(len(leftover), minReadSize, r.expected):
		r.leftover = append(make([]byte, 0, max(len(leftover), r.expected)), leftover...)
	default:
		r.leftover = append(r.leftover[:0], leftover...)
	}
}
