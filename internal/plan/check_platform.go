package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hoptiller"
)

// checkAgainstPlatform checks the complete plan against what the platform and the clients allow.
func (c *checker) checkAgainstPlatform() {
	c.checkPools()
	for _, p := range c.plan.Policies {
		c.checkPolicy(p)
	}
	type findingKey struct {
		loc  location
		rule string
	}
	reported := map[findingKey]bool{}
	for _, r := range c.routes {
		for _, class := range c.classesOf(r) {
			c.checkClass(r, class, func(loc location, rule, what, accept string) {
				// A finding about a policy that many routes share is reported once.
				if key := (findingKey{loc, rule}); !reported[key] {
					reported[key] = true
					c.addFinding(loc, rule, what, accept)
				}
			})
		}
	}
	c.checkRoutes()
	c.checkLimits()
}

func (c *checker) classesOf(r *Route) []int {
	if len(r.Classes) > 0 || r.locations["class"] != (location{}) {
		return r.Classes
	}
	all := make([]int, len(c.platform.Classes))
	for i := range all {
		all[i] = i
	}
	return all
}

// checkPools finds pools that are always empty, and cycles of fallbacks.
func (c *checker) checkPools() {
	for _, p := range c.plan.Pools {
		if n := len(p.Addrs); n > 0 && n < p.AtLeast {
			c.addFinding(p.locations.lookup("at-least"), "empty-pool",
				fmt.Sprintf("pool %s has %d addresses and counts as empty below %d", p.Name, n, p.AtLeast),
				fmt.Sprintf("at-least up to %d", n))
		}
		if len(p.Kinds) == 1 && p.Kinds[0] == c.platform.Settings.OriginKind {
			c.addFinding(p.locations.lookup("kind"), "empty-pool",
				fmt.Sprintf("pool %s states only the origin, which belongs to no pool: fetches go there anyway", p.Name), "")
		}
		path := []string{p.Name}
		for current := p; current.Fallback != ""; {
			next := c.plan.Pools[current.Fallback]
			if next == nil {
				break
			}
			if path = append(path, next.Name); next == p {
				c.addFinding(p.locations.lookup("fallback"), "fallback-cycle",
					"these pools fall back on one another: "+strings.Join(path, " -> "), "")
				break
			}
			if len(path) > len(c.plan.Pools) {
				break // a cycle that this pool leads to without being part of it
			}
			current = next
		}
	}
}

// checkPolicy finds contradictions within a policy and between a policy and the settings.
func (c *checker) checkPolicy(p *Policy) {
	set := &c.platform.Settings
	if set.MaxAttempts > 0 && p.Attempts > set.MaxAttempts {
		c.addFinding(p.locations.lookup("attempts"), "attempts",
			fmt.Sprintf("%d attempts, and the settings allow %d", p.Attempts, set.MaxAttempts),
			fmt.Sprintf("1 to %d", set.MaxAttempts))
	}
	if p.MaxInFlight > 1 && !set.Hedging {
		c.addFinding(p.locations.lookup("copies"), "second-copies", "the settings allow no second copies", "copies 1")
	}
	if never := p.RetryStated && p.RetryOn == 0; p.Attempts > 1 && never {
		c.addFinding(p.locations.lookup("attempts"), "contradiction",
			fmt.Sprintf("%d attempts, but a call is never repeated", p.Attempts), "attempts 1")
	} else if p.BudgetStated && (never || p.Attempts == 1) {
		c.addFinding(p.locations.lookup("budget"), "contradiction", "a budget for repeats that are never made", "")
	}
	if p.MaxQueueLength > 0 && p.Concurrency.Max == 0 {
		c.addFinding(p.locations.lookup("queue"), "queue", "a queue without a limit to wait for", "concurrency beside it")
	}
}

// checkClass checks a route's policy against what a class of requests allows.
func (c *checker) checkClass(r *Route, number int, addFinding func(loc location, rule, what, accept string)) {
	p := r.Policy
	if p == nil || number >= len(c.platform.Settings.Classes) {
		return
	}
	class, name := &c.platform.Settings.Classes[number], c.platform.Classes[number]
	deadline := class.Deadline
	where := fmt.Sprintf("for %s in route %s", name, r.Name)
	if deadline > 0 && p.Timeout > deadline {
		addFinding(p.locations.lookup("timeout"), "client-patience",
			fmt.Sprintf("a call may take %s, and a client waits %s %s", formatTime(p.Timeout), formatTime(deadline), where),
			"up to "+formatTime(deadline))
	}
	if aim := class.Aim; aim > 0 && p.MaxQueueTime >= aim {
		addFinding(p.locations.lookup("queue"), "queue-time",
			fmt.Sprintf("a request may wait %s in the queue, and an answer is due within %s %s",
				formatTime(p.MaxQueueTime), formatTime(aim), where),
			"less than "+formatTime(aim))
	}
	afterRun := p.RetryOn &^ NeverRan // outcomes after which a call is retried although it may have run
	attempts := p.Attempts
	if attempts == 0 {
		attempts = c.platform.Settings.MaxAttempts
	}
	switch class.Effect {
	case hoptiller.AtMostOnce:
		if afterRun != 0 {
			addFinding(p.locations.lookup("repeat"), "run-once",
				fmt.Sprintf("%s must never run twice, and may have run after: %s (route %s)", name, outcomeList(afterRun), r.Name),
				"repeat on "+outcomeList(NeverRan)+", or never")
		}
		if p.MaxInFlight > 1 {
			addFinding(p.locations.lookup("copies"), "run-once",
				fmt.Sprintf("%s must never run twice (route %s)", name, r.Name), "copies 1")
		}
	case hoptiller.Deduplicated:
		last := time.Duration(attempts-1) * p.Timeout // from the start of the first attempt to the latest start of the last
		if (afterRun != 0 || p.MaxInFlight > 1) && class.DedupTTL > 0 && last >= class.DedupTTL {
			addFinding(p.locations.lookup("timeout"), "repeat-window",
				fmt.Sprintf("attempt %d may begin %s after the first, and repeats are dropped for %s only %s",
					attempts, formatTime(last), formatTime(class.DedupTTL), where),
				fmt.Sprintf("less than %s for %d attempts", formatTime(class.DedupTTL/time.Duration(max(1, attempts-1))), attempts))
		}
		if (afterRun != 0 || p.MaxInFlight > 1) && r.Pool != nil && c.spansGroups(r.Pool, class.Group) {
			addFinding(r.locations.lookup("pool"), "repeat-group",
				fmt.Sprintf("pool %s goes beyond the one %s within which repeats are dropped %s",
					r.Pool.Name, map[hoptiller.Group]string{hoptiller.GroupZone: "zone", hoptiller.GroupCell: "cell"}[class.Group], where),
				"a pool of one such group, or no repeat after a call that may have run")
		}
	}
	if afterRun.Contains(hoptiller.Timeout) && deadline > 0 && p.Attempts > 1 && time.Duration(p.Attempts)*p.Timeout > deadline {
		addFinding(p.locations.lookup("timeout"), "total-time",
			fmt.Sprintf("%d attempts of %s are more than the %s that a client waits %s",
				p.Attempts, formatTime(p.Timeout), formatTime(deadline), where), "up to "+formatTime(deadline/time.Duration(p.Attempts)))
	}
}

// spansGroups reports whether a pool, together with its fallbacks, states more than one of the groups within which
// repeats are recognised.
func (c *checker) spansGroups(p *Pool, g hoptiller.Group) bool {
	groups := map[int]bool{}
	for n := 0; p != nil && n <= len(c.plan.Pools); n++ {
		members := p.Zones
		if g == hoptiller.GroupCell {
			members = p.Cells
		}
		for _, x := range members {
			groups[x] = true
		}
		p = c.plan.Pools[p.Fallback]
	}
	return g != hoptiller.GroupAll && len(groups) > 1
}

// checkRoutes finds routes that no request reaches, and pairs of routes that fit the same requests with equal
// precedence.
func (c *checker) checkRoutes() {
	all := c.plan.matchers()
	if len(all) > maxMatchers {
		c.addFinding(c.routes[0].locations[""], "routes",
			fmt.Sprintf("the routes make %d combinations of key and client", len(all)), fmt.Sprintf("up to %d", maxMatchers))
		return
	}
	reached, tied := map[*Route]bool{}, map[[2]*Route]bool{}
	blocker := map[*Route]*Route{}
	for i := range all {
		a := &all[i]
		classes := c.classesOf(a.route)
		tenants := a.route.Tenants
		if len(tenants) == 0 {
			tenants = []string{""}
		}
		for _, class := range classes {
			for _, tenant := range tenants {
				blockedBy := (*Route)(nil)
				for j := range all {
					b := &all[j]
					if b.route == a.route || !b.covers(a, class, tenant) {
						continue
					}
					switch order := b.compare(a); {
					case order > 0:
						blockedBy = b.route
					case order == 0 && !tied[[2]*Route{b.route, a.route}]:
						tied[[2]*Route{a.route, b.route}] = true
					}
				}
				if blockedBy == nil {
					reached[a.route] = true
				} else {
					blocker[a.route] = blockedBy
				}
			}
		}
	}
	for pair := range tied {
		later, other := pair[0], pair[1]
		if other.locations[""].pos.Compare(later.locations[""].pos) > 0 {
			later, other = other, later
		}
		c.addFinding(later.locations[""], "precedence",
			fmt.Sprintf("routes %s and %s fit the same requests, and neither takes precedence", other.Name, later.Name),
			"a rank for one of them")
	}
	for _, r := range c.routes {
		if blockedBy := blocker[r]; !reached[r] && blockedBy != nil {
			c.addFinding(r.locations[""], "unreachable",
				fmt.Sprintf("no request reaches route %s: all that fit it go to route %s or others with precedence",
					r.Name, blockedBy.Name), "")
		}
	}
}

// checkLimits checks the limits against the available descriptors and memory.
func (c *checker) checkLimits() {
	l, p := &c.plan.Limits, c.platform
	if spare, total := p.Sockets-24, l.ClientConns+l.CacheConns+l.OriginConns; p.Sockets > 0 && total > spare {
		maximum, name := 0, ""
		for _, x := range []struct {
			name string
			n    int
		}{{"clients", l.ClientConns}, {"providers", l.CacheConns}, {"origin", l.OriginConns}} {
			if x.n > maximum {
				maximum, name = x.n, x.name
			}
		}
		c.addFinding(l.locations.lookup(name), "descriptors",
			fmt.Sprintf("the connections are %d, and of %d descriptors 24 are for the program itself", total, p.Sockets),
			fmt.Sprintf("up to %d in all", spare))
	}
	if maximum := 8 * int(p.MemoryMB); maximum > 0 && l.ClientConns > maximum {
		c.addFinding(l.locations.lookup("clients"), "memory",
			fmt.Sprintf("%d client connections do not fit %d MB", l.ClientConns, p.MemoryMB), fmt.Sprintf("up to %d", maximum))
	}
	if maximum := 2 * int(p.MemoryMB); maximum > 0 && l.OpenRequests > maximum {
		c.addFinding(l.locations.lookup("open"), "memory",
			fmt.Sprintf("%d open invocations do not fit %d MB", l.OpenRequests, p.MemoryMB), fmt.Sprintf("up to %d", maximum))
	}
	if l.MaxQueueLength > 0 && l.Concurrency.Max == 0 {
		c.addFinding(l.locations.lookup("queue"), "queue", "a queue without a limit to wait for", "concurrency beside it")
	}
	for i := range p.Settings.Classes {
		if aim := p.Settings.Classes[i].Aim; aim > 0 && l.MaxQueueTime >= aim {
			c.addFinding(l.locations.lookup("queue"), "queue-time",
				fmt.Sprintf("a request may wait %s in the queue, and an answer to %s is due within %s",
					formatTime(l.MaxQueueTime), p.Classes[i], formatTime(aim)), "less than "+formatTime(aim))
			break
		}
	}
	usedAddrs := map[string]string{}
	for _, name := range sortedKeys(c.plan.Listeners) {
		x := c.plan.Listeners[name]
		if other := usedAddrs[x.Addr]; other != "" && !strings.HasSuffix(x.Addr, ":0") {
			c.addFinding(x.locations.lookup("address"), "redefined", fmt.Sprintf("listener %s has this address already", other), "")
		}
		usedAddrs[x.Addr] = name
	}
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
