package buffer

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// step is how much is read beyond what is kept already. A side that sends without end gets no further
// ahead of those that take what it sends than this.
const step = 8 << 10

// Reader reads a connection and holds a buffer only while something is there to be read: of hundreds of
// connections nearly all wait at any time. What is left over between reads is kept at its own size.
type Reader struct {
	raw  syscall.RawConn
	rest []byte
}

// NewReader returns a Reader of a connection that the system has a descriptor for.
func NewReader(conn net.Conn) (*Reader, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a connection of the system's")
	}
	raw, err := c.SyscallConn()
	return &Reader{raw: raw}, err
}

// Unread tells how much has come that was not taken.
func (r *Reader) Unread() int { return len(r.rest) }

// Next waits for more and hands over all that has come and was not taken. take tells how much it has used
// up, and must not keep it. What it leaves is handed over again, with more behind it. The error is that
// of the connection: io.EOF at its end, and io.ErrShortBuffer if what is left fills a buffer.
func (r *Reader) Next(take func(b []byte) (used int)) error {
	if len(r.rest) == Size {
		return io.ErrShortBuffer
	}
	var buf *Buffer
	var n int
	var failed error
	err := r.raw.Read(func(fd uintptr) bool {
		buf = Get()
		have := copy(buf[:], r.rest)
		for failed = syscall.EINTR; failed == syscall.EINTR; {
			n, failed = syscall.Read(int(fd), buf[have:min(Size, have+step)])
		}
		if failed == syscall.EAGAIN {
			Put(buf)
			buf = nil
			return false
		}
		return true
	})
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
	have := len(r.rest) + n
	r.keep(buf[take(buf[:have]):have])
	return nil
}

// Again hands over what is left without reading more.
func (r *Reader) Again(take func(b []byte) (used int)) error {
	r.keep(r.rest[take(r.rest):])
	return nil
}

func (r *Reader) keep(rest []byte) {
	if r.rest = append(r.rest[:0], rest...); len(rest) == 0 {
		r.rest = nil
	}
}
