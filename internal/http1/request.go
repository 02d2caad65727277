package http1

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrLarge is the fault of a request's head that is longer than MaxHead.
var ErrLarge = errors.New("HTTP head too long")

// ErrRequest is the fault of a request that can't be read.
var ErrRequest = errors.New("malformed HTTP request")

// Request is the head of a request, as far as it matters. Its slices are parts of what was parsed.
type Request struct {
	Method, Path []byte // the path without the query
	Query        []byte // behind the question mark, as it is
}

// ParseRequest reads a request's head and tells how many bytes it takes up: 0 without an error means that
// it is not whole yet. A body behind it is the caller's to pass over.
func ParseRequest(b []byte) (q Request, n int, err error) {
	head := b[:min(len(b), MaxHead)]
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if first := bytes.IndexByte(head, '\n'); first >= 0 { // what is no request is not waited for to its end
		if q, err = requestLine(head[:first]); err != nil {
			return Request{}, 0, err
		}
	} else if i := bytes.IndexFunc(head, func(r rune) bool { return r < ' ' && r != '\r' }); i >= 0 {
		return Request{}, 0, ErrRequest
	}
	switch {
	case end < 0 && len(b) >= MaxHead:
		return Request{}, 0, ErrLarge
	case end < 0:
		return Request{}, 0, nil
	}
	lines := bytes.Split(head[:end], []byte("\r\n"))
	for _, l := range lines[1:] {
		name, _, ok := bytes.Cut(l, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsFunc(l, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) ||
			bytes.ContainsAny(name, " \t") {
			return Request{}, 0, ErrRequest
		}
	}
	return q, end + 4, nil
}

func requestLine(line []byte) (q Request, err error) {
	line, ended := bytes.CutSuffix(line, []byte("\r"))
	part := bytes.Split(line, []byte(" "))
	if !ended || len(part) != 3 || len(part[0]) == 0 || !bytes.HasPrefix(part[1], []byte("/")) ||
		!bytes.HasPrefix(part[2], []byte("HTTP/1.")) || len(part[2]) != len("HTTP/1.1") ||
		bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return Request{}, ErrRequest
	}
	path, query, _ := bytes.Cut(part[1], []byte("?"))
	return Request{Method: part[0], Path: path, Query: query}, nil
}

// AppendAnswer writes an answer, after which the connection ends.
func AppendAnswer(b []byte, status int, reason string, body []byte, headers ...Header) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reason...), "\r\nConnection: close\r\n"...)
	for _, h := range headers {
		b = append(append(append(append(b, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
