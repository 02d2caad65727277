package discovery

import (
	"bytes"
	"errors"
	"fmt"

	"hoptiller/internal/http1"
)

var errLong = errors.New("message too long")

// body cuts an answer into messages as it comes: JSON objects, each of which ends with a line's end, and which may be indented,
// so that they have line ends within.
type body struct {
	message func([]byte) error
	begun   bool
	ended   int // messages and empty lines that have come whole
	head    http1.Head
	part    []byte // of a message that has not ended
	seen    int    // bytes of it that were looked at
	within  nesting
	left    int // bytes still to come where a length is stated
}

// toEnd tells whether the answer ends only with its connection.
func (b *body) toEnd() bool { return b.begun && !b.head.Chunked && b.head.Length < 0 }

// take takes what has come and tells how much of it is used up, and whether that was all.
func (b *body) take(in []byte) (used int, done bool, err error) {
	if !b.begun {
		head, n, err := http1.ParseHead(in)
		if err != nil || n == 0 {
			return 0, false, err
		}
		if head.Status != 200 {
			return n, false, fmt.Errorf("status %d", head.Status)
		}
		b.head, b.begun, b.left, used = head, true, head.Length, n
	}
	switch {
	case b.toEnd():
		return len(in), false, b.messages(in[used:])
	case !b.head.Chunked:
		data := in[used:min(len(in), used+b.left)]
		b.left -= len(data)
		if err := b.messages(data); err != nil || b.left > 0 {
			return used + len(data), false, err
		}
		return used + len(data), true, b.end()
	}
	for {
		data, n, err := http1.ParseChunk(in[used:])
		if err != nil || n == 0 {
			return used, false, err
		}
		used += n
		if len(data) == 0 {
			return used, true, b.end()
		}
		if err := b.messages(data); err != nil {
			return used, true, err
		}
	}
}

// messages hands over those that have come whole.
func (b *body) messages(data []byte) error {
	b.part = append(b.part, data...)
	for b.seen < len(b.part) {
		c := b.part[b.seen]
		b.seen++
		if b.within.take(c); c != '\n' || b.within.depth > 0 && !b.within.text {
			continue
		}
		text := b.part[:b.seen]
		b.part, b.seen, b.within = b.part[b.seen:], 0, nesting{}
		if err := b.whole(text); err != nil {
			return err
		}
	}
	if len(b.part) > maxLine {
		return errLong
	}
	return nil
}

// end hands over what was the last message.
func (b *body) end() error { return b.whole(b.part) }

func (b *body) whole(text []byte) error {
	b.ended++
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return nil
	}
	return b.message(text)
}

// nesting is where in a JSON text a byte stands. A line's end within a string is a fault, and ends the message.
type nesting struct {
	depth   int  // objects and lists that are open
	text    bool // within a string
	escaped bool // behind a backslash
}

func (n *nesting) take(c byte) {
	switch {
	case n.escaped:
		n.escaped = false
	case n.text && c == '\\':
		n.escaped = true
	case c == '"':
		n.text = !n.text
	case n.text:
	case c == '{' || c == '[':
		n.depth++
	case c == '}' || c == ']':
		n.depth--
	}
}
