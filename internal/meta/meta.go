// Package meta reads and writes the meta commands of the memcache text protocol, as far as routers and cache servers
// use them. It does no I/O: it works on the bytes that have arrived so far.
package meta

import (
	"bytes"
	"errors"
	"strconv"
	"time"
)

// Limits of what is read, in bytes.
const (
	MaxLine       = 2048
	MaxKey        = 250
	MaxShortValue = 64 << 10 // a value that is read as a whole
	MaxLongValue  = 4 << 20  // a longer value is rejected

	// MaxUnbudgetedValue is the length up to which an incomplete value is kept with what else has been read of a connection.
	MaxUnbudgetedValue = 4 << 10
)

// Verb is the kind of a command.
type Verb uint8

// The known commands.
const (
	Get     Verb = iota // mg
	Set                 // ms
	Noop                // mn
	Version             // version
	Quit                // quit
	Unknown
)

// Command is one command of a client. Its slices are parts of the parsed bytes.
type Command struct {
	Verb         Verb
	Key          []byte
	ID           []byte // the O flag: the request ID
	Facts        []byte // the P flag: a list of name=value pairs, separated by commas
	Value        []byte // the value of Set; empty if the value is long
	LongValueLen int    // length of a value that is not in Value; the value and a line end follow the command line
}

// The faults of a command. After a fault for which IsFatal returns true, the stream cannot be read on.
var (
	ErrLineTooLong = errors.New("CLIENT_ERROR line too long")
	ErrBadFormat   = errors.New("CLIENT_ERROR bad command line format")
	ErrBadKey      = errors.New("CLIENT_ERROR bad key")
	ErrBadID       = errors.New("CLIENT_ERROR missing request id")
	ErrBadLength   = errors.New("CLIENT_ERROR bad data length")
	ErrTooLarge    = errors.New("CLIENT_ERROR object too large")
	ErrBadChunk    = errors.New("CLIENT_ERROR bad data chunk")
)

// IsFatal reports whether nothing after a command with this fault can be trusted.
func IsFatal(err error) bool {
	return errors.Is(err, ErrLineTooLong) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrBadChunk) ||
		errors.Is(err, ErrBadLength)
}

// cutLine finds the first line of b. n is the length of the line with its end: 0 without an error means that the end
// has not arrived.
func cutLine(b []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxLine)], '\n')
	if end < 0 {
		if len(b) >= MaxLine {
			return nil, 0, ErrLineTooLong
		}
		return nil, 0, nil
	}
	return bytes.TrimSuffix(b[:end], []byte("\r")), end + 1, nil
}

// cutWord cuts the first word off a line.
func cutWord(s []byte) (first, rest []byte) {
	s = bytes.TrimLeft(s, " ")
	if i := bytes.IndexByte(s, ' '); i >= 0 {
		return s[:i], s[i+1:]
	}
	return s, nil
}

// ParseCommand reads the command at the start of b. n is the number of bytes that the command takes up: 0 without an
// error means that it is incomplete. For a command with a value longer than MaxShortValue, n covers the command line
// alone. If such a command is faulty as well, nothing after its line can be trusted.
func ParseCommand(b []byte) (c Command, n int, err error) { return parseCommand(b, MaxShortValue) }

// ParseArrivingCommand does the same as ParseCommand, but n also covers the command line alone for a value longer than
// MaxUnbudgetedValue that has not arrived completely.
func ParseArrivingCommand(b []byte) (c Command, n int, err error) {
	return parseCommand(b, MaxUnbudgetedValue)
}

// parseCommand reads a command. A value longer than maxIncomplete that has not arrived completely counts as long.
func parseCommand(b []byte, maxIncomplete uint64) (c Command, n int, err error) {
	text, n, err := cutLine(b)
	if n == 0 || err != nil {
		return c, 0, err
	}
	name, rest := cutWord(text)
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
	c.Key, rest = cutWord(rest)
	if c.Verb == Set {
		var length []byte
		length, rest = cutWord(rest)
		size, parseErr := strconv.ParseUint(string(length), 10, 31)
		switch end := n + int(size); {
		case parseErr != nil: // it is unknown how much data follows
			return c, n, ErrBadLength
		case size > MaxLongValue:
			return c, n, ErrTooLarge
		case size > MaxShortValue || len(b) < end+2 && size > maxIncomplete:
			c.LongValueLen = int(size)
		case len(b) < end+2:
			return c, 0, nil
		case b[end] != '\r' || b[end+1] != '\n':
			return c, n, ErrBadChunk
		default:
			c.Value, n = b[n:end], end+2
		}
	}
	if !validKey(c.Key) {
		return c, n, ErrBadKey
	}
	return c, n, c.parseFlags(rest)
}

// parseFlags reads the flags of a command.
func (c *Command) parseFlags(rest []byte) error {
	var flag []byte
	for flag, rest = cutWord(rest); len(flag) > 0; flag, rest = cutWord(rest) {
		switch flag[0] {
		case 'O':
			c.ID = flag[1:]
		case 'P':
			c.Facts = flag[1:]
		}
	}
	if len(c.ID) == 0 {
		return ErrBadID
	}
	if len(c.ID) > MaxKey || bytes.IndexFunc(c.ID, isControl) >= 0 || bytes.IndexFunc(c.Facts, isControl) >= 0 {
		return ErrBadFormat
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

func validKey(key []byte) bool {
	return len(key) > 0 && len(key) <= MaxKey && bytes.IndexFunc(key, isControl) < 0
}

// LookupFact looks up a name in a list of name=value pairs.
func LookupFact(facts []byte, name string) (value []byte, ok bool) {
	for len(facts) > 0 {
		var item []byte
		item, facts, _ = bytes.Cut(facts, []byte(","))
		if n, v, eq := bytes.Cut(item, []byte("=")); eq && string(n) == name {
			return v, true
		}
	}
	return nil, false
}

// deadlineFact is the name of the pair that states how long the sender of the list waits for the answer, in
// milliseconds.
const deadlineFact = "d"

// MaxDeadline is the longest waiting time that a list may state.
const MaxDeadline = time.Hour

// ErrBadDeadline reports a list whose d is not a whole number of milliseconds from 1 to MaxDeadline.
var ErrBadDeadline = errors.New("bad deadline")

// Deadline returns how long the sender of a list of name=value pairs waits for the answer. If the list states several
// times, the shortest counts. stated is false if the list states none.
func Deadline(facts []byte) (wait time.Duration, stated bool, err error) {
	for item := range bytes.SplitSeq(facts, []byte(",")) {
		name, value, ok := bytes.Cut(item, []byte("="))
		if !ok || string(name) != deadlineFact {
			continue
		}
		milliseconds, parseErr := strconv.ParseInt(string(value), 10, 64)
		if parseErr != nil || milliseconds <= 0 || milliseconds > MaxDeadline.Milliseconds() {
			return 0, true, ErrBadDeadline
		}
		if next := time.Duration(milliseconds) * time.Millisecond; !stated || next < wait {
			wait, stated = next, true
		}
	}
	return wait, stated, nil
}

// AppendFacts appends a list of name=value pairs, unchanged except that the value of each d becomes the time that is
// left, in milliseconds. The time is rounded down, so that it never states more time than is left.
func AppendFacts(b, facts []byte, timeLeft time.Duration) []byte {
	for i, rest := 0, facts; len(rest) > 0; i++ {
		var item []byte
		item, rest, _ = bytes.Cut(rest, []byte(","))
		if i > 0 {
			b = append(b, ',')
		}
		if name, _, ok := bytes.Cut(item, []byte("=")); ok && string(name) == deadlineFact {
			b = append(append(b, deadlineFact...), '=')
			b = strconv.AppendInt(b, timeLeft.Milliseconds(), 10)
		} else {
			b = append(b, item...)
		}
	}
	return b
}

// AppendCommand appends a command for a cache server. The caller writes the value, if any, and the line end behind
// it.
func AppendCommand(b []byte, c *Command) []byte {
	if c.Verb == Set {
		b = append(append(b, "ms "...), c.Key...)
		b = strconv.AppendInt(append(b, ' '), int64(max(len(c.Value), c.LongValueLen)), 10)
	} else {
		b = append(append(append(b, "mg "...), c.Key...), " v"...)
	}
	b = append(append(b, " O"...), c.ID...)
	if len(c.Facts) > 0 {
		b = append(append(b, " P"...), c.Facts...)
	}
	return append(b, "\r\n"...)
}

// AnswerKind is the kind of an answer.
type AnswerKind uint8

// The answers of a cache server.
const (
	Value    AnswerKind = iota // VA: the value
	Stored                     // HD: a receipt
	Miss                       // EN
	Failed                     // SERVER_ERROR failed, and all other server errors
	Busy                       // SERVER_ERROR busy
	Rejected                   // CLIENT_ERROR or ERROR: the server could not read what it got
)

// Answer is one answer of a cache server. Its slices are parts of the parsed bytes.
type Answer struct {
	Kind         AnswerKind
	Report       []byte // the load report of the server (the L flag); nil if there is none
	ID           []byte // the request ID; empty if the answer has none
	Data         []byte // the value or the receipt; empty if the value is long
	LongValueLen int    // length of a value longer than MaxShortValue; the value and a line end follow the answer line
	FullSize     int    // of an incomplete answer: how many bytes it takes up, if that is known, else 0
}

// ErrNotAnswer reports bytes that are not an answer of the protocol.
var ErrNotAnswer = errors.New("not an answer of the meta protocol")

// answerWords are the words with which an answer can begin.
var answerWords = []string{"VA", "HD", "EN", "SERVER_ERROR", "CLIENT_ERROR", "ERROR"}

// mayBeAnswer reports whether b can be the beginning of an answer. Other bytes are rejected at once, since they may
// never end.
func mayBeAnswer(b []byte) bool {
	for _, name := range answerWords {
		n := min(len(name), len(b))
		if string(b[:n]) == name[:n] && (n == len(b) || b[n] == ' ' || b[n] == '\r' || b[n] == '\n') {
			return true
		}
	}
	return false
}

// ParseAnswer reads the answer to the request with the given ID at the start of b. n is the number of bytes that the
// answer takes up: 0 without an error means that it is incomplete. After an error the stream cannot be read on. The
// ID is checked in the first line, before a value that may be long has arrived.
func ParseAnswer(b []byte, id string) (a Answer, n int, err error) {
	if !mayBeAnswer(b) {
		return a, 0, ErrNotAnswer
	}
	text, n, err := cutLine(b)
	if n == 0 || err != nil {
		return a, 0, err
	}
	name, rest := cutWord(text)
	if i := bytes.LastIndexByte(text, ' '); i >= 0 && i+1 < len(text) && text[i+1] == 'L' {
		a.Report = text[i+2:]
	}
	var length []byte
	switch string(name) {
	case "VA":
		length, rest = cutWord(rest)
	case "HD":
		a.Kind = Stored
	case "EN":
		a.Kind = Miss
	case "SERVER_ERROR":
		a.Kind = Failed
		if reason, _ := cutWord(rest); string(reason) == "busy" {
			a.Kind = Busy
		}
		return a, n, nil
	default:
		a.Kind = Rejected
		return a, n, nil
	}
	var flag []byte
	for flag, rest = cutWord(rest); len(flag) > 0; flag, rest = cutWord(rest) {
		switch {
		case flag[0] == 'O':
			a.ID = flag[1:]
		case flag[0] == 'c' && a.Kind == Stored:
			a.Data = flag[1:]
		}
	}
	if string(a.ID) != id { // the answer belongs to another request, or to none
		return a, 0, ErrBadID
	}
	if a.Kind != Value {
		return a, n, nil
	}
	size, parseErr := strconv.ParseUint(string(length), 10, 31)
	switch end := n + int(size); {
	case parseErr != nil:
		return a, 0, ErrBadLength
	case size > MaxLongValue:
		return a, 0, ErrTooLarge
	case size > MaxShortValue:
		a.LongValueLen = int(size)
	case len(b) < end+2:
		a.FullSize = end + 2
		return a, 0, nil
	case b[end] != '\r' || b[end+1] != '\n':
		return a, 0, ErrBadChunk
	default:
		a.Data, n = b[n:end], end+2
	}
	return a, n, nil
}

// AppendValueHead appends the first line of the answer to a served read. The caller writes the value and a line end
// behind it.
func AppendValueHead(b []byte, id string, length int) []byte {
	b = strconv.AppendInt(append(b, "VA "...), int64(length), 10)
	return append(append(append(b, " O"...), id...), "\r\n"...)
}

// AppendStored appends the answer to a served write.
func AppendStored(b []byte, id string, receipt []byte) []byte {
	b = append(append(b, "HD O"...), id...)
	return append(append(append(b, " c"...), receipt...), "\r\n"...)
}

// AppendBusy appends a rejection. wait is the time in milliseconds after which the client may retry; 0 states none.
func AppendBusy(b []byte, wait int64) []byte {
	b = append(b, "SERVER_ERROR busy"...)
	if wait > 0 {
		b = strconv.AppendInt(append(b, ' '), wait, 10)
	}
	return append(b, "\r\n"...)
}

// AppendFailed appends the answer to a failed request.
func AppendFailed(b []byte) []byte { return append(b, "SERVER_ERROR failed\r\n"...) }
