package directory

import (
	"bytes"
	"errors"
	"fmt"

	"hoptiller/internal/http1"
)

// body cuts an answer into lines as it comes.
type body struct {
	line  func([]byte) error
	begun bool
	head  http1.Head
	part  []byte // of a line that has not ended
	left  int    // bytes still to come where a length is stated
}

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
	if !b.head.Chunked {
		if b.left < 0 {
			return used, false, http1.ErrFormat
		}
		data := in[used:min(len(in), used+b.left)]
		b.left -= len(data)
		return used + len(data), b.left == 0, b.lines(data, b.left == 0)
	}
	for {
		data, n, err := http1.ParseChunk(in[used:])
		if err != nil || n == 0 {
			return used, false, err
		}
		used += n
		if err := b.lines(data, len(data) == 0); err != nil || len(data) == 0 {
			return used, true, err
		}
	}
}

func (b *body) lines(data []byte, last bool) error {
	b.part = append(b.part, data...)
	if len(b.part) > maxLine {
		return errors.New("line too long")
	}
	for {
		text, rest, whole := bytes.Cut(b.part, []byte("\n"))
		if !whole && !last {
			return nil
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := b.line(text); err != nil {
				return err
			}
		}
		if b.part = rest; !whole {
			return nil
		}
	}
}
