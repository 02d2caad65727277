// Package wire reads and writes the binary frames between a simulator and the adapter. It knows the codes and layouts
// of the protocol and takes no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"hoptiller"
)

// MaxFrame is the maximum length that a frame may state, in bytes. A longer frame is treated as corrupt.
const MaxFrame = 1 << 28

const (
	batchHeader = 16
	replyHeader = 4
	entrySize   = 22
)

// EventCode is the first byte of an event record.
type EventCode uint8

// Codes of the event records.
const (
	Context EventCode = iota
	Endpoints
	RequestArrived
	ClientDisconnected
	AttemptEnded
	PeerMessage
	ProbeResult
	Provision
	TimerFired
	Destroy
	StreamStarted
	List
)

// Codes of the action records.
const (
	actionFail      = 64
	actionWatch     = 65
	actionSend      = 66
	actionInstance  = 68
	actionLog       = 70
	actionCloseIdle = 71
	actionRefuse    = 73
	actionFetchList = 74
	actionSetTimer  = 75
	actionCancel    = 76
)

// Event is one decoded event record. The comment on a field names the codes that set it.
type Event struct {
	Code      EventCode
	Instance  uint32             // Context
	Seed      uint64             // Provision
	Settings  []byte             // Provision; valid until the next read
	ListKind  hoptiller.ListKind // Endpoints
	ListIndex uint8              // Endpoints, List
	Servers   []hoptiller.Server // List
	Request   hoptiller.Request  // RequestArrived
	Outcome   hoptiller.Outcome  // AttemptEnded; StreamStarted sets only request, attempt, latency and server
	ID        uint32             // ClientDisconnected
	Token     uint64             // TimerFired
}

// Reader reads batches from a stream.
type Reader struct {
	src       io.Reader
	buf       []byte
	pos       int
	remaining uint32
	err       error
	Clock     time.Duration // clock of the batch that was last read
}

// NewReader returns a Reader that reads from src.
func NewReader(src io.Reader) *Reader { return &Reader{src: src} }

// ReadBatch reads one complete frame. It returns io.EOF if the stream ends between two frames.
func (r *Reader) ReadBatch() error {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r.src, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return io.EOF
		}
		return fmt.Errorf("batch header cut short after %d of %d bytes", n, batchHeader)
	}
	count := binary.LittleEndian.Uint32(head[0:])
	size := binary.LittleEndian.Uint32(head[4:])
	clock := binary.LittleEndian.Uint64(head[8:])
	if size < batchHeader || size > MaxFrame {
		return fmt.Errorf("batch header at byte 4: length %d is outside %d to %d", size, batchHeader, MaxFrame)
	}
	body := int(size) - batchHeader
	if uint64(count) > uint64(body) {
		return fmt.Errorf("batch header at byte 0: %d records cannot fit in %d bytes", count, body)
	}
	if clock > math.MaxInt64/1000 {
		return fmt.Errorf("batch header at byte 8: clock %d is out of range", clock)
	}
	if cap(r.buf) < body {
		r.buf = make([]byte, body)
	}
	r.buf = r.buf[:body]
	if n, err := io.ReadFull(r.src, r.buf); err != nil {
		return fmt.Errorf("batch cut short: %d of %d bytes", n+batchHeader, size)
	}
	r.pos, r.remaining, r.err = 0, count, nil
	r.Clock = fromMicroseconds(clock)
	return nil
}

// Next decodes the next record into e. It returns false at the end of the batch.
func (r *Reader) Next(e *Event) (bool, error) {
	if r.remaining == 0 {
		if r.pos != len(r.buf) {
			return false, r.errorAt(r.pos, "%d bytes left over after the last record", len(r.buf)-r.pos)
		}
		return false, nil
	}
	r.remaining--
	start := r.pos
	e.Code = EventCode(r.u8())
	r.readRecord(e, start)
	return r.err == nil, r.err
}

func (r *Reader) readRecord(e *Event, start int) {
	switch e.Code {
	case Context:
		e.Instance = r.u32()
	case Endpoints:
		e.ListKind = hoptiller.ListKind(r.u8())
		r.u32()
		e.ListIndex = r.u8()
		if r.err == nil && e.ListKind > hoptiller.ListFailed {
			r.err = r.errorAt(start, "Endpoints: unknown scope %d", e.ListKind)
		}
	case RequestArrived:
		r.readRequest(&e.Request)
	case ClientDisconnected:
		e.ID = r.u32()
	case AttemptEnded:
		r.readOutcome(&e.Outcome, start)
	case PeerMessage:
		r.u16()
		r.bytes(int(r.u16()))
	case ProbeResult:
		r.u16()
		r.u32()
		r.u32()
		r.bytes(4 * int(r.u8()))
	case Provision:
		e.Seed = r.u64()
		e.Settings = r.bytes(int(r.u32()))
	case TimerFired:
		e.Token = r.u64()
	case Destroy:
	case StreamStarted:
		e.Outcome = hoptiller.Outcome{Request: r.u32(), Attempt: int(r.u16()), Latency: r.time()}
		e.Outcome.Server = r.u32()
	case List:
		r.readList(e, start)
	default:
		if r.err == nil {
			r.err = r.errorAt(start, "unknown event code %d", e.Code)
		}
	}
}

func (r *Reader) readRequest(q *hoptiller.Request) {
	q.ID = r.u32()
	r.u32() // size, ignored
	q.Remaining = r.time()
	q.Class = int(r.u8())
	flags := r.u16()
	q.Write, q.IsRetry = flags&4 != 0, flags&2 != 0
	q.Tenant = int(r.u16())
	r.u32() // hint, ignored
	q.Key = r.u64()
}

// statusByCode maps the outcome codes of the wire to statuses.
var statusByCode = map[uint16]hoptiller.Status{
	200: hoptiller.OK, 500: hoptiller.ServerError, 503: hoptiller.TurnedAway, 504: hoptiller.Timeout,
	502: hoptiller.ConnectFailed, 598: hoptiller.Reset, 499: hoptiller.Cancelled, 410: hoptiller.NotSent,
	404: hoptiller.Miss,
}

func (r *Reader) readOutcome(o *hoptiller.Outcome, start int) {
	o.Request = r.u32()
	code := r.u16()
	o.Server = r.u32()
	r.u32() // note, ignored
	o.Latency = r.time()
	o.Attempt = int(r.u16())
	o.Closed = r.u8() != 0
	r.bytes(4 * int(r.u8()))
	status, known := statusByCode[code]
	if r.err == nil && !known {
		r.err = r.errorAt(start, "ReportBack: unknown outcome %d", code)
	}
	o.Status = status
}

func (r *Reader) readList(e *Event, start int) {
	e.ListIndex = r.u8()
	n := int(r.u32())
	if r.err == nil && e.ListIndex > 15 {
		r.err = r.errorAt(start, "List: number %d is over 15", e.ListIndex)
	}
	if r.err == nil && n > (len(r.buf)-r.pos)/entrySize {
		r.err = r.errorAt(start, "List: %d entries do not fit in the batch", n)
	}
	if r.err != nil {
		return
	}
	e.Servers = make([]hoptiller.Server, n)
	for i := range e.Servers {
		s := &e.Servers[i]
		s.ID = r.u32()
		s.Zone, s.Kind, s.Cell = int(r.u16()), int(r.u8()), int(r.u16())
		s.Phase = hoptiller.Phase(r.u8())
		s.Weight = float64(math.Float32frombits(r.u32()))
		s.Started = fromMicroseconds(r.u64())
		if s.Phase > hoptiller.Ready {
			r.err = r.errorAt(start, "List: entry %d has unknown phase %d", i, s.Phase)
			return
		}
	}
}

// errorAt returns an error that names the byte of the batch at offset after the header.
func (r *Reader) errorAt(offset int, format string, args ...any) error {
	return fmt.Errorf("batch byte %d: "+format, append([]any{offset + batchHeader}, args...)...)
}

// bytes returns the next n bytes. If there are fewer, it records an error and returns nil. After an error all calls
// return nil.
func (r *Reader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.buf)-r.pos {
		r.err = r.errorAt(r.pos, "record cut short: wants %d bytes, %d left", n, len(r.buf)-r.pos)
		return nil
	}
	b := r.buf[r.pos : r.pos+n]
	r.pos += n
	return b
}

func (r *Reader) u8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *Reader) u16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *Reader) u32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *Reader) u64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *Reader) time() time.Duration { return fromMicroseconds(uint64(r.u32())) }

// fromMicroseconds converts a time on the wire to a Duration. A value that does not fit is capped.
func fromMicroseconds(us uint64) time.Duration {
	if us > math.MaxInt64/1000 {
		us = math.MaxInt64 / 1000
	}
	return time.Duration(us) * time.Microsecond
}

// Reply collects the actions of one reply frame.
type Reply struct {
	buf         []byte
	instance    uint32
	hasInstance bool
}

// Reset starts a new reply.
func (w *Reply) Reset() {
	w.buf = append(w.buf[:0], 0, 0, 0, 0)
	w.hasInstance = false
}

// Bytes completes the frame and returns it. The result is valid until Reset.
func (w *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)))
	return w.buf
}

// For returns a Sink that writes the actions of one instance to this reply.
func (w *Reply) For(instance uint32) *Sink { return &Sink{reply: w, instance: instance} }

// Sink implements hoptiller.Actions by writing action records.
type Sink struct {
	reply    *Reply
	instance uint32
}

// startAction starts an action record. A record with the instance precedes it if the instance has changed.
func (s *Sink) startAction(code byte) *Reply {
	w := s.reply
	if !w.hasInstance || w.instance != s.instance {
		w.buf = binary.LittleEndian.AppendUint32(append(w.buf, actionInstance), s.instance)
		w.instance, w.hasInstance = s.instance, true
	}
	w.buf = append(w.buf, code)
	return w
}

// wireDelay converts a Duration to wire time. It rounds up so that nothing happens too early.
func wireDelay(d time.Duration) uint32 {
	us := (d + time.Microsecond - 1) / time.Microsecond
	return uint32(min(max(us, 0), math.MaxUint32))
}

// Send implements hoptiller.Actions.
func (s *Sink) Send(request, server uint32, timeout time.Duration) {
	w := s.startAction(actionSend)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, request)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, server)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, wireDelay(timeout))
}

// Cancel implements hoptiller.Actions.
func (s *Sink) Cancel(request uint32, attempt int) {
	w := s.startAction(actionCancel)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, request)
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(attempt))
}

// CloseIdle implements hoptiller.Actions.
func (s *Sink) CloseIdle(server uint32) {
	w := s.startAction(actionCloseIdle)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, server)
}

// Refuse implements hoptiller.Actions.
func (s *Sink) Refuse(request uint32, retryAfter time.Duration) {
	w := s.startAction(actionRefuse)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, request)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, wireDelay(retryAfter))
}

// Fail implements hoptiller.Actions.
func (s *Sink) Fail(request uint32) {
	w := s.startAction(actionFail)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, request)
}

// SetTimer implements hoptiller.Actions.
func (s *Sink) SetTimer(token uint64, after time.Duration) {
	w := s.startAction(actionSetTimer)
	w.buf = binary.LittleEndian.AppendUint64(w.buf, token)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, wireDelay(after))
}

// FetchList implements hoptiller.Actions.
func (s *Sink) FetchList() { s.startAction(actionFetchList) }

// Watch implements hoptiller.Actions.
func (s *Sink) Watch(on bool) {
	w := s.startAction(actionWatch)
	if on {
		w.buf = append(w.buf, 1)
	} else {
		w.buf = append(w.buf, 0)
	}
}

// Log implements hoptiller.Actions.
func (s *Sink) Log(text string) {
	w := s.startAction(actionLog)
	text = text[:min(len(text), math.MaxUint16)]
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(text)))
	w.buf = append(w.buf, text...)
}
