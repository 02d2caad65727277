package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/unit"
)

// seconds converts a number of seconds to a duration.
func seconds(s float64) unit.Duration { return unit.Duration(s * float64(time.Second)) }

// SmallDay returns the day of random drills: a few routers and caches, and a load that a laptop can sustain.
func SmallDay() model.Day {
	day := model.DefaultDay()
	day.WarmUp, day.Length, day.FillCaches = seconds(3), seconds(18), true
	day.Fleet.Caches, day.Load.Level, day.Load.Shape = 6, 0.25, "steady"
	return day
}

// randomKinds lists the kinds of step that Random draws.
var randomKinds = []string{"pause", "kill", "term", "datagrams", "directory", "cache", "origin", "admin"}

// Random draws a drill of one to four steps from a seed. The same seed gives the same drill. Every step ends, and all claims
// must hold again after the last one.
func Random(seed uint64) *File {
	r := rand.New(rand.NewPCG(seed, 0x6472696c6c))
	f := &File{Title: fmt.Sprintf("Drawn from seed %d", seed), Name: fmt.Sprintf("random-%d", seed), Day: SmallDay()}
	f.Day.Seed, f.Day.Routers = seed, 3+r.IntN(3)
	for range 1 + r.IntN(4) {
		s := Step{Kind: randomKinds[r.IntN(len(randomKinds))], At: seconds(1 + float64(r.IntN(30))/10),
			Duration: seconds(0.5 + float64(r.IntN(25))/10)}
		for i := range f.Day.Routers {
			if r.IntN(f.Day.Routers) == 0 {
				s.Routers = append(s.Routers, i)
			}
		}
		switch s.Kind {
		case "datagrams":
			s.BothDirections, s.Blocked = r.IntN(2) == 0, r.IntN(3) == 0
			s.Loss, s.Duplicate, s.Reorder, s.Jitter = r.Float64()/2, r.Float64()/2, r.Float64()/2, seconds(r.Float64()/10)
		case "pause", "kill", "term":
			if len(s.Routers) == 0 || len(s.Routers) == f.Day.Routers { // one router must stay, or no client could be served
				s.Routers = []int{r.IntN(f.Day.Routers)}
			}
			if s.Kind == "term" {
				s.Duration = seconds(5) // the process first has to answer the requests that it has accepted
			}
		default:
			switch r.IntN(4) {
			case 0:
				s.Stall = true
			case 1:
				s.Reset = true
			case 2:
				s.ResetAfter = 1 + r.IntN(20000)
			default:
				s.Delay = seconds(float64(1+r.IntN(40)) / 1000)
			}
		}
		f.Steps = append(f.Steps, s)
	}
	f.Steps = slices.DeleteFunc(f.Steps, func(s Step) bool { // no process may be stopped by two steps at once
		return s.Kind == "term" && slices.ContainsFunc(f.Steps, func(o Step) bool { return o.Kind == "kill" || o.Kind == "pause" })
	})
	f.Claims = []Claim{{Kind: "rules"}, {Kind: "alive"}, {Kind: "ready", Within: seconds(6)}, {Kind: "view",
		Within: seconds(8)}, {Kind: "service", MinService: 0.8, Within: seconds(6)}}
	return f
}

// RandomPermits adds permits to a drill that Random draws: all routers ask to go out of service while the fleet grants one
// permit at a time, and operators ask for two slot caches to be drained.
func RandomPermits(seed uint64) *File {
	f := Random(seed)
	f.Name = fmt.Sprintf("permits-%d", seed)
	f.Day.WarmUp, f.Day.Length = seconds(14), seconds(30)
	f.Steps = append(f.Steps, Step{Kind: "call", Path: "/v1/fleet/drain", At: seconds(0.5)})
	for i := range f.Day.Routers {
		f.Steps = append(f.Steps, Step{Kind: "call", Path: "/v1/fleet/activate", At: seconds(9 + float64(i)*2), Routers: []int{i}})
	}
	r := rand.New(rand.NewPCG(seed, 0x647261696e))
	for i := range 2 { // operators drain two slot caches, of which only one may be out of service
		f.Steps = append(f.Steps, Step{Kind: "call", Path: fmt.Sprintf("/v1/fleet/caches/drain?cache={cache %d}&for=60s", i),
			At: seconds(0.5 + float64(r.IntN(30))/10), Routers: []int{r.IntN(f.Day.Routers)}})
		f.Steps = append(f.Steps, Step{Kind: "call", Path: fmt.Sprintf("/v1/fleet/caches/activate?cache={cache %d}", i),
			At: seconds(14 + float64(r.IntN(30))/10), Routers: []int{r.IntN(f.Day.Routers)}})
	}
	f.Claims = append(f.Claims, Claim{Kind: "permits", MaxAtOnce: 1}, Claim{Kind: "drains", MaxAtOnce: 1,
		AllowNone: true}) // with faults there may be no drain
	return f
}

// Encode returns the text of a drill file that Parse reads as the same drill.
func Encode(f *File) ([]byte, error) {
	day, err := experiment.ChangedFigures(&f.Day)
	if err != nil {
		return nil, err
	}
	return toml.Marshal(map[string]any{"title": f.Title, "day": day, "step": f.Steps, "claim": f.Claims})
}
