package http1

import (
	"bytes"
	"strconv"
)

const maxSize = 64 // of the line that tells a chunk's size

// chunkSize reads the line before a chunk and tells how many bytes it takes up: 0 without an error means that it is
// not whole yet.
func chunkSize(b []byte) (size, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxSize)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxSize {
			return 0, 0, ErrFormat
		}
		return 0, 0, nil
	}
	digits, _, _ := bytes.Cut(b[:end], []byte(";"))
	x, bad := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if bad != nil {
		return 0, 0, ErrFormat
	}
	return int(x), end + 2, nil
}

// trailers passes over what follows the last chunk: it is of no use here.
func trailers(b []byte) (n int, err error) {
	for {
		next := bytes.Index(b[n:], []byte("\r\n"))
		switch {
		case next < 0 && len(b)-n > MaxHead:
			return 0, ErrFormat
		case next < 0:
			return 0, nil
		case next == 0:
			return n + 2, nil
		}
		n += next + 2
	}
}

// ParseChunk reads one chunk and tells how many bytes it takes up: 0 without
// an error means that it is not whole yet. The last chunk has no data.
func ParseChunk(b []byte) (data []byte, n int, err error) {
	size, from, err := chunkSize(b)
	if err != nil || from == 0 {
		return nil, 0, err
	}
	if size == 0 {
		if n, err = trailers(b[from:]); n > 0 {
			n += from
		}
		return nil, n, err
	}
	to := from + size
	if len(b) < to+2 {
		return nil, 0, nil
	}
	if b[to] != '\r' || b[to+1] != '\n' {
		return nil, 0, ErrFormat
	}
	return b[from:to], to + 2, nil
}

// Chunks reads a body in chunks as it comes, chunks that are not whole yet too.
type Chunks struct {
	left int // of the chunk that has begun, with its line's end
}

// Take gives the next data in b, which is part of it, and tells how many bytes are used up with it, and whether that
// was all. If none are, more must come first.
func (c *Chunks) Take(b []byte) (data []byte, used int, done bool, err error) {
	switch {
	case c.left > 2:
		used = min(c.left-2, len(b))
		c.left -= used
		return b[:used], used, false, nil
	case c.left > 0 && len(b) < 2:
		return nil, 0, false, nil
	case c.left > 0 && (b[0] != '\r' || b[1] != '\n'):
		return nil, 0, false, ErrFormat
	case c.left > 0:
		c.left = 0
		return nil, 2, false, nil
	}
	size, n, err := chunkSize(b)
	if err != nil || n == 0 {
		return nil, 0, false, err
	}
	if size > 0 {
		c.left = size + 2
		return nil, n, false, nil
	}
	end, err := trailers(b[n:])
	if err != nil || end == 0 {
		return nil, 0, false, err
	}
	return nil, n + end, true, nil
}
