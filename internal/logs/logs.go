// Package logs writes a router's events with log/slog, as text or JSON. It limits the
// rate of each kind of event, so that a flood of events doesn't flood the log. The next
// event of that kind that is written says how many were dropped before it.
//
// The kind of an event is its message, which is a fixed text. What varies is in the
// attributes. A router logs nothing for each single request.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hoptiller/internal/limit"
)

// Options sets what is written and how.
type Options struct {
	Level  string  // lowest level that is written: debug, info, warn or error
	Format string  // text or json
	Rate   float64 // events a second of each kind; a burst of as many events, but at least one, may come at once
}

// Check returns an error if the level or the format does not exist.
func (o *Options) Check() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Level)); err != nil {
		return fmt.Errorf("log level %q: debug, info, warn and error are possible", o.Level)
	}
	if o.Format != "text" && o.Format != "json" {
		return fmt.Errorf("log format %q: must be text or json", o.Format)
	}
	return nil
}

// Log is a slog.Handler whose options can be changed while it is in use.
type Log struct {
	out        io.Writer
	sinceStart func() time.Duration // monotonic time since the Log was made
	next       atomic.Pointer[slog.Handler]

	mu    sync.Mutex
	rate  float64
	kinds map[string]*kind
}

// kind is the state of the rate limit of one kind of event.
type kind struct {
	bucket  limit.Bucket
	dropped int // events dropped since the last one that was written
}

// maxKinds bounds the number of kinds that are tracked. A program has far fewer messages.
const maxKinds = 1000

// New returns a Log that writes to out with one call of Write for each event.
func New(out io.Writer, o Options) *Log {
	start := time.Now()
	l := &Log{out: out, sinceStart: func() time.Duration { return time.Since(start) }, kinds: map[string]*kind{}}
	l.SetOptions(o)
	return l
}

// SetOptions changes the options, which must have passed Check.
func (l *Log) SetOptions(o Options) {
	var level slog.Level
	level.UnmarshalText([]byte(o.Level))
	options := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(l.out, options)
	if o.Format == "json" {
		h = slog.NewJSONHandler(l.out, options)
	}
	l.next.Store(&h)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = o.Rate
	for _, k := range l.kinds {
		k.bucket.Rate, k.bucket.Burst = l.rate, max(1, l.rate)
	}
}

// Enabled implements slog.Handler. It reports whether events of a level are written.
func (l *Log) Enabled(ctx context.Context, level slog.Level) bool {
	return (*l.next.Load()).Enabled(ctx, level)
}

// Handle implements slog.Handler. It writes the event unless its kind exceeds the rate.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	write, dropped := l.allow(r.Message)
	if !write {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("not_written", dropped))
	}
	return (*l.next.Load()).Handle(ctx, r)
}

// allow reports whether an event with this message is to be written, and how many events of the kind were dropped before it.
func (l *Log) allow(message string) (write bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[message]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			clear(l.kinds)
		}
		k = &kind{bucket: limit.Bucket{Rate: l.rate, Burst: max(1, l.rate)}}
		l.kinds[message] = k
	}
	if ok, _ := k.bucket.Take(l.sinceStart()); !ok {
		k.dropped++
		return false, 0
	}
	dropped, k.dropped = k.dropped, 0
	return true, dropped
}

// WithAttrs implements slog.Handler. The attributes are added to each event.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler { return &attrHandler{l, attrs, ""} }

// WithGroup implements slog.Handler. The attributes of each event are put into the group.
func (l *Log) WithGroup(name string) slog.Handler { return &attrHandler{l, nil, name} }

// attrHandler adds attributes to each event or, if group is set, puts the attributes of each event into that group.
type attrHandler struct {
	slog.Handler
	attrs []slog.Attr
	group string
}

func (h *attrHandler) Handle(ctx context.Context, r slog.Record) error {
	var recordAttrs []slog.Attr
	r.Attrs(func(a slog.Attr) bool { recordAttrs = append(recordAttrs, a); return true })
	wrapped := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	if h.group != "" {
		wrapped.AddAttrs(slog.Attr{Key: h.group, Value: slog.GroupValue(recordAttrs...)})
	} else {
		wrapped.AddAttrs(append(append([]slog.Attr{}, h.attrs...), recordAttrs...)...)
	}
	return h.Handler.Handle(ctx, wrapped)
}

func (h *attrHandler) WithAttrs(attrs []slog.Attr) slog.Handler { return &attrHandler{h, attrs, ""} }
func (h *attrHandler) WithGroup(name string) slog.Handler       { return &attrHandler{h, nil, name} }

// AttrValue returns the value of an attribute in a log line in text format, if the value has
// no spaces. Programs that start a router use it to find out where the router listens.
func AttrValue(line, name string) (string, bool) {
	for _, word := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value, true
		}
	}
	return "", false
}
