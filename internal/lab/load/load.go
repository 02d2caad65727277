// Package load is a load generator. It sends requests to routers or cache servers over the meta
// protocol at times that are set in advance, whether or not responses come (an open loop), and
// measures each response from the time at which its request was due. A server that stalls is thus
// charged for all requests that were due meanwhile: the measurement avoids coordinated omission
// (Tene, "How NOT to Measure Latency", 2013).
//
// The requests, the time and the connections of a run are bounded, and it sends to loopback
// addresses only.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hoptiller/internal/lab/model"
)

// Class is one class of request. Its aim and deadline count from the time at which a request is due.
type Class struct {
	Name     string
	Share    float64 // share of the requests, relative to the shares of the other classes
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Write    bool
}

// Plan describes the requests of a run.
type Plan struct {
	Addrs      []string // of the routers; new connections use them in turn
	Rate       float64  // requests a second; 0: a closed loop, in which each connection sends one request after the other
	For        time.Duration
	Conns      int     // maximum number of connections
	Keys       int     // number of keys
	Zipf       float64 // exponent of the Zipf distribution of the keys' popularity
	Offset     float64 // added to the rank of a key in that distribution
	Seed       uint64
	Classes    []Class
	MaxRetries int // maximum number of retries of a refused request, each after the time that the router requests
	ValueSize  int // size of the value of a write, in bytes

	Progress func(*Report) // called once a second; may be nil
}

// These are the bounds of a Plan.
const (
	maxRate  = 1e6
	maxTime  = time.Hour
	maxConns = 5000
	maxKeys  = 1e7
)

// These are the range of the latency histograms, in microseconds, and their precision.
const (
	minLatency        = 1
	maxLatency        = 600e6
	significantDigits = 3
)

// Check returns an error for the first setting of a plan that is out of bounds, or nil.
func (p *Plan) Check() error {
	switch {
	case len(p.Addrs) == 0:
		return errors.New("no address to send to")
	case p.Rate < 0 || p.Rate > maxRate:
		return fmt.Errorf("rate is %g: 0 to 1000000 a second is possible", p.Rate)
	case p.For <= 0 || p.For > maxTime:
		return fmt.Errorf("time is %v: up to an hour is possible", p.For)
	case p.Conns < 1 || p.Conns > maxConns:
		return fmt.Errorf("connections are %d: 1 to 5000 is possible", p.Conns)
	case p.Keys < 1 || p.Keys > maxKeys:
		return fmt.Errorf("keys are %d: 1 to 10000000 is possible", p.Keys)
	case len(p.Classes) == 0:
		return errors.New("no class of request")
	}
	for _, addr := range p.Addrs {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return err
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%s is no loopback address: load is sent to this machine alone", addr)
		}
	}
	return nil
}

// run is one run of a plan.
type run struct {
	plan  Plan
	zipf  *model.Zipf
	keys  []uint64
	start time.Time
	conns *pool

	mu     sync.Mutex
	counts []classCounts
	late   int
	lastID uint64
}

// Run sends the requests of a plan until its time is over or ctx ends, and waits for their responses.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	r := newRun(plan)
	ctx, cancel := context.WithTimeout(ctx, plan.For)
	defer cancel()
	progressDone := make(chan struct{})
	go func() {
		defer close(progressDone)
		r.reportProgress(ctx)
	}()
	if plan.Rate > 0 {
		r.openLoop(ctx)
	} else {
		r.closedLoop(ctx)
	}
	<-progressDone
	r.conns.close()
	return r.report(), nil
}

// newRun draws the keys of a run and prepares its connections and counters.
func newRun(plan Plan) *run {
	r := &run{
		plan:  plan,
		zipf:  model.NewZipf(plan.Keys, plan.Zipf, plan.Offset),
		start: time.Now(),
		conns: newPool(plan.Addrs, plan.Conns),
		// Routers do not accept an id again within a time, so each run has ids of its own.
		lastID: uint64(time.Now().UnixMicro()),
	}
	keys := model.NewRandom(plan.Seed, "keys", 0)
	for range plan.Keys {
		r.keys = append(r.keys, keys.Uint64())
	}
	for range plan.Classes {
		r.counts = append(r.counts, classCounts{latencies: hdrhistogram.New(minLatency, maxLatency, significantDigits)})
	}
	return r
}

// reportProgress calls the plan's Progress once a second until ctx ends.
func (r *run) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.plan.Progress != nil {
				r.plan.Progress(r.report())
			}
		}
	}
}

// openLoop sends each request when it is due. The times between requests are exponentially distributed. openLoop returns
// when ctx has ended and all requests are finished.
func (r *run) openLoop(ctx context.Context) {
	rng := model.NewRandom(r.plan.Seed, "open", 0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for due := r.start; ; {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		if ctx.Err() != nil {
			return
		}
		q := r.draw(rng, due)
		pending.Go(func() { r.send(q) })
	}
}

// closedLoop sends one request after the other on each connection until ctx ends.
func (r *run) closedLoop(ctx context.Context) {
	var senders sync.WaitGroup
	for i := range r.plan.Conns {
		senders.Go(func() {
			rng := model.NewRandom(r.plan.Seed, "closed", i)
			for ctx.Err() == nil {
				r.send(r.draw(rng, time.Now()))
			}
		})
	}
	senders.Wait()
}

// draw draws the class and the key of the next request.
func (r *run) draw(rng *rand.Rand, due time.Time) request {
	r.mu.Lock()
	r.lastID++
	q := request{id: r.lastID, due: due}
	r.mu.Unlock()
	total := 0.0
	for _, c := range r.plan.Classes {
		total += c.Share
	}
	x := rng.Float64() * total
	for q.class < len(r.plan.Classes)-1 && x >= r.plan.Classes[q.class].Share {
		x -= r.plan.Classes[q.class].Share
		q.class++
	}
	q.key = r.keys[r.zipf.Rank(rng.Float64())]
	return q
}
