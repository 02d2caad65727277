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

// Options configures how runs are played.
type Options struct {
	Program    string       // path of the router's program
	Commit     string       // that the program was built from
	OnPhaseEnd func(string) // called with a line of text at the end of each phase; may be nil
}

// Times within a run.
const (
	minPhaseDuration = 5 * time.Second // shortest time over which the cost of a phase is measured
	phasePause       = 2 * time.Second // after each phase, for datagrams that are still in flight
)

// player is the state of one run while it is played.
type player struct {
	fleet      *fleet
	meter      *meter
	record     *Record
	rng        *rand.Rand
	onProgress func(string)

	changeMu sync.Mutex // held while processes start, end or are sampled
}

// Play plays a run and ends everything that it has started. If ctx ends before the run it returns the error of ctx, with a
// record of what was measured until then.
func Play(ctx context.Context, run Run, o Options) (*Record, error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	if err := run.Check(machine); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, MaxDuration)
	defer cancel()
	begun := time.Now()
	r := &Record{Scenario: run.File.Name, Size: run.Size, Processes: run.Processes, Seed: run.Seed, Commit: o.Commit,
		Started: begun.UTC().Format(time.RFC3339), MachineLoad: MachineLoad{Cores: runtime.NumCPU(), LoadBefore: loadAverage()}}
	f, err := newFleet(run, o.Program)
	if err != nil {
		return nil, err
	}
	defer f.close()
	p := &player{fleet: f, meter: &meter{fleet: f}, record: r, rng: rand.New(rand.NewPCG(run.Seed, uint64(run.Size))),
		onProgress: o.OnPhaseEnd}
	watching, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var watches sync.WaitGroup
	var timerDelay time.Duration
	watches.Go(func() { timerDelay = measureTimerDelay(watching) })
	watches.Go(func() { p.meter.run(watching, &p.changeMu) })
	err = p.play(ctx)
	endWatch()
	watches.Wait()
	r.MachineLoad.MaxTimerDelayMS, r.MachineLoad.LoadAfter = float64(timerDelay.Milliseconds()), loadAverage()
	r.MachineLoad.updateBusy()
	r.Seconds = time.Since(begun).Seconds()
	return r, err
}

// play starts the fleet, measures it without faults, and then plays the faults of the scenario. If the fleet does not agree
// after a fault, the record lists the fault as failed, and play goes on with the next one.
func (p *player) play(ctx context.Context) error {
	err := p.measureAgreement(ctx, "start", nil, func() error { return p.fleet.start(ctx, p.fleet.allNumbers()) })
	if err := p.recordFailure("start", err); err != nil {
		return err
	}
	if err := sleep(ctx, p.fleet.run.File.Settle.Std()); err != nil {
		return err
	}
	if err := p.measureFor(ctx, "calm", p.fleet.run.File.Calm.Std(), func() {}); err != nil {
		return err
	}
	for _, name := range p.fleet.run.File.Faults {
		for range p.fleet.run.File.Repetitions {
			if err := p.recordFailure(name, faultNamed(name).play(ctx, p)); err != nil {
				return err
			}
			if err := p.fleet.unexpectedEnds(); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordFailure records a phase after which the fleet did not agree. It returns any other error, which ends the run.
func (p *player) recordFailure(phase string, err error) error {
	var notAgreed *NotAgreedError
	if errors.As(err, &notAgreed) {
		p.record.Failed = append(p.record.Failed, phase+": "+notAgreed.Error())
		return nil
	}
	return err
}

// beginPhase calls act, which begins a phase, and returns a sample from just before.
func (p *player) beginPhase(act func() error) (before sample, err error) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	before = p.meter.takeSample()
	return before, act()
}

// measureAgreement begins a phase with act, waits until all routers agree, and records how long this took and what it cost.
func (p *player) measureAgreement(ctx context.Context, phase string, victims []int, act func() error) error {
	discoveryBefore := p.fleet.discovery.calls.Load()
	before, err := p.beginPhase(act)
	if err != nil {
		return err
	}
	at, err := p.fleet.watchAgreement().wait(ctx)
	if err != nil {
		return err
	}
	took := at.Sub(before.at)
	if err := sleep(ctx, minPhaseDuration-time.Since(before.at)); err != nil {
		return err
	}
	calls := float64(p.fleet.discovery.calls.Load() - discoveryBefore)
	p.addFigures(Figure{phase, FigureAgreementTime, UnitSeconds, took.Seconds(), took.Seconds()},
		Figure{phase, FigureDiscoveryCalls, UnitCount, calls, calls})
	p.measure(phase, before, victims)
	p.reportProgress("%s: agreed after %.2f s", phase, took.Seconds())
	return sleep(ctx, phasePause)
}

// measureFor begins a phase with act, waits for a fixed time, and records what the phase cost.
func (p *player) measureFor(ctx context.Context, phase string, duration time.Duration, act func()) error {
	ownBefore, sentBefore := ownProcessorTime(), p.fleet.hollowTraffic()
	before, _ := p.beginPhase(func() error { act(); return nil })
	if err := sleep(ctx, duration); err != nil {
		return err
	}
	if n := float64(len(p.fleet.hollow)); n > 0 {
		seconds := time.Since(before.at).Seconds()
		sent := float64(p.fleet.hollowTraffic().since(sentBefore).SentBytes) / seconds / n
		processor := 100 * (ownProcessorTime() - ownBefore).Seconds() / seconds / n
		p.addFigures(Figure{phase, FigureHollowSent, UnitBytes, sent, sent},
			Figure{phase, FigureHollowProcessor, UnitCore, processor, processor})
	}
	p.measure(phase, before, nil)
	p.reportProgress("%s: %v", phase, duration)
	return nil
}

// measure records what the processes have used since a sample. It leaves out the victims of the phase's fault.
func (p *player) measure(phase string, before sample, victims []int) {
	var observers []int
	for i, process := range p.fleet.processes {
		if !slices.Contains(victims, process.number) && process.isRunning() {
			observers = append(observers, i)
		}
	}
	p.addFigures(processFigures(phase, p.meter.samplesBetween(before, p.meter.takeSample()), observers)...)
}

func (p *player) addFigures(figures ...Figure) {
	p.record.Figures = append(p.record.Figures, figures...)
}

func (p *player) reportProgress(format string, args ...any) {
	if p.onProgress != nil {
		p.onProgress(fmt.Sprintf(format, args...))
	}
}

// sleep waits for d, or until ctx ends.
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
