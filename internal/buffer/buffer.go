// Package buffer keeps the program's buffers, all of one size, for use again.
package buffer

import "sync"

// Size holds most of what comes at once. What is longer goes through in pieces, or is kept at its own size.
const Size = 16 << 10

// Buffer is one buffer of the pool.
type Buffer [Size]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Get takes a buffer; its content is whatever was in it last.
func Get() *Buffer { return pool.Get().(*Buffer) }

// Put gives a buffer back. Nothing may use it any more. Put(nil) does nothing.
func Put(b *Buffer) {
	if b != nil {
		pool.Put(b)
	}
}

// Chain is a long value in buffers of the pool.
type Chain struct {
	bufs []*Buffer
	n    int
}

// Len is how much is in it.
func (c *Chain) Len() int { return c.n }

// Append copies more to its end.
func (c *Chain) Append(b []byte) {
	for len(b) > 0 {
		at := c.n % Size
		if at == 0 {
			c.bufs = append(c.bufs, Get())
		}
		k := copy(c.bufs[len(c.bufs)-1][at:], b)
		c.n += k
		b = b[k:]
	}
}

// Parts appends what is in it to some slices, which hold until Free.
func (c *Chain) Parts(to [][]byte) [][]byte {
	for i, b := range c.bufs {
		to = append(to, b[:min(Size, c.n-i*Size)])
	}
	return to
}

// Free gives its buffers back.
func (c *Chain) Free() {
	for _, b := range c.bufs {
		Put(b)
	}
	c.bufs, c.n = nil, 0
}
