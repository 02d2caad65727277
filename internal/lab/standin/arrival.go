package standin

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"hoptiller/internal/lab/arrival"
)

// chunk is what one read of a connection has brought.
type chunk struct {
	bytes []byte
	err   error
}

// mostChunks bounds how many chunks wait for the reader; the sender waits after that.
const mostChunks = 64

// arrivals reads a connection all the time, so that what comes while the model's handshake still goes on is not taken to
// have come at its end.
type arrivals struct {
	log    *arrival.Log
	chunks chan chunk
	rest   []byte
	handed int64 // bytes that Read has given out
	err    error
}

// newArrivals begins to read from a connection, in a goroutine of run's that ends with the connection or with done.
func newArrivals(c net.Conn, done <-chan struct{}, run func(func())) *arrivals {
	a := &arrivals{log: arrival.NewLog(c), chunks: make(chan chunk, mostChunks)}
	run(func() {
		defer close(a.chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := a.log.Read(b)
			select {
			case a.chunks <- chunk{b[:n], err}:
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
		a.rest, a.err = next.bytes, next.err
	}
	n := copy(b, a.rest)
	a.rest = a.rest[n:]
	a.handed += int64(n)
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
