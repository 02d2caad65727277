package provider

import (
	"time"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

// Protocol is how a kind of server is spoken to.
type Protocol interface {
	// Append writes the call of an invocation but for its value, if it is a write, and what is to follow that;
	// wait is how long the router will wait.
	Append(b []byte, inv *relay.Invocation, host string, wait time.Duration) (head []byte, tail string)
	// Parse reads the answer to the call of inv at the start of b.
	Parse(b []byte, inv *relay.Invocation) (Reply, error)
}

// Reply is an answer as it was read.
type Reply struct {
	N      int // bytes that it takes up; 0: it is not whole yet
	Status hoptiller.Status
	Data   []byte // the value or the receipt
	Long   int    // if set, a value of this length follows those bytes
	Tail   string // and this follows it
	Keep   bool   // the connection can be used after it
}

// Meta is the protocol of the slot caches.
type Meta struct{}

// Append implements Protocol.
func (Meta) Append(b []byte, inv *relay.Invocation, _ string, wait time.Duration) (head []byte, tail string) {
	c := meta.Command{Verb: meta.Get, Key: inv.Key, ID: inv.ID, Facts: inv.Facts, Long: inv.Length()}
	if inv.Write {
		c.Verb, tail = meta.Set, "\r\n"
	}
	return meta.AppendCommand(b, &c, max(1, wait.Milliseconds())), tail
}

// Parse implements Protocol.
func (Meta) Parse(b []byte, inv *relay.Invocation) (Reply, error) {
	a, n, err := meta.ParseAnswer(b, string(inv.ID))
	if err != nil || n == 0 {
		return Reply{}, err
	}
	r := Reply{N: n, Keep: true}
	switch a.Kind {
	case meta.Failed:
		r.Status = hoptiller.ServerError
	case meta.Busy:
		r.Status = hoptiller.Full
	case meta.Miss:
		r.Status = hoptiller.Miss
	default:
		if inv.Write != (a.Kind == meta.Stored) {
			return Reply{}, meta.ErrAnswer
		}
		r.Status, r.Data, r.Long, r.Tail = hoptiller.OK, a.Data, a.Long, "\r\n"
	}
	return r, nil
}
