package rules

import (
	"errors"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

const ms = time.Millisecond

// The first and the last moment at which each rule still holds, and the first at which it does not.
func TestBounds(t *testing.T) {
	read, book, cancel := 0, 1, 2
	ready := model.Update{Full: true, Members: []model.Member{{Index: 0, Phase: model.Ready, Origin: true}, {Index: 1, Phase: model.Ready}}}
	left := model.Update{Members: []model.Member{{Index: 1, Phase: model.Draining}}}
	for _, test := range []struct {
		name string
		rule string // that is broken; none if empty
		run  func(c *Checker)
	}{
		{"an answer at the end of the grace", "", func(c *Checker) { c.Final(4020*ms, 0, 1, hoptiller.StepFail) }},
		{"an answer after it", OneAnswer, func(c *Checker) { c.Final(4021*ms, 0, 1, hoptiller.StepFail) }},
		{"a second answer", OneAnswer, func(c *Checker) {
			c.Sent(0, 0, 1, 1) // its call is out, so that it is not forgotten
			c.Final(0, 0, 1, hoptiller.StepFail)
			c.Final(0, 0, 1, hoptiller.StepFail)
		}},
		{"no answer", OneAnswer, func(c *Checker) { c.Finish(9000 * ms) }},
		{"a client that leaves", "", func(c *Checker) { c.Left(0, 1); c.Finish(9000 * ms) }},
		{"a call in time after the router's own word", "", func(c *Checker) { c.Aside(100*ms, 0, 1, true); c.Sent(600*ms, 0, 1, 1) }},
		{"a call later than that", Drain, func(c *Checker) { c.Aside(100*ms, 0, 1, true); c.Sent(601*ms, 0, 1, 1) }},
		{"a call after it has said otherwise", "", func(c *Checker) {
			c.Aside(100*ms, 0, 1, true)
			c.Aside(200*ms, 0, 1, false)
			c.Sent(900*ms, 0, 1, 1)
		}},
		{"a call of its next life", "", func(c *Checker) { c.Aside(100*ms, 0, 1, true); begin(c, 200*ms); c.Sent(900*ms, 0, 2, 1) }},
		{"a call of its next life after a drain that it has not heard of", "", func(c *Checker) {
			c.Told(0, 0, left)
			begin(c, 200*ms)
			c.Sent(900*ms, 0, 2, 1)
		}},
		{"a call of its next life to a server that only the former one had listed", Listed, func(c *Checker) {
			c.Told(0, 0, model.Update{Members: []model.Member{{Index: 5, Phase: model.Ready}}})
			begin(c, 200*ms)
			c.Sent(900*ms, 0, 2, 5)
		}},
		{"a router that refused in its former life as well", "", func(c *Checker) {
			refuse(c, 14, 2000*ms)
			begin(c, 3000*ms)
			c.Left(0, 2)
			c.Taken(4000*ms, 1, 3, read, 5*time.Second)
			c.Sent(4000*ms, 1, 3, 1)
			c.Ended(4000*ms, 1, 3, 0, hoptiller.OK)
			c.Final(4000*ms, 1, 3, hoptiller.StepServed)
			c.Taken(4000*ms, 0, 4, read, 5*time.Second)
			c.Final(4000*ms, 0, 4, hoptiller.StepReject)
			c.Finish(9 * time.Second)
		}},
		{"what a life that has ended sent on and did not answer", OneAnswer, func(c *Checker) {
			c.Sent(0, 0, 1, 1)
			begin(c, 200*ms)
			c.Left(0, 2)
			c.Finish(9 * time.Second)
		}},
		{"what a life that is killed has", "", func(c *Checker) {
			c.Left(0, 1)
			for id := range uint32(6) {
				c.Taken(0, 0, 100+id, read, time.Second)
				c.Sent(0, 0, 100+id, 1)
			}
			c.Killed(100*ms, 0)
			begin(c, 200*ms)
			c.Left(0, 2)
			c.Finish(9 * time.Second)
		}},
		{"a router that dies", "", func(c *Checker) { c.Killed(0, 0); c.Finish(9000 * ms) }},
		{"a read repeated after an error", "", func(c *Checker) {
			c.Sent(0, 0, 1, 1)
			c.Ended(0, 0, 1, 0, hoptiller.ServerError)
			c.Sent(0, 0, 1, 1)
		}},
		{"a booking repeated after it was turned away", "", func(c *Checker) {
			c.Taken(0, 0, 2, book, time.Second)
			c.Sent(0, 0, 2, 0)
			c.Ended(0, 0, 2, 0, hoptiller.Full)
			c.Sent(0, 0, 2, 0)
		}},
		{"a booking repeated after a reset", Effects, func(c *Checker) {
			c.Taken(0, 0, 2, book, time.Second)
			c.Sent(0, 0, 2, 0)
			c.Ended(0, 0, 2, 0, hoptiller.Reset)
			c.Sent(0, 0, 2, 0)
		}},
		{"a booking refused after a time-out", Effects, func(c *Checker) {
			c.Taken(0, 0, 2, book, time.Second)
			c.Sent(0, 0, 2, 0)
			c.Ended(0, 0, 2, 0, hoptiller.Timeout)
			c.Final(0, 0, 2, hoptiller.StepReject)
		}},
		{"a booking that ran twice", Effects, func(c *Checker) { c.Ran(0, 0, 7, book); c.Ran(0, 1, 7, book) }},
		{"a cancel repeated at the end of its window", "", func(c *Checker) {
			c.Taken(0, 0, 2, cancel, 4*time.Second)
			c.Sent(0, 0, 2, 0)
			c.Ended(0, 0, 2, 0, hoptiller.Timeout)
			c.Sent(1500*ms, 0, 2, 0)
		}},
		{"a cancel repeated after it", Effects, func(c *Checker) {
			c.Taken(0, 0, 2, cancel, 4*time.Second)
			c.Sent(0, 0, 2, 0)
			c.Ended(0, 0, 2, 0, hoptiller.Timeout)
			c.Sent(1501*ms, 0, 2, 0)
		}},
		{"a fifth call", "", func(c *Checker) { calls(c, 5) }},
		{"a sixth one", Attempts, func(c *Checker) { calls(c, 6) }},
		{"a call 500 ms after a drain was told", "", func(c *Checker) { c.Told(0, 0, left); c.Sent(500*ms, 0, 1, 1) }},
		{"one after that", Drain, func(c *Checker) { c.Told(0, 0, left); c.Sent(501*ms, 0, 1, 1) }},
		{"a drain that is told again later", Drain, func(c *Checker) { c.Told(0, 0, left); c.Told(400*ms, 0, left); c.Sent(501*ms, 0, 1, 1) }},
		{"a server back after its drain", "", func(c *Checker) { c.Told(0, 0, left); c.Told(0, 0, ready); c.Sent(600*ms, 0, 1, 1) }},
		{"absence from a whole list", Drain, func(c *Checker) {
			c.Told(0, 0, model.Update{Full: true, Members: ready.Members[:1]})
			c.Sent(501*ms, 0, 1, 1)
		}},
		{"a router that asks nothing, 10.5 s after the listing", "", func(c *Checker) { c.Listed(0, left.Members[0]); c.Sent(10500*ms, 0, 1, 1) }},
		{"and later", Drain, func(c *Checker) { c.Listed(0, left.Members[0]); c.Sent(10501*ms, 0, 1, 1) }},
		{"the same with a watch", "", func(c *Checker) {
			c.Watches(0, true)
			c.Listed(0, left.Members[0])
			c.Sent(60*time.Second, 0, 1, 1)
		}},
		{"after a failed call four times as long", "", func(c *Checker) {
			c.Told(0, 0, model.Update{Failed: true})
			c.Listed(0, left.Members[0])
			c.Sent(40500*ms, 0, 1, 1)
		}},
		{"a cold cache pushed by those who knew", Cold, func(c *Checker) { c.FellOver(0, pushedOver(0)) }},
		{"by one who knew, in a former life", Cold, func(c *Checker) {
			c.Told(100*ms, 0, startOf(1, 50*ms))
			c.Killed(0, 0)
			c.FellOver(300*ms, &model.Fall{Server: 1, Started: 50 * ms, Pushes: []model.Push{{At: 100 * ms, Work: 2}, {At: 100 * ms, Work: 1, Router: 1}}})
		}},
		{"by one who knew only afterwards", "", func(c *Checker) {
			c.Told(100*ms, 0, startOf(1, 50*ms))
			c.FellOver(100*ms, &model.Fall{Server: 1, Started: 50 * ms, Pushes: []model.Push{{At: 100*ms - 1, Work: 1}, {At: 100 * ms, Work: 1.9}}})
		}},
		{"two thirds of it after that", Cold, func(c *Checker) {
			c.Told(100*ms, 0, startOf(1, 50*ms))
			c.FellOver(100*ms, &model.Fall{Server: 1, Started: 50 * ms, Pushes: []model.Push{{At: 100*ms - 1, Work: 1}, {At: 100 * ms, Work: 2}}})
		}},
		{"and by those who did not", "", func(c *Checker) { c.FellOver(0, pushedOver(time.Second)) }},
		{"an origin stopped by misses at cold caches", Origin, func(c *Checker) { c.OriginStopped(0, 0.31, 1.26) }},
		{"by those that were due there", "", func(c *Checker) { c.OriginStopped(0, 0.31, 1.25) }},
		{"by others", "", func(c *Checker) { c.OriginStopped(0, 0.3, 9) }},
		{"a server that was never listed", Listed, func(c *Checker) { c.Sent(0, 0, 1, 5) }},
		{"all the time that is left is told", "", func(c *Checker) { c.TimeTold(ms, 0, 1, 3999*ms, nil) }},
		{"more than that", TimeLeft, func(c *Checker) { c.TimeTold(ms, 0, 1, 4000*ms, nil) }},
		{"no time is told", TimeLeft, func(c *Checker) { c.TimeTold(0, 0, 1, 0, errors.New("unreadable")) }},
		{"a further attempt that tells as much more as the first", TimeLeft, func(c *Checker) {
			c.TimeTold(10*ms, 0, 1, 4000*ms, nil)
			c.TimeTold(500*ms, 0, 1, 3510*ms, nil)
		}},
		{"a request that was read late, by what is allowed", "", func(c *Checker) {
			c.Lag = 10 * ms
			c.TimeTold(10*ms, 0, 1, 4000*ms, nil)
			c.Lag = 0
			c.TimeTold(500*ms, 0, 1, 3510*ms, nil)
		}},
		{"a request that was written late", "", func(c *Checker) { c.WrittenLate(0, 1, 10*ms); c.TimeTold(10*ms, 0, 1, 4000*ms, nil) }},
		{"and later than that", TimeLeft, func(c *Checker) { c.WrittenLate(0, 1, 10*ms); c.TimeTold(11*ms, 0, 1, 4000*ms, nil) }},
		{"and a further attempt that tells more", TimeLeft, func(c *Checker) {
			c.Lag = 10 * ms
			c.TimeTold(10*ms, 0, 1, 4000*ms, nil)
			c.Lag = 0
			c.TimeTold(500*ms, 0, 1, 3511*ms, nil)
		}},
		{"as much more as the machine's lag explains", "", func(c *Checker) { c.Lag = 20 * ms; c.TimeTold(20*ms, 0, 1, 4000*ms, nil) }},
		{"and more", TimeLeft, func(c *Checker) { c.Lag = 20 * ms; c.TimeTold(21*ms, 0, 1, 4000*ms, nil) }},
		{"as much more as the router stood still", "", func(c *Checker) {
			c.Paused(100*ms, 0, true)
			c.Paused(900*ms, 0, false)
			c.TimeTold(900*ms, 0, 1, 3900*ms, nil)
		}},
		{"and more than that", TimeLeft, func(c *Checker) {
			c.Paused(100*ms, 0, true)
			c.Paused(900*ms, 0, false)
			c.TimeTold(900*ms, 0, 1, 3901*ms, nil)
		}},
		{"a pause that was over before the request came", TimeLeft, func(c *Checker) {
			c.Paused(0, 0, true)
			c.Paused(900*ms, 0, false)
			c.Taken(1000*ms, 0, 2, read, 2000*ms)
			c.TimeTold(1001*ms, 0, 2, 1000*ms, nil)
		}},
		{"another router's pause", TimeLeft, func(c *Checker) { c.Paused(0, 1, true); c.TimeTold(900*ms, 0, 1, 4000*ms, nil) }},
		{"a relay that still holds back what is sent", "", func(c *Checker) {
			c.HeldBack(0, 0, true)
			c.HeldBack(200*ms, 0, true) // to another server, too
			c.HeldBack(300*ms, 0, false)
			c.TimeTold(400*ms, 0, 1, 4000*ms, nil)
		}},
		{"a request that is over", "", func(c *Checker) { c.TimeTold(0, 0, 9, time.Hour, nil) }},
		{"five without an answer of 499", "", func(c *Checker) { leave(c, 493, 5) }},
		{"six of them", Unanswered, func(c *Checker) { leave(c, 492, 6) }},
		{"seven of 501", Unanswered, func(c *Checker) { leave(c, 493, 7) }},
		{"six of 500", "", func(c *Checker) { leave(c, 493, 6) }},
		{"without an answer though the router stood still no longer than they were waited for", Unanswered, func(c *Checker) { standStill(c, MostStandstill) }},
		{"while it stood still for longer", "", func(c *Checker) { standStill(c, MostStandstill+ms) }},
		{"without an answer while the router stands still", "", func(c *Checker) { c.Paused(0, 0, true); leave(c, 0, 400) }},
		{"a router that refuses all for 4 s", Serving, func(c *Checker) { refuse(c, 15, 4000*ms); c.Finish(9 * time.Second) }},
		{"while no server can see its attempts", "", func(c *Checker) {
			c.Unreachable(0, true)
			refuse(c, 15, 4000*ms)
			c.Unreachable(0, false)
			c.Finish(9 * time.Second)
		}},
		{"once they can be seen again", Serving, func(c *Checker) {
			c.Unreachable(0, true)
			c.Unreachable(0, false)
			refuse(c, 15, 4000*ms)
			c.Finish(9 * time.Second)
		}},
		{"for less", "", func(c *Checker) { refuse(c, 15, 3999*ms); c.Finish(9 * time.Second) }},
		{"fewer requests", "", func(c *Checker) { refuse(c, 14, 4000*ms); c.Finish(9 * time.Second) }},
		{"with an attempt in between", "", func(c *Checker) {
			refuse(c, 14, 2000*ms)
			c.Taken(2000*ms, 0, 2, read, 4*time.Second)
			c.Sent(2000*ms, 0, 2, 1)
			c.Left(0, 2)
			refuse(c, 14, 4000*ms)
			c.Finish(9 * time.Second)
		}},
		{"while no other one serves", "", func(c *Checker) {
			c.Left(0, 1)
			for id := range uint32(20) {
				at := time.Duration(id) * 500 * ms
				c.Taken(at, 0, 100+id, read, at+time.Second)
				c.Final(at, 0, 100+id, hoptiller.StepReject)
			}
			c.Finish(9 * time.Second)
		}},
		{"two calls at once", OneCall, func(c *Checker) { c.Sent(0, 0, 1, 1); c.Sent(0, 0, 1, 0) }},
	} {
		day := model.Prairie()
		c := New(&day)
		c.Told(0, 0, ready)
		c.Told(0, 1, ready)
		c.Taken(0, 0, 1, read, 4*time.Second)
		test.run(c)
		switch {
		case test.rule == "" && c.Count > 0:
			t.Errorf("%s: %v", test.name, c.Found[0])
		case test.rule != "" && (c.Count != 1 || c.Found[0].Rule != test.rule):
			t.Errorf("%s: %d breaches, %v, want one of %s", test.name, c.Count, c.Found, test.rule)
		}
	}
}

// startOf is news of a server's start.
func startOf(server int, at time.Duration) model.Update {
	return model.Update{Members: []model.Member{{Index: server, Phase: model.Ready, Started: at}}}
}

// pushedOver is the fall of server 1, of which router 0 has two thirds.
func pushedOver(started time.Duration) *model.Fall {
	return &model.Fall{Server: 1, Started: started, Pushes: []model.Push{{Work: 2, Router: 0}, {Work: 1, Router: 1}}}
}

// begin has router 0 begin a life with the list of the day's first moment, and take a request.
func begin(c *Checker, now time.Duration) {
	c.Begins(0)
	c.Told(now, 0, model.Update{Full: true, Members: []model.Member{{Index: 0, Phase: model.Ready}, {Index: 1, Phase: model.Ready}}})
	c.Taken(now, 0, 2, 0, now+4*time.Second)
}

// standStill has the router stand still for a time while 20 requests are open, and none of them answered.
func standStill(c *Checker, span time.Duration) {
	const requests = 20
	c.Left(0, 1)
	for id := range uint32(requests) {
		c.Taken(0, 0, 100+id, 0, time.Second)
	}
	c.Paused(100*ms, 0, true)
	c.Paused(100*ms+span, 0, false)
	for id := range uint32(requests) {
		c.Unanswered(1200*ms, 0, 100+id)
	}
	c.Finish(9 * time.Second)
}

// leave has so many requests answered, so many others not, and the day end.
func leave(c *Checker, answered, unanswered int) {
	c.Left(0, 1)
	for i := range uint32(answered + unanswered) {
		id := 100 + uint32(c.taken) + i
		if c.Taken(0, 0, id, 0, time.Second); int(i) < answered {
			c.Sent(0, 0, id, 1)
			c.Ended(0, 0, id, 0, hoptiller.OK)
			c.Final(0, 0, id, hoptiller.StepServed)
		} else {
			c.Unanswered(0, 0, id)
		}
	}
	c.Finish(9 * time.Second)
}

// refuse has router 0 refuse so many requests over a time, and router 1 serve one just before its end.
func refuse(c *Checker, n int, over time.Duration) {
	c.Left(0, 1)
	for i := range n {
		id, at := uint32(100+c.taken), over*time.Duration(i)/time.Duration(n-1)
		if i == n-1 {
			c.Taken(at, 1, id, 0, at+time.Second)
			c.Sent(at, 1, id, 1)
			c.Ended(at, 1, id, 0, hoptiller.OK)
			c.Final(at, 1, id, hoptiller.StepServed)
		}
		c.Taken(at, 0, id, 0, at+time.Second)
		c.Final(at, 0, id, hoptiller.StepReject)
	}
}

func calls(c *Checker, n int) {
	for i := range n {
		c.Sent(0, 0, 1, 1)
		c.Ended(0, 0, 1, i, hoptiller.Full)
	}
}

// What is over is forgotten, and of a flood of breaches only the first are kept.
func TestMemory(t *testing.T) {
	day := model.Prairie()
	c := New(&day)
	for id := range uint32(1000) {
		c.Taken(0, 0, id, 0, time.Second)
		c.Sent(0, 0, id, 77)
		c.Final(0, 0, id, hoptiller.StepFail)
		c.Ended(0, 0, id, 0, hoptiller.Timeout)
	}
	if len(c.routers[0].requests) != 0 || c.Count != 1000 || len(c.Found) != keep {
		t.Errorf("%d requests held, %d breaches, %d kept", len(c.routers[0].requests), c.Count, len(c.Found))
	}
}
