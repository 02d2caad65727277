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

// Event is an entry of the timeline. Its times are in seconds, At counted from the end of the warm-up.
type Event struct {
	At          float64 `json:"at"`
	Uncertainty float64 `json:"sure"`             // the event may have been earlier or later by up to this
	Source      string  `json:"from"`             // who reported it: router, drill, watch, view, release, client or rules
	Router      int     `json:"router,omitempty"` // number from 1 of the router that it concerns; 0: none
	Text        string  `json:"text"`
}

// Timeline collects the events that all parties report and orders them by the times that the parties state.
type Timeline struct {
	mu        sync.Mutex
	warmUpEnd time.Time // zero until setWarmUpEnd
	pending   []func()  // adds the events that came before the end of the warm-up was known
	events    []Event
}

// setWarmUpEnd sets the time from which the times of events count.
func (t *Timeline) setWarmUpEnd(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUpEnd = from
	for _, add := range t.pending {
		add()
	}
	t.pending = nil
}

// add records an event that happened at a time, give or take an uncertainty. Routers count from 0; -1 is none.
func (t *Timeline) add(at time.Time, uncertainty time.Duration, from string, router int, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add := func() {
		t.events = append(t.events, Event{at.Sub(t.warmUpEnd).Seconds(), uncertainty.Seconds(), from, router + 1, text})
	}
	if t.warmUpEnd.IsZero() {
		t.pending = append(t.pending, add)
		return
	}
	add()
}

// Events returns all events so far, ordered by time.
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

// WriteEvents writes the events as lines of JSON.
func WriteEvents(w io.Writer, events []Event) error {
	e := json.NewEncoder(w)
	for _, x := range events {
		if err := e.Encode(x); err != nil {
			return err
		}
	}
	return nil
}

// lineWriter adds what a process writes to the timeline, line by line. A line that states its time counts as of that time,
// exact to the millisecond that logs have: all processes of a drill read the same clock. Any other line counts as of the
// time at which it is read, give or take a second.
type lineWriter struct {
	timeline    *Timeline
	router      int
	source      string                        // source of the events; empty: router
	onLine      func(router int, line string) // called with each line; may be nil
	partialLine []byte
}

// Write implements io.Writer.
func (l *lineWriter) Write(b []byte) (int, error) {
	n := len(b)
	for {
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		if !complete {
			l.partialLine = append(l.partialLine, b...)
			return n, nil
		}
		text := string(append(l.partialLine, line...))
		l.partialLine, b = nil, rest
		at, uncertainty := time.Now(), time.Second
		if stated, ok := logs.AttrValue(text, "time"); ok {
			if x, err := time.Parse(time.RFC3339Nano, stated); err == nil {
				at, uncertainty = x, time.Millisecond
			}
		}
		l.timeline.add(at, uncertainty, cmp.Or(l.source, "router"), l.router, text)
		if l.onLine != nil {
			l.onLine(l.router, text)
		}
	}
}
