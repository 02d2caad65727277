package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"hoptiller/internal/testprog"
)

// stuck is a writer that hangs until it is let go.
type stuck struct {
	begun, goOn chan struct{}
	written     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	default:
	}
	<-s.goOn
	return s.written.Write(b)
}

// Whoever logs goes on while nothing can be written. What is queued comes out in order afterwards, with a count of what was dropped.
func TestWriterNeverWaits(t *testing.T) {
	const dropped = 7
	out := &stuck{begun: make(chan struct{}, 1), goOn: make(chan struct{})}
	w := NewWriter(out)
	fmt.Fprint(w, "first\n")
	testprog.Await(t, out.begun, "first write")
	for i := range queuedEvents + dropped {
		fmt.Fprintf(w, "event %d\n", i)
	}
	close(out.goOn)
	testprog.Until(t, "the queue is empty", func() bool { return len(w.events) == 0 })
	w.Close()
	text := out.written.String()
	if !strings.HasPrefix(text, "first\n") || !strings.Contains(text, fmt.Sprintf("event %d\n", queuedEvents-1)) {
		t.Errorf("written: %.100q ...", text)
	}
	if want := fmt.Sprintf("count=%d\n", dropped); !strings.Contains(text, want) || strings.Contains(text, fmt.Sprintf("event %d\n", queuedEvents)) {
		t.Errorf("no %q, or more than the queue holds", want)
	}
}

// A writer that hangs for good does not keep the program from ending.
func TestCloseOfAWriterThatHangs(t *testing.T) {
	out := &stuck{begun: make(chan struct{}, 1), goOn: make(chan struct{})}
	w := NewWriter(out)
	fmt.Fprint(w, "first\n")
	done := make(chan struct{})
	go func() {
		w.Close()
		close(done)
	}()
	testprog.Await(t, done, "end of Close")
}
