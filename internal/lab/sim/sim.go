// Package sim plays a model.Day in virtual time with a tier of routers. Each router decides by an instance of a policy:
// the decision module itself, or a baseline behind the same interface.
//
// The package uses no clock, no sockets and no goroutines of its own. The same day and policy give the same Result to
// the last bit, however many runs are played at once.
package sim

import (
	"context"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
)

// Policy creates the decision maker of one router that starts at now. The router passes it events and carries out the
// actions that it requests through act.
type Policy func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events

// MessageSender is implemented by the Actions that a Policy gets, in addition to hoptiller.Actions.
type MessageSender interface {
	// SendMessage sends a message to another router of the tier. The message may be lost.
	SendMessage(router int, message []byte)
}

// MessageReceiver is implemented by a policy that receives messages of other routers.
type MessageReceiver interface {
	ReceiveMessage(now time.Duration, router int, message []byte)
}

// Epoch is the time on the routers' clocks at the start of a day. It is not 0, because a start time of 0 means a process
// that started long ago.
const Epoch = time.Hour

// Options selects what is recorded of a run beyond its totals.
type Options struct {
	Series bool           // record time series with one value a second, in Result.Series
	Trace  *TracedRequest // record a trace of one request, in Result.Trace; nil: of none
}

// TracedRequest names the request of a router that is to be traced.
type TracedRequest struct {
	Router  int
	Request uint32
}

// Hoptiller is the Policy that uses the decision module of this project.
func Hoptiller(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
	return hoptiller.New(now, set, seed, act)
}

// Run plays a day, which must have passed Validate. When ctx ends, Run stops and returns the error of ctx.
func Run(ctx context.Context, day *model.Day, policy Policy, opt Options) (*scoring.Result, error) {
	t := &tier{day: day, policy: policy, opt: opt}
	t.Checker, t.Scorer = invariants.New(day), scoring.New(day, opt.Series)
	t.routers = make([]*router, day.Routers)
	t.World = model.New(day, t, t, t)
	if day.FillCaches {
		t.World.FillCaches(ZoneHomes(day, policy, t.World.Discovery.Members()))
	}
	for i := range t.routers {
		t.Start(i)
	}
	end := t.World.End()
	for now := time.Duration(0); now < end; now += 100 * time.Millisecond {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		t.World.RunUntil(min(now+100*time.Millisecond, end))
		t.Scorer.Sample(t.World)
	}
	longest := time.Duration(0)
	for _, c := range day.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	t.World.RunUntil(end + longest + time.Second)
	t.Checker.Finish(t.World.Now())
	r := t.Scorer.Result(t.World, t.Checker)
	r.Trace = t.traceLines
	return r, nil
}

// tier holds the routers of a day. The world reaches the routers through it, and reports events through its Recorder.
type tier struct {
	scoring.Recorder
	day          *model.Day
	policy       Policy
	routers      []*router // nil while a router is down
	incarnations []int     // number of the latest incarnation of each router
	opt          Options
	traceLines   []string
}

// Deliver implements model.RouterTier.
func (t *tier) Deliver(try *model.Try) bool {
	r := t.routers[try.Router]
	if r == nil || r.refusesRequests(t.World.Now()) {
		return false
	}
	r.accept(try)
	return true
}

// ClientDisconnected implements model.RouterTier.
func (t *tier) ClientDisconnected(try *model.Try) {
	if r := t.routers[try.Router]; r != nil {
		r.clientLeft(try)
	}
}

// Start implements model.RouterControl. It does nothing if the router runs: two overlapping faults may both restart a
// router, and there must not be two routers of the same number.
func (t *tier) Start(i int) {
	if t.routers[i] != nil {
		return
	}
	for len(t.incarnations) <= i {
		t.incarnations = append(t.incarnations, 0)
	}
	t.incarnations[i]++
	t.Checker.ProcessStarted(i)
	t.routers[i] = newRouter(t, i, t.incarnations[i])
}

// Stop implements model.RouterControl.
func (t *tier) Stop(i int) {
	if r := t.routers[i]; r != nil {
		r.stoppedAt = t.World.Now()
	}
}

// Kill implements model.RouterControl.
func (t *tier) Kill(i int) {
	if r := t.routers[i]; r != nil {
		t.routers[i] = nil
		r.kill()
		t.Checker.ProcessKilled(t.World.Now(), i)
		t.World.Discovery.Request(i, false, false, nil)
	}
}
