// Package buffer keeps the program's buffers, all of one size, for use again.
package buffer

import "sync"

// Size holds the largest value of the protocol together with the lines and
// headers that come with it.
const Size = 64<<10 + 8<<10

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
