package membership

import (
	"fmt"
	"slices"
	"time"

	"hoptiller/internal/fleet/view"
)

// Measurements holds the results of Measure for one fleet. Times are in seconds. Bytes and datagrams are the numbers that
// a router sends in a second.
type Measurements struct {
	Routers, Seed int

	StartAll float64   // from the start of all routers until convergence
	Joins    []float64 // for each join of one router: until it is in all views
	Crashes  []float64 // for each crash of one router, at 10% loss: until it is dead in all views

	FalsePositives int // events that declared a running router dead in a view, in ten minutes with 10% loss and pauses of 1 s
	Pauses         int // number of pauses in these ten minutes

	HealHalves, HealThirds float64 // from the end of a partition of 60 s until convergence
	JoinThird              float64 // from a third of the fleet joining at once until convergence

	LossyBytes, LossyDatagrams       float64 // at 10% loss, without pauses
	LosslessBytes, LosslessDatagrams float64
	RepairBytes                      float64 // in the worst second after a partition, averaged over all routers

	Failures []string // names of the waits that exceeded settleTimeout
}

const (
	lossRate       = 0.1
	settleTimeout  = 60 * time.Second
	trials         = 20 // number of joins, and of crashes, that are measured
	joinStride     = 7  // distance between the numbers of the routers that join one after the other
	crashStride    = 11 // distance between the numbers of the routers that crash one after the other
	partitionTime  = 60 * time.Second
	pauseRounds    = 60
	pauseRound     = 10 * time.Second
	pauseTime      = time.Second
	pausingDivisor = 20 // one in 20 routers pauses in each round
)

// measurement is one run of Measure.
type measurement struct {
	*Simulation
	result *Measurements
}

// Measure simulates a fleet of n routers and measures how fast it converges and how much it sends. If short is set, it
// leaves out the ten minutes of pauses.
func Measure(n int, network Network, seed uint64, short bool) *Measurements {
	m := &measurement{Simulation: New(n, network, seed), result: &Measurements{Routers: n, Seed: int(seed)}}
	m.start()
	m.joins()
	m.Loss = lossRate
	m.crashes()
	if !short {
		m.pauses()
	}
	m.Loss = network.Loss
	m.result.HealHalves = m.heal(2)
	m.result.HealThirds = m.heal(3)
	m.joinThird()
	return m.result
}

// await runs the simulation until a condition holds and returns how many seconds that took. If the condition doesn't hold
// within settleTimeout, await records a failure with the name of the condition.
func (m *measurement) await(condition string, holds func() bool) float64 {
	took, ok := m.RunUntil(settleTimeout, holds)
	if !ok {
		m.result.Failures = append(m.result.Failures, fmt.Sprintf("%s not within %v", condition, settleTimeout))
	}
	return took.Seconds()
}

// start starts all routers and measures the time until convergence and the send rates after it.
func (m *measurement) start() {
	for i := range m.Size() {
		m.Start(i)
	}
	m.result.StartAll = m.await("all start", m.Converged)
	m.Run(m.now + 20*time.Second)
	m.result.LosslessBytes, m.result.LosslessDatagrams = m.sendRate(20 * time.Second)
}

// joins measures joins of single routers: a router leaves, and starts again 10 s later.
func (m *measurement) joins() {
	for trial := range trials {
		router := trial * joinStride % m.Size()
		m.Leave(router)
		m.Run(m.now + 10*time.Second)
		m.Start(router)
		took := m.await("join", func() bool { return m.HoldsInAllViews(router, (*view.Member).AssumedAlive) })
		m.result.Joins = append(m.result.Joins, took)
		m.Run(m.now + 5*time.Second)
	}
}

// crashes measures the send rates, and then crashes of single routers.
func (m *measurement) crashes() {
	m.Run(m.now + 20*time.Second)
	m.result.LossyBytes, m.result.LossyDatagrams = m.sendRate(30 * time.Second)
	isDead := func(member *view.Member) bool { return member.State == view.Dead }
	for trial := range trials {
		router := trial * crashStride % m.Size()
		m.Crash(router)
		took := m.await("crash", func() bool { return m.HoldsInAllViews(router, isDead) })
		m.result.Crashes = append(m.result.Crashes, took)
		m.Start(router)
		m.Run(m.now + 10*time.Second)
	}
}

// pauses has 5% of the routers pause for a second in each round, and counts how often a view declares a running router
// dead.
func (m *measurement) pauses() {
	m.OnChange = func(_ time.Duration, _ int, e view.Event) {
		if e.After.State == view.Dead && m.routers[e.Router].running {
			m.result.FalsePositives++
		}
	}
	for range pauseRounds {
		start := m.now
		for _, step := range m.drawPauses() {
			m.Run(step.at)
			if step.pause {
				m.Pause(step.router)
				m.result.Pauses++
			} else {
				m.Resume(step.router)
			}
		}
		m.Run(start + pauseRound)
	}
	m.Run(m.now + 20*time.Second)
	m.OnChange = nil
}

// pauseStep is the beginning or the end of a pause of one router.
type pauseStep struct {
	at     time.Duration
	router int
	pause  bool // the beginning
}

// drawPauses draws the pauses of the round that begins now: which routers pause, and when.
func (m *measurement) drawPauses() []pauseStep {
	routers := m.rng.Perm(m.Size())[:max(1, m.Size()/pausingDivisor)]
	var starts []time.Duration
	for range routers {
		starts = append(starts, m.now+time.Duration(m.rng.Int64N(int64(pauseRound-pauseTime))))
	}
	slices.Sort(starts)
	var steps []pauseStep
	for i, at := range starts {
		steps = append(steps, pauseStep{at, routers[i], true}, pauseStep{at + pauseTime, routers[i], false})
	}
	slices.SortFunc(steps, func(a, b pauseStep) int { return int(a.at - b.at) })
	return steps
}

// heal partitions the fleet into groups and returns the seconds from the end of the partition until
// convergence.
func (m *measurement) heal(groups int) float64 {
	m.Partition(groups)
	m.Run(m.now + partitionTime)
	m.Partition(1)
	start := m.now
	sentBefore, since := m.sentBytes(), m.now
	took := m.await(fmt.Sprintf("%d parts meet again", groups), func() bool {
		if m.now-since >= time.Second {
			sent := m.sentBytes()
			rate := float64(sent-sentBefore) / (m.now - since).Seconds() / float64(m.Size())
			m.result.RepairBytes = max(m.result.RepairBytes, rate)
			sentBefore, since = sent, m.now
		}
		return m.Converged()
	})
	m.Run(start + 30*time.Second)
	return took
}

// joinThird measures how a third of the fleet joins at once, after its crash.
func (m *measurement) joinThird() {
	third := m.Size() / 3
	for router := range third {
		m.Crash(router)
	}
	m.await("a third is dead", m.Converged)
	for router := range third {
		m.Start(router)
	}
	m.result.JoinThird = m.await("a third joins", m.Converged)
}

// sentBytes returns the number of bytes that all running routers have sent since they started.
func (s *Simulation) sentBytes() (bytes uint64) {
	for i := range s.routers {
		if v := s.View(i); v != nil {
			bytes += v.Counts().SentBytes
		}
	}
	return bytes
}

// sentDatagrams returns the number of datagrams that all running routers have sent since they started.
func (s *Simulation) sentDatagrams() (datagrams uint64) {
	for i := range s.routers {
		if v := s.View(i); v != nil {
			datagrams += v.Counts().Sent
		}
	}
	return datagrams
}

// sendRate runs the simulation for a duration. It returns the number of bytes and of datagrams that a router sends in a
// second, averaged over all routers.
func (s *Simulation) sendRate(duration time.Duration) (bytes, datagrams float64) {
	bytesBefore, datagramsBefore := s.sentBytes(), s.sentDatagrams()
	s.Run(s.now + duration)
	routerSeconds := duration.Seconds() * float64(s.Size())
	return float64(s.sentBytes()-bytesBefore) / routerSeconds, float64(s.sentDatagrams()-datagramsBefore) / routerSeconds
}
