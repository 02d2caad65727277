package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"hoptiller/internal/buffer"
	"hoptiller/internal/http1"
)

// Registry is a client of the platform's discovery service. It implements Source.
type Registry struct {
	Addr     string
	Timeouts Timeouts
}

// Timeouts bounds the durations of calls to a discovery service. The router must know a change within 6 s after the
// service has it and can be reached. So the longest failing call and the longest wait before the next call must
// together stay below 6 s.
type Timeouts struct {
	Connect time.Duration // until the connection is established; a lost first packet is sent again after 1 s
	Head    time.Duration // from the start of the call to the head of the answer; a loaded service answers late
	First   time.Duration // from the start of the call to the first message or empty line
	Silence time.Duration // between two messages or empty lines; the service sends one every 2 s
}

// PlatformTimeouts holds the limits for the platform's service, which itself gives up a call after 3 s.
var PlatformTimeouts = Timeouts{Connect: 1200 * time.Millisecond, Head: 3200 * time.Millisecond, First: 4200 * time.Millisecond,
	Silence: 3 * time.Second}

// FailureDetectionTime returns the longest time until the failure of a call or watch is detected.
func (t Timeouts) FailureDetectionTime() time.Duration { return max(t.Head, t.First, t.Silence) }

// maxMessage is the maximum length of a message, in bytes. A server takes about 130 bytes of a list, or twice that if
// the list is indented, so more than 10,000 servers fit.
const maxMessage = 4 << 20

var errWatchEnded = errors.New("the watch has ended")

// List implements Source.
func (r *Registry) List(ctx context.Context) (u Update, err error) {
	err = r.get(ctx, "/registry/instances", func(text []byte) error {
		u, err = ParseUpdate(text)
		return err
	})
	return u, err
}

// Watch implements Source.
func (r *Registry) Watch(ctx context.Context, afterVersion int64, onUpdate func(Update) error) error {
	path := "/registry/instances?watch=1&after=" + strconv.FormatInt(afterVersion, 10)
	err := r.get(ctx, path, func(text []byte) error {
		u, err := ParseUpdate(text)
		if err == nil {
			err = onUpdate(u)
		}
		return err
	})
	if err == nil {
		err = errWatchEnded
	}
	return err
}

// get makes a GET request and passes each message of the answer's body to onMessage as it arrives. It skips empty
// lines.
func (r *Registry) get(ctx context.Context, path string, onMessage func([]byte) error) error {
	started := time.Now()
	dialer := net.Dialer{Timeout: r.Timeouts.Connect}
	conn, err := dialer.DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(started.Add(r.Timeouts.Head))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", path, r.Addr, -1)); err != nil {
		return err
	}
	parser := bodyParser{onMessage: onMessage}
	buf := buffer.Get()
	defer buffer.Put(buf)
	var received []byte
	for {
		n, err := conn.Read(buf[:])
		received = append(received, buf[:n]...)
		completed := parser.completed
		consumed, done, parseErr := parser.decode(received)
		switch {
		case parseErr != nil:
			return parseErr
		case done:
			return nil
		case err == io.EOF && parser.endsWithConnection(): // a reset connection does not mark the end
			return parser.finish()
		case err != nil:
			return err
		case len(received)-consumed > maxMessage:
			return errMessageTooLong
		}
		received = append(received[:0], received[consumed:]...)
		switch {
		case parser.completed > completed:
			conn.SetReadDeadline(time.Now().Add(r.Timeouts.Silence))
		case parser.headParsed && parser.completed == 0:
			conn.SetReadDeadline(started.Add(r.Timeouts.First))
		}
	}
}
