// Package middleware applies an operator's plan between the client side of the router and the
// relay. It looks up the constraints of each request, asks package admission whether the request
// is admitted, lets it wait for a bounded time if the plan has a queue, and passes it on
// together with its constraints.
//
// It makes no decisions of its own and knows no protocol.
package middleware

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hoptiller"
	"hoptiller/internal/admission"
	"hoptiller/internal/limit"
	"hoptiller/internal/meta"
	"hoptiller/internal/plan"
	"hoptiller/internal/relay"
)

// tenantFact is the name of the request's fact (a name=value pair) that holds its tenant.
const tenantFact = "customer"

// Server serves a request and returns its final answer.
type Server interface {
	Serve(ctx context.Context, req *relay.Request) relay.Answer
}

// Listener receives the updates of the server list.
type Listener interface {
	// UpdateServers is called with each update of the server list.
	UpdateServers(kind hoptiller.ListKind, servers []relay.Server)
	// Knows reports whether the listener still knows a server.
	Knows(id uint32) bool
}

// Handler is a Server and a Listener. It applies a plan and passes requests and list updates on to the next ones.
type Handler struct {
	next       Server
	listener   Listener
	controller *admission.Controller
	start      time.Time
	onReject   RejectFunc

	lastID      atomic.Uint64
	serversByID map[uint32]relay.Server // needs no lock, since list updates come one at a time

	mu      sync.Mutex
	waiting map[uint64]chan admission.Decision
}

// RejectFunc is called with each rejected request and the name of the limit that rejects it. It must not block.
type RejectFunc func(req *relay.Request, limit string)

// New returns a Handler that applies p before it passes requests to next and list updates to
// listener. It calls onReject for each request that it rejects.
func New(next Server, listener Listener, p *plan.Plan, onReject RejectFunc) *Handler {
	return &Handler{
		next:        next,
		listener:    listener,
		controller:  admission.New(p),
		start:       time.Now(),
		onReject:    onReject,
		serversByID: map[uint32]relay.Server{},
		waiting:     map[uint64]chan admission.Decision{},
	}
}

// SetPlan replaces the plan. Requests that have begun keep the plan under which they began.
func (h *Handler) SetPlan(p *plan.Plan) { h.controller.SetPlan(p) }

// Counts returns how many of the requests with limits are admitted and how many wait.
func (h *Handler) Counts() (admitted, waiting int) { return h.controller.Counts() }

// Serve serves a request and returns its final answer, which is a rejection if the request doesn't pass a limit.
func (h *Handler) Serve(ctx context.Context, req *relay.Request) relay.Answer {
	tenant, _ := meta.LookupFact(req.Facts, tenantFact)
	constraints := h.controller.Lookup(req.Class, req.Key, tenant, req.ClientAddr)
	if req.Constraints = constraints.ForModule(); constraints.Unlimited() {
		return h.next.Serve(ctx, req)
	}
	id := h.lastID.Add(1)
	arrival := time.Since(h.start)
	decision := h.admit(ctx, arrival, id, constraints, h.latestAdmission(req))
	if decision.Verdict == limit.Rejected {
		h.onReject(req, decision.Limit)
		return relay.Answer{Kind: hoptiller.StepReject, RetryAfter: decision.RetryAfter}
	}
	answer := h.next.Serve(ctx, req)
	now := time.Since(h.start)
	outcome := limit.Succeeded
	switch {
	case ctx.Err() != nil || answer.Kind == hoptiller.StepReject:
		outcome = limit.Unknown // load shed by the module says nothing about the fleet's capacity
	case answer.Kind == hoptiller.StepFail || constraints.Late(now-arrival):
		outcome = limit.Failed
	}
	h.deliver(h.controller.Finish(now, id, outcome))
	return answer
}

// latestAdmission returns the time since the start of the Handler until which a request may wait in all its queues together.
// Each queue has a maximum wait of its own, but a request may pass several, and its client's time may be shorter.
func (h *Handler) latestAdmission(req *relay.Request) time.Duration {
	return req.Arrived.Sub(h.start) + hoptiller.MaxWait(req.Timeout)
}

// admit waits until a request is admitted or rejected, but not beyond latest.
func (h *Handler) admit(
	ctx context.Context, now time.Duration, id uint64, constraints *admission.Constraints, latest time.Duration,
) admission.Decision {
	h.mu.Lock() // held so that a decision on a request that waits always finds its channel
	decision, others := h.controller.Admit(now, id, constraints)
	var decisions chan admission.Decision
	if decision.Verdict == limit.Queued {
		decisions = make(chan admission.Decision, maxDecisions)
		h.waiting[id] = decisions
	}
	h.mu.Unlock()
	h.deliver(others)
	if decisions == nil {
		return decision
	}
	for decision.Verdict == limit.Queued {
		decision.WaitUntil = min(decision.WaitUntil, latest)
		decision = h.awaitDecision(ctx, id, decision, decisions)
	}
	h.mu.Lock()
	delete(h.waiting, id)
	h.mu.Unlock()
	return decision
}

// maxDecisions is the number of decisions that can be pending for one request that waits: its
// admission may arrive before the decision that lets it wait at the shared gate.
const maxDecisions = 2

// awaitDecision waits for the next decision on a queued request, until its time in the queue is up
// or its client has disconnected.
func (h *Handler) awaitDecision(
	ctx context.Context, id uint64, current admission.Decision, decisions chan admission.Decision,
) admission.Decision {
	timer := time.NewTimer(current.WaitUntil - time.Since(h.start))
	defer timer.Stop()
	select {
	case decision := <-decisions:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	waited, decision, others := h.controller.CancelWait(time.Since(h.start), id)
	if !waited {
		return <-decisions // the decision was made just now and is on its way
	}
	h.deliver(others)
	return decision
}

// deliver sends decisions to the requests that wait for them. It doesn't block: the channels have
// room for all decisions that can be pending.
func (h *Handler) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		h.mu.Lock()
		waiting := h.waiting[decision.RequestID]
		h.mu.Unlock()
		if waiting != nil {
			waiting <- decision
		}
	}
}

// UpdateServers applies an update of the server list. It updates the pools before it notifies the next listener.
func (h *Handler) UpdateServers(kind hoptiller.ListKind, servers []relay.Server) {
	if kind != hoptiller.ListFailed {
		h.updateList(kind, servers)
		h.controller.SetServers(h.cacheServers())
	}
	h.listener.UpdateServers(kind, servers)
}

// updateList applies a complete server list or the changes of one.
func (h *Handler) updateList(kind hoptiller.ListKind, servers []relay.Server) {
	if kind == hoptiller.ListFull || kind == hoptiller.ListCached {
		clear(h.serversByID)
	}
	for _, server := range servers {
		if h.serversByID[server.ID] = server; server.Phase == hoptiller.Removed {
			delete(h.serversByID, server.ID)
		}
	}
}

// cacheServers returns the listed servers without the origin.
func (h *Handler) cacheServers() []admission.Server {
	servers := make([]admission.Server, 0, len(h.serversByID))
	for _, server := range h.serversByID {
		if server.Origin {
			continue
		}
		servers = append(servers, admission.Server{
			ID:    server.ID,
			Zone:  server.Zone,
			Kind:  server.Kind,
			Cell:  server.Cell,
			Addr:  server.Addr,
			Ready: server.Phase == hoptiller.Ready,
		})
	}
	return servers
}

// Knows reports whether the next listener still knows a server.
func (h *Handler) Knows(id uint32) bool { return h.listener.Knows(id) }
