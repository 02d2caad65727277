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

	"hoptiller/internal/config"
	"hoptiller/internal/directory"
	"hoptiller/internal/front"
	"hoptiller/internal/origin"
	"hoptiller/internal/provider"
	"hoptiller/internal/relay"
)

const (
	providerConns = 16 // to one slot cache; four routers share the 70 that it accepts
	providerShare = 4  // calls on each of them before another is opened
	originConns   = 32 // to the origin
	clientConns   = 384
	mostOpen      = 384                    // invocations; with the connections' buffers 100 MB at the worst
	linger        = 700 * time.Millisecond // for which clients still come after SIGTERM
)

func main() {
	log.SetFlags(0)
	c, err := config.Load(os.Getenv)
	if err == nil {
		err = run(c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoptiller:", err)
		os.Exit(1)
	}
}

func run(c *config.Config) error {
	if c.MemoryMB > 0 { // collect garbage harder well before the limit that kills
		debug.SetMemoryLimit(c.MemoryMB << 20 / 2)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	log.Printf("listening on %v", listener.Addr())
	providers := provider.New(provider.Settings{
		Share: providerShare, MostConns: providerConns, MostCalls: max(1, c.MostCalls), IdleLimit: c.ConnIdle * 3 / 4,
		ConnectTimeout: c.Settings.ConnTimeout,
	}, provider.Meta{})
	origins := provider.New(provider.Settings{
		Share: 1, MostConns: originConns, MostCalls: 1, IdleLimit: c.ConnIdle * 3 / 4,
		ConnectTimeout: c.Settings.ConnTimeout,
	}, origin.Protocol{})
	r := relay.New(c.Settings, c.Seed, providers, origins)
	names := &directory.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	registry := &directory.Registry{Addr: c.Discovery, Timeout: 4 * time.Second, Silence: 4500 * time.Millisecond}
	dir := directory.NewClient(registry, names, r, c.Known)
	f := &front.Front{Classes: c.Classes, MostConns: clientConns, MostOpen: mostOpen, Linger: linger, Server: r}
	if c.Sockets > 0 {
		f.MostConns = min(f.MostConns, c.Sockets/2)
	}
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
		defer cancel() // the clients are served: all else ends
		return f.Serve(ctx, stop, listener)
	})
	err = g.Wait()
	providers.Close()
	origins.Close()
	return err
}
