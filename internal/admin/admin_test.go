package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"hoptiller/internal/http1"
	"hoptiller/internal/testprog"
)

// request sends text over conn and returns what was answered.
func request(t *testing.T, conn net.Conn, text string) (status int, allow, body string) {
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.30q: %v", text, err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || !r.Close {
		t.Errorf("%.30q: %v, close %v", text, err, r.Close)
	}
	return r.StatusCode, r.Header.Get("Allow"), string(b)
}

// stateOK is the result of the call /state.
var stateOK = true

var server = Server{MaxConns: 8, Calls: map[string]Call{
	"/state": {Method: "GET", Do: func() (bool, []byte) { return stateOK, []byte("as it is") }},
}}

// Each valid call gets its answer, and each invalid one an error. Bytes after the head do no harm.
func TestAnswers(t *testing.T) {
	dial := testprog.Serve(t, server.Serve)
	for _, c := range []struct {
		text   string
		status int
	}{
		{"GET /state HTTP/1.1\r\nHost: x\r\n\r\n", 200},
		{"GET /state?now HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90000), 200},
		{"GET /other HTTP/1.1\r\n\r\n", 404},
		{"POST /state HTTP/1.1\r\n\r\n", 405},
		{"mg k v O1\r\n", 400},
		{"GET  / HTTP/1.1\r\n", 400},
		{"GET / HTTP/2\r\n\r\n", 400},
		{"GET / HTTP/1.1\n\n", 400},
		{"\x16\x03\x01", 400},
		{"GET /state HTTP/1.1\r\n a: folded\r\n\r\n", 400},
		{"GET /state HTTP/1.1\r\nno colon\r\n\r\n", 400},
		{"GET /" + strings.Repeat("x", 2*http1.MaxHead), 431},
		{"GET /state HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", http1.MaxHead/3), 431},
	} {
		status, allow, body := request(t, dial(), c.text)
		if status != c.status || (allow == "GET") != (status == 405) || body == "" {
			t.Errorf("%.30q: %d, allow %q, %q", c.text, status, allow, body)
		}
	}
	stateOK = false
	defer func() { stateOK = true }()
	if status, _, body := request(t, dial(), "GET /state HTTP/1.1\r\n\r\n"); status != 503 || body != "as it is\n" {
		t.Errorf("a call that fails is answered %d %q", status, body)
	}
}

// Callers that connect and never send a complete request, more of them than there are slots, don't keep out another caller: the
// oldest of these connections are closed.
func TestStalledCallersAreEvicted(t *testing.T) {
	dial := testprog.Serve(t, server.Serve)
	first := dial()
	for range 3 * server.MaxConns {
		fmt.Fprint(dial(), "GET /sta")
	}
	if status, _, _ := request(t, dial(), "GET /state HTTP/1.1\r\n\r\n"); status != 200 {
		t.Errorf("status %d", status)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is still open")
	}
}

// A connection on which nothing is sent is closed after a time, even if there are free slots.
func TestStalledCallerTimesOut(t *testing.T) {
	if _, err := io.ReadAll(testprog.Serve(t, server.Serve)()); err != nil {
		t.Error(err)
	}
}
