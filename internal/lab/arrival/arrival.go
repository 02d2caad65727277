// Package arrival records when the bytes of a TCP connection reached its socket and when the peer ended the
// connection. The times are the kernel's: how long bytes or an end waited for a reader that had no core does
// not count. What two processes did can so be put in order, however late the observer is.
//
// The time of bytes is that of their segment (SO_TIMESTAMPING), exact to microseconds. The time of an end is kept in
// ticks of the kernel's clock, which a busy virtual machine may hold back for some ticks.
package arrival

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Uncertainty is by how much two times of this package may be apart though both events came at once: the
// kernel keeps the end of a connection in whole ticks of its clock.
const Uncertainty = 10 * time.Millisecond

// mostParts bounds the arrivals that are kept until somebody asks for them.
const mostParts = 4096

// Log is a connection that records what it reads. Read is for one goroutine at a time, all else for any.
type Log struct {
	net.Conn

	mu       sync.Mutex
	received int64 // bytes
	parts    []part
	last     time.Time // when the latest read bytes came
	ended    time.Time // zero while the connection is open
	closed   bool      // by its holder, before the peer ended it
}

// part says that the bytes up to an offset came at a time, as far as no earlier part has them.
type part struct {
	end int64
	at  time.Time
}

// NewLog returns a Log of a connection of which nothing has been read.
func NewLog(c net.Conn) *Log {
	if tcp, ok := c.(*net.TCPConn); ok {
		keepTimes(tcp)
	}
	return &Log{Conn: c}
}

// Read implements io.Reader.
func (l *Log) Read(b []byte) (int, error) {
	n, at, err := l.receive(b)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 {
		l.last = at
		l.received += int64(n)
		l.parts = append(l.parts, part{l.received, l.last})
		l.parts = l.parts[max(0, len(l.parts)-mostParts):]
	}
	if err != nil { // before the holder closes its side: the kernel may forget with it
		l.lookForEnd()
	}
	return n, err
}

// receive reads and tells when the latest of the bytes came.
func (l *Log) receive(b []byte) (n int, at time.Time, err error) {
	tcp, ok := l.Conn.(*net.TCPConn)
	if !ok {
		n, err = l.Conn.Read(b)
		return n, time.Now(), err
	}
	n, at, err = receive(tcp, b)
	if n > 0 && at.IsZero() {
		at = receivedAt(tcp)
	}
	return n, at, err
}

// Last is when the bytes of the latest Read came.
func (l *Log) Last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// At is when the byte at an offset came, which has been read. Bytes in front of it are not asked for any more.
func (l *Log) At(offset int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.parts) > 1 && l.parts[0].end <= offset {
		l.parts = l.parts[1:]
	}
	if len(l.parts) == 0 {
		return l.last
	}
	return l.parts[0].at
}

// EndsNow tells that the holder of the connection is about to close it.
func (l *Log) EndsNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lookForEnd(); l.ended.IsZero() {
		l.ended, l.closed = time.Now(), true
	}
}

// Closed tells whether the holder of the connection closed it before the peer ended it.
func (l *Log) Closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// End is when the peer ended the connection or its holder closed it; false: it is open. Of a connection that
// the peer reset it is the time of the last segment before the reset: the kernel records no other.
func (l *Log) End() (at time.Time, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lookForEnd()
	return l.ended, !l.ended.IsZero()
}

// lookForEnd asks the kernel whether the peer has ended the connection. l.mu is held.
func (l *Log) lookForEnd() {
	if !l.ended.IsZero() {
		return
	}
	info, now, known := infoOf(l.Conn)
	if !known || !info.peerEnded() {
		return
	}
	l.ended = now.Add(-milliseconds(info.lastAckReceived))
	if l.ended.Before(l.last) { // a peer ends a connection behind its bytes
		l.ended = l.last
	}
}

// States of a TCP socket (linux/tcp_states.h) whose peer has ended the connection.
const (
	stateTimeWait  = 6
	stateClosed    = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// tcpInfo is the part of the kernel's struct tcp_info (linux/tcp.h) up to what is needed here.
type tcpInfo struct {
	state            uint8
	_                [7]uint8
	_                [11]uint32
	lastDataReceived uint32 // ms ago
	lastAckReceived  uint32 // ms ago; the end of a connection is a segment with an acknowledgement as well
}

func (i *tcpInfo) peerEnded() bool {
	switch i.state {
	case stateTimeWait, stateClosed, stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return false
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// infoOf asks the kernel for the state of a connection, and tells when; false: it is no TCP connection, or closed on this side.
func infoOf(c net.Conn) (info tcpInfo, at time.Time, known bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return info, at, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return info, at, false
	}
	raw.Control(func(fd uintptr) {
		for range mostLooks { // until the process was not held up between the clock and the answer
			at = time.Now()
			known = info.read(fd)
			if time.Since(at) < Uncertainty/10 {
				return
			}
		}
	})
	return info, at, known
}

// mostLooks bounds how often the kernel is asked again.
const mostLooks = 5

// read asks the kernel for the state of a socket.
func (i *tcpInfo) read(fd uintptr) (known bool) {
	size := uint32(unsafe.Sizeof(*i))
	_, _, failed := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(i)), uintptr(unsafe.Pointer(&size)), 0)
	return failed == 0 && uintptr(size) >= unsafe.Sizeof(*i)
}

// receivedAt is when the kernel got the latest bytes of a connection, to its tick; now where it does not tell.
func receivedAt(c net.Conn) time.Time {
	info, at, known := infoOf(c)
	if !known {
		return time.Now()
	}
	return at.Add(-milliseconds(info.lastDataReceived))
}
