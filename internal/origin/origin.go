// Package origin is the protocol of the origin, HTTP/1.1, for attempts
// over a upstream.Pool.
package origin

import (
	"errors"

	"hoptiller"
	"hoptiller/internal/http1"
	"hoptiller/internal/relay"
	"hoptiller/internal/upstream"
)

// notRun is the header by which the origin says that a call never ran.
const notRun = "X-Unprocessed"

// Protocol is how the origin is spoken to.
type Protocol struct{}

// Append implements upstream.Protocol.
func (Protocol) Append(b []byte, a *upstream.Attempt) (head []byte, tail string) {
	method, length := "GET", -1
	if a.Write {
		method, length = "PUT", a.Length
	}
	return http1.AppendRequest(b, method, string(http1.AppendPath(nil, a.Key)), a.Host, length,
		http1.Header{Name: "X-Correlation-Id", Value: string(a.ID)},
		http1.Header{Name: "X-Facts", Value: string(a.Facts)}), ""
}

// Parse implements upstream.Protocol.
func (Protocol) Parse(b []byte, req *relay.Request) (upstream.Reply, error) {
	h, body, n, long, err := http1.ParseAnswer(b, notRun)
	if err != nil || n == 0 {
		return upstream.Reply{}, err
	}
	r := upstream.Reply{N: n, Status: hoptiller.ServerError, Keep: !h.Close}
	toEnd := long && !h.Chunked && h.Length < 0
	switch {
	case toEnd: // whatever follows the head, this connection is of no more use
		if r.Keep = false; h.Status == 200 {
			r.Status, r.Long, r.Length = hoptiller.OK, upstream.ToEnd{}, -1
			return r, nil
		}
	case h.Status == 200 && req.Write && (long || !upstream.Receipt(body)):
		return upstream.Reply{}, errReceipt
	case long && h.Status != 200: // nobody wants it
		return upstream.Reply{}, http1.ErrFormat
	case long && h.Chunked:
		r.Status, r.Long, r.Length = hoptiller.OK, &http1.Chunks{}, -1
	case long:
		r.Status, r.Long, r.Length = hoptiller.OK, &upstream.Counted{Left: h.Length}, h.Length
	case h.Status == 200:
		r.Status, r.Data = hoptiller.OK, body
	}
	if (h.Status == 503 || h.Status == 504) && h.Extra[notRun] == "1" {
		r.Status = hoptiller.Full
	}
	return r, nil
}

// errReceipt is the fault of a receipt that would break the line in which a client is given it.
var errReceipt = errors.New("receipt is no single word")
