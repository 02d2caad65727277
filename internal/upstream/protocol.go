package upstream

import (
	"bytes"
	"errors"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

// Protocol is how a kind of server is spoken to.
type Protocol interface {
	// Append writes an attempt but for its value, if it is a write, and what is to follow that.
	Append(b []byte, a *Attempt) (head []byte, tail string)
	// Parse reads the answer to the call of req at the start of b.
	Parse(b []byte, req *relay.Request) (Reply, error)
}

// Reply is an answer as it was read.
type Reply struct {
	N      int // bytes that it takes up; 0: it is not whole yet
	Status hoptiller.Status
	Report []byte  // what the server tells of its load; nil: nothing
	Data   []byte  // the value or the receipt
	Long   Decoder // if set, a long value follows those bytes
	Length int     // of that; -1: it shows at its end
	Keep   bool    // the connection can be used after it
}

// Decoder takes a long value from what comes.
type Decoder interface {
	// Take gives the next part of the value in b, which may be empty, and tells how many bytes are used up with it, and
	// whether that was all. If none are, more must come first.
	Take(b []byte) (part []byte, used int, done bool, err error)
}

// Counted is the Decoder of a value whose length is known.
type Counted struct {
	Left int    // of the value
	Tail string // what follows it
}

var errTail = errors.New("value without its end")

// Take implements Decoder.
func (c *Counted) Take(b []byte) (part []byte, used int, done bool, err error) {
	if used = min(c.Left, len(b)); used > 0 {
		c.Left -= used
		return b[:used], used, c.Left == 0 && c.Tail == "", nil
	}
	n := min(len(c.Tail), len(b))
	if string(b[:n]) != c.Tail[:n] {
		return nil, 0, false, errTail
	}
	c.Tail = c.Tail[n:]
	return nil, n, c.Tail == "", nil
}

// ToEnd is the Decoder of a value that ends with its connection.
type ToEnd struct{}

// Take implements Decoder.
func (ToEnd) Take(b []byte) (part []byte, used int, done bool, err error) {
	return b, len(b), false, nil
}

// Receipt tells whether an origin's answer to a write can be passed on: any other would break the line in which a client is
// given it.
func Receipt(b []byte) bool {
	return !bytes.ContainsFunc(b, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Meta is the protocol of the cache servers.
type Meta struct{}

// Append implements Protocol.
func (Meta) Append(b []byte, a *Attempt) (head []byte, tail string) {
	c := meta.Command{Verb: meta.Get, Key: a.Key, ID: a.ID, Facts: a.Facts, Long: a.Length}
	if a.Write {
		c.Verb, tail = meta.Set, "\r\n"
	}
	return meta.AppendCommand(b, &c), tail
}

// Parse implements Protocol.
func (Meta) Parse(b []byte, req *relay.Request) (Reply, error) {
	a, n, err := meta.ParseAnswer(b, string(req.ID))
	if err != nil || n == 0 {
		return Reply{}, err
	}
	r := Reply{N: n, Keep: true, Report: a.Report}
	switch a.Kind {
	case meta.Failed:
		r.Status = hoptiller.ServerError
	case meta.Busy:
		r.Status = hoptiller.Full
	case meta.Miss:
		r.Status = hoptiller.Miss
	default:
		if req.Write != (a.Kind == meta.Stored) {
			return Reply{}, meta.ErrAnswer
		}
		if r.Status, r.Data = hoptiller.OK, a.Data; a.Long > 0 {
			r.Long, r.Length = &Counted{a.Long, "\r\n"}, a.Long
		}
	}
	return r, nil
}
