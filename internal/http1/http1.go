// Package http1 implements the small part of HTTP/1.1 that the router needs: it writes requests, and reads responses
// whose length is stated or that are chunked. It also reads request heads and writes responses. The package does no
// I/O: it works on the bytes that have arrived so far.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of what is read, in bytes.
const (
	MaxHead      = 8 << 10  // a status line or request line with its headers
	MaxShortBody = 64 << 10 // a body that ParseResponse reads as a whole
	MaxLongBody  = 4 << 20  // a longer body is rejected
)

// ErrMalformedResponse reports a response that cannot be parsed.
var ErrMalformedResponse = errors.New("malformed HTTP response")

// Header is one header of a request or response.
type Header struct{ Name, Value string }

// AppendRequest appends the head of a request. The path must be escaped already. The caller writes the body, whose
// length is given in bytes; a negative length means that there is no body.
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

// AppendPath appends a key as one escaped path segment.
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

// ResponseHead holds those parts of a response's status line and headers that the router uses.
type ResponseHead struct {
	Status  int
	Length  int // length of the body in bytes; -1 if not stated
	Chunked bool
	Close   bool              // the connection ends after this response
	Extra   map[string]string // the headers that the caller asked for, by the names that it gave
}

// ParseHead reads the head of a response. n is the number of bytes that the head takes up: 0 without an error means
// that it is incomplete. Header names are matched case-insensitively; extra names further headers to keep.
func ParseHead(b []byte, extra ...string) (h ResponseHead, n int, err error) {
	const prefix = "HTTP/1."
	end := bytes.Index(b[:min(len(b), MaxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		// A head that begins differently is rejected at once, since it may never end.
		if n := min(len(b), len(prefix)); len(b) >= MaxHead || string(b[:n]) != prefix[:n] {
			return h, 0, ErrMalformedResponse
		}
		return h, 0, nil
	}
	lines := bytes.Split(b[:end], []byte("\r\n"))
	status := bytes.SplitN(lines[0], []byte(" "), 3)
	if len(status) < 2 || !bytes.HasPrefix(status[0], []byte(prefix)) || len(status[1]) != 3 {
		return h, 0, ErrMalformedResponse
	}
	code, parseErr := strconv.ParseUint(string(status[1]), 10, 16)
	if parseErr != nil || code < 100 {
		return h, 0, ErrMalformedResponse
	}
	h = ResponseHead{Status: int(code), Length: -1, Close: string(status[0]) == "HTTP/1.0"}
	for _, l := range lines[1:] {
		name, value, ok := bytes.Cut(l, []byte(":"))
		if !ok {
			return h, 0, ErrMalformedResponse
		}
		if err := h.addHeader(string(name), string(bytes.TrimSpace(value)), extra); err != nil {
			return h, 0, err
		}
	}
	if h.Status < 200 || h.Status == 204 || h.Status == 304 {
		h.Length, h.Chunked = 0, false
	}
	return h, end + 4, nil
}

// addHeader records a header if the router uses it or the caller asked for it.
func (h *ResponseHead) addHeader(name, value string, extra []string) error {
	is := func(s string) bool { return bytes.EqualFold([]byte(name), []byte(s)) }
	switch {
	case is("Content-Length"):
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || h.Length >= 0 && h.Length != int(length) {
			return ErrMalformedResponse
		}
		h.Length = int(length)
	case is("Transfer-Encoding"):
		if !bytes.EqualFold([]byte(value), []byte("chunked")) {
			return ErrMalformedResponse
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

// ParseResponse reads a complete response with its body. n is the number of bytes that the response takes up: 0
// without an error means that it is incomplete. Interim responses (1xx) before it are skipped. long reports that the
// body is longer than MaxShortBody or ends only with the connection; then n covers the head alone, and the body is
// not read.
func ParseResponse(b []byte, extra ...string) (h ResponseHead, body []byte, n int, long bool, err error) {
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
			case used == 0 && len(b)-n > MaxShortBody, end+used-n > MaxShortBody:
				return h, nil, n, true, nil
			case used == 0:
				return h, nil, 0, false, nil
			}
			if end += used; len(data) == 0 {
				return h, body, end, false, nil
			}
			body = append(body, data...)
		}
	case h.Length > MaxLongBody:
		return h, nil, 0, false, ErrMalformedResponse
	case h.Length < 0 || h.Length > MaxShortBody:
		return h, nil, n, true, nil
	case len(b)-n < h.Length:
		return h, nil, 0, false, nil
	}
	return h, b[n : n+h.Length], n + h.Length, false, nil
}
