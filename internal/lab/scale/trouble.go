package scale

import (
	"context"
	"fmt"
	"time"
)

// trouble is something that happens to a fleet.
type trouble struct {
	name  string
	what  string
	takes func(f *File) time.Duration // about, in a fleet of a few
	play  func(ctx context.Context, p *player) error
}

// troubleDrain is the name of the trouble that needs electors.
const troubleDrain = "drain"

// Parts of the fleet that a trouble takes.
const rackPart = 10 // a tenth of the routers

// Times that a trouble takes about, in a fleet of a few, its pauses with it.
const (
	pairTime  = 16 * time.Second // that something ends, and comes back
	crashTime = 20 * time.Second
)

func always(d time.Duration) func(*File) time.Duration {
	return func(*File) time.Duration { return d }
}

func withCut(f *File) time.Duration { return f.Cut.D() + pairTime }

// troubles are all that there are. A function and not a variable, for troubles and the checks of files refer to each other.
func troubles() []trouble {
	return []trouble{
		{"leave", "a router leaves, and another life of it joins", always(pairTime), playLeave},
		{"crash", "a router crashes, and another life of it joins", always(crashTime), playCrash},
		{troubleDrain, "a router is drained by permit, and activated", always(pairTime), playDrain},
		{"rack", "a tenth of the routers crash at once, and come back", always(crashTime), playRack},
		{"zone", "all routers of a zone crash at once, and come back", always(crashTime), playZone},
		{"loss", "a part of all datagrams is lost for the time of a cut", withCut, playLoss},
		{"cut", "the regions are cut from one another, and healed", withCut, playCut},
		{"restart", "all routers are killed and started at once", always(crashTime), playRestart},
	}
}

// TroubleNames are the names of all troubles.
func TroubleNames() (names []string) {
	for _, t := range troubles() {
		names = append(names, t.name)
	}
	return names
}

// troubleNamed is the trouble of a name, or nil.
func troubleNamed(name string) *trouble {
	for _, t := range troubles() {
		if t.name == name {
			return &t
		}
	}
	return nil
}

func anyRouter(int) bool { return true }

func playLeave(ctx context.Context, p *player) error {
	victims := p.fleet.choose(1, p.chance, anyRouter)
	if err := p.agree(ctx, "leave", victims, func() error { return p.fleet.leave(victims) }); err != nil {
		return err
	}
	return p.agree(ctx, "join", victims, func() error { return p.fleet.start(ctx, victims) })
}

func playCrash(ctx context.Context, p *player) error {
	return p.loseAndReturn(ctx, "crash", "rejoin", p.fleet.choose(1, p.chance, anyRouter))
}

func playRack(ctx context.Context, p *player) error {
	count := max(1, p.fleet.run.Size/rackPart)
	return p.loseAndReturn(ctx, "rack-lost", "rack-back", p.fleet.choose(count, p.chance, anyRouter))
}

// playZone loses all routers of a zone, processes too.
func playZone(ctx context.Context, p *player) error {
	zone := p.chance.IntN(p.fleet.run.File.Zones)
	inZone := func(number int) bool { return number%p.fleet.run.File.Zones == zone }
	victims := p.fleet.choose(p.fleet.run.Size-1, p.chance, inZone)
	return p.loseAndReturn(ctx, "zone-lost", "zone-back", victims)
}

// loseAndReturn crashes routers and starts them again once all others have agreed.
func (p *player) loseAndReturn(ctx context.Context, lost, back string, victims []int) error {
	if err := p.agree(ctx, lost, victims, func() error { return p.fleet.crash(victims) }); err != nil {
		return err
	}
	return p.agree(ctx, back, victims, func() error { return p.fleet.start(ctx, victims) })
}

func playDrain(ctx context.Context, p *player) error {
	victims := p.fleet.choose(1, p.chance, anyRouter)
	if err := p.agree(ctx, "drain", victims, func() error { return p.fleet.drain(victims[0], true) }); err != nil {
		return err
	}
	return p.agree(ctx, "activate", victims, func() error { return p.fleet.drain(victims[0], false) })
}

func playLoss(ctx context.Context, p *player) error {
	err := p.last(ctx, "loss", p.fleet.run.File.Cut.D(), func() { p.fleet.setLoss(p.fleet.run.File.Loss) })
	p.fleet.setLoss(0)
	return err
}

func playCut(ctx context.Context, p *player) error {
	err := p.last(ctx, "cut", p.fleet.run.File.Cut.D(), func() { p.fleet.setCut(true) })
	heal := func() error { p.fleet.setCut(false); return nil }
	if err != nil {
		heal()
		return err
	}
	if why, err := p.fleet.agreement().look(ctx); err == nil && why == "" {
		p.record.Failed = append(p.record.Failed, fmt.Sprintf("cut: %v was too short, all routers still had one view", p.fleet.run.File.Cut))
	}
	return p.agree(ctx, "healed", nil, heal)
}

func playRestart(ctx context.Context, p *player) error {
	all := p.fleet.all()
	return p.agree(ctx, "restart", nil, func() error {
		if err := p.fleet.crash(all); err != nil {
			return err
		}
		return p.fleet.start(ctx, all)
	})
}
