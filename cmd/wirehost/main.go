// Command wirehost hosts router instances behind the simulator's wire on
// standard input and output. It translates and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"hoptiller"
	"hoptiller/internal/config"
	"hoptiller/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

type host struct {
	reader  *wire.Reader
	reply   wire.Reply
	routers map[uint32]*hoptiller.Router
	lists   [16][]hoptiller.Server
	current uint32
	named   bool
}

// serve answers batches from in on out until in ends.
func serve(in io.Reader, out io.Writer) error {
	h := &host{
		reader:  wire.NewReader(bufio.NewReaderSize(in, 1<<16)),
		routers: make(map[uint32]*hoptiller.Router),
	}
	for {
		err := h.reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.batch()
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

func (h *host) batch() error {
	h.reply.Reset()
	h.named = false
	var e wire.Event
	for {
		more, err := h.reader.Next(&e)
		if err != nil || !more {
			return err
		}
		if err := h.event(&e); err != nil {
			return err
		}
	}
}

func (h *host) event(e *wire.Event) error {
	switch e.Code {
	case wire.Context:
		h.current, h.named = e.Instance, true
		return nil
	case wire.List:
		h.lists[e.Buffer] = e.Servers
		return nil
	}
	if !h.named {
		return fmt.Errorf("event code %d comes before any Context", e.Code)
	}
	if e.Code == wire.Provision {
		set, _, err := config.ParseSettings(e.Conf)
		if err != nil {
			return fmt.Errorf("instance %d: %w", h.current, err)
		}
		h.routers[h.current] = hoptiller.New(h.reader.Clock, set, e.Seed, h.reply.For(h.current))
		return nil
	}
	router := h.routers[h.current]
	if router == nil {
		return fmt.Errorf("event code %d is for instance %d, which is not running", e.Code, h.current)
	}
	return h.deliver(router, e)
}

func (h *host) deliver(router *hoptiller.Router, e *wire.Event) error {
	now := h.reader.Clock
	switch e.Code {
	case wire.Destroy:
		delete(h.routers, h.current)
	case wire.Endpoints:
		return h.endpoints(router, e)
	case wire.Knock:
		router.Request(now, e.Request)
	case wire.ReportBack:
		router.Outcome(now, e.Outcome)
	case wire.Flowing:
		router.Streaming(now, e.Outcome.Request, e.Outcome.Attempt)
	case wire.ClientGone:
		router.ClientGone(now, e.ID)
	case wire.TimeoutFired:
		router.Timer(now, e.Token)
	}
	return nil
}

func (h *host) endpoints(router *hoptiller.Router, e *wire.Event) error {
	if e.Scope == hoptiller.ListFailed {
		router.List(h.reader.Clock, e.Scope, nil)
		return nil
	}
	if int(e.Buffer) >= len(h.lists) || h.lists[e.Buffer] == nil {
		return fmt.Errorf("event Endpoints names list %d, which was never given", e.Buffer)
	}
	router.List(h.reader.Clock, e.Scope, h.lists[e.Buffer])
	return nil
}
