// Package buffer pools the program's read buffers, which all have one size, and reads connections through them.
package buffer

import "sync"

// Size is the size of a buffer in bytes. It fits most of what arrives at once. Longer data is read in pieces or kept
// in memory of its own size.
const Size = 16 << 10

// Buffer is one buffer of the pool.
type Buffer [Size]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Get takes a buffer from the pool. The buffer may contain old data.
func Get() *Buffer { return pool.Get().(*Buffer) }

// Put returns a buffer to the pool. The buffer must not be used afterwards. Put(nil) does nothing.
func Put(b *Buffer) {
	if b != nil {
		pool.Put(b)
	}
}

// Chain holds a long value in buffers of the pool.
type Chain struct {
	bufs []*Buffer
	n    int // length of the value in bytes
}

// ChainSize returns how much memory a Chain takes that holds length bytes.
func ChainSize(length int) int64 { return int64(length+Size-1) / Size * Size }

// Len returns the length of the value in bytes.
func (c *Chain) Len() int { return c.n }

// Append copies b to the end of the value.
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

// Parts appends the parts of the value to a list of slices. They are valid until Free.
func (c *Chain) Parts(to [][]byte) [][]byte {
	for i, b := range c.bufs {
		to = append(to, b[:min(Size, c.n-i*Size)])
	}
	return to
}

// Free returns the buffers to the pool.
func (c *Chain) Free() {
	for _, b := range c.bufs {
		Put(b)
	}
	c.bufs, c.n = nil, 0
}
