package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queuedEvents = 1024                   // that wait to be written at the most
	flushTime    = 200 * time.Millisecond // that the last events may take to be written when the program ends
)

// Writer passes events on to a slower writer without ever waiting for it: whoever logs may hold a lock that requests need, and a pipe that
// nobody reads, or a disk that hangs, would stop them all. Events that find the queue full are dropped and counted.
type Writer struct {
	events  chan []byte
	dropped atomic.Int64
	ended   chan struct{} // closed when all that was queued before Close is written
}

// NewWriter returns a Writer that passes events on to out, one write for each.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{events: make(chan []byte, queuedEvents), ended: make(chan struct{})}
	go w.pass(out)
	return w
}

// pass writes what is queued until Close. An event that can't be written is lost, as is one that is dropped.
func (w *Writer) pass(out io.Writer) {
	defer close(w.ended)
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

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(event []byte) (int, error) {
	select {
	case w.events <- bytes.Clone(event):
	default:
		w.dropped.Add(1)
	}
	return len(event), nil
}

// Close has what is queued written, and waits for that, but not for long. What is written after it may be lost.
func (w *Writer) Close() {
	late := time.NewTimer(flushTime)
	defer late.Stop()
	select {
	case w.events <- nil:
	case <-late.C:
		return
	}
	select {
	case <-w.ended:
	case <-late.C:
	}
}
