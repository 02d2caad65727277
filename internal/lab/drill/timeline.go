package drill

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"hoptiller/internal/logs"
)

// Event is something that happened. Times are seconds after the warm-up.
type Event struct {
	At     float64 `json:"at"`
	Sure   float64 `json:"sure"`             // by which it may have been earlier or later
	From   string  `json:"from"`             // router, drill, watch, client or rules
	Router int     `json:"router,omitempty"` // of those that concern one, from 1: 0 is none
	Text   string  `json:"text"`
}

// Timeline is what all parties tell, put in one order by the times that they state themselves.
type Timeline struct {
	mu     sync.Mutex
	from   time.Time // the end of the warm-up
	early  []func()  // what came before that was known
	events []Event
}

// begin says when the warm-up ends.
func (t *Timeline) begin(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from = from
	for _, add := range t.early {
		add()
	}
	t.early = nil
}

// add takes an event that happened at a time, give or take sure. Router counts from 0; -1 is none.
func (t *Timeline) add(at time.Time, sure time.Duration, from string, router int, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add := func() {
		t.events = append(t.events, Event{at.Sub(t.from).Seconds(), sure.Seconds(), from, router + 1, text})
	}
	if t.from.IsZero() {
		t.early = append(t.early, add)
		return
	}
	add()
}

// Events are all that have come, in order.
func (t *Timeline) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Clone(t.events)
	slices.SortStableFunc(all, func(a, b Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return all
}

// Write writes the events as lines of JSON.
func Write(w io.Writer, events []Event) error {
	e := json.NewEncoder(w)
	for _, x := range events {
		if err := e.Encode(x); err != nil {
			return err
		}
	}
	return nil
}

// log takes what a router writes, line by line. A line is taken to have happened when it says so: all processes of a drill
// read one clock, which the log writes to the millisecond. What says no time happened before it was read.
type log struct {
	t      *Timeline
	router int
	from   string                        // empty: a router
	heard  func(router int, line string) // if set, told of each line
	part   []byte
}

// Write implements io.Writer.
func (l *log) Write(b []byte) (int, error) {
	n := len(b)
	for {
		line, rest, whole := bytes.Cut(b, []byte("\n"))
		if !whole {
			l.part = append(l.part, b...)
			return n, nil
		}
		text := string(append(l.part, line...))
		l.part, b = nil, rest
		at, sure := time.Now(), time.Second
		if said, ok := logs.Field(text, "time"); ok {
			if x, err := time.Parse(time.RFC3339Nano, said); err == nil {
				at, sure = x, time.Millisecond
			}
		}
		l.t.add(at, sure, cmp.Or(l.from, "router"), l.router, text)
		if l.heard != nil {
			l.heard(l.router, text)
		}
	}
}
