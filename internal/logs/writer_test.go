package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"hoptiller/internal/testprog"
)

// blockedWriter is a writer that blocks until resume is closed.
type blockedWriter struct {
	begun, resume chan struct{}
	written       bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	default:
	}
	<-s.resume
	return s.written.Write(b)
}

// Logging does not block while nothing can be written. The queued events are written afterwards, with the number of dropped
// events.
func TestWriterNeverBlocks(t *testing.T) {
	const dropped = 7
	out := &blockedWriter{begun: make(chan struct{}, 1), resume: make(chan struct{})}
	w := NewWriter(out)
	fmt.Fprint(w, "first\n")
	testprog.Await(t, out.begun, "first write")
	for i := range maxQueuedEvents + dropped {
		fmt.Fprintf(w, "event %d\n", i)
	}
	close(out.resume)
	testprog.Eventually(t, "the queue is empty", func() bool { return len(w.events) == 0 })
	w.Close()
	text := out.written.String()
	if !strings.HasPrefix(text, "first\n") || !strings.Contains(text, fmt.Sprintf("event %d\n", maxQueuedEvents-1)) {
		t.Errorf("written: %.100q ...", text)
	}
	if want := fmt.Sprintf("count=%d\n", dropped); !strings.Contains(text, want) || strings.Contains(text, fmt.Sprintf("event %d\n", maxQueuedEvents)) {
		t.Errorf("%q is missing, or more events were written than the queue holds", want)
	}
}

// A writer that blocks forever does not keep the process from ending.
func TestCloseOfBlockedWriter(t *testing.T) {
	out := &blockedWriter{begun: make(chan struct{}, 1), resume: make(chan struct{})}
	w := NewWriter(out)
	fmt.Fprint(w, "first\n")
	done := make(chan struct{})
	go func() {
		w.Close()
		close(done)
	}()
	testprog.Await(t, done, "end of Close")
}
