package arrival

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Flags of SO_TIMESTAMPING (linux/net_tstamp.h): note the time at which a segment is received, and report it with the bytes.
const (
	timestampReceived = 1 << 3
	timestampReported = 1 << 4
)

// timestampControl is the length of the control message that carries the time: three timespecs, of which the first is the software's.
var timestampControl = syscall.CmsgSpace(3 * int(unsafe.Sizeof(syscall.Timespec{})))

// KeepTimes asks the kernel to note when bytes come on the connections of a listener, also of those that wait to be accepted.
// Where the kernel doesn't, the times are those of its tick.
func KeepTimes(l net.Listener) {
	if holder, ok := l.(syscall.Conn); ok {
		keepTimes(holder)
	}
}

func keepTimes(holder syscall.Conn) {
	raw, err := holder.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPING, timestampReceived|timestampReported)
	})
}

// receive reads from a TCP connection and tells when the latest of the bytes came; zero: the kernel has not noted it.
func receive(c *net.TCPConn, b []byte) (n int, at time.Time, err error) {
	if len(b) == 0 {
		return 0, at, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, at, err
	}
	control := make([]byte, timestampControl)
	var controls int
	var failed error
	err = raw.Read(func(fd uintptr) (done bool) {
		for {
			n, controls, _, _, failed = syscall.Recvmsg(int(fd), b, control, 0)
			if failed != syscall.EINTR {
				return failed != syscall.EAGAIN
			}
		}
	})
	switch {
	case err != nil: // a deadline, or closed on this side
		return 0, at, err
	case failed != nil:
		return 0, at, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", failed)}
	case n == 0:
		return 0, at, io.EOF
	}
	return n, timestampIn(control[:controls]), nil
}

// timestampIn finds the time among control messages; zero: there is none.
func timestampIn(control []byte) (at time.Time) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return at
	}
	for _, m := range messages {
		if m.Header.Level != syscall.SOL_SOCKET || m.Header.Type != syscall.SO_TIMESTAMPING {
			continue
		}
		if len(m.Data) < int(unsafe.Sizeof(syscall.Timespec{})) {
			continue
		}
		software := (*syscall.Timespec)(unsafe.Pointer(&m.Data[0]))
		if software.Nano() > 0 {
			return onMonotonicClock(time.Unix(0, software.Nano()))
		}
	}
	return at
}

// onMonotonicClock turns a time of the wall clock that has just been into one that compares with time.Now.
func onMonotonicClock(wall time.Time) time.Time {
	now := time.Now()
	return now.Add(min(0, wall.Sub(now.Round(0))))
}
