package http1

import "testing"

// A head is parsed the same way however it arrives, and nothing behind it is consumed.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET /v1/metrics HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\nGET /"))
	f.Add([]byte("POST / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("\r\n\r\n"))
	f.Add([]byte("GET  / HTTP/1.1\r\n"))
	f.Add([]byte("GET / HTTP/1.1\n\n"))
	f.Add([]byte("GET / HTTP/2\r\n a: folded\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, n, err := ParseRequest(in)
		if n > len(in) || n > MaxHead || n > 0 && err != nil {
			t.Fatalf("%d of %d bytes, %v", n, len(in), err)
		}
		for i := range in { // a complete head is complete at its last byte and not earlier; a malformed one stays malformed
			_, cutN, cutErr := ParseRequest(in[:i])
			if n > 0 && (cutErr != nil || cutN != 0 && cutN != n || i < n && cutN != 0) || cutErr != nil && err == nil {
				t.Fatalf("the first %d bytes: %d, %v; all: %d, %v", i, cutN, cutErr, n, err)
			}
		}
	})
}
