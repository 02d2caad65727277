package drill

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/lab/tally"
)

// Verdict is what became of a claim.
type Verdict struct {
	Claim Claim
	Holds bool
	Why   string
}

// inARow is how many seconds must do well one after the other.
const inARow = 5

// judge holds what happened against the claims.
func judge(f *File, events []Event, result *tally.Result) (all []Verdict) {
	for _, c := range f.Claims {
		why := ""
		var holds bool
		switch c.Kind {
		case "rules":
			holds = result.Broken == 0
			why = fmt.Sprintf("%d rules broken", result.Broken)
			if !holds && len(result.Violations) > 0 {
				why += ", first " + result.Violations[0].String()
			}
		case "alive":
			holds, why = alive(events)
		case "never":
			holds, why = never(c, events)
		case "permits":
			holds, why = permits(c, events)
		case "said":
			holds, why = said(f, c, "router", events)
		case "viewed":
			holds, why = said(f, c, "view", events)
		case "view":
			holds, why = view(f, c, events)
		case "ready":
			holds, why = ready(f, c, events)
		case "service":
			holds, why = service(f, c, result.Series.Service)
		}
		all = append(all, Verdict{c, holds, why})
	}
	return all
}

func (c *Claim) about(router int) bool {
	return router > 0 && (len(c.Routers) == 0 || slices.Contains(c.Routers, router-1))
}

// alive looks for processes that have ended by themselves.
func alive(events []Event) (bool, string) {
	for _, e := range events {
		if e.From == "watch" && strings.HasPrefix(e.Text, endedByItself) {
			return false, fmt.Sprintf("router %d at %.3f s: %s", e.Router-1, e.At, e.Text)
		}
	}
	return true, "no process ended by itself"
}

// A permit's lines in the log, and how long one lasts that is not renewed (package permit).
const (
	permitHeld = `msg="permit held"`
	permitGone = `msg="permit (given back|lost, serving again)"`
)

// permits looks at each instant for how many are out by permit: from the line that says so to the line that says that it is
// over, or to the end of the process, or to the end of the longest lease after it began to stand still. Where the clocks leave
// room the claim has it: a permit begins as late, and ends as early, as what was seen allows.
func permits(c Claim, events []Event) (bool, string) {
	held, gone := regexp.MustCompile(permitHeld), regexp.MustCompile(permitGone)
	type edge struct {
		at    float64
		delta int
	}
	var edges []edge
	begun := map[int]float64{}
	end := func(router int, at float64) {
		if from, out := begun[router]; out && at > from {
			edges = append(edges, edge{from, 1}, edge{at, -1})
		}
		delete(begun, router)
	}
	ends := map[int]float64{} // of the leases of those that stand still
	last := 0.0
	for _, e := range events {
		last = max(last, e.At)
		for router, at := range ends {
			if e.At >= at {
				end(router, at)
				delete(ends, router)
			}
		}
		switch {
		case e.From == "router" && held.MatchString(e.Text):
			begun[e.Router] = e.At + e.Sure
		case e.From == "router" && gone.MatchString(e.Text):
			delete(ends, e.Router)
			end(e.Router, e.At-e.Sure)
		case e.From == "drill" && (e.Text == "kill: true" || e.Text == "term: true"):
			end(e.Router, e.At-e.Sure)
		case e.From == "drill" && e.Text == "paused: true":
			ends[e.Router] = e.At + permit.MostLease.Seconds()
		}
	}
	for router := range begun {
		end(router, last)
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return a.delta - b.delta
	})
	out, most, at := 0, 0, 0.0
	for _, e := range edges {
		if out += e.delta; out > most {
			most, at = out, e.at
		}
	}
	return most <= c.Most && most > 0, fmt.Sprintf("%d out by permit at once at the most, first at %.3f s", most, at)
}

func never(c Claim, events []Event) (bool, string) {
	is := regexp.MustCompile(c.Text)
	for _, e := range events {
		if e.From == "router" && c.about(e.Router) && is.MatchString(e.Text) {
			return false, fmt.Sprintf("router %d at %.3f s: %s", e.Router-1, e.At, e.Text)
		}
	}
	return true, "no line fits"
}

func said(f *File, c Claim, source string, events []Event) (bool, string) {
	is := regexp.MustCompile(c.Text)
	from, to := f.first().Seconds(), (f.calm() + c.Within.D()).Seconds()
	last := 0.0
	for i := range f.Day.Routers {
		if !c.about(i+1) || len(c.Routers) == 0 && !f.runs(i) {
			continue
		}
		at := slices.IndexFunc(events, func(e Event) bool {
			return e.From == source && e.Router == i+1 && e.At+e.Sure >= from && is.MatchString(e.Text)
		})
		if at < 0 || events[at].At-events[at].Sure > to {
			return false, fmt.Sprintf("router %d said nothing of it by %.1f s", i, to)
		}
		last = max(last, events[at].At)
	}
	return true, fmt.Sprintf("the last at %.3f s", last)
}

// ready tells whether routers are ready within the time and stay so. When they were seen so is not when they were: the
// time is held against the earliest that fits what was seen. After the day the drill itself ends the processes.
func ready(f *File, c Claim, events []Event) (bool, string) {
	to, last := (f.calm() + c.Within.D()).Seconds(), 0.0
	for i := range f.Day.Routers {
		if !c.about(i + 1) {
			continue
		}
		since, is := 0.0, false
		for _, e := range events {
			if e.From == "watch" && e.Router == i+1 && e.At <= f.Day.Length.Seconds() && !strings.HasPrefix(e.Text, endedByItself) {
				since, is = e.At-e.Sure, e.Text == "ready"
			}
		}
		if !is {
			return false, fmt.Sprintf("router %d is not ready at the end, since %.1f s", i, since)
		}
		if since > to {
			return false, fmt.Sprintf("router %d is ready from %.1f s on, not from %.1f s", i, since, to)
		}
		last = max(last, since)
	}
	return true, fmt.Sprintf("the last from %.1f s on, %.1f s after all was calm", last, max(0, last-f.calm().Seconds()))
}

// view tells whether all routers that run say the same, and take exactly these for alive, from a time on. Each view is held to
// have lasted from when it was first seen, or earlier, until another one was.
func view(f *File, c Claim, events []Event) (bool, string) {
	var is []string
	for i := range f.Day.Routers {
		is = append(is, f.ends(i))
	}
	for range f.Absent {
		is = append(is, "unknown")
	}
	want := strings.Join(is, " ")
	to, last := (f.calm() + c.Within.D()).Seconds(), 0.0
	sum := ""
	for i := range f.Day.Routers {
		if !c.about(i+1) || !f.runs(i) {
			continue
		}
		since, text := 0.0, "nothing"
		for _, e := range events {
			if e.From == "view" && e.Router == i+1 && e.At <= f.Day.Length.Seconds() {
				since, text = e.At-e.Sure, e.Text
			}
		}
		said, rest, _ := strings.Cut(text, " ")
		states, _, _ := strings.Cut(rest, ";")
		if sum == "" {
			sum = said
		}
		switch {
		case states != want:
			return false, fmt.Sprintf("router %d says at the end: %s, not %s", i, states, want)
		case said != sum:
			return false, fmt.Sprintf("router %d has the sum %s at the end, another one %s", i, said, sum)
		case since > to:
			return false, fmt.Sprintf("router %d says so from %.1f s on, not from %.1f s", i, since, to)
		}
		last = max(last, since)
	}
	return true, fmt.Sprintf("the last from %.1f s on, %.1f s after all was calm", last, max(0, last-f.calm().Seconds()))
}

// service tells whether each second of five in a row does well, of which the first begins within the time.
func service(f *File, c Claim, seconds []float64) (bool, string) {
	calm := f.calm().Seconds()
	from := int(calm + 0.999)
	best, row := 0.0, 0
	for i := from; i < len(seconds); i++ {
		best = max(best, seconds[i])
		if row++; seconds[i] < c.Least {
			row = 0
		}
		if begun := float64(i + 1 - inARow); row == inARow {
			return begun <= calm+c.Within.Seconds(), fmt.Sprintf("five seconds of %.2f or more from %.0f s on, %.1f s after all was calm", c.Least, begun, begun-calm)
		}
	}
	return false, fmt.Sprintf("no five seconds of %.2f in a row after %.1f s, the best has %.3f", c.Least, calm, best)
}
