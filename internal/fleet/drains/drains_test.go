package drains

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// heard writes down what a listener is told.
type heard struct{ lines []string }

func (h *heard) Knows(uint32) bool { return true }

func (h *heard) Told(kind hoptiller.ListKind, servers []relay.Server) {
	for _, s := range servers {
		h.lines = append(h.lines, fmt.Sprintf("%d: %d phase %d weight %.3g", kind, s.ID, s.Phase, s.Weight))
	}
}

func (h *heard) take() string {
	text := strings.Join(h.lines, "; ")
	h.lines = nil
	return text
}

func entry(id uint32, phase hoptiller.Phase, weight float64) relay.Server {
	return relay.Server{Server: hoptiller.Server{ID: id, Phase: phase, Weight: weight}, Name: fmt.Sprint("s-", id), Origin: id == 9}
}

// A drain at once, and back; what the directory says meanwhile goes through it.
func TestAtOnce(t *testing.T) {
	h := &heard{}
	c := New(h)
	c.Told(hoptiller.ListFull, []relay.Server{entry(1, hoptiller.Ready, 2), entry(2, hoptiller.Ready, 0), entry(9, hoptiller.Ready, 0)})
	h.take()
	out := map[uint32]Drain{1: {}, 7: {}}
	c.Set(0, out)
	if got := h.take(); got != "0: 1 phase 1 weight 2" {
		t.Errorf("drained: %s", got)
	}
	if c.Set(time.Second, out); h.take() != "" || !c.Whole(1) || c.Whole(2) {
		t.Error("told again, or not whole")
	}
	c.Told(hoptiller.ListFull, []relay.Server{entry(1, hoptiller.Ready, 3), entry(2, hoptiller.Ready, 0), entry(7, hoptiller.Ready, 1)})
	if got := h.take(); got != "1: 1 phase 1 weight 3; 1: 2 phase 2 weight 0; 1: 7 phase 1 weight 1" {
		t.Errorf("a new list: %s", got)
	}
	c.Told(hoptiller.ListDelta, []relay.Server{entry(7, hoptiller.Draining, 1)})
	h.take()
	c.Set(2*time.Second, nil)
	if got := h.take(); got != "0: 1 phase 2 weight 3; 0: 7 phase 1 weight 1" {
		t.Errorf("back: %s", got)
	}
	if c.Set(3*time.Second, nil); h.take() != "" {
		t.Error("told that it is back twice")
	}
	if _, ok := c.Find("s-9"); ok {
		t.Error("the origin is taken for a slot cache")
	}
	if s, ok := c.Find("s-2"); !ok || s.ID != 2 || c.Name(2) != "s-2" {
		t.Error("a slot cache is not found by its name")
	}
}

// A drain by and by, broken off halfway, begun again, and one that another router has ended by now.
func TestByAndBy(t *testing.T) {
	h := &heard{}
	c := New(h)
	c.Told(hoptiller.ListFull, []relay.Server{entry(1, hoptiller.Ready, 2), entry(2, hoptiller.Ready, 0)})
	h.take()
	out := map[uint32]Drain{2: {Over: 16 * time.Second}}
	for _, step := range []struct {
		at   time.Duration
		out  map[uint32]Drain
		want string
	}{
		{0, out, "0: 2 phase 2 weight 0"},
		{8 * time.Second, out, "0: 2 phase 2 weight 0.5"},
		{8 * time.Second, out, ""},
		{9 * time.Second, nil, ""}, // as it was, and on the way back
		{11 * time.Second, nil, "0: 2 phase 2 weight 0.625"},
		{11 * time.Second, out, "0: 2 phase 2 weight 0.625"},
		{21 * time.Second, out, "0: 2 phase 1 weight 0"},
		{30 * time.Second, nil, ""},
		{46 * time.Second, nil, "0: 2 phase 2 weight 0"},
		{50 * time.Second, map[uint32]Drain{2: {Over: 16 * time.Second, Whole: true}}, "0: 2 phase 1 weight 0"},
	} {
		c.Set(step.at, step.out)
		if got := h.take(); got != step.want {
			t.Errorf("at %v: %q, not %q", step.at, got, step.want)
		}
	}
}
