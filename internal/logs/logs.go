// Package logs writes a router's events with log/slog, as text or JSON, and sees to
// it that no flood of them floods the log: of each kind of event only so many a
// second are written, and the next one that is says how many were not.
//
// An event's kind is its message, which is a fixed text; what differs stands in the
// attributes. Nothing is logged for each request.
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

// Options say what is written.
type Options struct {
	Level  string  // debug, info, warn or error
	Format string  // text or json
	Rate   float64 // events of a kind a second; as many, and one at least, may come at once
}

// Check tells what is impossible.
func (o *Options) Check() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Level)); err != nil {
		return fmt.Errorf("log level %q: debug, info, warn and error are possible", o.Level)
	}
	if o.Format != "text" && o.Format != "json" {
		return fmt.Errorf("log format %q: text and json are possible", o.Format)
	}
	return nil
}

// Log is a slog.Handler whose options can be changed while it is in use.
type Log struct {
	out  io.Writer
	now  func() time.Duration // since the Log was made, whatever the wall clock is set to
	next atomic.Pointer[slog.Handler]

	mu    sync.Mutex
	rate  float64
	kinds map[string]*kind
}

type kind struct {
	bucket  limit.Bucket
	dropped int
}

// mostKinds bounds what is kept; a program has far fewer messages.
const mostKinds = 1000

// New returns a Log that writes to out, one write for each event.
func New(out io.Writer, o Options) *Log {
	begun := time.Now()
	l := &Log{out: out, now: func() time.Duration { return time.Since(begun) }, kinds: map[string]*kind{}}
	l.Set(o)
	return l
}

// Set changes the options, which must have passed Check.
func (l *Log) Set(o Options) {
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

// Enabled implements slog.Handler.
func (l *Log) Enabled(ctx context.Context, level slog.Level) bool {
	return (*l.next.Load()).Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *Log) Handle(ctx context.Context, r slog.Record) error {
	write, dropped := l.take(r.Message)
	if !write {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("not_written", dropped))
	}
	return (*l.next.Load()).Handle(ctx, r)
}

// take tells whether an event of a kind is to be written, and how many before it were not.
func (l *Log) take(message string) (write bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[message]
	if k == nil {
		if len(l.kinds) >= mostKinds {
			clear(l.kinds)
		}
		k = &kind{bucket: limit.Bucket{Rate: l.rate, Burst: max(1, l.rate)}}
		l.kinds[message] = k
	}
	if ok, _ := k.bucket.Take(l.now()); !ok {
		k.dropped++
		return false, 0
	}
	dropped, k.dropped = k.dropped, 0
	return true, dropped
}

// WithAttrs implements slog.Handler. Attributes of a logger belong to its events and are kept with each.
func (l *Log) WithAttrs(attrs []slog.Attr) slog.Handler { return &with{l, attrs, ""} }

// WithGroup implements slog.Handler.
func (l *Log) WithGroup(name string) slog.Handler { return &with{l, nil, name} }

// with adds attributes, or a group round what comes after, to each event.
type with struct {
	slog.Handler
	attrs []slog.Attr
	group string
}

func (w *with) Handle(ctx context.Context, r slog.Record) error {
	var own []slog.Attr
	r.Attrs(func(a slog.Attr) bool { own = append(own, a); return true })
	n := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	if w.group != "" {
		n.AddAttrs(slog.Attr{Key: w.group, Value: slog.GroupValue(own...)})
	} else {
		n.AddAttrs(append(append([]slog.Attr{}, w.attrs...), own...)...)
	}
	return w.Handler.Handle(ctx, n)
}

func (w *with) WithAttrs(attrs []slog.Attr) slog.Handler { return &with{w, attrs, ""} }
func (w *with) WithGroup(name string) slog.Handler       { return &with{w, nil, name} }

// Field takes an attribute's value out of a line of text, where it has no spaces in
// it; for those who start a router and have to know where it listens.
func Field(line, name string) (string, bool) {
	for _, word := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value, true
		}
	}
	return "", false
}
