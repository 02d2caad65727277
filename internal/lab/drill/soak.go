package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hoptiller/internal/lab/model"
)

// The shape of a soak's days.
const (
	soakLength          = 30.0 // seconds
	soakMostRouters     = 6
	soakLongBytes       = 40_000 // mean bytes of a value where some are long: those over 64 KiB are passed on as they come
	soakUnsized         = 0.2    // part of the origin's values without a length, where some are long
	soakCrowd           = 900    // idle connections, of 1,024 descriptors
	soakShortestTerm    = 0.4    // the least deadline of all classes, in seconds
	soakMostUnserved    = 0.55   // of the worth asked for, by routers
	soakMostUnexplained = 0.02   // of the requests taken
)

// soakKinds are the kinds of step of which a soak's days are drawn, each as often as it stands here.
var soakKinds = []string{"restart", "restart", "restart", "interrupt", "interrupt", "reload", "crowd", "cache", "cache", "origin", "directory", "kill"}

// Soak draws a day of a soak from a seed: a few routers in trouble of several kinds at once, with deadlines, values and load that differ
// from seed to seed. The same seed gives the same day. No rule may be broken, no process may end by itself, all routers are to be
// ready in the end, and they may leave a stated part of what is asked for unserved.
func Soak(seed uint64) *File {
	r := rand.New(rand.NewPCG(seed, 0x736f616b))
	f := &File{Title: fmt.Sprintf("Soak, seed %d", seed), Name: fmt.Sprintf("soak-%d", seed), Day: soakDay(r)}
	f.Day.Seed = seed
	for i := range f.Day.Routers { // one after another, as at a release
		f.Steps = append(f.Steps, Step{Kind: "interrupt", At: span(1), For: span(20), Routers: []int{i}})
		f.Steps = append(f.Steps, Step{Kind: "restart", At: span(2 + float64(i)*3 + r.Float64()), For: span(5), Routers: []int{i}, Signals: soakSignals(r)})
	}
	for range 3 + r.IntN(4) {
		f.Steps = append(f.Steps, soakStep(r, f.Day.Routers))
	}
	f.Steps = withoutClashes(f.Steps)
	f.Day.Faults = soakFaults(r)
	f.Claims = []Claim{{Kind: "rules"}, {Kind: "alive"}, {Kind: "ready", Within: span(6)}, {Kind: "unserved", Share: soakMostUnserved},
		{Kind: "unexplained", Share: soakMostUnexplained}}
	return f
}

// soakDay draws the fleet and its load.
func soakDay(r *rand.Rand) model.Day {
	day := model.Prairie()
	day.Warm, day.Length, day.Fill = span(2), span(soakLength), r.IntN(3) == 0
	day.Routers = 2 + r.IntN(soakMostRouters-1)
	day.Fleet.Caches = 4 + r.IntN(6)
	day.Load.Level, day.Load.Shape = 0.3+r.Float64()*0.4, "steady"
	if r.IntN(2) == 0 {
		day.Load.Bytes, day.Load.Sizes = soakLongBytes, 1
		day.Origin.Unsized = soakUnsized
	}
	day.Clients.Leave = 0.25
	deadline := soakShortestTerm + r.Float64()*1.5
	for i := range day.Classes {
		c := &day.Classes[i]
		c.Deadline = span(deadline * (1 + r.Float64()))
		c.Aim = min(c.Aim, c.Deadline/2)
	}
	return day
}

// soakSignals draws a series of signals that ends with SIGTERM, or goes on behind it.
func soakSignals(r *rand.Rand) []string {
	series := [][]string{{"term"}, {"hup", "hup", "term"}, {"term", "term"}, {"term", "hup"}, {"hup", "term", "hup", "term"}}
	return series[r.IntN(len(series))]
}

// soakStep draws one trouble.
func soakStep(r *rand.Rand, routers int) Step {
	s := Step{Kind: soakKinds[r.IntN(len(soakKinds))], At: span(1 + r.Float64()*15), For: span(0.5 + r.Float64()*4), Routers: []int{r.IntN(routers)}}
	switch s.Kind {
	case "restart":
		s.For, s.Signals = span(5), soakSignals(r)
	case "reload":
		s.For, s.Signals = 0, slices.Repeat([]string{"hup"}, 1+r.IntN(4))
	case "crowd":
		s.Crowd = soakCrowd
	case "cache", "origin", "directory":
		soakWay(r, &s)
	}
	return s
}

// soakWay draws what is wrong with the ways to servers.
func soakWay(r *rand.Rand, s *Step) {
	switch r.IntN(4) {
	case 0:
		s.Stall = true
	case 1:
		s.Refuse = true
	case 2:
		s.After = 1 + r.IntN(200_000)
	default:
		s.Delay = span(float64(1+r.IntN(60)) / 1000)
	}
}

// soakFaults draws what happens to cache servers beside the routers.
func soakFaults(r *rand.Rand) []model.Fault {
	kinds := []model.Fault{
		{Kind: "crash", At: span(6 + r.Float64()*8), For: span(2 + r.Float64()*3), Part: 0.25},
		{Kind: "slow", At: span(3 + r.Float64()*10), For: span(3 + r.Float64()*4), Part: 0.3, Size: 0.8},
		{Kind: "resets", At: span(3 + r.Float64()*8), For: span(5), Size: 5},
	}
	hang := model.Fault{Kind: "hang", At: span(3 + r.Float64()*5), For: span(6 + r.Float64()*6), Part: 0.3}
	return []model.Fault{hang, kinds[r.IntN(len(kinds))]}
}

// stops tells whether a step ends a process.
func stops(s Step) bool { return s.Kind == "restart" || s.Kind == "kill" }

// withoutClashes leaves out steps that stop a process while another step does.
func withoutClashes(steps []Step) (kept []Step) {
	for _, s := range steps {
		clash := stops(s) && slices.ContainsFunc(kept, func(o Step) bool {
			return stops(o) && slices.Equal(o.Routers, s.Routers) && s.At.D() < o.At.D()+o.For.D()+time.Second && o.At.D() < s.At.D()+s.For.D()+time.Second
		})
		if !clash {
			kept = append(kept, s)
		}
	}
	return kept
}
