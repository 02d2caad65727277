package standin

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// chunk is what one read of a connection has brought.
type chunk struct {
	bytes []byte
	at    time.Time // when it came
	err   error
}

// mostChunks bounds how many chunks wait for the reader; the sender waits after that.
const mostChunks = 64

// arrivals reads a connection all the time and notes when each piece came, so that what comes while the model's handshake
// still goes on is not taken to have come at its end.
type arrivals struct {
	chunks chan chunk
	rest   []byte
	last   time.Time // when the latest chunk that Read has begun came
	err    error
}

// sinceReceived is how long ago the system got the latest bytes of a connection, as far as it tells: on a busy machine they
// have waited for their reader since.
func sinceReceived(c net.Conn) (age time.Duration) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { age = lastDataReceived(fd) })
	return age
}

// tcpInfo is the part of the system's struct tcp_info (linux/tcp.h) up to what is needed here.
type tcpInfo struct {
	_                [8]uint8
	_                [11]uint32
	lastDataReceived uint32 // ms ago
}

// lastDataReceived asks the system how long ago a TCP socket got data, to the millisecond; 0 where it doesn't tell.
func lastDataReceived(fd uintptr) time.Duration {
	var info tcpInfo
	size := uint32(unsafe.Sizeof(info))
	_, _, failed := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if failed != 0 || uintptr(size) < unsafe.Sizeof(info) {
		return 0
	}
	return time.Duration(info.lastDataReceived) * time.Millisecond
}

// newArrivals begins to read from a connection, in a goroutine of run's that ends with the connection or with done.
func newArrivals(c net.Conn, done <-chan struct{}, run func(func())) *arrivals {
	a := &arrivals{chunks: make(chan chunk, mostChunks)}
	run(func() {
		defer close(a.chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := c.Read(b)
			select {
			case a.chunks <- chunk{b[:n], time.Now().Add(-sinceReceived(c)), err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	})
	return a
}

// Read implements io.Reader.
func (a *arrivals) Read(b []byte) (int, error) {
	for len(a.rest) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		next, ok := <-a.chunks
		if !ok {
			return 0, io.ErrUnexpectedEOF
		}
		a.rest, a.last, a.err = next.bytes, next.at, next.err
	}
	n := copy(b, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// What is wrong with the time that an attempt tells.
var (
	errNoTime         = errors.New("it has no d")
	errTimeTwice      = errors.New("it has d twice")
	errTimeUnreadable = errors.New("its d is no number of milliseconds")
)

// timeTold reads the time that is left to the client out of an attempt's facts.
func timeTold(facts string) (time.Duration, error) {
	text, found := "", false
	for item := range strings.SplitSeq(facts, ",") {
		value, is := strings.CutPrefix(item, "d=")
		switch {
		case !is:
		case found:
			return 0, errTimeTwice
		default:
			text, found = value, true
		}
	}
	if !found {
		return 0, errNoTime
	}
	const most = int64(1<<63-1) / int64(time.Millisecond)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > most {
		return 0, errTimeUnreadable
	}
	return time.Duration(ms) * time.Millisecond, nil
}
