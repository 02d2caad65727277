package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Options say how runs are played.
type Options struct {
	Program string       // of the router
	Commit  string       // that it was built from
	Said    func(string) // told of each phase as it ends; may be nil
}

// Times within a run.
const (
	leastWindow = 5 * time.Second // over which the cost of a phase is measured at least
	pause       = 2 * time.Second // after each phase, for what is still on its way
)

// player plays one run.
type player struct {
	fleet  *fleet
	meter  *meter
	record *Record
	chance *rand.Rand
	said   func(string)

	changing sync.Mutex // held while processes start and end
}

// Play plays a run and ends all that it has started. When ctx ends it stops, and the record tells what was measured until then.
func Play(ctx context.Context, run Run, o Options) (*Record, error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	if err := run.Check(machine); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, MostTime)
	defer cancel()
	begun := time.Now()
	r := &Record{Scenario: run.File.Name, Size: run.Size, Real: run.Real, Seed: run.Seed, Commit: o.Commit,
		Started: begun.UTC().Format(time.RFC3339), Strain: Strain{Cores: runtime.NumCPU(), LoadBefore: loadAverage()}}
	f, err := newFleet(run, o.Program)
	if err != nil {
		return nil, err
	}
	defer f.close()
	p := &player{fleet: f, meter: &meter{fleet: f}, record: r, chance: rand.New(rand.NewPCG(run.Seed, uint64(run.Size))), said: o.Said}
	watching, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var watches sync.WaitGroup
	var stall time.Duration
	watches.Go(func() { stall = watchStalls(watching) })
	watches.Go(func() { p.meter.run(watching, &p.changing) })
	err = p.play(ctx)
	endWatch()
	watches.Wait()
	r.Strain.StallMS, r.Strain.LoadAfter = float64(stall.Milliseconds()), loadAverage()
	r.Strain.judge()
	r.Seconds = time.Since(begun).Seconds()
	return r, err
}

// play starts the fleet, measures it while all is calm, and plays the troubles of the file. A trouble after which the fleet does
// not agree fails; what follows is played all the same.
func (p *player) play(ctx context.Context) error {
	err := p.agree(ctx, "start", nil, func() error { return p.fleet.start(ctx, p.fleet.all()) })
	if err := p.fail("start", err); err != nil {
		return err
	}
	if err := sleep(ctx, p.fleet.run.File.Settle.D()); err != nil {
		return err
	}
	if err := p.last(ctx, "calm", p.fleet.run.File.Calm.D(), func() {}); err != nil {
		return err
	}
	for _, name := range p.fleet.run.File.Troubles {
		for range p.fleet.run.File.Repeat {
			if err := p.fail(name, troubleNamed(name).play(ctx, p)); err != nil {
				return err
			}
			if err := p.fleet.ended(); err != nil {
				return err
			}
		}
	}
	return nil
}

// fail notes that a fleet did not agree. Any other error ends the run.
func (p *player) fail(phase string, err error) error {
	var late *NotAgreedError
	if errors.As(err, &late) {
		p.record.Failed = append(p.record.Failed, phase+": "+late.Error())
		return nil
	}
	return err
}

// begin does what begins a phase, and gives the readings from before it.
func (p *player) begin(act func() error) (before sample, err error) {
	p.changing.Lock()
	defer p.changing.Unlock()
	before = p.meter.take()
	return before, act()
}

// agree begins a phase, waits until all routers agree, and measures how long that took and what it cost.
func (p *player) agree(ctx context.Context, phase string, victims []int, act func() error) error {
	discoveryBefore := p.fleet.discovery.calls.Load()
	before, err := p.begin(act)
	if err != nil {
		return err
	}
	at, err := p.fleet.agreement().wait(ctx)
	if err != nil {
		return err
	}
	took := at.Sub(before.at)
	if err := sleep(ctx, leastWindow-time.Since(before.at)); err != nil {
		return err
	}
	calls := float64(p.fleet.discovery.calls.Load() - discoveryBefore)
	p.add(Figure{phase, FigureAgreed, UnitSeconds, took.Seconds(), took.Seconds()},
		Figure{phase, FigureDiscoveryCalls, UnitCount, calls, calls})
	p.measure(phase, before, victims)
	p.say("%s: agreed after %.2f s", phase, took.Seconds())
	return sleep(ctx, pause)
}

// last begins a phase that lasts a time, and measures what it cost.
func (p *player) last(ctx context.Context, phase string, lasts time.Duration, act func()) error {
	ownBefore, sentBefore := ownProcessor(), p.fleet.hollowTraffic()
	before, _ := p.begin(func() error { act(); return nil })
	if err := sleep(ctx, lasts); err != nil {
		return err
	}
	if n := float64(len(p.fleet.hollow)); n > 0 {
		seconds := time.Since(before.at).Seconds()
		sent := float64(p.fleet.hollowTraffic().minus(sentBefore).SentBytes) / seconds / n
		processor := 100 * (ownProcessor() - ownBefore).Seconds() / seconds / n
		p.add(Figure{phase, FigureHollowSent, UnitBytes, sent, sent}, Figure{phase, FigureHollowProcessor, UnitCore, processor, processor})
	}
	p.measure(phase, before, nil)
	p.say("%s: %v", phase, lasts)
	return nil
}

// measure adds what the processes used since a sample, but for the victims.
func (p *player) measure(phase string, before sample, victims []int) {
	var observers []int
	for i, process := range p.fleet.processes {
		if !slices.Contains(victims, process.number) && process.runs() {
			observers = append(observers, i)
		}
	}
	p.add(figures(phase, p.meter.between(before, p.meter.take()), observers)...)
}

func (p *player) add(figures ...Figure) { p.record.Figures = append(p.record.Figures, figures...) }

func (p *player) say(format string, args ...any) {
	if p.said != nil {
		p.said(fmt.Sprintf(format, args...))
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
