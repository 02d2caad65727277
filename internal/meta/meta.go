// Package meta reads and writes the meta commands of the memcache text
// protocol, as far as routers and providers speak them. It does no I/O: it
// works on the bytes that have come so far.
package meta

import (
	"bytes"
	"errors"
	"strconv"
	"time"
)

// The limits of what is read.
const (
	MaxLine  = 2048
	MaxKey   = 250
	MaxValue = 64 << 10 // that is read as a whole
	MaxLong  = 4 << 20  // a longer one is not read
)

// Verb is what a command asks for.
type Verb uint8

// The commands that are known.
const (
	Get     Verb = iota // mg
	Set                 // ms
	Noop                // mn
	Version             // version
	Quit                // quit
	Unknown
)

// Command is one command of a client. Its slices are parts of what was parsed.
type Command struct {
	Verb  Verb
	Key   []byte
	ID    []byte // the O flag
	Facts []byte // the P flag: a list of names and values
	Value []byte // of Set
	Long  int    // the length of a value over MaxValue, which follows the line, and a line's end follows that
}

// The faults of a command. After those of Fatal the stream can't be read on.
var (
	ErrLine   = errors.New("CLIENT_ERROR line too long")
	ErrFormat = errors.New("CLIENT_ERROR bad command line format")
	ErrKey    = errors.New("CLIENT_ERROR bad key")
	ErrID     = errors.New("CLIENT_ERROR missing request id")
	ErrLength = errors.New("CLIENT_ERROR bad data length")
	ErrLarge  = errors.New("CLIENT_ERROR object too large")
	ErrChunk  = errors.New("CLIENT_ERROR bad data chunk")
)

// Fatal tells whether nothing after a command with this fault can be trusted.
func Fatal(err error) bool {
	return errors.Is(err, ErrLine) || errors.Is(err, ErrLarge) || errors.Is(err, ErrChunk) ||
		errors.Is(err, ErrLength)
}

// line finds the first line of b. n is what it takes up with its end, 0 if
// the end has not come yet.
func line(b []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxLine)], '\n')
	if end < 0 {
		if len(b) >= MaxLine {
			return nil, 0, ErrLine
		}
		return nil, 0, nil
	}
	return bytes.TrimSuffix(b[:end], []byte("\r")), end + 1, nil
}

// word cuts the first word off a line.
func word(s []byte) (first, rest []byte) {
	s = bytes.TrimLeft(s, " ")
	if i := bytes.IndexByte(s, ' '); i >= 0 {
		return s[:i], s[i+1:]
	}
	return s, nil
}

// ParseCommand reads the command at the start of b and tells how many bytes it
// takes up: 0 without an error means that it is not whole yet. Of one with a long value that is its line, and where
// it has a fault as well nothing after the line can be trusted.
func ParseCommand(b []byte) (c Command, n int, err error) {
	text, n, err := line(b)
	if n == 0 || err != nil {
		return c, 0, err
	}
	name, rest := word(text)
	switch string(name) {
	case "mg":
		c.Verb = Get
	case "ms":
		c.Verb = Set
	case "mn":
		return Command{Verb: Noop}, n, nil
	case "version":
		return Command{Verb: Version}, n, nil
	case "quit":
		return Command{Verb: Quit}, n, nil
	default:
		return Command{Verb: Unknown}, n, nil
	}
	c.Key, rest = word(rest)
	if c.Verb == Set {
		var length []byte
		length, rest = word(rest)
		size, bad := strconv.ParseUint(string(length), 10, 31)
		switch end := n + int(size); {
		case bad != nil: // how much data follows is not known
			return c, n, ErrLength
		case size > MaxLong:
			return c, n, ErrLarge
		case size > MaxValue:
			c.Long = int(size)
		case len(b) < end+2:
			return c, 0, nil
		case b[end] != '\r' || b[end+1] != '\n':
			return c, n, ErrChunk
		default:
			c.Value, n = b[n:end], end+2
		}
	}
	if !validKey(c.Key) {
		return c, n, ErrKey
	}
	return c, n, c.flags(rest)
}

func (c *Command) flags(rest []byte) error {
	var flag []byte
	for flag, rest = word(rest); len(flag) > 0; flag, rest = word(rest) {
		switch flag[0] {
		case 'O':
			c.ID = flag[1:]
		case 'P':
			c.Facts = flag[1:]
		}
	}
	if len(c.ID) == 0 {
		return ErrID
	}
	if len(c.ID) > MaxKey || bytes.IndexFunc(c.ID, control) >= 0 || bytes.IndexFunc(c.Facts, control) >= 0 {
		return ErrFormat
	}
	return nil
}

func control(r rune) bool { return r < ' ' || r == 0x7f }

func validKey(key []byte) bool {
	return len(key) > 0 && len(key) <= MaxKey && bytes.IndexFunc(key, control) < 0
}

// Fact looks a name up in a list of names and values.
func Fact(facts []byte, name string) (value []byte, ok bool) {
	for len(facts) > 0 {
		var item []byte
		item, facts, _ = bytes.Cut(facts, []byte(","))
		if n, v, eq := bytes.Cut(item, []byte("=")); eq && string(n) == name {
			return v, true
		}
	}
	return nil, false
}

// deadlineFact is the name of how long, in milliseconds, whoever sent a list of names and values waits for the answer.
const deadlineFact = "d"

// MaxDeadline is the longest time that a list can be taken to state.
const MaxDeadline = time.Hour

// ErrDeadline is the fault of a list whose d is no whole number of milliseconds from 1 to MaxDeadline.
var ErrDeadline = errors.New("bad deadline")

// Deadline reads how long the sender of a list of names and values waits for the answer. Where it is stated more than once the
// shortest counts. Without any it tells that none is stated.
func Deadline(facts []byte) (wait time.Duration, stated bool, err error) {
	for item := range bytes.SplitSeq(facts, []byte(",")) {
		name, value, ok := bytes.Cut(item, []byte("="))
		if !ok || string(name) != deadlineFact {
			continue
		}
		milliseconds, bad := strconv.ParseInt(string(value), 10, 64)
		if bad != nil || milliseconds <= 0 || milliseconds > MaxDeadline.Milliseconds() {
			return 0, true, ErrDeadline
		}
		if next := time.Duration(milliseconds) * time.Millisecond; !stated || next < wait {
			wait, stated = next, true
		}
	}
	return wait, stated, nil
}

// AppendFacts writes a list of names and values as it came, but for each time d that it states, which becomes left in whole
// milliseconds. It is rounded down: nobody is told of more time than there is.
func AppendFacts(b, facts []byte, left time.Duration) []byte {
	for i, rest := 0, facts; len(rest) > 0; i++ {
		var item []byte
		item, rest, _ = bytes.Cut(rest, []byte(","))
		if i > 0 {
			b = append(b, ',')
		}
		if name, _, ok := bytes.Cut(item, []byte("=")); ok && string(name) == deadlineFact {
			b = append(append(b, deadlineFact...), '=')
			b = strconv.AppendInt(b, left.Milliseconds(), 10)
		} else {
			b = append(b, item...)
		}
	}
	return b
}

// AppendCommand writes a command for a cache server. A value is the caller's to write, with a line's end.
func AppendCommand(b []byte, c *Command) []byte {
	if c.Verb == Set {
		b = append(append(b, "ms "...), c.Key...)
		b = strconv.AppendInt(append(b, ' '), int64(max(len(c.Value), c.Long)), 10)
	} else {
		b = append(append(append(b, "mg "...), c.Key...), " v"...)
	}
	b = append(append(b, " O"...), c.ID...)
	if len(c.Facts) > 0 {
		b = append(append(b, " P"...), c.Facts...)
	}
	return append(b, "\r\n"...)
}

// AnswerKind is what an answer says.
type AnswerKind uint8

// The answers of a provider.
const (
	Value  AnswerKind = iota // VA: the value
	Stored                   // HD: a receipt
	Miss                     // EN
	Failed                   // SERVER_ERROR failed, and whatever else tells of an error
	Busy                     // SERVER_ERROR busy
)

// Answer is one answer of a provider. Its slices are parts of what was parsed.
type Answer struct {
	Kind   AnswerKind
	Report []byte // what the server tells of its load, if it does
	ID     []byte // empty where the answer carries none
	Data   []byte // the value or the receipt
	Long   int    // the length of a value over MaxValue, which follows the line, and a line's end follows that
}

// ErrAnswer is the fault of an answer that is none of the protocol.
var ErrAnswer = errors.New("no answer of the protocol")

// names are the first words of answers.
var names = []string{"VA", "HD", "EN", "SERVER_ERROR", "CLIENT_ERROR", "ERROR"}

// begins tells whether b can be the beginning of an answer. What can't be is not waited for to its end:
// it may have none.
func begins(b []byte) bool {
	for _, name := range names {
		n := min(len(name), len(b))
		if string(b[:n]) == name[:n] && (n == len(b) || b[n] == ' ' || b[n] == '\r' || b[n] == '\n') {
			return true
		}
	}
	return false
}

// ParseAnswer reads the answer to the request with an id at the start of b and tells how many bytes it
// takes up: 0 without an error means that it is not whole yet. After an error the stream can't be read on.
// Whose answer it is shows in its first line, before a value that may be long.
func ParseAnswer(b []byte, id string) (a Answer, n int, err error) {
	if !begins(b) {
		return a, 0, ErrAnswer
	}
	text, n, err := line(b)
	if n == 0 || err != nil {
		return a, 0, err
	}
	name, rest := word(text)
	if i := bytes.LastIndexByte(text, ' '); i >= 0 && i+1 < len(text) && text[i+1] == 'L' {
		a.Report = text[i+2:]
	}
	var length []byte
	switch string(name) {
	case "VA":
		length, rest = word(rest)
	case "HD":
		a.Kind = Stored
	case "EN":
		a.Kind = Miss
	case "SERVER_ERROR":
		a.Kind = Failed
		if why, _ := word(rest); string(why) == "busy" {
			a.Kind = Busy
		}
		return a, n, nil
	default:
		a.Kind = Failed
		return a, n, nil
	}
	var flag []byte
	for flag, rest = word(rest); len(flag) > 0; flag, rest = word(rest) {
		switch {
		case flag[0] == 'O':
			a.ID = flag[1:]
		case flag[0] == 'c' && a.Kind == Stored:
			a.Data = flag[1:]
		}
	}
	if string(a.ID) != id { // another's, or nobody's
		return a, 0, ErrID
	}
	if a.Kind != Value {
		return a, n, nil
	}
	size, bad := strconv.ParseUint(string(length), 10, 31)
	switch end := n + int(size); {
	case bad != nil:
		return a, 0, ErrLength
	case size > MaxLong:
		return a, 0, ErrLarge
	case size > MaxValue:
		a.Long = int(size)
	case len(b) < end+2:
		return a, 0, nil
	case b[end] != '\r' || b[end+1] != '\n':
		return a, 0, ErrChunk
	default:
		a.Data, n = b[n:end], end+2
	}
	return a, n, nil
}

// AppendValueHead writes the first line of the answer that serves a read. The value and a line's end follow.
func AppendValueHead(b []byte, id string, length int) []byte {
	b = strconv.AppendInt(append(b, "VA "...), int64(length), 10)
	return append(append(append(b, " O"...), id...), "\r\n"...)
}

// AppendStored writes the answer that serves a write.
func AppendStored(b []byte, id string, receipt []byte) []byte {
	b = append(append(b, "HD O"...), id...)
	return append(append(append(b, " c"...), receipt...), "\r\n"...)
}

// AppendBusy writes a rejection; wait is in milliseconds, 0 says nothing.
func AppendBusy(b []byte, wait int64) []byte {
	b = append(b, "SERVER_ERROR busy"...)
	if wait > 0 {
		b = strconv.AppendInt(append(b, ' '), wait, 10)
	}
	return append(b, "\r\n"...)
}

// AppendFailed writes a failure.
func AppendFailed(b []byte) []byte { return append(b, "SERVER_ERROR failed\r\n"...) }
