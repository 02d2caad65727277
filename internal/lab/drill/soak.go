package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hoptiller/internal/lab/model"
)

// Parameters of the days that Soak draws.
const (
	soakLength         = 30.0 // seconds
	soakMaxRouters     = 6
	soakMeanBytes      = 40_000 // mean bytes of a value on days with long ones; routers stream values over 64 KiB
	soakUnsizedShare   = 0.2    // fraction of the origin's values without a stated length on days with long values
	soakIdleConns      = 900    // idle connections of a crowd; a process has 1,024 descriptors
	soakMemoryMB       = 32     // memory of each router on days with slow writes, a quarter of it for long values
	soakSlowWriters    = 6      // clients of one step of slow writes; their values take more memory than there is
	soakLongWriteShare = 0.9    // fraction of the writes with a long value on these days
	soakWriteFactor    = 4      // by which writes are more frequent on these days
	soakFloodClients   = 6      // clients of a flood
	soakMinDeadline    = 0.4    // lower bound of all classes' deadlines, in seconds
	soakMaxUnserved    = 0.55   // fraction of the requested worth that routers may leave unserved
	soakMaxUnexplained = 0.02   // fraction of the accepted requests that may fail for no reason but their router
)

// soakKinds lists the kinds of step that soakStep draws from. A kind is drawn in proportion to how often it is listed.
var soakKinds = []string{"restart", "restart", "restart", "interrupt", "interrupt", "reload", "crowd", "cache", "cache",
	"origin", "directory", "kill"}

// Soak draws a day of a soak test from a seed: a few routers with several kinds of faults at once. Deadlines, values and load
// differ from seed to seed. The same seed gives the same day. The claims are that no invariant is violated, no process ends
// by itself, all routers are ready in the end, and the fractions of unserved and unexplained requests stay within their limits.
func Soak(seed uint64) *File {
	r := rand.New(rand.NewPCG(seed, 0x736f616b))
	f := &File{Title: fmt.Sprintf("Soak, seed %d", seed), Name: fmt.Sprintf("soak-%d", seed), Day: soakDay(r)}
	f.Day.Seed = seed
	for i := range f.Day.Routers { // restarted one after another, as in a release
		f.Steps = append(f.Steps, Step{Kind: "interrupt", At: seconds(1), Duration: seconds(20), Routers: []int{i}})
		f.Steps = append(f.Steps, Step{Kind: "restart", At: seconds(2 + float64(i)*3 + r.Float64()), Duration: seconds(5),
			Routers: []int{i}, Signals: soakSignals(r)})
	}
	for range 3 + r.IntN(4) {
		f.Steps = append(f.Steps, soakStep(r, f.Day.Routers))
	}
	f.Steps = withoutOverlaps(f.Steps)
	f.Day.Faults = append(soakCacheFaults(r), soakRepetition(r)...)
	addSlowWrites(r, f)
	addFlood(r, f)
	f.Claims = []Claim{{Kind: "rules"}, {Kind: "alive"}, {Kind: "ready", Within: seconds(6)}, {Kind: "unserved",
		MaxShare: soakMaxUnserved},
		{Kind: "unexplained", MaxShare: soakMaxUnexplained}}
	return f
}

// soakDay draws the fleet, its load and the deadlines of the classes.
func soakDay(r *rand.Rand) model.Day {
	day := model.DefaultDay()
	day.WarmUp, day.Length, day.FillCaches = seconds(2), seconds(soakLength), r.IntN(3) == 0
	day.Routers = 2 + r.IntN(soakMaxRouters-1)
	day.Fleet.Caches = 4 + r.IntN(6)
	day.Load.Level, day.Load.Shape = 0.3+r.Float64()*0.4, "steady"
	if r.IntN(2) == 0 {
		day.Load.Bytes, day.Load.Sizes = soakMeanBytes, 1
		day.Origin.UnsizedShare = soakUnsizedShare
	}
	day.Clients.DisconnectShare = 0.25
	deadline := soakMinDeadline + r.Float64()*1.5
	for i := range day.Classes {
		c := &day.Classes[i]
		c.Deadline = seconds(deadline * (1 + r.Float64()))
		c.Aim = min(c.Aim, c.Deadline/2)
	}
	return day
}

// soakSignals draws a series of signals with a SIGTERM at the end, or with more signals after it.
func soakSignals(r *rand.Rand) []string {
	series := [][]string{{"term"}, {"hup", "hup", "term"}, {"term", "term"}, {"term", "hup"}, {"hup", "term", "hup", "term"}}
	return series[r.IntN(len(series))]
}

// soakStep draws one step of a random kind for a random router.
func soakStep(r *rand.Rand, routers int) Step {
	s := Step{Kind: soakKinds[r.IntN(len(soakKinds))], At: seconds(1 + r.Float64()*15),
		Duration: seconds(0.5 + r.Float64()*4), Routers: []int{r.IntN(routers)}}
	switch s.Kind {
	case "restart":
		s.Duration, s.Signals = seconds(5), soakSignals(r)
	case "reload":
		s.Duration, s.Signals = 0, slices.Repeat([]string{"hup"}, 1+r.IntN(4))
	case "crowd":
		s.IdleConns = soakIdleConns
	case "cache", "origin", "directory":
		soakStreamFaults(r, &s)
	}
	return s
}

// soakStreamFaults draws the faults of a router's TCP connections to servers.
func soakStreamFaults(r *rand.Rand, s *Step) {
	switch r.IntN(4) {
	case 0:
		s.Stall = true
	case 1:
		s.Reset = true
	case 2:
		s.ResetAfter = 1 + r.IntN(200_000)
	default:
		s.Delay = seconds(float64(1+r.IntN(60)) / 1000)
	}
}

// soakCacheFaults draws the faults of cache servers, which come in addition to those of routers.
func soakCacheFaults(r *rand.Rand) []model.Fault {
	kinds := []model.Fault{
		{Kind: "crash", At: seconds(6 + r.Float64()*8), Duration: seconds(2 + r.Float64()*3), Share: 0.25},
		{Kind: "slow", At: seconds(3 + r.Float64()*10), Duration: seconds(3 + r.Float64()*4), Share: 0.3, Severity: 0.8},
		{Kind: "resets", At: seconds(3 + r.Float64()*8), Duration: seconds(5), Severity: 5},
	}
	hang := model.Fault{Kind: "hang", At: seconds(3 + r.Float64()*5), Duration: seconds(6 + r.Float64()*6), Share: 0.3}
	return []model.Fault{hang, kinds[r.IntN(len(kinds))]}
}

// soakRepetition draws how many answers come a second time. On half of the days there are none.
func soakRepetition(r *rand.Rand) []model.Fault {
	if r.IntN(2) == 0 {
		return nil
	}
	return []model.Fault{{Kind: "surplus", At: seconds(1), Duration: seconds(soakLength), Severity: r.Float64()}}
}

// addSlowWrites makes a part of the writes long on half of the days, and lets clients that send long values slowly take up a router's
// memory for them meanwhile.
func addSlowWrites(r *rand.Rand, f *File) {
	if r.IntN(2) == 0 {
		return
	}
	f.Day.RouterMemoryMB, f.Day.Load.LongWriteShare = soakMemoryMB, soakLongWriteShare
	for i := range f.Day.Classes {
		if c := &f.Day.Classes[i]; c.Write {
			c.Share *= soakWriteFactor
		}
	}
	for range 2 {
		f.Steps = append(f.Steps, Step{Kind: "slow_writes", At: seconds(2 + r.Float64()*15), Duration: seconds(4 + r.Float64()*6),
			Routers: []int{r.IntN(f.Day.Routers)}, Writers: soakSlowWriters})
	}
}

// addFlood lets clients send no-ops at full speed on half of the days.
func addFlood(r *rand.Rand, f *File) {
	if r.IntN(2) == 0 {
		return
	}
	f.Steps = append(f.Steps, Step{Kind: "flood", At: seconds(2 + r.Float64()*15), Duration: seconds(2 + r.Float64()*3),
		Routers: []int{r.IntN(f.Day.Routers)}, Writers: soakFloodClients})
}

// stopsProcess reports whether a step ends a process.
func stopsProcess(s Step) bool { return s.Kind == "restart" || s.Kind == "kill" }

// withoutOverlaps drops each step that would stop a process while another step of the list has stopped it already.
func withoutOverlaps(steps []Step) (kept []Step) {
	for _, s := range steps {
		overlaps := stopsProcess(s) && slices.ContainsFunc(kept, func(o Step) bool {
			return stopsProcess(o) && slices.Equal(o.Routers, s.Routers) && s.At.Std() < o.At.Std()+o.Duration.Std()+time.Second &&
				o.At.Std() < s.At.Std()+s.Duration.Std()+time.Second
		})
		if !overlaps {
			kept = append(kept, s)
		}
	}
	return kept
}
