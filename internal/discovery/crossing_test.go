package discovery

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// source hands over each call to it, and lets it be answered by hand.
type source struct {
	name    string
	watches chan call
	lists   chan call
}

type call struct {
	after  int64
	told   func(Update) error
	answer chan Update // of a List
	over   chan error  // ends a Watch
}

func (s *source) List(ctx context.Context) (Update, error) {
	c := call{answer: make(chan Update)}
	s.lists <- c
	return <-c.answer, nil
}

func (s *source) Watch(ctx context.Context, after int64, told func(Update) error) error {
	c := call{after: after, told: told, over: make(chan error)}
	s.watches <- c
	select {
	case err := <-c.over:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// heard is a Listener that keeps what it was told.
type heard chan string

func (h heard) Told(kind hoptiller.ListKind, servers []relay.Server) {
	text := fmt.Sprint(kind)
	for _, s := range servers {
		text += fmt.Sprintf(" %s:%d", s.Name, s.Phase)
	}
	h <- text
}
func (heard) Knows(uint32) bool { return true }

func update(version int64, full bool, state string) Update {
	return Update{Version: version, Full: full, Entries: []Entry{{ID: "s", Addr: "a:1", State: state}}}
}

// run starts a Client of a source.
func run(t *testing.T) (c *Client, a, b *source, told heard) {
	a, b = &source{"a", make(chan call, 9), make(chan call, 9)}, &source{"b", make(chan call, 9), make(chan call, 9)}
	told = make(heard, 100)
	c = NewClient(a, &Names{}, told, update(1, true, "active"))
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		end()
		testprog.Await(t, done, "end of the client")
	})
	<-told
	return c, a, b, told
}

// Crossing: an old list comes after a newer one of the same service, on a watch that was opened before the newer came. It is
// not passed on, and the watch is broken, so that the next begins anew: a service that has started anew counts lower.
func TestOldListAfterNewer(t *testing.T) {
	c, a, _, told := run(t)
	c.Watch(true)
	first := testprog.Await(t, a.watches, "first watch")
	c.Watch(true)
	second := testprog.Await(t, a.watches, "second watch")
	if err := first.told(update(7, false, "leaving")); err != nil {
		t.Fatal(err)
	}
	testprog.Await(t, told, "word of the first watch")
	if err := second.told(update(5, true, "active")); !errors.Is(err, errOld) {
		t.Errorf("an old list: %v", err)
	}
	second.over <- errOld
	testprog.Await(t, told, "end of the second watch")
	c.Watch(true)
	third := testprog.Await(t, a.watches, "third watch")
	if third.after != 7 {
		t.Errorf("the next watch begins after %d", third.after)
	}
	if err := third.told(update(2, true, "active")); err != nil {
		t.Errorf("a service that counts anew: %v", err)
	}
	if text := testprog.Await(t, told, "word of the third watch"); text != "1 s:2" {
		t.Errorf("told %q", text)
	}
}

// Crossing: discovery is moved while calls to the old service are out. What the old one says counts until the new one has
// spoken, and then no more, nor does an answer to a call that it was given before.
func TestAnswerOfTheOldService(t *testing.T) {
	c, a, b, told := run(t)
	c.Watch(true)
	old := testprog.Await(t, a.watches, "watch of the old service")
	c.List()
	list := testprog.Await(t, a.lists, "call to the old service")
	c.Move(b)
	moved := testprog.Await(t, b.watches, "watch of the new service")
	if err := old.told(update(8, false, "leaving")); err != nil {
		t.Errorf("the old service before the new one has spoken: %v", err)
	}
	testprog.Await(t, told, "word of the old service")
	if err := moved.told(update(3, true, "left")); moved.after != 0 || err != nil {
		t.Errorf("the new service, asked after %d: %v", moved.after, err)
	}
	if text := testprog.Await(t, told, "word of the new service"); text != "1 s:0" {
		t.Errorf("told %q", text)
	}
	if err := old.told(update(9, true, "active")); !errors.Is(err, errReplaced) {
		t.Errorf("the old service after the new one has spoken: %v", err)
	}
	testprog.Give(t, list.answer, update(10, true, "active"), "the old service's answer")
	if text := testprog.Await(t, told, "end of the call to the old service"); text != fmt.Sprint(hoptiller.ListFailed) {
		t.Errorf("told %q", text)
	}
}

// However many orders come at once, each is carried out.
func TestNoOrderIsLost(t *testing.T) {
	c, a, b, _ := run(t)
	a.watches, b.watches = make(chan call, 200), make(chan call, 200)
	for range 100 {
		c.Watch(true)
	}
	c.Move(b)
	for range 100 {
		testprog.Await(t, a.watches, "watch")
	}
	testprog.Await(t, b.watches, "watch of the new service")
}
