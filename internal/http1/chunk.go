package http1

import (
	"bytes"
	"strconv"
)

// maxSizeLine is the maximum length in bytes of the line that states a chunk's size.
const maxSizeLine = 64

// parseChunkSize reads the line before a chunk. n is the length of that line: 0 without an error means that the line
// is incomplete.
func parseChunkSize(b []byte) (size, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxSizeLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxSizeLine {
			return 0, 0, ErrMalformedResponse
		}
		return 0, 0, nil
	}
	digits, _, _ := bytes.Cut(b[:end], []byte(";"))
	value, parseErr := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if parseErr != nil {
		return 0, 0, ErrMalformedResponse
	}
	return int(value), end + 2, nil
}

// skipTrailers returns the length of the trailers behind the last chunk, which are not used: 0 without an error means
// that they are incomplete.
func skipTrailers(b []byte) (n int, err error) {
	for {
		next := bytes.Index(b[n:], []byte("\r\n"))
		switch {
		case next < 0 && len(b)-n > MaxHead:
			return 0, ErrMalformedResponse
		case next < 0:
			return 0, nil
		case next == 0:
			return n + 2, nil
		}
		n += next + 2
	}
}

// ParseChunk reads one chunk. n is the number of bytes that the chunk takes up: 0 without an error means that it is
// incomplete. The last chunk has no data.
func ParseChunk(b []byte) (data []byte, n int, err error) {
	size, start, err := parseChunkSize(b)
	if err != nil || start == 0 {
		return nil, 0, err
	}
	if size == 0 {
		if n, err = skipTrailers(b[start:]); n > 0 {
			n += start
		}
		return nil, n, err
	}
	end := start + size
	if len(b) < end+2 {
		return nil, 0, nil
	}
	if b[end] != '\r' || b[end+1] != '\n' {
		return nil, 0, ErrMalformedResponse
	}
	return b[start:end], end + 2, nil
}

// ChunkDecoder reads a chunked body as it arrives, including chunks that are still incomplete. It implements
// upstream.Decoder.
type ChunkDecoder struct {
	remaining int // bytes of the current chunk that are still to come, with the line end behind it
}

// Decode returns the next data in b, as a part of b, how many bytes it has consumed, and whether the body is
// complete. If it consumes none, it needs more bytes.
func (c *ChunkDecoder) Decode(b []byte) (data []byte, used int, done bool, err error) {
	switch {
	case c.remaining > 2:
		used = min(c.remaining-2, len(b))
		c.remaining -= used
		return b[:used], used, false, nil
	case c.remaining > 0 && len(b) < 2:
		return nil, 0, false, nil
	case c.remaining > 0 && (b[0] != '\r' || b[1] != '\n'):
		return nil, 0, false, ErrMalformedResponse
	case c.remaining > 0:
		c.remaining = 0
		return nil, 2, false, nil
	}
	size, n, err := parseChunkSize(b)
	if err != nil || n == 0 {
		return nil, 0, false, err
	}
	if size > 0 {
		c.remaining = size + 2
		return nil, n, false, nil
	}
	end, err := skipTrailers(b[n:])
	if err != nil || end == 0 {
		return nil, 0, false, err
	}
	return nil, n + end, true, nil
}
