// Command wirehost runs router instances for a simulator that speaks the wire
// protocol on standard input and output. It only translates between the protocol
// and the decision module; it makes no decisions itself.
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

// routerHost holds the router instances of one simulator connection and the state of the batch that is being read.
type routerHost struct {
	reader     *wire.Reader
	reply      wire.Reply
	routers    map[uint32]*hoptiller.Router // by instance number
	lists      [16][]hoptiller.Server       // by buffer number; nil until a List event fills the buffer
	instance   uint32                       // set by the last Context event; the events that follow are for this instance
	hasContext bool                         // whether the batch has had a Context event
}

// serve reads batches from in and writes one reply for each to out, until in ends.
func serve(in io.Reader, out io.Writer) error {
	h := &routerHost{
		reader:  wire.NewReader(bufio.NewReaderSize(in, 1<<16)),
		routers: make(map[uint32]*hoptiller.Router),
	}
	for {
		err := h.reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.handleBatch()
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// handleBatch handles the events of one batch and collects their actions in the reply.
func (h *routerHost) handleBatch() error {
	h.reply.Reset()
	h.hasContext = false
	var e wire.Event
	for {
		more, err := h.reader.Next(&e)
		if err != nil || !more {
			return err
		}
		if err := h.handleEvent(&e); err != nil {
			return err
		}
	}
}

// handleEvent handles the events that concern the host itself and passes the others to the router of the current instance.
func (h *routerHost) handleEvent(e *wire.Event) error {
	switch e.Code {
	case wire.Context:
		h.instance, h.hasContext = e.Instance, true
		return nil
	case wire.List:
		h.lists[e.ListIndex] = e.Servers
		return nil
	}
	if !h.hasContext {
		return fmt.Errorf("event code %d comes before any Context", e.Code)
	}
	if e.Code == wire.Provision {
		settings, _, err := config.ParseSettings(e.Settings)
		if err != nil {
			return fmt.Errorf("instance %d: %w", h.instance, err)
		}
		h.routers[h.instance] = hoptiller.New(h.reader.Clock, settings, e.Seed, h.reply.For(h.instance))
		return nil
	}
	router := h.routers[h.instance]
	if router == nil {
		return fmt.Errorf("event code %d is for instance %d, which is not running", e.Code, h.instance)
	}
	return h.deliver(router, e)
}

// deliver passes an event to the router instance that it is for.
func (h *routerHost) deliver(router *hoptiller.Router, e *wire.Event) error {
	now := h.reader.Clock
	switch e.Code {
	case wire.Destroy:
		delete(h.routers, h.instance)
	case wire.Endpoints:
		return h.deliverList(router, e)
	case wire.RequestArrived:
		router.Request(now, e.Request)
	case wire.AttemptEnded:
		router.Outcome(now, e.Outcome)
	case wire.StreamStarted:
		router.StreamStarted(now, e.Outcome.Request, e.Outcome.Attempt)
	case wire.ClientDisconnected:
		router.ClientDisconnected(now, e.ID)
	case wire.TimerFired:
		router.Timer(now, e.Token)
	}
	return nil
}

// deliverList passes the router the server list of the buffer that e names, which an earlier List event has filled. For a list
// of the kind ListFailed it reads no buffer.
func (h *routerHost) deliverList(router *hoptiller.Router, e *wire.Event) error {
	if e.ListKind == hoptiller.ListFailed {
		router.UpdateServers(h.reader.Clock, e.ListKind, nil)
		return nil
	}
	if int(e.ListIndex) >= len(h.lists) || h.lists[e.ListIndex] == nil {
		return fmt.Errorf("event Endpoints names list %d, which was never given", e.ListIndex)
	}
	router.UpdateServers(h.reader.Clock, e.ListKind, h.lists[e.ListIndex])
	return nil
}
