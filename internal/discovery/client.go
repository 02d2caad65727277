// Package discovery keeps the list of servers up to date from a discovery
// service.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/relay"
)

// Entry is one server as a directory names it.
type Entry struct {
	ID, Addr, Zone, Kind, State string
	Cell                        int
	Weight                      float64
	StartedMS                   int64
}

// Update is what a directory says at a time.
type Update struct {
	Version int64
	Full    bool
	Entries []Entry
}

// Listener is told of servers, as *relay.Relay is.
type Listener interface {
	Told(kind hoptiller.ListKind, servers []relay.Server)
	Knows(id uint32) bool
}

// Source is a service that can be asked for the list.
type Source interface {
	// List asks for the whole list.
	List(ctx context.Context) (Update, error)
	// Watch tells of what has changed since a version, until the watch breaks, ctx ends or told fails.
	Watch(ctx context.Context, after int64, told func(Update) error) error
}

// ParseUpdate reads an update in the platform's form.
func ParseUpdate(text []byte) (Update, error) {
	if !gjson.ValidBytes(text) {
		return Update{}, errors.New("directory: not JSON")
	}
	root := gjson.ParseBytes(text)
	list := root.Get("servers")
	if !list.IsArray() {
		return Update{}, errors.New("directory: no list of servers")
	}
	u := Update{Version: root.Get("version").Int(), Full: root.Get("full").Bool()}
	var err error
	list.ForEach(func(_, e gjson.Result) bool {
		entry := Entry{
			ID: e.Get("id").String(), Addr: e.Get("addr").String(), Zone: e.Get("zone").String(),
			Kind: e.Get("kind").String(), State: e.Get("state").String(), Cell: int(e.Get("cell").Int()),
			Weight: e.Get("weight").Float(), StartedMS: e.Get("started_ms").Int(),
		}
		switch {
		case entry.ID == "":
			err = errors.New("directory: a server has no id")
		case entry.State != "active" && entry.State != "leaving" && entry.State != "left":
			err = fmt.Errorf("directory: server %q has unknown state %q", entry.ID, entry.State)
		case entry.State != "left" && entry.Addr == "":
			err = fmt.Errorf("directory: server %q has no address", entry.ID)
		}
		u.Entries = append(u.Entries, entry)
		return err == nil
	})
	if err != nil {
		return Update{}, err
	}
	return u, nil
}

// Names gives zones, kinds and ids of a directory the Router's numbers.
type Names struct {
	Zones, Kinds []string
	OriginKind   int

	ids   map[string]uint32
	taken map[uint32]bool
}

// Servers translates the entries of an update.
func (n *Names) Servers(entries []Entry) []relay.Server {
	servers := make([]relay.Server, len(entries))
	for i, e := range entries {
		kind := index(&n.Kinds, e.Kind)
		servers[i] = relay.Server{Name: e.ID, Addr: e.Addr, Origin: n.OriginKind >= 0 && kind == n.OriginKind}
		s := &servers[i].Server
		s.ID, s.Zone, s.Kind, s.Cell, s.Weight = n.id(e.ID), index(&n.Zones, e.Zone), kind, e.Cell, e.Weight
		s.Started = time.Duration(max(0, min(e.StartedMS, 1<<43))) * time.Millisecond
		switch e.State {
		case "active":
			s.Phase = hoptiller.Ready
		case "leaving":
			s.Phase = hoptiller.Draining
		}
	}
	return servers
}

func index(names *[]string, name string) int {
	for i, n := range *names {
		if n == name {
			return i
		}
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// id makes a server's number: what the hexadecimal digits at its end say where there are eight, else
// a hash. All routers must come to the same one, which only a collision can prevent.
func (n *Names) id(name string) uint32 {
	if n.ids == nil {
		n.ids, n.taken = map[string]uint32{}, map[uint32]bool{}
	}
	if id, ok := n.ids[name]; ok {
		return id
	}
	id := uint32(2166136261)
	for i := range len(name) {
		id = (id ^ uint32(name[i])) * 16777619
	}
	if at := len(name) - 8; at == 0 || at > 0 && name[at-1] == '-' {
		if x, err := strconv.ParseUint(name[at:], 16, 32); err == nil {
			id = uint32(x)
		}
	}
	for n.taken[id] {
		id++
	}
	n.ids[name], n.taken[id] = id, true
	return id
}

// keep forgets the names whose numbers nobody knows any more.
func (n *Names) keep(known func(id uint32) bool) {
	for name, id := range n.ids {
		if !known(id) {
			delete(n.ids, name)
			delete(n.taken, id)
		}
	}
}

// Client asks a Source what the Router wants asked and tells a Relay. It is a
// relay.Directory.
type Client struct {
	relay Listener

	ordersMu sync.Mutex
	orders   []order       // to be carried out
	ordered  chan struct{} // told of them

	mu      sync.Mutex // serialises what is told
	src     Source
	names   *Names
	version int64    // of the last word of src
	watches []*watch // those that run, the newest last
}

type order struct {
	list, watch bool
	src         Source // if set, what is asked from now on
}

// watch is one watch that runs.
type watch struct {
	src    Source
	after  int64 // the version that was known when it began
	cancel context.CancelFunc
}

// NewClient returns a Client that knows what known says.
func NewClient(src Source, names *Names, r Listener, known Update) *Client {
	c := &Client{src: src, relay: r, names: names, ordered: make(chan struct{}, 1)}
	c.told(hoptiller.ListCached, known, &watch{src: src})
	return c
}

// Watch implements relay.Directory.
func (c *Client) Watch(on bool) { c.order(order{watch: on}) }

// List implements relay.Directory.
func (c *Client) List() { c.order(order{list: true}) }

// Move has all that is asked from now on asked of another source. What the present watch still has to
// tell counts until the new one has spoken.
func (c *Client) Move(src Source) { c.order(order{watch: true, src: src}) }

// order never blocks.
func (c *Client) order(o order) {
	c.ordersMu.Lock()
	c.orders = append(c.orders, o)
	c.ordersMu.Unlock()
	select {
	case c.ordered <- struct{}{}:
	default:
	}
}

// taken are the orders since it was asked last.
func (c *Client) taken() []order {
	c.ordersMu.Lock()
	defer c.ordersMu.Unlock()
	orders := c.orders
	c.orders = nil
	return orders
}

// Run carries out the orders until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var calls errgroup.Group
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.ordered:
		}
		for _, o := range c.taken() {
			c.carryOut(ctx, o, &calls)
		}
	}
}

func (c *Client) carryOut(ctx context.Context, o order, calls *errgroup.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.src != nil { // another service counts its versions as it likes
		c.src, c.version = o.src, 0
	}
	src, after := c.src, c.version
	switch {
	case o.list:
		calls.Go(func() error { c.list(ctx, src, after); return nil })
	case o.watch:
		w := &watch{src: src, after: after}
		ctx, w.cancel = context.WithCancel(ctx)
		c.watches = append(c.watches, w)
		calls.Go(func() error { c.watch(ctx, w); return nil })
	default:
		c.end(len(c.watches))
	}
}

// end ends the n oldest watches; c.mu is held.
func (c *Client) end(n int) {
	for _, w := range c.watches[:n] {
		w.cancel()
	}
	c.watches = slices.Delete(c.watches, 0, n)
}

func (c *Client) list(ctx context.Context, src Source, after int64) {
	u, err := src.List(ctx)
	if err == nil {
		err = c.told(hoptiller.ListFull, u, &watch{src: src, after: after})
	}
	if err != nil && ctx.Err() == nil {
		slog.Warn("directory call failed", "call", "list", "err", err)
		c.failed(nil)
	}
}

// watch runs one watch. When it breaks the Router is told, and orders the next when it sees fit.
func (c *Client) watch(ctx context.Context, w *watch) {
	defer w.cancel()
	err := w.src.Watch(ctx, w.after, func(u Update) error {
		kind := hoptiller.ListDelta
		if u.Full {
			kind = hoptiller.ListFull
		}
		return c.told(kind, u, w)
	})
	if ctx.Err() == nil {
		slog.Warn("directory call failed", "call", "watch", "err", err)
		c.failed(w)
	}
}

var (
	errReplaced = errors.New("another service is asked by now")
	errOld      = errors.New("an old list came after a newer one")
)

// told passes on what a source says, in a watch or in another call, unless something newer was told since that call began: the
// versions of a service that has started anew are lower than what was known before. The first word of a watch ends those before
// it, which ran on so that nothing is missed between; what such a one says after that counts no more.
func (c *Client) told(kind hoptiller.ListKind, u Update, w *watch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := slices.Index(c.watches, w)
	switch {
	case at < 0 && (kind == hoptiller.ListDelta || w.cancel != nil || w.src != c.src):
		return errReplaced
	case w.src == c.src && u.Version < c.version && w.after < c.version:
		return errOld
	case at >= 0:
		c.end(at)
	}
	if w.src == c.src {
		c.version = u.Version
	}
	c.relay.Told(kind, c.names.Servers(u.Entries))
	c.names.keep(c.relay.Knows)
	return nil
}

// failed tells the Router of a call that failed, or of a watch unless a newer one runs in its place.
func (c *Client) failed(w *watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w != nil {
		at := slices.Index(c.watches, w)
		newest := at == len(c.watches)-1
		if at >= 0 {
			c.watches = slices.Delete(c.watches, at, at+1)
		}
		if !newest || at < 0 {
			return
		}
	}
	c.relay.Told(hoptiller.ListFailed, nil)
}
