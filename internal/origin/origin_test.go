package origin

import (
	"testing"

	"hoptiller"
	"hoptiller/internal/relay"
)

// The status of an attempt follows from the origin's response, as the protocol defines it. After an unreadable
// response the attempt may have run.
func TestOutcomes(t *testing.T) {
	read, write := &relay.Request{}, &relay.Request{Write: true}
	for in, want := range map[string]struct {
		req    *relay.Request
		status hoptiller.Status
		data   string
		fault  bool
	}{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na b": {read, hoptiller.OK, "a b", false},
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr7":  {write, hoptiller.OK, "r7", false},
		// A receipt with a line end would break the line in which the client gets it.
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nr\r\n7":                                 {write, 0, "", true},
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":                                       {write, hoptiller.ServerError, "", false},
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                       {write, hoptiller.ServerError, "", false},
		"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":                   {write, hoptiller.TurnedAway, "", false},
		"HTTP/1.1 504 No\r\nx-unprocessed: 1\r\nContent-Length: 0\r\n\r\n":                   {read, hoptiller.TurnedAway, "", false},
		"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":              {write, hoptiller.ServerError, "", false},
		"ICY 200 OK\r\nContent-Length: 3\r\n\r\na b":                                         {read, 0, "", true},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n": {read, 0, "", true},
	} {
		r, err := Protocol{}.ParseReply([]byte(in), want.req)
		if (err != nil) != want.fault || err == nil && (r.Status != want.status || string(r.Data) != want.data || r.Size != len(in)) {
			t.Errorf("%q: %+v, %v", in, r, err)
		}
	}
}
