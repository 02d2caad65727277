package scale

import (
	"context"
	"fmt"
	"time"
)

// fault is an event that a run plays on a fleet, such as a crash, a network cut or a drain.
type fault struct {
	name        string
	description string
	duration    func(f *File) time.Duration // estimated duration in a fleet of a few routers
	play        func(ctx context.Context, p *player) error
}

// faultDrain is the name of the fault that needs voters.
const faultDrain = "drain"

// rackDivisor determines how many routers the fault "rack" affects.
const rackDivisor = 10 // a rack is a tenth of the routers

// Estimated durations of faults in a fleet of a few routers, including the pauses between their phases.
const (
	endAndReturnTime   = 16 * time.Second // a router leaves or is drained, and returns
	crashAndReturnTime = 20 * time.Second
)

func fixedDuration(d time.Duration) func(*File) time.Duration {
	return func(*File) time.Duration { return d }
}

func durationWithCut(f *File) time.Duration { return f.Cut.Std() + endAndReturnTime }

// faults returns all faults. This is a function and not a variable, because the faults and the validation of scenarios refer to
// each other.
func faults() []fault {
	return []fault{
		{"leave", "a router leaves, and another life of it joins", fixedDuration(endAndReturnTime), playLeave},
		{"crash", "a router crashes, and another life of it joins", fixedDuration(crashAndReturnTime), playCrash},
		{faultDrain, "a router is drained by permit, and activated", fixedDuration(endAndReturnTime), playDrain},
		{"rack", "a tenth of the routers crash at once, and come back", fixedDuration(crashAndReturnTime), playRack},
		{"zone", "all routers of a zone crash at once, and come back", fixedDuration(crashAndReturnTime), playZone},
		{"loss", "a part of all datagrams is lost for the time of a cut", durationWithCut, playLoss},
		{"cut", "the regions are cut from one another, and healed", durationWithCut, playCut},
		{"restart", "all routers are killed and started at once", fixedDuration(crashAndReturnTime), playRestart},
	}
}

// FaultNames returns the names of all faults.
func FaultNames() (names []string) {
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}

// faultNamed returns the fault of a name, or nil if there is none.
func faultNamed(name string) *fault {
	for _, f := range faults() {
		if f.name == name {
			return &f
		}
	}
	return nil
}

func anyRouter(int) bool { return true }

func playLeave(ctx context.Context, p *player) error {
	victims := p.fleet.chooseVictims(1, p.rng, anyRouter)
	if err := p.measureAgreement(ctx, "leave", victims, func() error { return p.fleet.leave(victims) }); err != nil {
		return err
	}
	return p.measureAgreement(ctx, "join", victims, func() error { return p.fleet.start(ctx, victims) })
}

func playCrash(ctx context.Context, p *player) error {
	return p.crashAndReturn(ctx, "crash", "rejoin", p.fleet.chooseVictims(1, p.rng, anyRouter))
}

func playRack(ctx context.Context, p *player) error {
	count := max(1, p.fleet.run.Size/rackDivisor)
	return p.crashAndReturn(ctx, "rack-lost", "rack-back", p.fleet.chooseVictims(count, p.rng, anyRouter))
}

// playZone crashes all routers of a random zone, processes too, and starts them again.
func playZone(ctx context.Context, p *player) error {
	zone := p.rng.IntN(p.fleet.run.File.Zones)
	inZone := func(number int) bool { return number%p.fleet.run.File.Zones == zone }
	victims := p.fleet.chooseVictims(p.fleet.run.Size-1, p.rng, inZone)
	return p.crashAndReturn(ctx, "zone-lost", "zone-back", victims)
}

// crashAndReturn crashes routers and starts them again after all others have agreed that they are dead.
func (p *player) crashAndReturn(ctx context.Context, lost, back string, victims []int) error {
	if err := p.measureAgreement(ctx, lost, victims, func() error { return p.fleet.crash(victims) }); err != nil {
		return err
	}
	return p.measureAgreement(ctx, back, victims, func() error { return p.fleet.start(ctx, victims) })
}

func playDrain(ctx context.Context, p *player) error {
	victims := p.fleet.chooseVictims(1, p.rng, anyRouter)
	if err := p.measureAgreement(ctx, "drain", victims, func() error { return p.fleet.drain(victims[0], true) }); err != nil {
		return err
	}
	return p.measureAgreement(ctx, "activate", victims, func() error { return p.fleet.drain(victims[0], false) })
}

func playLoss(ctx context.Context, p *player) error {
	err := p.measureFor(ctx, "loss", p.fleet.run.File.Cut.Std(), func() { p.fleet.setLoss(p.fleet.run.File.Loss) })
	p.fleet.setLoss(0)
	return err
}

func playCut(ctx context.Context, p *player) error {
	err := p.measureFor(ctx, "cut", p.fleet.run.File.Cut.Std(), func() { p.fleet.setCut(true) })
	heal := func() error { p.fleet.setCut(false); return nil }
	if err != nil {
		heal()
		return err
	}
	if difference, err := p.fleet.watchAgreement().check(ctx); err == nil && difference == "" {
		p.record.Failed = append(p.record.Failed, fmt.Sprintf("cut: %v was too short, all routers still had one view",
			p.fleet.run.File.Cut))
	}
	return p.measureAgreement(ctx, "healed", nil, heal)
}

func playRestart(ctx context.Context, p *player) error {
	all := p.fleet.allNumbers()
	return p.measureAgreement(ctx, "restart", nil, func() error {
		if err := p.fleet.crash(all); err != nil {
			return err
		}
		return p.fleet.start(ctx, all)
	})
}
