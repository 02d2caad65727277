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

// Registry is the platform's discovery service.
type Registry struct {
	Addr  string
	Times Times
}

// Times bound the calls of a discovery service. A change has to be known within 6 s of when the service had it and could be
// reached, so the longest call that comes to nothing and the longest wait before the next one must stay under that together.
type Times struct {
	Connect time.Duration // until the connection is up; a lost first packet is sent again after 1 s
	Head    time.Duration // from the start to the answer's first line; a service under load answers after a while
	First   time.Duration // from the start to the first message or empty line
	Silence time.Duration // between two messages or empty lines, of which one comes each 2 s
}

// PlatformTimes are those for the platform's service, which gives a call up after 3 s itself.
var PlatformTimes = Times{Connect: 1200 * time.Millisecond, Head: 3200 * time.Millisecond, First: 4200 * time.Millisecond,
	Silence: 3 * time.Second}

// Longest is how long a call or watch can have come to nothing before that is known.
func (t Times) Longest() time.Duration { return max(t.Head, t.First, t.Silence) }

// maxLine bounds a message, in bytes. A server takes some 130 of a list, or twice that where it is indented: more than 10,000 fit.
const maxLine = 4 << 20

var errEnded = errors.New("the watch has ended")

// List implements Source.
func (r *Registry) List(ctx context.Context) (u Update, err error) {
	err = r.get(ctx, "/registry/instances", func(text []byte) error {
		u, err = ParseUpdate(text)
		return err
	})
	return u, err
}

// Watch implements Source.
func (r *Registry) Watch(ctx context.Context, after int64, told func(Update) error) error {
	path := "/registry/instances?watch=1&after=" + strconv.FormatInt(after, 10)
	err := r.get(ctx, path, func(text []byte) error {
		u, err := ParseUpdate(text)
		if err == nil {
			err = told(u)
		}
		return err
	})
	if err == nil {
		err = errEnded
	}
	return err
}

// get makes a call and hands over each message of the answer's body as it comes, empty lines left out.
func (r *Registry) get(ctx context.Context, path string, message func([]byte) error) error {
	begun := time.Now()
	dialer := net.Dialer{Timeout: r.Times.Connect}
	conn, err := dialer.DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(begun.Add(r.Times.Head))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", path, r.Addr, -1)); err != nil {
		return err
	}
	body := body{message: message}
	buf := buffer.Get()
	defer buffer.Put(buf)
	var b []byte
	for {
		n, err := conn.Read(buf[:])
		b = append(b, buf[:n]...)
		ended := body.ended
		used, done, bad := body.take(b)
		switch {
		case bad != nil:
			return bad
		case done:
			return nil
		case err == io.EOF && body.toEnd(): // a reset is no end
			return body.end()
		case err != nil:
			return err
		case len(b)-used > maxLine:
			return errLong
		}
		b = append(b[:0], b[used:]...)
		switch {
		case body.ended > ended:
			conn.SetReadDeadline(time.Now().Add(r.Times.Silence))
		case body.begun && body.ended == 0:
			conn.SetReadDeadline(begun.Add(r.Times.First))
		}
	}
}
