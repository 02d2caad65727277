package meta

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// AppendCommand and AppendFacts pass a command on with no change but that of its deadline.
func TestAppendCommandChangesOnlyTheDeadline(t *testing.T) {
	for in, want := range map[string]string{
		"mg k1 v O9b1f Pc=read,d=480\r\n":                   "mg k1 v O9b1f Pc=read,d=77\r\n",
		"mg k1 v O9b1f Pd=480,c=read,size=9\r\n":            "mg k1 v O9b1f Pd=77,c=read,size=9\r\n",
		"ms k1 5 O9b1f Pc=put,d=480,k=5c\r\nhel\r\n\r\n":    "ms k1 5 O9b1f Pc=put,d=77,k=5c\r\nhel\r\n\r\n",
		"mg k1 v O9b1f Pc=read\r\n":                         "mg k1 v O9b1f Pc=read\r\n",
		"mg k1 v O9b1f Pd=480,c=read,d=9000,d=\r\n":         "mg k1 v O9b1f Pd=77,c=read,d=77,d=77\r\n",
		"mg  k1   v O9b1f Pc=read,d=480,dd=3,d\r\nmn\r\n":   "mg k1 v O9b1f Pc=read,d=77,dd=3,d\r\n",
		"ms k1 0 O9b1f Pc=put,d=480,k=5c\r\n\r\nms k1 1 O8": "ms k1 0 O9b1f Pc=put,d=77,k=5c\r\n\r\n",
	} {
		c, n, err := ParseCommand([]byte(in))
		if err != nil || n == 0 {
			t.Fatalf("%q: %d bytes, %v", in, n, err)
		}
		if got := encode(&c, 77*time.Millisecond+999*time.Microsecond); string(got) != want {
			t.Errorf("%q is passed on as %q, want %q", in, got, want)
		}
		for cut := range n { // a command is not parsed before it is complete
			if _, used, err := ParseCommand([]byte(in[:cut])); used != 0 || err != nil {
				t.Errorf("%q cut to %d bytes: %d used, %v", in, cut, used, err)
			}
		}
	}
}

// encode returns an encoded command with its value. The command states the given time left.
func encode(c *Command, timeLeft time.Duration) []byte {
	command := *c
	command.Facts = AppendFacts(nil, c.Facts, timeLeft)
	b := AppendCommand(nil, &command)
	if c.Verb == Set && c.LongValueLen == 0 {
		b = append(append(b, c.Value...), "\r\n"...)
	}
	return b
}

func TestParseAnswer(t *testing.T) {
	for in, want := range map[string]Answer{
		"VA 3 O9b h1\r\nabc\r\n":       {Kind: Value, ID: []byte("9b"), Data: []byte("abc")},
		"VA 4 O9b\r\n\r\n\r\n\r\n":     {Kind: Value, ID: []byte("9b"), Data: []byte("\r\n\r\n")},
		"HD O9b cr77\r\n":              {Kind: Stored, ID: []byte("9b"), Data: []byte("r77")},
		"EN O9b h0 Z\r\n":              {Kind: Miss, ID: []byte("9b")},
		"SERVER_ERROR busy\r\n":        {Kind: Busy},
		"SERVER_ERROR failed\r\n":      {Kind: Failed},
		"CLIENT_ERROR bad command\r\n": {Kind: Rejected},
		"ERROR\r\n":                    {Kind: Rejected},
	} {
		a, n, err := ParseAnswer([]byte(in), "9b")
		if err != nil || n != len(in) || a.Kind != want.Kind || !bytes.Equal(a.ID, want.ID) || !bytes.Equal(a.Data, want.Data) {
			t.Errorf("%q: %+v, %d bytes, %v", in, a, n, err)
		}
	}
	for in, want := range map[string]error{ // each error is reported as soon as it shows
		"VA x O9b\r\n": ErrBadLength, "VA 3 O9b\r\nabcdef": ErrBadChunk, "VA 4194305 O9b\r\n": ErrTooLarge,
		"VA 3000000000 O9b\r\n": ErrBadLength, "VA -1 O9b\r\n": ErrBadLength, "VA 3\r\n": ErrBadID, "EN\r\n": ErrBadID,
		"VA 3 O9c\r\n": ErrBadID, "HD O9bb c5\r\n": ErrBadID, // reported before the value has arrived
		"\r\n": ErrNotAnswer, "VALUE": ErrNotAnswer, "x": ErrNotAnswer, "ENO9b\r\n": ErrNotAnswer, "EN\x00": ErrNotAnswer,
		"EN O9b " + strings.Repeat("a", MaxLine): ErrLineTooLong,
	} {
		if _, _, err := ParseAnswer([]byte(in), "9b"); !errors.Is(err, want) {
			t.Errorf("%.20q: %v, want %v", in, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"mg k v O1 Pc=r,d=4\r\n", "ms k 3 O1 Pc=r,d=4,k=9\r\nabc\r\n", "mn\r\n", "ms k 9999999999 O1\r\n",
		"VA 3 O1 h1\r\nabc\r\n", "HD O1 c5\r\n", "EN O1\r\n", "SERVER_ERROR busy 5\r\n", "VA -1 O1\r\n", "\n", " \r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, n, err := ParseCommand(b); n < 0 || n > len(b) || len(c.Value) > MaxShortValue {
			t.Errorf("command of %d bytes: %v", n, err)
		} else if err == nil && n > 0 && (c.Verb == Get || c.Verb == Set) {
			again, used, err := ParseCommand(encode(&c, 5*time.Millisecond))
			if err != nil || used == 0 || !bytes.Equal(again.Key, c.Key) || !bytes.Equal(again.Value, c.Value) ||
				!bytes.Equal(again.ID, c.ID) {
				t.Errorf("%q is passed on as %+v, %v", b, again, err)
			}
		}
		if a, n, err := ParseAnswer(b, "1"); n < 0 || n > len(b) || len(a.Data) > MaxShortValue {
			t.Errorf("answer of %d bytes: %v", n, err)
		}
	})
}

// A client waits for as long as it states. If it states several times, the shortest counts; an invalid time is an
// error.
func TestDeadline(t *testing.T) {
	for facts, want := range map[string]struct {
		wait   time.Duration
		stated bool
		err    error
	}{
		"":                    {0, false, nil},
		"c=read":              {0, false, nil},
		"c=read,d,dd=7":       {0, false, nil},
		"c=read,d=480":        {480 * time.Millisecond, true, nil},
		"d=1":                 {time.Millisecond, true, nil},
		"d=480,c=read,d=90":   {90 * time.Millisecond, true, nil},
		"d=90,c=read,d=480":   {90 * time.Millisecond, true, nil},
		"d=3600000":           {time.Hour, true, nil},
		"d=3600001":           {0, true, ErrBadDeadline},
		"d=0":                 {0, true, ErrBadDeadline},
		"d=-1":                {0, true, ErrBadDeadline},
		"d=":                  {0, true, ErrBadDeadline},
		"d=4e2":               {0, true, ErrBadDeadline},
		"d=480,d=soon":        {0, true, ErrBadDeadline},
		"d=99999999999999999": {0, true, ErrBadDeadline},
	} {
		if wait, stated, err := Deadline([]byte(facts)); wait != want.wait || stated != want.stated || !errors.Is(err, want.err) {
			t.Errorf("%q: %v, %v, %v", facts, wait, stated, err)
		}
	}
}
