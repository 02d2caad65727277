package invariants

import (
	"errors"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

const ms = time.Millisecond

// TestInvariantBounds checks for each invariant the last moment at which it still holds and the first at which
// it is violated.
func TestInvariantBounds(t *testing.T) {
	read, book, cancel := 0, 1, 2
	ready := model.ListUpdate{Complete: true, Members: []model.Member{{ServerIndex: 0, Phase: model.Ready, Origin: true},
		{ServerIndex: 1, Phase: model.Ready}}}
	draining := model.ListUpdate{Members: []model.Member{{ServerIndex: 1, Phase: model.Draining}}}
	for _, test := range []struct {
		name string
		rule string // name of the violated invariant, or empty for none
		run  func(c *Checker)
	}{
		{"an answer at the end of the grace", "", func(c *Checker) { c.FinalAnswer(4020*ms, 0, 1, hoptiller.StepFail) }},
		{"an answer after the grace", OneAnswer, func(c *Checker) { c.FinalAnswer(4021*ms, 0, 1, hoptiller.StepFail) }},
		{"a second answer", OneAnswer, func(c *Checker) {
			c.CallSent(0, 0, 1, 1) // an open call keeps the request from being forgotten
			c.FinalAnswer(0, 0, 1, hoptiller.StepFail)
			c.FinalAnswer(0, 0, 1, hoptiller.StepFail)
		}},
		{"no answer", OneAnswer, func(c *Checker) { c.Finish(9000 * ms) }},
		{"a client that disconnects", "", func(c *Checker) { c.ClientDisconnected(0, 1); c.Finish(9000 * ms) }},
		{"a call in time after the router has drained the server", "", func(c *Checker) {
			c.ServerDrained(100*ms, 0, 1, true)
			c.CallSent(600*ms, 0, 1, 1)
		}},
		{"a call too late after the router has drained the server", Drain, func(c *Checker) {
			c.ServerDrained(100*ms, 0, 1, true)
			c.CallSent(601*ms, 0, 1, 1)
		}},
		{"a call after the router has undone the drain", "", func(c *Checker) {
			c.ServerDrained(100*ms, 0, 1, true)
			c.ServerDrained(200*ms, 0, 1, false)
			c.CallSent(900*ms, 0, 1, 1)
		}},
		{"a call of the next process", "", func(c *Checker) {
			c.ServerDrained(100*ms, 0, 1, true)
			startIncarnation(c, 200*ms)
			c.CallSent(900*ms, 0, 2, 1)
		}},
		{"a call of the next process, which has not received the drain", "", func(c *Checker) {
			c.UpdateReceived(0, 0, draining)
			startIncarnation(c, 200*ms)
			c.CallSent(900*ms, 0, 2, 1)
		}},
		{"a call of the next process to a server that only the previous one had listed", Listed, func(c *Checker) {
			c.UpdateReceived(0, 0, model.ListUpdate{Members: []model.Member{{ServerIndex: 5, Phase: model.Ready}}})
			startIncarnation(c, 200*ms)
			c.CallSent(900*ms, 0, 2, 5)
		}},
		{"a router whose previous process refused as well", "", func(c *Checker) {
			refuseRequests(c, 14, 2000*ms)
			startIncarnation(c, 3000*ms)
			c.ClientDisconnected(0, 2)
			c.RequestTaken(4000*ms, 1, 3, read, 5*time.Second)
			c.CallSent(4000*ms, 1, 3, 1)
			c.CallEnded(4000*ms, 1, 3, 0, hoptiller.OK)
			c.FinalAnswer(4000*ms, 1, 3, hoptiller.StepServed)
			c.RequestTaken(4000*ms, 0, 4, read, 5*time.Second)
			c.FinalAnswer(4000*ms, 0, 4, hoptiller.StepReject)
			c.Finish(9 * time.Second)
		}},
		{"an unanswered request of a process that has ended", OneAnswer, func(c *Checker) {
			c.CallSent(0, 0, 1, 1)
			startIncarnation(c, 200*ms)
			c.ClientDisconnected(0, 2)
			c.Finish(9 * time.Second)
		}},
		{"requests of a killed process", "", func(c *Checker) {
			c.ClientDisconnected(0, 1)
			for id := range uint32(6) {
				c.RequestTaken(0, 0, 100+id, read, time.Second)
				c.CallSent(0, 0, 100+id, 1)
			}
			c.ProcessKilled(100*ms, 0)
			startIncarnation(c, 200*ms)
			c.ClientDisconnected(0, 2)
			c.Finish(9 * time.Second)
		}},
		{"a router that is killed", "", func(c *Checker) { c.ProcessKilled(0, 0); c.Finish(9000 * ms) }},
		{"a read repeated after an error", "", func(c *Checker) {
			c.CallSent(0, 0, 1, 1)
			c.CallEnded(0, 0, 1, 0, hoptiller.ServerError)
			c.CallSent(0, 0, 1, 1)
		}},
		{"a booking repeated after it was rejected", "", func(c *Checker) {
			c.RequestTaken(0, 0, 2, book, time.Second)
			c.CallSent(0, 0, 2, 0)
			c.CallEnded(0, 0, 2, 0, hoptiller.TurnedAway)
			c.CallSent(0, 0, 2, 0)
		}},
		{"a booking repeated after a reset", Effects, func(c *Checker) {
			c.RequestTaken(0, 0, 2, book, time.Second)
			c.CallSent(0, 0, 2, 0)
			c.CallEnded(0, 0, 2, 0, hoptiller.Reset)
			c.CallSent(0, 0, 2, 0)
		}},
		{"a booking refused after a time-out", Effects, func(c *Checker) {
			c.RequestTaken(0, 0, 2, book, time.Second)
			c.CallSent(0, 0, 2, 0)
			c.CallEnded(0, 0, 2, 0, hoptiller.Timeout)
			c.FinalAnswer(0, 0, 2, hoptiller.StepReject)
		}},
		{"a booking that ran twice", Effects, func(c *Checker) { c.WriteExecuted(0, 0, 7, book); c.WriteExecuted(0, 1, 7, book) }},
		{"a cancel repeated at the end of its window", "", func(c *Checker) {
			c.RequestTaken(0, 0, 2, cancel, 4*time.Second)
			c.CallSent(0, 0, 2, 0)
			c.CallEnded(0, 0, 2, 0, hoptiller.Timeout)
			c.CallSent(1500*ms, 0, 2, 0)
		}},
		{"a cancel repeated after its window", Effects, func(c *Checker) {
			c.RequestTaken(0, 0, 2, cancel, 4*time.Second)
			c.CallSent(0, 0, 2, 0)
			c.CallEnded(0, 0, 2, 0, hoptiller.Timeout)
			c.CallSent(1501*ms, 0, 2, 0)
		}},
		{"a fifth call", "", func(c *Checker) { sendCalls(c, 5) }},
		{"a sixth call", Attempts, func(c *Checker) { sendCalls(c, 6) }},
		{"a call 500 ms after a drain was received", "", func(c *Checker) { c.UpdateReceived(0, 0, draining); c.CallSent(500*ms, 0, 1, 1) }},
		{"a call 501 ms after a drain was received", Drain, func(c *Checker) { c.UpdateReceived(0, 0, draining); c.CallSent(501*ms, 0, 1, 1) }},
		{"a drain that is received again later", Drain, func(c *Checker) {
			c.UpdateReceived(0, 0, draining)
			c.UpdateReceived(400*ms, 0, draining)
			c.CallSent(501*ms, 0, 1, 1)
		}},
		{"a server back after its drain", "", func(c *Checker) {
			c.UpdateReceived(0, 0, draining)
			c.UpdateReceived(0, 0, ready)
			c.CallSent(600*ms, 0, 1, 1)
		}},
		{"absence from a complete list", Drain, func(c *Checker) {
			c.UpdateReceived(0, 0, model.ListUpdate{Complete: true, Members: ready.Members[:1]})
			c.CallSent(501*ms, 0, 1, 1)
		}},
		{"a router that requests no list, 10.5 s after the listing", "", func(c *Checker) {
			c.Listed(0, draining.Members[0])
			c.CallSent(10500*ms, 0, 1, 1)
		}},
		{"a router that requests no list, later than 10.5 s after the listing", Drain, func(c *Checker) {
			c.Listed(0, draining.Members[0])
			c.CallSent(10501*ms, 0, 1, 1)
		}},
		{"a router with a watch, long after the listing", "", func(c *Checker) {
			c.WatchChanged(0, true)
			c.Listed(0, draining.Members[0])
			c.CallSent(60*time.Second, 0, 1, 1)
		}},
		{"after a failed request, four times as long after the listing", "", func(c *Checker) {
			c.UpdateReceived(0, 0, model.ListUpdate{Failed: true})
			c.Listed(0, draining.Members[0])
			c.CallSent(40500*ms, 0, 1, 1)
		}},
		{"a cold cache collapses under informed routers", Cold, func(c *Checker) { c.CacheCollapsed(0, collapseAt(0)) }},
		{"a cold cache collapses under a router whose previous process was informed", Cold, func(c *Checker) {
			c.UpdateReceived(100*ms, 0, startUpdate(1, 50*ms))
			c.ProcessKilled(0, 0)
			c.CacheCollapsed(300*ms, &model.Collapse{Server: 1, Started: 50 * ms,
				Work: []model.ColdWork{{At: 100 * ms, Work: 2}, {At: 100 * ms, Work: 1, Router: 1}}})
		}},
		{"a cold cache collapses, under two thirds of the work after its router was informed", "", func(c *Checker) {
			c.UpdateReceived(100*ms, 0, startUpdate(1, 50*ms))
			c.CacheCollapsed(100*ms, &model.Collapse{Server: 1, Started: 50 * ms,
				Work: []model.ColdWork{{At: 100*ms - 1, Work: 1}, {At: 100 * ms, Work: 1.9}}})
		}},
		{"a cold cache collapses, two thirds of the work after its router was informed", Cold, func(c *Checker) {
			c.UpdateReceived(100*ms, 0, startUpdate(1, 50*ms))
			c.CacheCollapsed(100*ms, &model.Collapse{Server: 1, Started: 50 * ms,
				Work: []model.ColdWork{{At: 100*ms - 1, Work: 1}, {At: 100 * ms, Work: 2}}})
		}},
		{"a cold cache collapses under uninformed routers", "", func(c *Checker) { c.CacheCollapsed(0, collapseAt(time.Second)) }},
		{"an origin stopped by misses at cold caches", Origin, func(c *Checker) { c.OriginStopped(0, 0.31, 1.26) }},
		{"an origin stopped by the expected number of misses at cold caches", "", func(c *Checker) { c.OriginStopped(0, 0.31, 1.25) }},
		{"an origin stopped by other calls", "", func(c *Checker) { c.OriginStopped(0, 0.3, 9) }},
		{"a server that was never listed", Listed, func(c *Checker) { c.CallSent(0, 0, 1, 5) }},
		{"an attempt states all the time that is left", "", func(c *Checker) { c.TimeLeftReceived(ms, 0, 1, 3999*ms, nil) }},
		{"an attempt states more time than is left", TimeLeft, func(c *Checker) { c.TimeLeftReceived(ms, 0, 1, 4000*ms, nil) }},
		{"an attempt states no readable time", TimeLeft, func(c *Checker) { c.TimeLeftReceived(0, 0, 1, 0, errors.New("unreadable")) }},
		{"a further attempt states as much excess time as the first", TimeLeft, func(c *Checker) {
			c.TimeLeftReceived(10*ms, 0, 1, 4000*ms, nil)
			c.TimeLeftReceived(500*ms, 0, 1, 3510*ms, nil)
		}},
		{"a request read late, and a further attempt with the same excess", "", func(c *Checker) {
			c.Lag = 10 * ms
			c.TimeLeftReceived(10*ms, 0, 1, 4000*ms, nil)
			c.Lag = 0
			c.TimeLeftReceived(500*ms, 0, 1, 3510*ms, nil)
		}},
		{"a request that was written late", "", func(c *Checker) {
			c.RequestWrittenLate(0, 1, 10*ms)
			c.TimeLeftReceived(10*ms, 0, 1, 4000*ms, nil)
		}},
		{"an attempt states more than the late write explains", TimeLeft, func(c *Checker) {
			c.RequestWrittenLate(0, 1, 10*ms)
			c.TimeLeftReceived(11*ms, 0, 1, 4000*ms, nil)
		}},
		{"a further attempt states more excess than the first", TimeLeft, func(c *Checker) {
			c.Lag = 10 * ms
			c.TimeLeftReceived(10*ms, 0, 1, 4000*ms, nil)
			c.Lag = 0
			c.TimeLeftReceived(500*ms, 0, 1, 3511*ms, nil)
		}},
		{"an attempt states as much more as the machine's lag explains", "", func(c *Checker) {
			c.Lag = 20 * ms
			c.TimeLeftReceived(20*ms, 0, 1, 4000*ms, nil)
		}},
		{"an attempt states more than the machine's lag explains", TimeLeft, func(c *Checker) {
			c.Lag = 20 * ms
			c.TimeLeftReceived(21*ms, 0, 1, 4000*ms, nil)
		}},
		{"an attempt states as much more as the router's pause explains", "", func(c *Checker) {
			c.ProcessPaused(100*ms, 0, true)
			c.ProcessPaused(900*ms, 0, false)
			c.TimeLeftReceived(900*ms, 0, 1, 3900*ms, nil)
		}},
		{"an attempt states more than the router's pause explains", TimeLeft, func(c *Checker) {
			c.ProcessPaused(100*ms, 0, true)
			c.ProcessPaused(900*ms, 0, false)
			c.TimeLeftReceived(900*ms, 0, 1, 3901*ms, nil)
		}},
		{"a pause that was over before the request came", TimeLeft, func(c *Checker) {
			c.ProcessPaused(0, 0, true)
			c.ProcessPaused(900*ms, 0, false)
			c.RequestTaken(1000*ms, 0, 2, read, 2000*ms)
			c.TimeLeftReceived(1001*ms, 0, 2, 1000*ms, nil)
		}},
		{"another router's pause", TimeLeft, func(c *Checker) { c.ProcessPaused(0, 1, true); c.TimeLeftReceived(900*ms, 0, 1, 4000*ms, nil) }},
		{"a relay that still delays what is sent", "", func(c *Checker) {
			c.RelayDelaying(0, 0, true)
			c.RelayDelaying(200*ms, 0, true) // an overlapping delay, to another server
			c.RelayDelaying(300*ms, 0, false)
			c.TimeLeftReceived(400*ms, 0, 1, 4000*ms, nil)
		}},
		{"a request that is done", "", func(c *Checker) { c.TimeLeftReceived(0, 0, 9, time.Hour, nil) }},
		{"5 of 499 requests without an answer", "", func(c *Checker) { finishDay(c, 493, 5) }},
		{"6 of 499 requests without an answer", Unanswered, func(c *Checker) { finishDay(c, 492, 6) }},
		{"7 of 501 requests without an answer", Unanswered, func(c *Checker) { finishDay(c, 493, 7) }},
		{"6 of 500 requests without an answer", "", func(c *Checker) { finishDay(c, 493, 6) }},
		{"requests without an answer, after a pause of MaxPause", Unanswered, func(c *Checker) { pauseRouter(c, MaxPause) }},
		{"requests without an answer, after a pause longer than MaxPause", "", func(c *Checker) { pauseRouter(c, MaxPause+ms) }},
		{"requests without an answer, during a pause", "", func(c *Checker) { c.ProcessPaused(0, 0, true); finishDay(c, 0, 400) }},
		{"a router that refuses all for 4 s", Serving, func(c *Checker) { refuseRequests(c, 15, 4000*ms); c.Finish(9 * time.Second) }},
		{"a router that refuses all while no server can observe its attempts", "", func(c *Checker) {
			c.RouterUnreachable(0, true)
			refuseRequests(c, 15, 4000*ms)
			c.RouterUnreachable(0, false)
			c.Finish(9 * time.Second)
		}},
		{"a router that refuses all once its attempts can be observed again", Serving, func(c *Checker) {
			c.RouterUnreachable(0, true)
			c.RouterUnreachable(0, false)
			refuseRequests(c, 15, 4000*ms)
			c.Finish(9 * time.Second)
		}},
		{"a router that refuses all for less than 4 s", "", func(c *Checker) {
			refuseRequests(c, 15, 3999*ms)
			c.Finish(9 * time.Second)
		}},
		{"a router that refuses all, but too few requests", "", func(c *Checker) {
			refuseRequests(c, 14, 4000*ms)
			c.Finish(9 * time.Second)
		}},
		{"a router that refuses all, with an attempt in between", "", func(c *Checker) {
			refuseRequests(c, 14, 2000*ms)
			c.RequestTaken(2000*ms, 0, 2, read, 4*time.Second)
			c.CallSent(2000*ms, 0, 2, 1)
			c.ClientDisconnected(0, 2)
			refuseRequests(c, 14, 4000*ms)
			c.Finish(9 * time.Second)
		}},
		{"a router that refuses all while no other one serves", "", func(c *Checker) {
			c.ClientDisconnected(0, 1)
			for id := range uint32(20) {
				at := time.Duration(id) * 500 * ms
				c.RequestTaken(at, 0, 100+id, read, at+time.Second)
				c.FinalAnswer(at, 0, 100+id, hoptiller.StepReject)
			}
			c.Finish(9 * time.Second)
		}},
		{"two calls at once", OneCall, func(c *Checker) { c.CallSent(0, 0, 1, 1); c.CallSent(0, 0, 1, 0) }},
	} {
		day := model.DefaultDay()
		c := New(&day)
		c.UpdateReceived(0, 0, ready)
		c.UpdateReceived(0, 1, ready)
		c.RequestTaken(0, 0, 1, read, 4*time.Second)
		test.run(c)
		switch {
		case test.rule == "" && c.ViolationCount > 0:
			t.Errorf("%s: %v", test.name, c.Violations[0])
		case test.rule != "" && (c.ViolationCount != 1 || c.Violations[0].Rule != test.rule):
			t.Errorf("%s: %d violations, %v, want one of %s", test.name, c.ViolationCount, c.Violations, test.rule)
		}
	}
}

// startUpdate returns an update that lists a server with the given start.
func startUpdate(server int, at time.Duration) model.ListUpdate {
	return model.ListUpdate{Members: []model.Member{{ServerIndex: server, Phase: model.Ready, Started: at}}}
}

// collapseAt returns a collapse of server 1; two thirds of its load came from router 0.
func collapseAt(started time.Duration) *model.Collapse {
	return &model.Collapse{Server: 1, Started: started, Work: []model.ColdWork{{Work: 2, Router: 0}, {Work: 1, Router: 1}}}
}

// startIncarnation starts a new process of router 0, which receives the initial list and accepts a request.
func startIncarnation(checker *Checker, now time.Duration) {
	checker.ProcessStarted(0)
	checker.UpdateReceived(now, 0, model.ListUpdate{Complete: true, Members: []model.Member{{ServerIndex: 0, Phase: model.Ready}, {ServerIndex: 1,
		Phase: model.Ready}}})
	checker.RequestTaken(now, 0, 2, 0, now+4*time.Second)
}

// pauseRouter pauses the router for a time while 20 requests are open, none of which is answered, and ends the
// day.
func pauseRouter(c *Checker, pause time.Duration) {
	const requests = 20
	c.ClientDisconnected(0, 1)
	for id := range uint32(requests) {
		c.RequestTaken(0, 0, 100+id, 0, time.Second)
	}
	c.ProcessPaused(100*ms, 0, true)
	c.ProcessPaused(100*ms+pause, 0, false)
	for id := range uint32(requests) {
		c.RequestUnanswered(1200*ms, 0, 100+id)
	}
	c.Finish(9 * time.Second)
}

// finishDay answers some requests, leaves others unanswered, and ends the day.
func finishDay(c *Checker, answered, unanswered int) {
	c.ClientDisconnected(0, 1)
	for i := range uint32(answered + unanswered) {
		id := 100 + uint32(c.requestCount) + i
		if c.RequestTaken(0, 0, id, 0, time.Second); int(i) < answered {
			c.CallSent(0, 0, id, 1)
			c.CallEnded(0, 0, id, 0, hoptiller.OK)
			c.FinalAnswer(0, 0, id, hoptiller.StepServed)
		} else {
			c.RequestUnanswered(0, 0, id)
		}
	}
	c.Finish(9 * time.Second)
}

// refuseRequests makes router 0 refuse the given number of requests, spread over a time span. Router 1 serves
// one just before the end.
func refuseRequests(c *Checker, count int, span time.Duration) {
	c.ClientDisconnected(0, 1)
	for i := range count {
		id, at := uint32(100+c.requestCount), span*time.Duration(i)/time.Duration(count-1)
		if i == count-1 {
			c.RequestTaken(at, 1, id, 0, at+time.Second)
			c.CallSent(at, 1, id, 1)
			c.CallEnded(at, 1, id, 0, hoptiller.OK)
			c.FinalAnswer(at, 1, id, hoptiller.StepServed)
		}
		c.RequestTaken(at, 0, id, 0, at+time.Second)
		c.FinalAnswer(at, 0, id, hoptiller.StepReject)
	}
}

func sendCalls(c *Checker, count int) {
	for i := range count {
		c.CallSent(0, 0, 1, 1)
		c.CallEnded(0, 0, 1, i, hoptiller.TurnedAway)
	}
}

// TestCheckerMemory checks that finished requests are forgotten, and that only the first of many violations
// are kept.
func TestCheckerMemory(t *testing.T) {
	day := model.DefaultDay()
	c := New(&day)
	for id := range uint32(1000) {
		c.RequestTaken(0, 0, id, 0, time.Second)
		c.CallSent(0, 0, id, 77)
		c.FinalAnswer(0, 0, id, hoptiller.StepFail)
		c.CallEnded(0, 0, id, 0, hoptiller.Timeout)
	}
	if len(c.routers[0].requests) != 0 || c.ViolationCount != 1000 || len(c.Violations) != maxKept {
		t.Errorf("%d open requests, %d violations, %d kept", len(c.routers[0].requests), c.ViolationCount, len(c.Violations))
	}
}
