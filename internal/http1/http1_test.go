package http1

import (
	"strings"
	"testing"
)

func TestParseResponse(t *testing.T) {
	for in, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc":                                                              "abc",
		"HTTP/1.1 200 OK\r\ncontent-length:0\r\n\r\n":                                                                  "",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\n":              "abc",
		"HTTP/1.1 204 No\r\n\r\n":                                                                                      "",
		"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na": "a",
		"HTTP/1.1 200 OK\r\nX-Backend-Load: \xff=,=;\x01\r\nContent-Length: 1\r\n\r\na":                                "a",
	} {
		h, body, n, _, err := ParseResponse([]byte(in))
		if err != nil || n != len(in) || string(body) != want || h.Status/100 != 2 {
			t.Errorf("%q: %+v, body %q, %d bytes, %v", in, h, body, n, err)
		}
		for cut := range in {
			if _, _, n, _, err := ParseResponse([]byte(in[:cut])); n != 0 || err != nil {
				t.Errorf("%q cut to %d bytes: %d used, %v", in, cut, n, err)
			}
		}
	}
	for _, in := range []string{"FTP 200\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"ICY 200", "HTTP/1.1 OK 200\r\n\r\n", "H\x00", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\nab", strings.Repeat("a", MaxHead),
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"} {
		if _, _, _, _, err := ParseResponse([]byte(in)); err == nil {
			t.Errorf("%.60q was taken", in)
		}
	}
	// Without a length the body ends with the connection, so none of it is part of the parsed response.
	if h, body, n, long, err := ParseResponse([]byte("HTTP/1.1 200 OK\r\n\r\nabc")); err != nil || !long || n != 19 ||
		body != nil || h.Length != -1 || h.Chunked {
		t.Errorf("%+v, body %q, %d bytes, long %v, %v", h, body, n, long, err)
	}
	h, _, _, _, err := ParseResponse([]byte("HTTP/1.1 503 No\r\nx-unprocessed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
		"X-Unprocessed")
	if err != nil || h.Extra["X-Unprocessed"] != "1" || !h.Close {
		t.Errorf("%+v, %v", h, err)
	}
}

func TestAppendRequest(t *testing.T) {
	path := string(AppendPath(nil, []byte("a/b ?é")))
	got := string(AppendRequest(nil, "PUT", path, "s-1", 2, Header{"X-Facts", "c=put"}))
	want := "PUT /a%2Fb%20%3F%C3%A9 HTTP/1.1\r\nHost: s-1\r\nX-Facts: c=put\r\nContent-Length: 2\r\n\r\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\nab"))
	f.Add([]byte("2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\nmore"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, body, n, _, err := ParseResponse(b, "X-Unprocessed")
		if n < 0 || n > len(b) || len(body) > len(b) {
			t.Errorf("%d bytes, body of %d, %v", n, len(body), err)
		}
		// A chunked body that is read byte by byte, as it arrives, is equal to the same body read at once.
		var whole, pieces []byte
		for rest := b; ; {
			data, n, err := ParseChunk(rest)
			if err != nil || n == 0 {
				return
			}
			if whole, rest = append(whole, data...), rest[n:]; len(data) == 0 {
				b = b[:len(b)-len(rest)]
				break
			}
		}
		c, start := ChunkDecoder{}, 0
		for last := range b {
			for n, done := -1, false; n != 0; {
				var data []byte
				if data, n, done, err = c.Decode(b[start : last+1]); err != nil || done != (start+n == len(b)) {
					t.Fatalf("%q at %d to %d: %d, done %v, %v", b, start, last, n, done, err)
				}
				pieces = append(pieces, data...)
				if start += n; done {
					n = 0
				}
			}
		}
		if string(pieces) != string(whole) {
			t.Errorf("%q in pieces, %q as a whole", pieces, whole)
		}
	})
}
