// Package origin implements the protocol of the origin, HTTP/1.1, for attempts over an upstream.Pool.
package origin

import (
	"errors"

	"hoptiller"
	"hoptiller/internal/http1"
	"hoptiller/internal/relay"
	"hoptiller/internal/upstream"
)

// unprocessedHeader is the header with which the origin states that it did not run a request.
const unprocessedHeader = "X-Unprocessed"

// Protocol implements upstream.Protocol for the origin.
type Protocol struct{}

// AppendAttempt implements upstream.Protocol.
func (Protocol) AppendAttempt(b []byte, a *upstream.Attempt) (head []byte, tail string) {
	method, length := "GET", -1
	if a.Write {
		method, length = "PUT", a.ValueLen
	}
	return http1.AppendRequest(b, method, string(http1.AppendPath(nil, a.Key)), a.Host, length,
		http1.Header{Name: "X-Correlation-Id", Value: string(a.ID)},
		http1.Header{Name: "X-Facts", Value: string(a.Facts)}), ""
}

// ParseReply implements upstream.Protocol.
func (Protocol) ParseReply(b []byte, req *relay.Request) (upstream.Reply, error) {
	h, body, n, long, err := http1.ParseResponse(b, unprocessedHeader)
	if err != nil || n == 0 {
		return upstream.Reply{}, err
	}
	r := upstream.Reply{Size: n, Status: hoptiller.ServerError, KeepConn: !h.Close}
	untilClose := long && !h.Chunked && h.Length < 0
	switch {
	case untilClose: // whatever follows the head, the connection cannot be used again
		if r.KeepConn = false; h.Status == 200 {
			r.Status, r.ValueDecoder, r.ValueLen = hoptiller.OK, upstream.UntilCloseDecoder{}, -1
			return r, nil
		}
	case h.Status == 200 && req.Write && (long || !upstream.ValidReceipt(body)):
		return upstream.Reply{}, errReceipt
	case long && h.Status != 200: // the body of an error is not needed
		return upstream.Reply{}, http1.ErrMalformedResponse
	case long && h.Chunked:
		r.Status, r.ValueDecoder, r.ValueLen = hoptiller.OK, &http1.ChunkDecoder{}, -1
	case long:
		r.Status, r.ValueDecoder, r.ValueLen = hoptiller.OK, &upstream.LengthDecoder{Remaining: h.Length}, h.Length
	case h.Status == 200:
		r.Status, r.Data = hoptiller.OK, body
	}
	if (h.Status == 503 || h.Status == 504) && h.Extra[unprocessedHeader] == "1" {
		r.Status = hoptiller.TurnedAway
	}
	return r, nil
}

// errReceipt reports a receipt that would break the line in which the client gets it.
var errReceipt = errors.New("receipt contains a space or control character")
