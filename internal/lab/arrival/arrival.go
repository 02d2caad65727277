// Package arrival records when the bytes of a TCP connection reached its socket and when the peer ended the
// connection. The times are the kernel's, so they do not include the time for which bytes or an end waited for a reader that had
// no core. They allow putting the actions of two processes in order, however late the observer is.
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

// Uncertainty is the largest difference between two times of this package for events that happened at once. The
// kernel keeps the end of a connection in whole ticks of its clock.
const Uncertainty = 10 * time.Millisecond

// maxArrivals is the largest number of arrivals that a Log keeps for calls of ArrivalTime.
const maxArrivals = 4096

// Log is a connection that records when the bytes that it reads arrived. Only one goroutine at a time may call Read. All other
// methods may be called at any time.
type Log struct {
	net.Conn

	mu            sync.Mutex
	received      int64 // bytes
	arrivals      []byteArrival
	lastReceived  time.Time // when the latest of the bytes that were read arrived
	ended         time.Time // zero while the connection is open
	closedLocally bool      // whether the holder of the connection closed it before the peer ended it
}

// byteArrival states when the bytes up to the offset end arrived, except those that an earlier byteArrival covers.
type byteArrival struct {
	end int64
	at  time.Time
}

// NewLog returns a Log of a connection from which nothing has been read yet.
func NewLog(c net.Conn) *Log {
	if tcp, ok := c.(*net.TCPConn); ok {
		enableTimestamps(tcp)
	}
	return &Log{Conn: c}
}

// Read implements io.Reader.
func (l *Log) Read(b []byte) (int, error) {
	n, at, err := l.receive(b)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 {
		l.lastReceived = at
		l.received += int64(n)
		l.arrivals = append(l.arrivals, byteArrival{l.received, l.lastReceived})
		l.arrivals = l.arrivals[max(0, len(l.arrivals)-maxArrivals):]
	}
	if err != nil { // before the holder closes its side, because the kernel may drop the time then
		l.checkEnded()
	}
	return n, err
}

// receive reads and returns when the latest of the bytes arrived.
func (l *Log) receive(b []byte) (n int, at time.Time, err error) {
	tcp, ok := l.Conn.(*net.TCPConn)
	if !ok {
		n, err = l.Conn.Read(b)
		return n, time.Now(), err
	}
	n, at, err = receive(tcp, b)
	if n > 0 && at.IsZero() {
		at = lastDataTime(tcp)
	}
	return n, at, err
}

// LastArrival returns when the bytes of the latest Read arrived.
func (l *Log) LastArrival() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReceived
}

// ArrivalTime returns when the byte at an offset arrived. The byte must have been read. Later calls must not use a smaller
// offset.
func (l *Log) ArrivalTime(offset int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.arrivals) > 1 && l.arrivals[0].end <= offset {
		l.arrivals = l.arrivals[1:]
	}
	if len(l.arrivals) == 0 {
		return l.lastReceived
	}
	return l.arrivals[0].at
}

// MarkClosing must be called by the holder of the connection just before it closes the connection.
func (l *Log) MarkClosing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkEnded(); l.ended.IsZero() {
		l.ended, l.closedLocally = time.Now(), true
	}
}

// ClosedLocally reports whether the holder of the connection closed it before the peer ended it.
func (l *Log) ClosedLocally() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedLocally
}

// EndTime returns when the peer ended the connection or its holder closed it, or false if it is open. If the peer reset the
// connection this is the time of the last segment before the reset, because the kernel records no other.
func (l *Log) EndTime() (at time.Time, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkEnded()
	return l.ended, !l.ended.IsZero()
}

// checkEnded asks the kernel whether the peer has ended the connection. l.mu is held.
func (l *Log) checkEnded() {
	if !l.ended.IsZero() {
		return
	}
	info, now, known := readInfo(l.Conn)
	if !known || !info.peerEnded() {
		return
	}
	l.ended = now.Add(-milliseconds(info.lastAckReceived))
	if l.ended.Before(l.lastReceived) { // the end can't arrive before the last bytes
		l.ended = l.lastReceived
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

// tcpInfo is the beginning of the kernel's struct tcp_info (linux/tcp.h), up to the last field that is needed here.
type tcpInfo struct {
	state            uint8
	_                [7]uint8
	_                [11]uint32
	lastDataReceived uint32 // ms ago
	lastAckReceived  uint32 // ms ago; the segment that ends a connection carries an acknowledgement as well
}

// peerEnded reports whether the socket is in a state that it enters when the peer ends the connection.
func (i *tcpInfo) peerEnded() bool {
	switch i.state {
	case stateTimeWait, stateClosed, stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return false
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// readInfo asks the kernel for the state of a connection and returns the time of the answer. It returns false if c is no TCP
// connection or is closed on this side.
func readInfo(c net.Conn) (info tcpInfo, at time.Time, known bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return info, at, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return info, at, false
	}
	raw.Control(func(fd uintptr) {
		for range maxInfoReads { // until the process is not paused between reading the clock and the answer
			at = time.Now()
			known = info.read(fd)
			if time.Since(at) < Uncertainty/10 {
				return
			}
		}
	})
	return info, at, known
}

// maxInfoReads is how often readInfo asks the kernel at most.
const maxInfoReads = 5

// read reads the state of a socket from the kernel. It returns false if the kernel does not give all the fields.
func (i *tcpInfo) read(fd uintptr) (known bool) {
	size := uint32(unsafe.Sizeof(*i))
	_, _, failed := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(i)), uintptr(unsafe.Pointer(&size)), 0)
	return failed == 0 && uintptr(size) >= unsafe.Sizeof(*i)
}

// lastDataTime returns when the kernel received the latest bytes of a connection, exact to a tick of its clock. It returns the
// current time if the kernel does not report it.
func lastDataTime(c net.Conn) time.Time {
	info, at, known := readInfo(c)
	if !known {
		return time.Now()
	}
	return at.Add(-milliseconds(info.lastDataReceived))
}
