package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/unit"
)

// Hunt searches random days for some on which a policy violates an invariant or scores lower than a rival.
type Hunt struct {
	Policy             string
	Rivals             []string // policies to compare with; one that violates an invariant on a day is ignored for that day
	Margin             float64  // by which the score of a rival must be higher
	Seed               uint64   // the same seed gives the same n-th day
	Cores              int      // number of days played at once
	MaxSimplifications int      // maximum number of simplifications of a finding
}

// Finding is a day on which the policy violates an invariant or scores lower than a rival.
type Finding struct {
	Day    model.Day
	Number int    // of the day, as given to Draw
	Reason string // the invariant or the rival
	Ours   *scoring.Result
	Rival  string
	Theirs float64 // score of the rival
}

// Run draws and plays days until ctx ends or the maximum number is reached. It simplifies each finding as far as
// MaxSimplifications allows and passes it to found. It returns the number of days played.
func (h *Hunt) Run(ctx context.Context, maxDays int, found func(*Finding)) (played int, err error) {
	var mu sync.Mutex
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, h.Cores))
	for n := 0; n < maxDays && ctx.Err() == nil; n++ {
		g.Go(func() error {
			day := Draw(h.Seed, n)
			f, err := h.try(gctx, day)
			if err != nil {
				return nil // ctx has ended
			}
			if f != nil {
				f = h.shrink(gctx, f)
				f.Number = n
			}
			mu.Lock()
			defer mu.Unlock()
			played++
			if f != nil {
				found(f)
			}
			return nil
		})
	}
	return played, g.Wait()
}

// try plays a day and returns a finding, or nil if there is none.
func (h *Hunt) try(ctx context.Context, day model.Day) (*Finding, error) {
	if err := day.Validate(); err != nil {
		return nil, fmt.Errorf("a drawn day is impossible: %w", err)
	}
	ours, err := playDay(ctx, day, h.Policy)
	if err != nil {
		return nil, err
	}
	if ours.ViolationCount > 0 {
		return &Finding{Day: day, Reason: "rule " + ours.Violations[0].Rule, Ours: ours}, nil
	}
	f := &Finding{Day: day, Ours: ours}
	for _, name := range h.Rivals {
		r, err := playDay(ctx, day, name)
		if err != nil {
			return nil, err
		}
		if r.ViolationCount == 0 && r.Score > max(f.Theirs, ours.Score+h.Margin) {
			f.Rival, f.Theirs, f.Reason = name, r.Score, "behind "+name
		}
	}
	if f.Rival == "" {
		return nil, nil
	}
	return f, nil
}

// shrink simplifies the day of a finding step by step as long as the policy still fails in the same way.
func (h *Hunt) shrink(ctx context.Context, f *Finding) *Finding {
	sameRival := *h
	if f.Rival != "" {
		sameRival.Rivals = []string{f.Rival}
	}
	for range h.MaxSimplifications {
		smaller := false
		for _, day := range smallerDays(f.Day) {
			if day.Validate() != nil {
				continue
			}
			g, err := sameRival.try(ctx, day)
			if err != nil {
				return f
			}
			if g != nil && g.Reason == f.Reason {
				f, smaller = g, true
				break
			}
		}
		if !smaller {
			break
		}
	}
	return f
}

// smallerDays returns simpler versions of a day. Each differs from the day in one respect.
func smallerDays(day model.Day) (list []model.Day) {
	add := func(change func(*model.Day)) {
		d := day
		d.Faults = slices.Clone(day.Faults)
		change(&d)
		list = append(list, d)
	}
	for i := range day.Faults {
		add(func(d *model.Day) { d.Faults = slices.Delete(d.Faults, i, i+1) })
	}
	if day.Length > unit.Duration(12*time.Second) {
		add(func(d *model.Day) {
			d.Length = (d.Length * 2 / 3) / unit.Duration(time.Second) * unit.Duration(time.Second)
		})
	}
	if day.Fleet.Caches > 3 {
		add(func(d *model.Day) { d.Fleet.Caches = max(3, d.Fleet.Caches*2/3) })
	}
	if day.Routers > 1 {
		add(func(d *model.Day) { d.Routers-- })
	}
	base := model.DefaultDay()
	if day.Load.Shape != "steady" {
		add(func(d *model.Day) { d.Load.Shape = "steady" })
	}
	if day.Net != base.Net {
		add(func(d *model.Day) { d.Net = base.Net })
	}
	if day.Origin != base.Origin {
		add(func(d *model.Day) { d.Origin = base.Origin })
	}
	return list
}

// Draw draws the n-th random day of a seed.
func Draw(seed uint64, n int) model.Day {
	r := model.NewRandom(seed, "hunt", n)
	uniform := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	randomDuration := func(a, b float64) unit.Duration {
		return unit.Duration(time.Duration(uniform(a, b)*1000) * time.Millisecond)
	}
	day := model.DefaultDay()
	day.Seed = r.Uint64() >> 32
	day.WarmUp, day.Length = randomDuration(12, 12), unit.Duration(30*time.Second)
	day.Fleet.Caches, day.Routers = 4+r.IntN(11), 1+r.IntN(5)
	day.Load.Level = float64(int(uniform(20, 90))) / 100
	day.Load.Shape = []string{"steady", "wave", "bursty"}[r.IntN(3)]
	day.Origin.Headroom = float64(int(uniform(20, 31))) / 10
	day.Origin.ClosesOnOverload = r.IntN(2) == 0
	day.Net.Loss = []float64{0, 0, 0.001, 0.01}[r.IntN(4)]
	for range 1 + r.IntN(3) {
		day.Faults = append(day.Faults, drawFault(r, &day, randomDuration, uniform))
	}
	return day
}

// drawFault draws a random fault. The severity of some kinds is outside the common range of 0.1 to 0.6.
func drawFault(r *rand.Rand, day *model.Day, randomDuration func(a, b float64) unit.Duration,
	uniform func(a, b float64) float64) model.Fault {
	kinds := model.FaultKinds()
	f := model.Fault{Kind: kinds[r.IntN(len(kinds))][0], At: randomDuration(2, 15), Duration: randomDuration(3, 15),
		Share: float64(int(uniform(5, 30))) / 100, Severity: float64(int(uniform(10, 60))) / 100, Count: 1 + r.IntN(3),
		Interval: randomDuration(0.5, 4), Zone: r.IntN(day.Zones)}
	switch f.Kind {
	case "hot_key":
		f.Severity /= 2.5
	case "lossy", "silent":
		f.Severity /= 5
	case "resets":
		f.Severity *= 100
	case "origin_slow":
		f.Severity = 1 + 5*f.Severity
	case "drain":
		f.Count = min(f.Count, day.Fleet.Caches-2)
	}
	return f
}
