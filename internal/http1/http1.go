// Package http1 is the little of HTTP/1.1 that a router needs as a client:
// writing a request, and reading answers whose length is stated or that come
// in chunks. It does no I/O: it works on the bytes that have come so far.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

// The limits of what is read.
const (
	MaxHead = 8 << 10  // of a status line and its headers
	MaxBody = 64 << 10 // that ParseAnswer reads as a whole
	MaxLong = 4 << 20  // a longer one is not read
)

// ErrFormat is the fault of an answer that can't be read.
var ErrFormat = errors.New("malformed HTTP answer")

// Header is one header of a request.
type Header struct{ Name, Value string }

// AppendRequest writes a request's head. The path must be escaped already; a body is the caller's to write, length is
// that of it, or less than 0 where there is none.
func AppendRequest(b []byte, method, path, host string, length int, headers ...Header) []byte {
	b = append(append(append(append(b, method...), ' '), path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	for _, h := range headers {
		b = append(append(append(append(b, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	if length >= 0 {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(length), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// AppendPath writes a key as one part of a path.
func AppendPath(b, key []byte) []byte {
	const hex = "0123456789ABCDEF"
	b = append(b, '/')
	for _, c := range key {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || bytes.IndexByte([]byte("-._~:@"), c) >= 0 {
			b = append(b, c)
		} else {
			b = append(b, '%', hex[c>>4], hex[c&15])
		}
	}
	return b
}

// Head is the status line and the headers of an answer, as far as they matter.
type Head struct {
	Status  int
	Length  int // of the body; -1 if not stated
	Chunked bool
	Close   bool              // the connection ends with this answer
	Extra   map[string]string // the headers that the caller asked for, by the name it gave
}

// ParseHead reads a head and tells how many bytes it takes up: 0 without an
// error means that it is not whole yet. Names are matched without regard to
// case.
func ParseHead(b []byte, extra ...string) (h Head, n int, err error) {
	const begin = "HTTP/1."
	end := bytes.Index(b[:min(len(b), MaxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		// What begins otherwise is not waited for to its end: it may have none.
		if n := min(len(b), len(begin)); len(b) >= MaxHead || string(b[:n]) != begin[:n] {
			return h, 0, ErrFormat
		}
		return h, 0, nil
	}
	lines := bytes.Split(b[:end], []byte("\r\n"))
	status := bytes.SplitN(lines[0], []byte(" "), 3)
	if len(status) < 2 || !bytes.HasPrefix(status[0], []byte(begin)) || len(status[1]) != 3 {
		return h, 0, ErrFormat
	}
	code, bad := strconv.ParseUint(string(status[1]), 10, 16)
	if bad != nil || code < 100 {
		return h, 0, ErrFormat
	}
	h = Head{Status: int(code), Length: -1, Close: string(status[0]) == "HTTP/1.0"}
	for _, l := range lines[1:] {
		name, value, ok := bytes.Cut(l, []byte(":"))
		if !ok {
			return h, 0, ErrFormat
		}
		if err := h.take(string(name), string(bytes.TrimSpace(value)), extra); err != nil {
			return h, 0, err
		}
	}
	if h.Status < 200 || h.Status == 204 || h.Status == 304 {
		h.Length, h.Chunked = 0, false
	}
	return h, end + 4, nil
}

func (h *Head) take(name, value string, extra []string) error {
	is := func(s string) bool { return bytes.EqualFold([]byte(name), []byte(s)) }
	switch {
	case is("Content-Length"):
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || h.Length >= 0 && h.Length != int(length) {
			return ErrFormat
		}
		h.Length = int(length)
	case is("Transfer-Encoding"):
		if !bytes.EqualFold([]byte(value), []byte("chunked")) {
			return ErrFormat
		}
		h.Chunked = true
	case is("Connection"):
		h.Close = h.Close || bytes.EqualFold([]byte(value), []byte("close"))
	}
	for _, e := range extra {
		if is(e) {
			if h.Extra == nil {
				h.Extra = map[string]string{}
			}
			h.Extra[e] = value
		}
	}
	return nil
}

// ParseAnswer reads a whole answer with its body and tells how many bytes it
// takes up: 0 without an error means that it is not whole yet. Interim answers
// (1xx) ahead of it are passed over. Of one whose body is long, over MaxBody, or ends only with the connection, that is its head.
func ParseAnswer(b []byte, extra ...string) (h Head, body []byte, n int, long bool, err error) {
	for h.Status < 200 {
		var used int
		if h, used, err = ParseHead(b[n:], extra...); err != nil || used == 0 {
			return h, nil, 0, false, err
		}
		n += used
	}
	switch {
	case h.Chunked:
		for end := n; ; {
			data, used, err := ParseChunk(b[end:])
			switch {
			case err != nil:
				return h, nil, 0, false, err
			case used == 0 && len(b)-n > MaxBody, end+used-n > MaxBody:
				return h, nil, n, true, nil
			case used == 0:
				return h, nil, 0, false, nil
			}
			if end += used; len(data) == 0 {
				return h, body, end, false, nil
			}
			body = append(body, data...)
		}
	case h.Length > MaxLong:
		return h, nil, 0, false, ErrFormat
	case h.Length < 0 || h.Length > MaxBody:
		return h, nil, n, true, nil
	case len(b)-n < h.Length:
		return h, nil, 0, false, nil
	}
	return h, b[n : n+h.Length], n + h.Length, false, nil
}
