// Package discovery keeps the list of servers up to date by querying a discovery service.
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

// Entry describes one server as a discovery service lists it.
type Entry struct {
	ID, Addr, Zone, Kind, State string
	Cell                        int
	Weight                      float64
	StartedMS                   int64
}

// Update is one message of a discovery service: a full list of servers, or the entries that have changed.
type Update struct {
	Version int64
	Full    bool
	Entries []Entry
}

// Listener receives server lists. *relay.Relay implements it.
type Listener interface {
	UpdateServers(kind hoptiller.ListKind, servers []relay.Server)
	Knows(id uint32) bool
}

// Source is a service that provides the list of servers.
type Source interface {
	// List fetches the full list.
	List(ctx context.Context) (Update, error)
	// Watch calls onUpdate with each change since version afterVersion. It returns when the watch breaks, ctx ends or
	// onUpdate returns an error.
	Watch(ctx context.Context, afterVersion int64, onUpdate func(Update) error) error
}

// ParseUpdate parses an update in the JSON format of the platform's discovery service.
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

// Names maps the names of zones, kinds and servers to the numbers that the Router uses.
type Names struct {
	Zones, Kinds []string
	OriginKind   int

	ids     map[string]uint32
	usedIDs map[uint32]bool
}

// Servers converts the entries of an update to relay servers.
func (n *Names) Servers(entries []Entry) []relay.Server {
	servers := make([]relay.Server, len(entries))
	for i, e := range entries {
		kind := indexOrAppend(&n.Kinds, e.Kind)
		servers[i] = relay.Server{Name: e.ID, Addr: e.Addr, Origin: n.OriginKind >= 0 && kind == n.OriginKind}
		s := &servers[i].Server
		s.ID, s.Zone, s.Kind, s.Cell, s.Weight = n.numberOf(e.ID), indexOrAppend(&n.Zones, e.Zone), kind, e.Cell, e.Weight
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

// indexOrAppend returns the index of name in names. It appends name if it is missing.
func indexOrAppend(names *[]string, name string) int {
	for i, n := range *names {
		if n == name {
			return i
		}
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// numberOf returns the number of a server. If the name ends with eight hexadecimal digits, the number is their value;
// otherwise it is a hash of the name. All routers must compute the same number for a server. Only a collision of two
// numbers can prevent that.
func (n *Names) numberOf(name string) uint32 {
	if n.ids == nil {
		n.ids, n.usedIDs = map[string]uint32{}, map[uint32]bool{}
	}
	if id, ok := n.ids[name]; ok {
		return id
	}
	id := uint32(2166136261)
	for i := range len(name) {
		id = (id ^ uint32(name[i])) * 16777619
	}
	if start := len(name) - 8; start == 0 || start > 0 && name[start-1] == '-' {
		if parsed, err := strconv.ParseUint(name[start:], 16, 32); err == nil {
			id = uint32(parsed)
		}
	}
	for n.usedIDs[id] {
		id++
	}
	n.ids[name], n.usedIDs[id] = id, true
	return id
}

// forgetUnknown removes the names whose numbers known no longer reports.
func (n *Names) forgetUnknown(known func(id uint32) bool) {
	for name, id := range n.ids {
		if !known(id) {
			delete(n.ids, name)
			delete(n.usedIDs, id)
		}
	}
}

// Client fetches server lists from a Source when the Router requests them and passes them to a Listener. It
// implements relay.Discovery.
type Client struct {
	listener Listener

	commandsMu sync.Mutex
	commands   []command     // commands that wait for Run to execute them
	wakeup     chan struct{} // receives a value after a command is added

	mu      sync.Mutex // serialises the calls of listener
	src     Source
	names   *Names
	version int64    // version of the last update from src
	watches []*watch // running watches, the newest last
}

// command is a list call to make, or a watch to start or stop.
type command struct {
	list, watch bool
	src         Source // if not nil, the source of all later calls
}

// watch is one running watch of a source.
type watch struct {
	src          Source
	afterVersion int64 // the version that the client knew when the watch began
	cancel       context.CancelFunc
}

// NewClient returns a Client of src. It passes the servers of initial to the listener at once.
func NewClient(src Source, names *Names, l Listener, initial Update) *Client {
	c := &Client{src: src, listener: l, names: names, wakeup: make(chan struct{}, 1)}
	c.applyUpdate(hoptiller.ListCached, initial, &watch{src: src})
	return c
}

// Watch implements relay.Discovery: it starts a watch, or stops all of them.
func (c *Client) Watch(on bool) { c.enqueue(command{watch: on}) }

// List implements relay.Discovery: it fetches the full list.
func (c *Client) List() { c.enqueue(command{list: true}) }

// SetSource makes src the source of all later calls. Updates from the present watch still count until the new source has
// sent its first update.
func (c *Client) SetSource(src Source) { c.enqueue(command{watch: true, src: src}) }

// enqueue queues a command for Run. It never blocks.
func (c *Client) enqueue(cmd command) {
	c.commandsMu.Lock()
	c.commands = append(c.commands, cmd)
	c.commandsMu.Unlock()
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// takeCommands removes and returns the queued commands.
func (c *Client) takeCommands() []command {
	c.commandsMu.Lock()
	defer c.commandsMu.Unlock()
	commands := c.commands
	c.commands = nil
	return commands
}

// Run executes the queued commands until ctx ends. It returns after all its calls have returned.
func (c *Client) Run(ctx context.Context) error {
	var calls errgroup.Group
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeup:
		}
		for _, cmd := range c.takeCommands() {
			c.execute(ctx, cmd, &calls)
		}
	}
}

// execute starts the call or watch of a command, or cancels all watches.
func (c *Client) execute(ctx context.Context, cmd command, calls *errgroup.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cmd.src != nil { // another service has version numbers of its own
		c.src, c.version = cmd.src, 0
	}
	src, afterVersion := c.src, c.version
	switch {
	case cmd.list:
		calls.Go(func() error { c.fetchList(ctx, src, afterVersion); return nil })
	case cmd.watch:
		w := &watch{src: src, afterVersion: afterVersion}
		ctx, w.cancel = context.WithCancel(ctx)
		c.watches = append(c.watches, w)
		calls.Go(func() error { c.runWatch(ctx, w); return nil })
	default:
		c.cancelOldest(len(c.watches))
	}
}

// cancelOldest cancels and removes the n oldest watches. The caller holds c.mu.
func (c *Client) cancelOldest(n int) {
	for _, w := range c.watches[:n] {
		w.cancel()
	}
	c.watches = slices.Delete(c.watches, 0, n)
}

// fetchList fetches the full list from src and passes it on.
func (c *Client) fetchList(ctx context.Context, src Source, afterVersion int64) {
	u, err := src.List(ctx)
	if err == nil {
		err = c.applyUpdate(hoptiller.ListFull, u, &watch{src: src, afterVersion: afterVersion})
	}
	if err != nil && ctx.Err() == nil {
		slog.Warn("directory call failed", "call", "list", "err", err)
		c.reportFailure(nil)
	}
}

// runWatch runs one watch. When the watch breaks, it notifies the Router, which requests the next watch when it
// decides to.
func (c *Client) runWatch(ctx context.Context, w *watch) {
	defer w.cancel()
	err := w.src.Watch(ctx, w.afterVersion, func(u Update) error {
		kind := hoptiller.ListDelta
		if u.Full {
			kind = hoptiller.ListFull
		}
		return c.applyUpdate(kind, u, w)
	})
	if ctx.Err() == nil {
		slog.Warn("directory call failed", "call", "watch", "err", err)
		c.reportFailure(w)
	}
}

var (
	errSourceReplaced = errors.New("the update comes from a replaced watch or source")
	errStaleList      = errors.New("an old list came after a newer one")
)

// applyUpdate passes an update from a watch or a list call to the listener, unless a newer update has been passed on
// since that watch or call began. A lower version alone does not make an update old, since a service that has
// restarted may count from a lower version than the known one. The first update of a watch cancels all older watches.
// These continue until then, so that no change in between is missed. Later updates from a cancelled watch are rejected.
func (c *Client) applyUpdate(kind hoptiller.ListKind, u Update, w *watch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.Index(c.watches, w)
	switch {
	case index < 0 && (kind == hoptiller.ListDelta || w.cancel != nil || w.src != c.src):
		return errSourceReplaced
	case w.src == c.src && u.Version < c.version && w.afterVersion < c.version:
		return errStaleList
	case index >= 0:
		c.cancelOldest(index)
	}
	if w.src == c.src {
		c.version = u.Version
	}
	c.listener.UpdateServers(kind, c.names.Servers(u.Entries))
	c.names.forgetUnknown(c.listener.Knows)
	return nil
}

// reportFailure notifies the Router that a list call (w is nil) or a watch has failed. A failed watch is not reported
// if a newer one runs in its place, or if it has been cancelled.
func (c *Client) reportFailure(w *watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w != nil {
		index := slices.Index(c.watches, w)
		newest := index == len(c.watches)-1
		if index >= 0 {
			c.watches = slices.Delete(c.watches, index, index+1)
		}
		if !newest || index < 0 {
			return
		}
	}
	c.listener.UpdateServers(hoptiller.ListFailed, nil)
}
