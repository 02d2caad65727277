// Command hoptiller is a router in front of a fleet of slot caches.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/config"
	"hoptiller/internal/directory"
	"hoptiller/internal/front"
	"hoptiller/internal/origin"
	"hoptiller/internal/provider"
	"hoptiller/internal/relay"
)

const (
	providerShare = 4                      // calls on a provider connection before another is opened
	linger        = 700 * time.Millisecond // for which clients still come after SIGTERM
	spare         = 300 * time.Millisecond // between the last answer and SIGKILL
)

// keep is how long clients are served after SIGTERM on the connections that they have: SIGKILL comes when the
// longest deadline, counted as 3 s at the most, and linger are over, and till then all must be answered.
func keep(classes []hoptiller.Class) time.Duration {
	var deadline, aim time.Duration
	for _, c := range classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.Aim)
	}
	return max(linger, linger+min(deadline, 3*time.Second)-aim-spare)
}

// shares is what the limits leave to each side of the router.
type shares struct {
	clients   int // connections
	kept      int // and of them, those that may stay idle: clients hold a third of the descriptors at most
	open      int // invocations beyond the first of each client connection
	providers int // connections to all slot caches
	provider  int // connections to one of them; four routers share the 70 that it accepts
	origins   int // connections to the origin
}

// divide shares out the descriptors and the memory that a router has. Clients get half of the descriptors:
// those that say nothing must leave room for those that ask. Some are kept for the listener, the
// directory and the program itself.
func divide(c *config.Config) shares {
	sockets, memory := c.Sockets, int(c.MemoryMB)
	if sockets <= 0 {
		sockets = 1024
	}
	if memory <= 0 {
		memory = 192
	}
	rest := max(sockets-24, 8)
	s := shares{clients: min(rest/2, 8*memory), kept: sockets / 4, open: 2 * memory, origins: min(64, rest/6)}
	s.providers = rest - s.clients - s.origins
	s.provider = min(16, max(4, s.providers/8))
	return s
}

func main() {
	log.SetFlags(0)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before all else: until then it ends the program
	c, err := config.Load(os.Getenv)
	if err == nil {
		err = run(c, hup)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoptiller:", err)
		os.Exit(1)
	}
}

func run(c *config.Config, hup <-chan os.Signal) error {
	if c.MemoryMB > 0 { // collect garbage harder well before the limit that kills
		debug.SetMemoryLimit(c.MemoryMB << 20 / 2)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	log.Printf("listening on %v", listener.Addr())
	s := divide(c)
	providers := provider.New(provider.Settings{
		Share: providerShare, MostConns: s.provider, MostTotal: s.providers, MostCalls: max(1, c.MostCalls),
		IdleLimit: c.ConnIdle * 3 / 4, ConnectTimeout: c.Settings.ConnTimeout,
	}, provider.Meta{})
	origins := provider.New(provider.Settings{
		Share: 1, MostConns: s.origins, MostCalls: 1,
		IdleLimit: c.ConnIdle * 3 / 4, ConnectTimeout: c.Settings.ConnTimeout,
	}, origin.Protocol{})
	r := relay.New(c.Settings, c.Seed, providers, origins)
	names := &directory.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	dir := directory.NewClient(registry(c), names, r, c.Known)
	f := &front.Front{Classes: c.Classes, MostConns: s.clients, MostKept: s.kept, MostOpen: s.open, Linger: linger,
		Keep: keep(c.Settings.Classes), Server: r}
	for _, class := range c.Settings.Classes {
		f.Deadlines = append(f.Deadlines, class.Deadline)
	}

	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx, dir) })
	g.Go(func() error { return dir.Run(ctx) })
	g.Go(func() error {
		reload(ctx, hup, c, dir)
		return nil
	})
	g.Go(func() error {
		defer cancel() // the clients are served: all else ends
		return f.Serve(ctx, stop, listener)
	})
	err = g.Wait()
	providers.Close()
	origins.Close()
	return err
}

func registry(c *config.Config) *directory.Registry {
	return &directory.Registry{Addr: c.Discovery, Timeout: 4 * time.Second, Silence: 4500 * time.Millisecond}
}

// reload reads the configuration again on each SIGHUP. A router under load keeps its clients, providers
// and all that it has learned; what it takes is where discovery is now. The environment still names the
// address of the start, so here the file goes before it.
func reload(ctx context.Context, hup <-chan os.Signal, c *config.Config, dir *directory.Client) {
	env := func(name string) string {
		if name == "RELAY_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		next, err := config.Load(env)
		if err != nil {
			log.Printf("reload: %v; the old configuration stays", err)
			continue
		}
		log.Printf("reload: discovery at %s", next.Discovery)
		if next.Discovery != c.Discovery {
			c = next
			dir.Move(registry(c))
		}
	}
}
