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

// chunk is the result of one read from a connection.
type chunk struct {
	data []byte
	err  error
}

// maxChunks limits how many chunks wait for the reader. When it is reached, reading from the connection stops,
// and the sender must wait.
const maxChunks = 64

// timedReader reads a connection continuously, so that bytes which arrive during the model's handshake are
// logged with their own arrival time and not with that of its end.
type timedReader struct {
	log       *arrival.Log
	chunks    chan chunk
	unread    []byte
	delivered int64 // number of bytes that Read has returned
	err       error
}

// newTimedReader starts to read from a connection, in a goroutine that goRun starts and that ends with the
// connection or when done is closed.
func newTimedReader(c net.Conn, done <-chan struct{}, goRun func(func())) *timedReader {
	reader := &timedReader{log: arrival.NewLog(c), chunks: make(chan chunk, maxChunks)}
	goRun(func() {
		defer close(reader.chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := reader.log.Read(buffer)
			select {
			case reader.chunks <- chunk{buffer[:n], err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	})
	return reader
}

// Read implements io.Reader.
func (r *timedReader) Read(buffer []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		received, ok := <-r.chunks
		if !ok {
			return 0, io.ErrUnexpectedEOF
		}
		r.unread, r.err = received.data, received.err
	}
	n := copy(buffer, r.unread)
	r.unread = r.unread[n:]
	r.delivered += int64(n)
	return n, nil
}

// The errors of the remaining time that an attempt states.
var (
	errTimeMissing    = errors.New("fact d is missing")
	errTimeDuplicate  = errors.New("fact d is repeated")
	errTimeUnreadable = errors.New("fact d is not a valid number of milliseconds")
)

// parseTimeLeft returns the client's remaining time, which the fact d of an attempt states in milliseconds.
func parseTimeLeft(facts string) (time.Duration, error) {
	text, found := "", false
	for item := range strings.SplitSeq(facts, ",") {
		value, matches := strings.CutPrefix(item, "d=")
		switch {
		case !matches:
		case found:
			return 0, errTimeDuplicate
		default:
			text, found = value, true
		}
	}
	if !found {
		return 0, errTimeMissing
	}
	const maxMillis = int64(1<<63-1) / int64(time.Millisecond)
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxMillis {
		return 0, errTimeUnreadable
	}
	return time.Duration(millis) * time.Millisecond, nil
}
