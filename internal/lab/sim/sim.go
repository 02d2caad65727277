// Package sim plays a model.Day in virtual time, with a tier of routers that
// each decide by a policy of their own: the decision module itself, or any other
// behind the same interface.
//
// It uses no clock, no sockets and no goroutines of its own. The same day and
// policy give the same Result to the last bit, however many are played at once.
package sim

import (
	"context"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
	"hoptiller/internal/lab/tally"
)

// Policy makes the decisions of one router that starts at now.
type Policy func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events

// Teller is what the Actions given to a Policy can do beyond hoptiller.Actions.
type Teller interface {
	// Tell sends a router of the tier a message, which may be lost.
	Tell(router int, message []byte)
}

// Hearer is a policy that takes messages.
type Hearer interface {
	Told(now time.Duration, router int, message []byte)
}

// Epoch is what routers' clocks say at the start of a day: a start time of 0
// means long ago, so their time must not begin there.
const Epoch = time.Hour

// Options say what is to be kept of a run.
type Options struct {
	Series bool     // what happened second by second, in Result.Series
	Story  *Subject // the course of one request, in Result.Story
}

// Subject names one request of one router.
type Subject struct {
	Router  int
	Request uint32
}

// Hoptiller is the project's own module.
func Hoptiller(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
	return hoptiller.New(now, set, seed, act)
}

// Run plays a day, which must have passed Check. When ctx ends it stops where it is and returns ctx's error.
func Run(ctx context.Context, day *model.Day, policy Policy, opt Options) (*tally.Result, error) {
	t := &tier{day: day, policy: policy, opt: opt}
	t.Check, t.Tally = rules.New(day), tally.New(day, opt.Series)
	t.routers = make([]*router, day.Routers)
	t.World = model.New(day, t, t, t)
	if day.Fill {
		t.World.Fill(ZoneHomes(day, policy, t.World.Directory.Present()))
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
		t.Tally.Sample(t.World)
	}
	longest := time.Duration(0)
	for _, c := range day.Classes {
		longest = max(longest, c.Deadline.D())
	}
	t.World.RunUntil(end + longest + time.Second)
	t.Check.Finish(t.World.Now())
	r := t.Tally.Result(t.World, t.Check)
	r.Story = t.story
	return r, nil
}

// tier is the routers of a day. It is what the world sees of them, and all that the world tells goes through it.
type tier struct {
	tally.Judge
	day     *model.Day
	policy  Policy
	routers []*router // nil while one is down
	lives   []int
	opt     Options
	story   []string
}

// Take implements model.Tier.
func (t *tier) Take(try *model.Try) bool {
	r := t.routers[try.Router]
	if r == nil || r.refuses(t.World.Now()) {
		return false
	}
	r.take(try)
	return true
}

// Leave implements model.Tier.
func (t *tier) Leave(try *model.Try) {
	if r := t.routers[try.Router]; r != nil {
		r.leave(try)
	}
}

// Start implements model.Steward. Two faults may each bring a router back: one that runs goes on, or there
// would be two under one name.
func (t *tier) Start(i int) {
	if t.routers[i] != nil {
		return
	}
	for len(t.lives) <= i {
		t.lives = append(t.lives, 0)
	}
	t.lives[i]++
	t.Check.Begins(i)
	t.routers[i] = newRouter(t, i, t.lives[i])
}

// Stop implements model.Steward.
func (t *tier) Stop(i int) {
	if r := t.routers[i]; r != nil {
		r.stopped = t.World.Now()
	}
}

// Kill implements model.Steward.
func (t *tier) Kill(i int) {
	if r := t.routers[i]; r != nil {
		t.routers[i] = nil
		r.die()
		t.Check.Killed(t.World.Now(), i)
		t.World.Directory.Ask(i, false, false, nil)
	}
}
