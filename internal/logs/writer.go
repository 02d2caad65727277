package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedEvents = 1024                   // events that may wait to be written
	flushTimeout    = 200 * time.Millisecond // for the queued events to be written when the process ends
)

// Writer passes events on to a slower writer without ever blocking the caller. The caller may hold a lock that requests need,
// so a pipe that nobody reads, or a disk that hangs, would block all requests. If the queue is full, events are dropped and
// counted.
type Writer struct {
	events  chan []byte
	dropped atomic.Int64
	flushed chan struct{} // closed when all events that were queued before Close are written
}

// NewWriter returns a Writer that passes events on to out with one call of Write for each event.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{events: make(chan []byte, maxQueuedEvents), flushed: make(chan struct{})}
	go w.writeQueued(out)
	return w
}

// writeQueued writes the queued events to out until Close. An event whose write fails is lost.
func (w *Writer) writeQueued(out io.Writer) {
	defer close(w.flushed)
	for event := range w.events {
		if event == nil {
			return
		}
		out.Write(event)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(out, "level=WARN msg=\"log events dropped\" count=%d\n", dropped)
		}
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(event []byte) (int, error) {
	select {
	case w.events <- bytes.Clone(event):
	default:
		w.dropped.Add(1)
	}
	return len(event), nil
}

// Close waits until the queued events are written, for flushTimeout at most. Events written after Close may be lost.
func (w *Writer) Close() {
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case w.events <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-w.flushed:
	case <-timeout.C:
	}
}
