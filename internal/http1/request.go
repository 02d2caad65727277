package http1

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrHeadTooLarge reports a request head that is longer than MaxHead.
var ErrHeadTooLarge = errors.New("HTTP head too long")

// ErrMalformedRequest reports a request that cannot be parsed.
var ErrMalformedRequest = errors.New("malformed HTTP request")

// Request holds those parts of a request's head that the router uses. Its slices are parts of the parsed bytes.
type Request struct {
	Method, Path []byte // the path without the query
	Query        []byte // the unparsed text behind the question mark
}

// ParseRequest reads the head of a request. n is the number of bytes that the head takes up: 0 without an error means
// that it is incomplete. The caller skips a body that follows.
func ParseRequest(b []byte) (q Request, n int, err error) {
	head := b[:min(len(b), MaxHead)]
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if first := bytes.IndexByte(head, '\n'); first >= 0 { // a malformed request line is rejected before the head is complete
		if q, err = parseRequestLine(head[:first]); err != nil {
			return Request{}, 0, err
		}
	} else if i := bytes.IndexFunc(head, func(r rune) bool { return r < ' ' && r != '\r' }); i >= 0 {
		return Request{}, 0, ErrMalformedRequest
	}
	switch {
	case end < 0 && len(b) >= MaxHead:
		return Request{}, 0, ErrHeadTooLarge
	case end < 0:
		return Request{}, 0, nil
	}
	lines := bytes.Split(head[:end], []byte("\r\n"))
	for _, l := range lines[1:] {
		name, _, ok := bytes.Cut(l, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsFunc(l, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) ||
			bytes.ContainsAny(name, " \t") {
			return Request{}, 0, ErrMalformedRequest
		}
	}
	return q, end + 4, nil
}

// parseRequestLine reads the first line of a request.
func parseRequestLine(line []byte) (q Request, err error) {
	line, ended := bytes.CutSuffix(line, []byte("\r"))
	parts := bytes.Split(line, []byte(" "))
	if !ended || len(parts) != 3 || len(parts[0]) == 0 || !bytes.HasPrefix(parts[1], []byte("/")) ||
		!bytes.HasPrefix(parts[2], []byte("HTTP/1.")) || len(parts[2]) != len("HTTP/1.1") ||
		bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return Request{}, ErrMalformedRequest
	}
	path, query, _ := bytes.Cut(parts[1], []byte("?"))
	return Request{Method: parts[0], Path: path, Query: query}, nil
}

// AppendResponse appends a complete response with a body. It announces that the connection ends afterwards.
func AppendResponse(b []byte, status int, reason string, body []byte, headers ...Header) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reason...), "\r\nConnection: close\r\n"...)
	for _, h := range headers {
		b = append(append(append(append(b, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
