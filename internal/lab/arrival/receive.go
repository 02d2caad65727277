package arrival

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Flags of SO_TIMESTAMPING (linux/net_tstamp.h): record the time at which a segment is received, and report it with the bytes.
const (
	timestampOnReceive = 1 << 3
	timestampInMessage = 1 << 4
)

// timestampMessageSize is the length of the control message that carries the time. It has three timespecs, of which the first
// is the software timestamp.
var timestampMessageSize = syscall.CmsgSpace(3 * int(unsafe.Sizeof(syscall.Timespec{})))

// EnableTimestamps asks the kernel to record when bytes arrive on the connections of a listener, including those that wait to be
// accepted. If the kernel doesn't, arrival times are exact only to a tick of its clock.
func EnableTimestamps(l net.Listener) {
	if holder, ok := l.(syscall.Conn); ok {
		enableTimestamps(holder)
	}
}

// enableTimestamps sets SO_TIMESTAMPING on a socket and ignores errors.
func enableTimestamps(holder syscall.Conn) {
	raw, err := holder.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPING, timestampOnReceive|timestampInMessage)
	})
}

// receive reads from a TCP connection and returns when the latest of the bytes arrived, or the zero time if the kernel has not
// recorded it.
func receive(c *net.TCPConn, b []byte) (n int, at time.Time, err error) {
	if len(b) == 0 {
		return 0, at, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, at, err
	}
	control := make([]byte, timestampMessageSize)
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
	case err != nil: // the deadline has passed, or this side is closed
		return 0, at, err
	case failed != nil:
		return 0, at, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("recvmsg", failed)}
	case n == 0:
		return 0, at, io.EOF
	}
	return n, parseTimestamp(control[:controls]), nil
}

// parseTimestamp returns the timestamp in control messages, or the zero time if there is none.
func parseTimestamp(control []byte) (at time.Time) {
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

// onMonotonicClock converts a recent time of the wall clock to one with a monotonic reading, which compares with time.Now.
func onMonotonicClock(wall time.Time) time.Time {
	now := time.Now()
	return now.Add(min(0, wall.Sub(now.Round(0))))
}
