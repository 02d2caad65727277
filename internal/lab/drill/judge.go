package drill

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
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
		case "unserved":
			by := result.Unserved.OfRouters()
			holds, why = by <= c.Share, fmt.Sprintf("routers did not serve %.3f of the worth: %v", by, &result.Unserved)
		case "unexplained":
			holds = result.Unexplained <= c.Share
			why = fmt.Sprintf("%.4f of the requests taken are refused, failed, lost or late with no cause but their router", result.Unexplained)
		case "stands":
			holds, why = result.Falls == 0, fmt.Sprintf("%d cold cache servers are pushed over", result.Falls)
		case "alive":
			holds, why = alive(events)
		case "never":
			holds, why = never(c, events)
		case "permits":
			holds, why = permits(c, events)
		case "drains":
			holds, why = drains(c, events)
		case "replaced":
			holds, why = replaced(c, events)
		case "told":
			holds, why = told(f, c, events)
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

// Lines in the log that begin and end being out, and how long is out who is not heard of any more (package permit).
const (
	permitHeld = `msg="permit held"`
	permitGone = `msg="permit (given back|lost, serving again)"`
)

// What a router says of a slot cache: that it is drained, gets nothing new from here on, or is drained no more.
var cacheSaid = regexp.MustCompile(`msg="slot cache (\S+) (drained|gets nothing new|drained no more)"`)

// saidOfCache takes such a line apart.
func saidOfCache(line string) (cache, what string) {
	if m := cacheSaid.FindStringSubmatch(line); m != nil {
		return m[1], m[2]
	}
	return "", ""
}

// outFor is how long something is out by one router's word.
type outFor struct {
	what     string
	from, to float64
}

// spans are from the line that says that something is out to the line that says that it is over, or to the end of the process (of
// one that a release replaces, to when it was seen ready again), or to the end of the longest lease after it began to stand still. Where the clocks leave room the claim has it: it begins as late,
// and ends as early, as what was seen allows.
func spans(events []Event, is func(e Event) (what string, begins, ends bool)) (all []outFor) {
	type key struct {
		router int
		what   string
	}
	begun := map[key]float64{}
	end := func(k key, at float64) {
		if from, out := begun[k]; out && at > from {
			all = append(all, outFor{k.what, from, at})
		}
		delete(begun, k)
	}
	endAll := func(router int, at float64) {
		for k := range begun {
			if k.router == router {
				end(k, at)
			}
		}
	}
	replaced := map[int]bool{} // by a release: out until it is ready again
	lapse := map[int]float64{} // of the leases of those that stand still
	last := 0.0
	for _, e := range events {
		last = max(last, e.At)
		for router, at := range lapse {
			if e.At >= at {
				endAll(router, at)
				delete(lapse, router)
			}
		}
		switch {
		case e.From == "router":
			what, begins, ends := is(e)
			if begins {
				begun[key{e.Router, what}] = e.At + e.Sure
			} else if ends {
				delete(lapse, e.Router)
				end(key{e.Router, what}, e.At-e.Sure)
			}
		case e.From == "drill" && strings.HasPrefix(e.Text, commandRuns):
			replaced[e.Router] = true
		case e.From == "watch" && e.Text == "ready" && replaced[e.Router]:
			delete(replaced, e.Router)
			endAll(e.Router, e.At-e.Sure)
		case e.From == "drill" && e.Text == "term: true" && replaced[e.Router]:
		case e.From == "drill" && (e.Text == "kill: true" || e.Text == "term: true"):
			endAll(e.Router, e.At-e.Sure)
		case e.From == "drill" && e.Text == "paused: true":
			lapse[e.Router] = e.At + permit.MostLease.Seconds()
		}
	}
	for k := range begun {
		end(k, last)
	}
	return all
}

// atOnce is how many things are out at one instant at the most, and when first. One that several say to be out counts once.
func atOnce(all []outFor) (most int, at float64) {
	for _, s := range all { // the number only grows where something begins
		out := map[string]bool{}
		for _, o := range all {
			if o.from <= s.from && s.from < o.to {
				out[o.what] = true
			}
		}
		if len(out) > most || len(out) == most && s.from < at {
			most, at = len(out), s.from
		}
	}
	return most, at
}

// permits looks at each instant for how many routers are out by permit.
func permits(c Claim, events []Event) (bool, string) {
	held, gone := regexp.MustCompile(permitHeld), regexp.MustCompile(permitGone)
	most, at := atOnce(spans(events, func(e Event) (string, bool, bool) {
		return strconv.Itoa(e.Router), held.MatchString(e.Text), gone.MatchString(e.Text)
	}))
	return most <= c.Most && (most > 0 || c.None), fmt.Sprintf("%d out by permit at once at the most, first at %.3f s", most, at)
}

// drains looks at each instant for how many slot caches are drained as any router has it.
func drains(c Claim, events []Event) (bool, string) {
	most, at := atOnce(spans(events, func(e Event) (string, bool, bool) {
		cache, what := saidOfCache(e.Text)
		return cache, what == "drained", what == "drained no more"
	}))
	return most <= c.Most && (most > 0 || c.None), fmt.Sprintf("%d slot caches drained at once at the most, first at %.3f s", most, at)
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
				routers, _, _ := strings.Cut(e.Text, ";") // what is seen of slot caches passes by itself
				if routers != text {
					since, text = e.At-e.Sure, routers
				}
			}
		}
		said, states, _ := strings.Cut(text, " ")
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

// replaced looks at the commands that a release has run: those that fit the text ran for these routers, each once.
func replaced(c Claim, events []Event) (bool, string) {
	is := regexp.MustCompile(c.Text)
	ran := map[int]int{}
	for _, e := range events {
		if rest, ok := strings.CutPrefix(e.Text, commandRuns); ok && e.From == "drill" && is.MatchString(rest) {
			ran[e.Router-1]++
		}
	}
	for n, times := range ran {
		if times > 1 {
			return false, fmt.Sprintf("it ran %d times for router %d", times, n)
		}
		if !slices.Contains(c.Routers, n) {
			return false, fmt.Sprintf("it ran for router %d", n)
		}
	}
	for _, n := range c.Routers {
		if ran[n] == 0 {
			return false, fmt.Sprintf("it never ran for router %d", n)
		}
	}
	return true, fmt.Sprintf("ran for %d routers", len(ran))
}

// told looks for what those that drive the release have written.
func told(f *File, c Claim, events []Event) (bool, string) {
	is, to := regexp.MustCompile(c.Text), (f.calm() + c.Within.D()).Seconds()
	last := ""
	for _, e := range events {
		if e.From != "release" {
			continue
		}
		if last = e.Text; is.MatchString(e.Text) && e.At-e.Sure <= to {
			return true, fmt.Sprintf("at %.3f s", e.At)
		}
	}
	return false, "not told; the last was: " + last
}
