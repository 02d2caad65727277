package upstream

import (
	"bytes"
	"errors"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

// Protocol encodes attempts for one kind of server and decodes its replies.
type Protocol interface {
	// AppendAttempt appends an attempt to b, without the value if it is a write. tail is what must follow that value.
	AppendAttempt(b []byte, a *Attempt) (head []byte, tail string)
	// ParseReply reads the reply to an attempt at req from the start of b.
	ParseReply(b []byte, req *relay.Request) (Reply, error)
}

// Reply is a decoded reply.
type Reply struct {
	Size         int // number of bytes that the reply takes up; 0: it is still incomplete
	FullSize     int // of an incomplete reply: how many bytes it takes up, if that is known, else 0
	Status       hoptiller.Status
	LoadReport   []byte  // the server's load report; nil: none
	Data         []byte  // the value of a read or the receipt of a write
	ValueDecoder Decoder // if set, a long value follows, which this decoder reads
	ValueLen     int     // length of the long value in bytes; -1: known only at its end
	KeepConn     bool    // the connection is usable after the reply
	Unnamed      bool    // the reply does not name its request, although the protocol's other replies do
}

// Decoder extracts a long value from the bytes that arrive.
type Decoder interface {
	// Decode returns the next part of the value in b, which may be empty, how many bytes of b it has consumed, and
	// whether the value is complete. If it consumes none, it needs more bytes.
	Decode(b []byte) (part []byte, used int, done bool, err error)
}

// LengthDecoder is the Decoder of a value whose length is known.
type LengthDecoder struct {
	Remaining  int    // bytes of the value that are still to come
	Terminator string // what must still follow the value
}

var errTerminator = errors.New("value is not followed by its terminator")

// Decode implements Decoder.
func (d *LengthDecoder) Decode(b []byte) (part []byte, used int, done bool, err error) {
	if used = min(d.Remaining, len(b)); used > 0 {
		d.Remaining -= used
		return b[:used], used, d.Remaining == 0 && d.Terminator == "", nil
	}
	n := min(len(d.Terminator), len(b))
	if string(b[:n]) != d.Terminator[:n] {
		return nil, 0, false, errTerminator
	}
	d.Terminator = d.Terminator[n:]
	return nil, n, d.Terminator == "", nil
}

// UntilCloseDecoder is the Decoder of a value that ends when its connection is closed.
type UntilCloseDecoder struct{}

// Decode implements Decoder.
func (UntilCloseDecoder) Decode(b []byte) (part []byte, used int, done bool, err error) {
	return b, len(b), false, nil
}

// ValidReceipt reports whether the receipt in an origin's answer to a write can be passed on. A space or control
// character would break the line in which the client gets the receipt.
func ValidReceipt(b []byte) bool {
	return !bytes.ContainsFunc(b, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Meta is the protocol of the cache servers.
type Meta struct{}

// AppendAttempt implements Protocol.
func (Meta) AppendAttempt(b []byte, a *Attempt) (head []byte, tail string) {
	c := meta.Command{Verb: meta.Get, Key: a.Key, ID: a.ID, Facts: a.Facts, LongValueLen: a.ValueLen}
	if a.Write {
		c.Verb, tail = meta.Set, "\r\n"
	}
	return meta.AppendCommand(b, &c), tail
}

// ParseReply implements Protocol.
func (Meta) ParseReply(b []byte, req *relay.Request) (Reply, error) {
	a, n, err := meta.ParseAnswer(b, string(req.ID))
	if err != nil || n == 0 {
		return Reply{FullSize: a.FullSize}, err
	}
	r := Reply{Size: n, KeepConn: true, LoadReport: a.Report}
	switch a.Kind {
	case meta.Failed:
		r.Status, r.Unnamed = hoptiller.ServerError, true
	case meta.Rejected: // the server and this router no longer agree where a command begins
		r.Status, r.Unnamed, r.KeepConn = hoptiller.ServerError, true, false
	case meta.Busy:
		r.Status, r.Unnamed = hoptiller.TurnedAway, true
	case meta.Miss:
		r.Status = hoptiller.Miss
	default:
		if req.Write != (a.Kind == meta.Stored) {
			return Reply{}, meta.ErrNotAnswer
		}
		if r.Status, r.Data = hoptiller.OK, a.Data; a.LongValueLen > 0 {
			r.ValueDecoder, r.ValueLen = &LengthDecoder{a.LongValueLen, "\r\n"}, a.LongValueLen
		}
	}
	return r, nil
}
