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

// fakeSource passes each call to the test, which answers it by hand.
type fakeSource struct {
	name    string
	watches chan pendingCall
	lists   chan pendingCall
}

// pendingCall is a call to a fakeSource that waits for its answer.
type pendingCall struct {
	afterVersion int64
	onUpdate     func(Update) error
	answer       chan Update // receives the answer to List
	ended        chan error  // receives the error that ends Watch
}

func (s *fakeSource) List(ctx context.Context) (Update, error) {
	c := pendingCall{answer: make(chan Update)}
	s.lists <- c
	return <-c.answer, nil
}

func (s *fakeSource) Watch(ctx context.Context, afterVersion int64, onUpdate func(Update) error) error {
	c := pendingCall{afterVersion: afterVersion, onUpdate: onUpdate, ended: make(chan error)}
	s.watches <- c
	select {
	case err := <-c.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordingListener is a Listener that records each call as text.
type recordingListener chan string

func (h recordingListener) UpdateServers(kind hoptiller.ListKind, servers []relay.Server) {
	text := fmt.Sprint(kind)
	for _, s := range servers {
		text += fmt.Sprintf(" %s:%d", s.Name, s.Phase)
	}
	h <- text
}
func (recordingListener) Knows(uint32) bool { return true }

func update(version int64, full bool, state string) Update {
	return Update{Version: version, Full: full, Entries: []Entry{{ID: "s", Addr: "a:1", State: state}}}
}

// startClient starts a Client of source a and consumes its first update. Source b is the one to move to.
func startClient(t *testing.T) (c *Client, a, b *fakeSource, updates recordingListener) {
	a, b = &fakeSource{"a", make(chan pendingCall, 9), make(chan pendingCall, 9)},
		&fakeSource{"b", make(chan pendingCall, 9), make(chan pendingCall, 9)}
	updates = make(recordingListener, 100)
	c = NewClient(a, &Names{}, updates, update(1, true, "active"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		testprog.Await(t, done, "end of the client")
	})
	<-updates
	return c, a, b, updates
}

// An old list arrives after a newer one of the same service, on a watch that was opened before the newer one arrived.
// It must not be passed on, and it must break the watch so that the next one starts over: the versions of a service
// that has restarted are lower.
func TestStaleListAfterNewer(t *testing.T) {
	c, a, _, updates := startClient(t)
	c.Watch(true)
	first := testprog.Await(t, a.watches, "first watch")
	c.Watch(true)
	second := testprog.Await(t, a.watches, "second watch")
	if err := first.onUpdate(update(7, false, "leaving")); err != nil {
		t.Fatal(err)
	}
	testprog.Await(t, updates, "update from the first watch")
	if err := second.onUpdate(update(5, true, "active")); !errors.Is(err, errStaleList) {
		t.Errorf("an old list: %v", err)
	}
	second.ended <- errStaleList
	testprog.Await(t, updates, "end of the second watch")
	c.Watch(true)
	third := testprog.Await(t, a.watches, "third watch")
	if third.afterVersion != 7 {
		t.Errorf("the next watch begins after version %d", third.afterVersion)
	}
	if err := third.onUpdate(update(2, true, "active")); err != nil {
		t.Errorf("a service that counts anew: %v", err)
	}
	if text := testprog.Await(t, updates, "update from the third watch"); text != "1 s:2" {
		t.Errorf("the listener received %q", text)
	}
}

// Discovery moves to another service while calls to the old one are in flight. Updates of the old service count until
// the new one has sent its first update, and no longer after that. The late answer to a list call to the old service
// does not count either.
func TestAnswerOfReplacedSource(t *testing.T) {
	c, a, b, updates := startClient(t)
	c.Watch(true)
	old := testprog.Await(t, a.watches, "watch of the old service")
	c.List()
	list := testprog.Await(t, a.lists, "call to the old service")
	c.SetSource(b)
	moved := testprog.Await(t, b.watches, "watch of the new service")
	if err := old.onUpdate(update(8, false, "leaving")); err != nil {
		t.Errorf("the old service before the new one has spoken: %v", err)
	}
	testprog.Await(t, updates, "update from the old service")
	if err := moved.onUpdate(update(3, true, "left")); moved.afterVersion != 0 || err != nil {
		t.Errorf("the new service, watched after version %d: %v", moved.afterVersion, err)
	}
	if text := testprog.Await(t, updates, "update from the new service"); text != "1 s:0" {
		t.Errorf("the listener received %q", text)
	}
	if err := old.onUpdate(update(9, true, "active")); !errors.Is(err, errSourceReplaced) {
		t.Errorf("the old service after the new one has spoken: %v", err)
	}
	testprog.Send(t, list.answer, update(10, true, "active"), "the old service's answer")
	if text := testprog.Await(t, updates, "end of the call to the old service"); text != fmt.Sprint(hoptiller.ListFailed) {
		t.Errorf("the listener received %q", text)
	}
}

// However many commands are queued at once, each is executed.
func TestNoCommandIsLost(t *testing.T) {
	c, a, b, _ := startClient(t)
	a.watches, b.watches = make(chan pendingCall, 200), make(chan pendingCall, 200)
	for range 100 {
		c.Watch(true)
	}
	c.SetSource(b)
	for range 100 {
		testprog.Await(t, a.watches, "watch")
	}
	testprog.Await(t, b.watches, "watch of the new service")
}
