package drill

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/lab/scoring"
)

// Verdict is the result of checking a claim: whether it holds and why.
type Verdict struct {
	Claim  Claim
	Holds  bool
	Reason string
}

// serviceSeconds is the number of consecutive seconds that must reach the claimed service.
const serviceSeconds = 5

// checkClaims checks all claims of a drill against its events and its result.
func checkClaims(f *File, events []Event, result *scoring.Result) (all []Verdict) {
	for _, c := range f.Claims {
		reason := ""
		var holds bool
		switch c.Kind {
		case "rules":
			holds = result.ViolationCount == 0
			reason = fmt.Sprintf("%d rules broken", result.ViolationCount)
			if !holds && len(result.Violations) > 0 {
				reason += ", first " + result.Violations[0].String()
			}
		case "unserved":
			share := result.Unserved.RouterShare()
			holds, reason = share <= c.MaxShare, fmt.Sprintf("routers did not serve %.3f of the worth: %v", share, &result.Unserved)
		case "unexplained":
			holds = result.Unexplained <= c.MaxShare
			reason = fmt.Sprintf("%.4f of the requests taken are refused, failed, lost or late with no cause but their router",
				result.Unexplained)
		case "stands":
			holds, reason = result.Collapses == 0, fmt.Sprintf("%d cold cache servers are pushed over", result.Collapses)
		case "alive":
			holds, reason = checkAlive(events)
		case "never":
			holds, reason = checkNeverLogged(c, events)
		case "permits":
			holds, reason = checkPermits(c, events)
		case "drains":
			holds, reason = checkDrains(c, events)
		case "replaced":
			holds, reason = checkReplaced(c, events)
		case "told":
			holds, reason = checkReleaseOutput(f, c, events)
		case "said":
			holds, reason = checkEachReported(f, c, "router", events)
		case "viewed":
			holds, reason = checkEachReported(f, c, "view", events)
		case "view":
			holds, reason = checkViews(f, c, events)
		case "ready":
			holds, reason = checkReady(f, c, events)
		case "service":
			holds, reason = checkService(f, c, result.Series.Service)
		}
		all = append(all, Verdict{c, holds, reason})
	}
	return all
}

// appliesTo reports whether the claim is about a router, which counts from 1 as in events.
func (c *Claim) appliesTo(router int) bool {
	return router > 0 && (len(c.Routers) == 0 || slices.Contains(c.Routers, router-1))
}

// checkAlive checks that no process has ended without a step or fault that ends it.
func checkAlive(events []Event) (bool, string) {
	for _, e := range events {
		if e.Source == "watch" && strings.HasPrefix(e.Text, unexpectedEndPrefix) {
			return false, fmt.Sprintf("router %d at %.3f s: %s", e.Router-1, e.At, e.Text)
		}
	}
	return true, "no process ended by itself"
}

// Patterns of the log lines with which a router begins and ends its time out of service by permit.
const (
	permitHeldPattern  = `msg="permit held"`
	permitEndedPattern = `msg="permit (given back|lost, serving again)"`
)

// cacheLine matches what a router logs about a slot cache: that the cache is drained, that this router sends no new requests
// to it from now on, or that it is no longer drained.
var cacheLine = regexp.MustCompile(`msg="slot cache (\S+) (drained|gets nothing new|drained no more)"`)

// parseCacheLine returns the cache and the change that a log line reports. Both are empty if the line reports none.
func parseCacheLine(line string) (cache, what string) {
	if m := cacheLine.FindStringSubmatch(line); m != nil {
		return m[1], m[2]
	}
	return "", ""
}

// outage is a time for which something was out of service according to one router, in seconds after the warm-up.
type outage struct {
	what     string
	from, to float64
}

// findOutages returns the outages that the events report. The function classify returns what is out of service and whether a
// line begins or ends its outage. An outage begins with the line that reports it. It ends with the line that reports its end,
// or with the end of the process; if a release replaces the process, when the new one is seen ready; if the process is paused,
// when the longest lease has expired since. Where times are uncertain the outage begins as late and ends as early as the
// observations allow, in favour of the claim.
func findOutages(events []Event, classify func(e Event) (what string, begins, ends bool)) (all []outage) {
	type key struct {
		router int
		what   string
	}
	begun := map[key]float64{}
	endOutage := func(k key, at float64) {
		if from, out := begun[k]; out && at > from {
			all = append(all, outage{k.what, from, at})
		}
		delete(begun, k)
	}
	endAll := func(router int, at float64) {
		for k := range begun {
			if k.router == router {
				endOutage(k, at)
			}
		}
	}
	replaced := map[int]bool{}       // routers that a release replaces: out of service until they are ready again
	leaseExpiry := map[int]float64{} // by paused router: when its leases expire
	last := 0.0
	for _, e := range events {
		last = max(last, e.At)
		for router, at := range leaseExpiry {
			if e.At >= at {
				endAll(router, at)
				delete(leaseExpiry, router)
			}
		}
		switch {
		case e.Source == "router":
			what, begins, ends := classify(e)
			if begins {
				begun[key{e.Router, what}] = e.At + e.Uncertainty
			} else if ends {
				delete(leaseExpiry, e.Router)
				endOutage(key{e.Router, what}, e.At-e.Uncertainty)
			}
		case e.Source == "drill" && strings.HasPrefix(e.Text, commandPrefix):
			replaced[e.Router] = true
		case e.Source == "watch" && e.Text == "ready" && replaced[e.Router]:
			delete(replaced, e.Router)
			endAll(e.Router, e.At-e.Uncertainty)
		case e.Source == "drill" && e.Text == "term: true" && replaced[e.Router]:
		case e.Source == "drill" && (e.Text == "kill: true" || e.Text == "term: true"):
			endAll(e.Router, e.At-e.Uncertainty)
		case e.Source == "drill" && e.Text == "paused: true":
			leaseExpiry[e.Router] = e.At + permit.MaxLease.Seconds()
		}
	}
	for k := range begun {
		endOutage(k, last)
	}
	return all
}

// maxAtOnce returns the largest number of things that are out of service at one instant, and the first such instant in
// seconds. A thing that several routers report counts once.
func maxAtOnce(all []outage) (count int, at float64) {
	for _, s := range all { // the number only grows when an outage begins
		out := map[string]bool{}
		for _, o := range all {
			if o.from <= s.from && s.from < o.to {
				out[o.what] = true
			}
		}
		if len(out) > count || len(out) == count && s.from < at {
			count, at = len(out), s.from
		}
	}
	return count, at
}

// checkPermits checks how many routers are out of service by permit at any instant.
func checkPermits(c Claim, events []Event) (bool, string) {
	held, ended := regexp.MustCompile(permitHeldPattern), regexp.MustCompile(permitEndedPattern)
	most, at := maxAtOnce(findOutages(events, func(e Event) (string, bool, bool) {
		return strconv.Itoa(e.Router), held.MatchString(e.Text), ended.MatchString(e.Text)
	}))
	return most <= c.MaxAtOnce && (most > 0 || c.AllowNone),
		fmt.Sprintf("%d out by permit at once at the most, first at %.3f s", most, at)
}

// checkDrains checks how many slot caches are drained at any instant according to any router.
func checkDrains(c Claim, events []Event) (bool, string) {
	most, at := maxAtOnce(findOutages(events, func(e Event) (string, bool, bool) {
		cache, what := parseCacheLine(e.Text)
		return cache, what == "drained", what == "drained no more"
	}))
	return most <= c.MaxAtOnce && (most > 0 || c.AllowNone),
		fmt.Sprintf("%d slot caches drained at once at the most, first at %.3f s", most, at)
}

// checkNeverLogged checks that no router has logged a line that matches the pattern.
func checkNeverLogged(c Claim, events []Event) (bool, string) {
	pattern := regexp.MustCompile(c.Pattern)
	for _, e := range events {
		if e.Source == "router" && c.appliesTo(e.Router) && pattern.MatchString(e.Text) {
			return false, fmt.Sprintf("router %d at %.3f s: %s", e.Router-1, e.At, e.Text)
		}
	}
	return true, "no line fits"
}

// checkEachReported checks that within the time limit each router has an event from the source that matches the pattern. Events
// before the first step or fault don't count.
func checkEachReported(f *File, c Claim, source string, events []Event) (bool, string) {
	pattern := regexp.MustCompile(c.Pattern)
	from, to := f.firstFaultStart().Seconds(), (f.lastFaultEnd() + c.Within.Std()).Seconds()
	last := 0.0
	for i := range f.Day.Routers {
		if !c.appliesTo(i+1) || len(c.Routers) == 0 && !f.expectedAlive(i) {
			continue
		}
		at := slices.IndexFunc(events, func(e Event) bool {
			return e.Source == source && e.Router == i+1 && e.At+e.Uncertainty >= from && pattern.MatchString(e.Text)
		})
		if at < 0 || events[at].At-events[at].Uncertainty > to {
			return false, fmt.Sprintf("router %d said nothing of it by %.1f s", i, to)
		}
		last = max(last, events[at].At)
	}
	return true, fmt.Sprintf("the last at %.3f s", last)
}

// checkReady checks that routers become ready within the time limit and stay ready. A router is seen ready some time after it
// became ready, so the check uses the earliest time that fits the observation. It ignores events after the end of the day,
// when the drill itself ends the processes.
func checkReady(f *File, c Claim, events []Event) (bool, string) {
	to, last := (f.lastFaultEnd() + c.Within.Std()).Seconds(), 0.0
	for i := range f.Day.Routers {
		if !c.appliesTo(i + 1) {
			continue
		}
		since, isReady := 0.0, false
		for _, e := range events {
			if e.Source == "watch" && e.Router == i+1 && e.At <= f.Day.Length.Seconds() && !strings.HasPrefix(e.Text, unexpectedEndPrefix) {
				since, isReady = e.At-e.Uncertainty, e.Text == "ready"
			}
		}
		if !isReady {
			return false, fmt.Sprintf("router %d is not ready at the end, since %.1f s", i, since)
		}
		if since > to {
			return false, fmt.Sprintf("router %d is ready from %.1f s on, not from %.1f s", i, since, to)
		}
		last = max(last, since)
	}
	return true, fmt.Sprintf("the last from %.1f s on, %.1f s after all was calm", last, max(0, last-f.lastFaultEnd().Seconds()))
}

// checkViews checks that from a time within the limit all running routers report the same view, with each router in its
// expected state. A view counts from the earliest time at which it may have begun until another one is seen.
func checkViews(f *File, c Claim, events []Event) (bool, string) {
	var states []string
	for i := range f.Day.Routers {
		states = append(states, f.expectedState(i))
	}
	for range f.AbsentRouters {
		states = append(states, "unknown")
	}
	want := strings.Join(states, " ")
	to, last := (f.lastFaultEnd() + c.Within.Std()).Seconds(), 0.0
	commonSum := ""
	for i := range f.Day.Routers {
		if !c.appliesTo(i+1) || !f.expectedAlive(i) {
			continue
		}
		since, text := 0.0, "nothing"
		for _, e := range events {
			if e.Source == "view" && e.Router == i+1 && e.At <= f.Day.Length.Seconds() {
				routers, _, _ := strings.Cut(e.Text, ";") // observations of slot caches expire by themselves
				if routers != text {
					since, text = e.At-e.Uncertainty, routers
				}
			}
		}
		checksum, routerStates, _ := strings.Cut(text, " ")
		if commonSum == "" {
			commonSum = checksum
		}
		switch {
		case routerStates != want:
			return false, fmt.Sprintf("router %d says at the end: %s, not %s", i, routerStates, want)
		case checksum != commonSum:
			return false, fmt.Sprintf("router %d has the sum %s at the end, another one %s", i, checksum, commonSum)
		case since > to:
			return false, fmt.Sprintf("router %d says so from %.1f s on, not from %.1f s", i, since, to)
		}
		last = max(last, since)
	}
	return true, fmt.Sprintf("the last from %.1f s on, %.1f s after all was calm", last, max(0, last-f.lastFaultEnd().Seconds()))
}

// checkService checks that five consecutive seconds reach the claimed service and that the first of them begins within the limit.
func checkService(f *File, c Claim, seconds []float64) (bool, string) {
	calm := f.lastFaultEnd().Seconds()
	from := int(calm + 0.999)
	best, consecutive := 0.0, 0
	for i := from; i < len(seconds); i++ {
		best = max(best, seconds[i])
		if consecutive++; seconds[i] < c.MinService {
			consecutive = 0
		}
		if begun := float64(i + 1 - serviceSeconds); consecutive == serviceSeconds {
			return begun <= calm+c.Within.Seconds(),
				fmt.Sprintf("five seconds of %.2f or more from %.0f s on, %.1f s after all was calm", c.MinService, begun, begun-calm)
		}
	}
	return false, fmt.Sprintf("no five seconds of %.2f in a row after %.1f s, the best has %.3f; by second: %.2f", c.MinService, calm, best, seconds)
}

// checkReplaced checks that the commands of a release that match the pattern ran once for each of the claimed routers and for
// no other one.
func checkReplaced(c Claim, events []Event) (bool, string) {
	pattern := regexp.MustCompile(c.Pattern)
	runCounts := map[int]int{}
	for _, e := range events {
		if rest, ok := strings.CutPrefix(e.Text, commandPrefix); ok && e.Source == "drill" && pattern.MatchString(rest) {
			runCounts[e.Router-1]++
		}
	}
	for n, times := range runCounts {
		if times > 1 {
			return false, fmt.Sprintf("it ran %d times for router %d", times, n)
		}
		if !slices.Contains(c.Routers, n) {
			return false, fmt.Sprintf("it ran for router %d", n)
		}
	}
	for _, n := range c.Routers {
		if runCounts[n] == 0 {
			return false, fmt.Sprintf("it never ran for router %d", n)
		}
	}
	return true, fmt.Sprintf("ran for %d routers", len(runCounts))
}

// checkReleaseOutput checks that a process that drives the release has written a matching line within the time limit.
func checkReleaseOutput(f *File, c Claim, events []Event) (bool, string) {
	pattern, to := regexp.MustCompile(c.Pattern), (f.lastFaultEnd() + c.Within.Std()).Seconds()
	last := ""
	for _, e := range events {
		if e.Source != "release" {
			continue
		}
		if last = e.Text; pattern.MatchString(e.Text) && e.At-e.Uncertainty <= to {
			return true, fmt.Sprintf("at %.3f s", e.At)
		}
	}
	return false, "not told; the last was: " + last
}
