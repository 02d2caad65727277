package buffer

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// step is how much is read at first of what may be without end. More is read at once of what has proved long.
const step = 4 << 10

// Most is how much is kept of one message that is not whole: the largest that any protocol here allows, with
// the lines and headers that come with it. What is so long has memory of its own for as long as it is needed.
const Most = 96 << 10

// Reader reads a connection and holds a buffer only while something is there to be read: of hundreds of
// connections nearly all wait at any time. What is left over between reads is kept at its own size.
type Reader struct {
	Long bool      // much is to come: as much is read at once as a buffer holds
	At   time.Time // when something was read last

	raw      syscall.RawConn
	rest     []byte
	arrivals arrivals  // of rest
	since    time.Time // what was read last had not come before this
	drained  bool      // and nothing more was there then

	// A read and a look at what is unread exclude each other: else what a read has just taken would be seen by neither.
	reading   sync.Mutex
	unhandled bool // something was read, and whoever reads has not said that it is handled
}

// NewReader returns a Reader of a connection that the system has a descriptor for.
func NewReader(conn net.Conn) (*Reader, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a connection of the system's")
	}
	raw, err := c.SyscallConn()
	return &Reader{raw: raw, since: time.Now()}, err
}

// Raw is the connection without the runtime's reads and writes, for whoever has to look at something right before a system call.
func (r *Reader) Raw() syscall.RawConn { return r.raw }

// Arrived is when the byte in front of an offset in what is handed over had come at the earliest: what came while nobody read
// may have waited since the read before. It is for take, which gets those bytes from Next or Again.
func (r *Reader) Arrived(offset int) time.Time {
	if at, known := r.arrivals.before(offset); known {
		return at
	}
	return r.since
}

// Unread tells how much has come that was not taken.
func (r *Reader) Unread() int { return len(r.rest) }

// Waiting tells whether more has come that was not read. It does not wait.
func (r *Reader) Waiting() (more bool) {
	n, err := r.peek()
	return err == nil && n > 0
}

// Resting tells whether nothing has come that was not handled, not even the connection's end. It does not wait for more to come.
func (r *Reader) Resting() bool {
	r.reading.Lock()
	defer r.reading.Unlock()
	if r.unhandled {
		return false
	}
	_, err := r.peek()
	return err == syscall.EAGAIN
}

// Handled is told by take that it has handled all that was handed over to it. Until then the connection does not rest.
func (r *Reader) Handled() {
	r.reading.Lock()
	defer r.reading.Unlock()
	r.unhandled = false
}

// read reads once, without waiting.
func (r *Reader) read(fd uintptr, b []byte) (n int, err error) {
	r.reading.Lock()
	defer r.reading.Unlock()
	for err = syscall.EINTR; err == syscall.EINTR; {
		n, err = syscall.Read(int(fd), b)
	}
	r.unhandled = err != syscall.EAGAIN
	return n, err
}

// Gone tells whether the other side has ended or reset the connection, and nothing more has come before that. It does not wait.
func (r *Reader) Gone() bool {
	n, err := r.peek()
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN
}

func (r *Reader) peek() (n int, err error) {
	closed := r.raw.Control(func(fd uintptr) {
		var b [1]byte
		for err = syscall.EINTR; err == syscall.EINTR; {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
	})
	if closed != nil {
		return 0, closed
	}
	return n, err
}

// AwaitEnd waits until the other side has ended or broken a connection whose own sending has ended, or its read deadline has passed.
// Nothing is read: what comes meanwhile stays with the system. An end that lies behind it is seen where the system tells the
// connection's state.
func (r *Reader) AwaitEnd() error {
	return r.raw.Read(func(fd uintptr) (ended bool) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := err == syscall.EAGAIN || err == syscall.EINTR
		return !waiting && (err != nil || n == 0 || otherEnded(fd))
	})
}

// The states of TCP, by Linux's numbers, in which the other side has not ended a connection.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// otherEnded tells whether the system says that a connection's other side has ended or broken it.
func otherEnded(fd uintptr) bool {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	switch info & 0xff { // its first byte is the state
	case tcpEstablished, tcpFinWait1, tcpFinWait2:
		return false
	}
	return true
}

// Next waits for more and hands over all that has come and was not taken. take tells how much it has used
// up, and must not keep it. What it leaves is handed over again, with more behind it. The error is that
// of the connection: io.EOF at its end, and io.ErrShortBuffer if too much is left.
func (r *Reader) Next(take func(b []byte) (used int)) error {
	if len(r.rest) >= Most {
		return io.ErrShortBuffer
	}
	var buf *Buffer
	var n int
	var failed error
	var waited bool
	most := r.most()
	err := r.raw.Read(func(fd uintptr) bool {
		buf = Get()
		if n, failed = r.read(fd, buf[:most]); failed == syscall.EAGAIN {
			Put(buf)
			buf, waited = nil, true
			return false
		}
		return true
	})
	if err == nil || waited { // else it did not even look whether something is there
		r.readAt(time.Now(), waited, n < most)
	}
	defer func() { Put(buf) }()
	switch {
	case err != nil:
		return err
	case failed != nil:
		return failed
	case n == 0:
		return io.EOF
	}
	// Not while the descriptor is in use above: a close waits for that, and take may wait for whoever closes.
	if len(r.rest) > 0 {
		r.rest = append(r.rest, buf[:n]...)
		r.arrivals.add(len(r.rest), r.since)
		return r.Again(take)
	}
	if used := take(buf[:n]); used < n {
		r.keep(buf[used:n])
		r.arrivals.add(n-used, r.since)
	}
	return nil
}

// readAt notes a read: whether it had to wait, and whether it left nothing unread.
func (r *Reader) readAt(now time.Time, waited, drained bool) {
	switch {
	case waited:
		r.since = now
	case r.drained:
		r.since = r.At
	}
	r.At, r.drained = now, drained
}

func (r *Reader) most() int {
	if r.Long {
		return Size
	}
	return min(Size, max(step, len(r.rest)))
}

// Again hands over what is left without reading more.
func (r *Reader) Again(take func(b []byte) (used int)) error {
	used := take(r.rest)
	r.keep(r.rest[used:])
	r.arrivals.drop(used)
	return nil
}

func (r *Reader) keep(rest []byte) {
	if r.rest = append(r.rest[:0], rest...); len(rest) == 0 {
		r.rest = nil
	}
}
