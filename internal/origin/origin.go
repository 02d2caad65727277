// Package origin is the protocol of the origin, HTTP/1.1, for invoker calls
// over a provider.Pool.
package origin

import (
	"bytes"
	"errors"
	"time"

	"hoptiller"
	"hoptiller/internal/http1"
	"hoptiller/internal/relay"
)

// notRun is the header by which the origin says that a call never ran.
const notRun = "X-Unprocessed"

// Protocol is how the origin is spoken to.
type Protocol struct{}

// Append implements provider.Protocol.
func (Protocol) Append(b []byte, inv *relay.Invocation, host string, _ time.Duration) []byte {
	method, body := "GET", []byte(nil)
	if inv.Write {
		method, body = "PUT", inv.Value[:len(inv.Value):len(inv.Value)]
		if body == nil {
			body = []byte{} // a length of 0 is stated too
		}
	}
	return http1.AppendRequest(b, method, string(http1.AppendPath(nil, inv.Key)), host, body,
		http1.Header{Name: "X-Correlation-Id", Value: string(inv.ID)},
		http1.Header{Name: "X-Facts", Value: string(inv.Facts)})
}

// Parse implements provider.Protocol.
func (Protocol) Parse(b []byte, inv *relay.Invocation) (hoptiller.Status, []byte, int, bool, error) {
	h, body, n, err := http1.ParseAnswer(b, notRun)
	if err != nil || n == 0 {
		return 0, nil, 0, false, err
	}
	switch {
	case h.Status == 200 && inv.Write && bytes.ContainsFunc(body, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return 0, nil, 0, false, errReceipt
	case h.Status == 200:
		return hoptiller.OK, body, n, !h.Close, nil
	case (h.Status == 503 || h.Status == 504) && h.Extra[notRun] == "1":
		return hoptiller.Full, nil, n, !h.Close, nil
	}
	return hoptiller.ServerError, nil, n, !h.Close, nil
}

// errReceipt is the fault of a receipt that would break the line in which a client is given it.
var errReceipt = errors.New("receipt is no single word")
