package discovery

import (
	"fmt"
	"strings"
	"testing"
)

// All routers must compute the same number for a server, and no two servers may share a number.
func TestServerNumbers(t *testing.T) {
	var a, b Names
	b.numberOf("other")
	for _, name := range []string{"s-5be2a07c", "cache-a", "s-5be2a07cc"} {
		if a.numberOf(name) != b.numberOf(name) {
			t.Errorf("%s has the numbers %x and %x, want one number", name, a.numberOf(name), b.numberOf(name))
		}
	}
	if a.numberOf("s-5be2a07c") != 0x5be2a07c || a.numberOf("t-5be2a07c") == a.numberOf("s-5be2a07c") {
		t.Errorf("numbers of the two servers: %x and %x", a.numberOf("s-5be2a07c"), a.numberOf("t-5be2a07c"))
	}
	s := (&Names{Zones: []string{"x"}, Kinds: []string{"std", "origin"}, OriginKind: 1}).Servers([]Entry{
		{ID: "1", Zone: "new", Kind: "origin", State: "active"}, {ID: "2", Zone: "x", Kind: "std", State: "left"}})
	if !s[0].Origin || s[0].Zone != 1 || s[1].Origin || s[1].Zone != 0 || s[0].Phase == s[1].Phase {
		t.Errorf("servers %+v", s)
	}
}

// A message may be spread over several chunks and reads, and one chunk or read may contain several messages.
func TestBodyParserSplitsMessages(t *testing.T) {
	chunks := func(pieces ...string) string {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, p := range append(pieces, "") {
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
			b := bodyParser{onMessage: func(l []byte) error { got = append(got, string(l)); return nil }}
			pending, finished := "", false
			for text := in; text != "" && !finished; {
				n := min(step, len(text))
				pending, text = pending+text[:n], text[n:]
				consumed, done, err := b.decode([]byte(pending))
				if err != nil {
					t.Fatalf("%q: %v", in, err)
				}
				pending, finished = pending[consumed:], done
			}
			if !finished || strings.Join(got, ";") != want {
				t.Errorf("%q in steps of %d: messages %q, finished: %v", in, step, got, finished)
			}
		}
	}
	for _, in := range []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Busy\r\n\r\n"} {
		if _, _, err := (&bodyParser{}).decode([]byte(in)); err == nil {
			t.Errorf("%q was accepted", in)
		}
	}
}

func TestParseUpdateRejectsInvalid(t *testing.T) {
	for _, in := range []string{"", "[]", `{"servers":5}`, `{"servers":[{"addr":"a:1","state":"active"}]}`,
		`{"servers":[{"id":"s","state":"active"}]}`, `{"servers":[{"id":"s","addr":"a:1"}]}`} {
		if u, err := ParseUpdate([]byte(in)); err == nil {
			t.Errorf("%q was parsed as %+v", in, u)
		}
	}
}

// Servers join and leave all the time: names of unknown servers are removed, and their numbers become free again.
func TestNamesForgetsUnknown(t *testing.T) {
	var n Names
	first := n.numberOf("s-0000000a")
	n.numberOf("s-0000000b")
	n.forgetUnknown(func(id uint32) bool { return id != first })
	if len(n.ids) != 1 || len(n.usedIDs) != 1 || n.numberOf("t-0000000a") != first {
		t.Errorf("remaining names %v, used numbers %v", n.ids, n.usedIDs)
	}
}
