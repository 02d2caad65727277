package discovery

import (
	"bytes"
	"errors"
	"fmt"

	"hoptiller/internal/http1"
)

var errMessageTooLong = errors.New("message too long")

// bodyParser splits the body of an HTTP answer into messages as bytes arrive. Each message is a JSON object that ends
// with a line feed. The object may be indented, so it may contain line feeds itself.
type bodyParser struct {
	onMessage  func([]byte) error
	headParsed bool
	completed  int // number of complete messages and empty lines
	head       http1.ResponseHead
	partial    []byte // beginning of a message that is not complete yet
	scanned    int    // number of bytes of partial that have been scanned
	nesting    jsonNesting
	remaining  int // bytes of the body still expected, if the head states a length
}

// endsWithConnection reports whether only the end of the connection marks the end of the answer.
func (b *bodyParser) endsWithConnection() bool {
	return b.headParsed && !b.head.Chunked && b.head.Length < 0
}

// decode parses the bytes received so far. It returns how many of them it has consumed and whether the answer is
// complete.
func (b *bodyParser) decode(in []byte) (used int, done bool, err error) {
	if !b.headParsed {
		head, n, err := http1.ParseHead(in)
		if err != nil || n == 0 {
			return 0, false, err
		}
		if head.Status != 200 {
			return n, false, fmt.Errorf("status %d", head.Status)
		}
		b.head, b.headParsed, b.remaining, used = head, true, head.Length, n
	}
	switch {
	case b.endsWithConnection():
		return len(in), false, b.splitMessages(in[used:])
	case !b.head.Chunked:
		data := in[used:min(len(in), used+b.remaining)]
		b.remaining -= len(data)
		if err := b.splitMessages(data); err != nil || b.remaining > 0 {
			return used + len(data), false, err
		}
		return used + len(data), true, b.finish()
	}
	for {
		data, n, err := http1.ParseChunk(in[used:])
		if err != nil || n == 0 {
			return used, false, err
		}
		used += n
		if len(data) == 0 {
			return used, true, b.finish()
		}
		if err := b.splitMessages(data); err != nil {
			return used, true, err
		}
	}
}

// splitMessages appends data to the partial message and passes each complete message to onMessage.
func (b *bodyParser) splitMessages(data []byte) error {
	b.partial = append(b.partial, data...)
	for b.scanned < len(b.partial) {
		c := b.partial[b.scanned]
		b.scanned++
		if b.nesting.advance(c); c != '\n' || b.nesting.depth > 0 && !b.nesting.inString {
			continue
		}
		text := b.partial[:b.scanned]
		b.partial, b.scanned, b.nesting = b.partial[b.scanned:], 0, jsonNesting{}
		if err := b.deliver(text); err != nil {
			return err
		}
	}
	if len(b.partial) > maxMessage {
		return errMessageTooLong
	}
	return nil
}

// finish passes the last message, which needs no line feed, to onMessage.
func (b *bodyParser) finish() error { return b.deliver(b.partial) }

// deliver counts a message and passes it to onMessage unless it is empty.
func (b *bodyParser) deliver(text []byte) error {
	b.completed++
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return nil
	}
	return b.onMessage(text)
}

// jsonNesting tracks the position of a byte within the structure of a JSON text. A line feed within a string is
// invalid JSON and ends the message.
type jsonNesting struct {
	depth    int  // number of open objects and arrays
	inString bool // the position is within a string
	escaped  bool // the previous byte is an escaping backslash
}

// advance updates the position with the next byte.
func (n *jsonNesting) advance(c byte) {
	switch {
	case n.escaped:
		n.escaped = false
	case n.inString && c == '\\':
		n.escaped = true
	case c == '"':
		n.inString = !n.inString
	case n.inString:
	case c == '{' || c == '[':
		n.depth++
	case c == '}' || c == ']':
		n.depth--
	}
}
