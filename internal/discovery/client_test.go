package discovery

import (
	"fmt"
	"strings"
	"testing"
)

// All routers must come to the same number for a server, and no two servers to one.
func TestNames(t *testing.T) {
	var a, b Names
	b.id("other")
	for _, name := range []string{"s-5be2a07c", "cache-a", "s-5be2a07cc"} {
		if a.id(name) != b.id(name) {
			t.Errorf("%s has the numbers %x and %x", name, a.id(name), b.id(name))
		}
	}
	if a.id("s-5be2a07c") != 0x5be2a07c || a.id("t-5be2a07c") == a.id("s-5be2a07c") {
		t.Errorf("numbers %x and %x", a.id("s-5be2a07c"), a.id("t-5be2a07c"))
	}
	s := (&Names{Zones: []string{"x"}, Kinds: []string{"std", "origin"}, OriginKind: 1}).Servers([]Entry{
		{ID: "1", Zone: "new", Kind: "origin", State: "active"}, {ID: "2", Zone: "x", Kind: "std", State: "left"}})
	if !s[0].Origin || s[0].Zone != 1 || s[1].Origin || s[1].Zone != 0 || s[0].Phase == s[1].Phase {
		t.Errorf("servers %+v", s)
	}
}

// A line may be spread over chunks and reads, and several may come in one.
func TestBodyCutsLines(t *testing.T) {
	chunks := func(parts ...string) string {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, p := range append(parts, "") {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		return text
	}
	for in, want := range map[string]string{
		chunks("{\"a\":1}\n\n{\"b\"", ":2}\n", "\n"):                    `{"a":1};{"b":2}`,
		chunks("{\n \"a\": [\n  \"}\\\"\"\n ]\n}\n\n{}", "\n"):          "{\n \"a\": [\n  \"}\\\"\"\n ]\n};{}",
		chunks("{\"a\":\"x\n", "{}\n", "}\n"):                           "{\"a\":\"x;{};}",
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}":         `{"a":1}`,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n\n{\"a\":1}\nrest": `{"a":1}`,
	} {
		for _, step := range []int{1, 3, len(in)} {
			var got []string
			b := body{message: func(l []byte) error { got = append(got, string(l)); return nil }}
			rest, finished := "", false
			for text := in; text != "" && !finished; {
				n := min(step, len(text))
				rest, text = rest+text[:n], text[n:]
				used, done, err := b.take([]byte(rest))
				if err != nil {
					t.Fatalf("%q: %v", in, err)
				}
				rest, finished = rest[used:], done
			}
			if !finished || strings.Join(got, ";") != want {
				t.Errorf("%q by %d: lines %q, ended: %v", in, step, got, finished)
			}
		}
	}
	for _, in := range []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Busy\r\n\r\n"} {
		if _, _, err := (&body{}).take([]byte(in)); err == nil {
			t.Errorf("%q was taken", in)
		}
	}
}

func TestParseUpdateFaults(t *testing.T) {
	for _, in := range []string{"", "[]", `{"servers":5}`, `{"servers":[{"addr":"a:1","state":"active"}]}`,
		`{"servers":[{"id":"s","state":"active"}]}`, `{"servers":[{"id":"s","addr":"a:1"}]}`} {
		if u, err := ParseUpdate([]byte(in)); err == nil {
			t.Errorf("%q was read as %+v", in, u)
		}
	}
}

// Servers come and go without end: what nobody knows any more is forgotten, and its number may be had again.
func TestNamesForget(t *testing.T) {
	var n Names
	first := n.id("s-0000000a")
	n.id("s-0000000b")
	n.keep(func(id uint32) bool { return id != first })
	if len(n.ids) != 1 || len(n.taken) != 1 || n.id("t-0000000a") != first {
		t.Errorf("names %v, numbers %v", n.ids, n.taken)
	}
}
