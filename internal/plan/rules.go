package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hoptiller"
)

// rules holds the whole against what the platform and the clients allow.
func (c *checker) rules() {
	c.poolRules()
	for _, p := range c.plan.Policies {
		c.policyRules(p)
	}
	type seen struct {
		at   place
		rule string
	}
	told := map[seen]bool{}
	for _, r := range c.routes {
		for _, class := range c.classesOf(r) {
			c.classRules(r, class, func(at place, rule, what, accept string) {
				if key := (seen{at, rule}); !told[key] { // a policy that many routes share is told of once
					told[key] = true
					c.find(at, rule, what, accept)
				}
			})
		}
	}
	c.routeRules()
	c.limitRules()
}

func (c *checker) classesOf(r *Route) []int {
	if len(r.Classes) > 0 || r.pos["class"] != (place{}) {
		return r.Classes
	}
	all := make([]int, len(c.platform.Classes))
	for i := range all {
		all[i] = i
	}
	return all
}

// poolRules finds pools that are always empty, and fallbacks that lead nowhere.
func (c *checker) poolRules() {
	for _, p := range c.plan.Pools {
		if n := len(p.Addrs); n > 0 && n < p.AtLeast {
			c.find(p.pos.of("at-least"), "empty-pool", fmt.Sprintf("pool %s has %d addresses and counts as empty below %d", p.Name, n, p.AtLeast),
				fmt.Sprintf("at-least up to %d", n))
		}
		if len(p.Kinds) == 1 && p.Kinds[0] == c.platform.Settings.OriginKind {
			c.find(p.pos.of("kind"), "empty-pool", fmt.Sprintf("pool %s has the origin alone, which is in no pool: fetches go there anyway", p.Name), "")
		}
		path := []string{p.Name}
		for at := p; at.Fallback != ""; {
			next := c.plan.Pools[at.Fallback]
			if next == nil {
				break
			}
			if path = append(path, next.Name); next == p {
				c.find(p.pos.of("fallback"), "fallback-cycle", "these pools fall back on one another: "+strings.Join(path, " -> "), "")
				break
			}
			if len(path) > len(c.plan.Pools) {
				break // a cycle that this one only leads to
			}
			at = next
		}
	}
}

// policyRules finds policies that contradict themselves or the settings.
func (c *checker) policyRules(p *Policy) {
	set := &c.platform.Settings
	if set.MaxAttempts > 0 && p.Attempts > set.MaxAttempts {
		c.find(p.pos.of("attempts"), "attempts", fmt.Sprintf("%d attempts, and the settings allow %d", p.Attempts, set.MaxAttempts),
			fmt.Sprintf("1 to %d", set.MaxAttempts))
	}
	if p.Copies > 1 && !set.SecondCopies {
		c.find(p.pos.of("copies"), "second-copies", "the settings allow no second copies", "copies 1")
	}
	if never := p.RepeatSaid && p.Repeat == 0; p.Attempts > 1 && never {
		c.find(p.pos.of("attempts"), "contradiction", fmt.Sprintf("%d attempts, of which no further one is ever made, for it is never repeated", p.Attempts), "attempts 1")
	} else if p.BudgetSaid && (never || p.Attempts == 1) {
		c.find(p.pos.of("budget"), "contradiction", "a budget for repeats that are never made", "")
	}
	if p.Queue > 0 && p.Concurrency.Most == 0 {
		c.find(p.pos.of("queue"), "queue", "a queue without a limit to wait for", "concurrency beside it")
	}
}

// classRules holds a route's policy against what a class of request allows.
func (c *checker) classRules(r *Route, number int, find func(at place, rule, what, accept string)) {
	p := r.Policy
	if p == nil || number >= len(c.platform.Settings.Classes) {
		return
	}
	class, name := &c.platform.Settings.Classes[number], c.platform.Classes[number]
	patience := class.Deadline
	where := fmt.Sprintf("for %s in route %s", name, r.Name)
	if patience > 0 && p.Timeout > patience {
		find(p.pos.of("timeout"), "client-patience", fmt.Sprintf("a call may take %s, and a client waits %s %s", showTime(p.Timeout), showTime(patience), where),
			"up to "+showTime(patience))
	}
	if aim := class.Aim; aim > 0 && p.QueueFor >= aim {
		find(p.pos.of("queue"), "queue-time", fmt.Sprintf("one may wait %s in the queue, and an answer is due within %s %s", showTime(p.QueueFor), showTime(aim), where),
			"less than "+showTime(aim))
	}
	again := p.Repeat &^ NeverRan // outcomes after which a call that may have run is repeated
	attempts := p.Attempts
	if attempts == 0 {
		attempts = c.platform.Settings.MaxAttempts
	}
	switch class.Effect {
	case hoptiller.AtMostOnce:
		if again != 0 {
			find(p.pos.of("repeat"), "run-once", fmt.Sprintf("%s must never run twice, and may have run after: %s (route %s)", name, outcomeList(again), r.Name),
				"repeat on "+outcomeList(NeverRan)+", or never")
		}
		if p.Copies > 1 {
			find(p.pos.of("copies"), "run-once", fmt.Sprintf("%s must never run twice (route %s)", name, r.Name), "copies 1")
		}
	case hoptiller.Deduplicated:
		last := time.Duration(attempts-1) * p.Timeout // when the last attempt may begin
		if (again != 0 || p.Copies > 1) && class.KeyTTL > 0 && last >= class.KeyTTL {
			find(p.pos.of("timeout"), "repeat-window", fmt.Sprintf("attempt %d may begin %s after the first, and repeats are dropped for %s only %s",
				attempts, showTime(last), showTime(class.KeyTTL), where), fmt.Sprintf("less than %s for %d attempts", showTime(class.KeyTTL/time.Duration(max(1, attempts-1))), attempts))
		}
		if (again != 0 || p.Copies > 1) && r.Pool != nil && c.spreads(r.Pool, class.Group) {
			find(r.pos.of("pool"), "repeat-group", fmt.Sprintf("pool %s goes beyond the one %s within which repeats are dropped %s",
				r.Pool.Name, map[hoptiller.Group]string{hoptiller.GroupZone: "zone", hoptiller.GroupCell: "cell"}[class.Group], where),
				"a pool of one such group, or no repeat after a call that may have run")
		}
	}
	if again.Has(hoptiller.Timeout) && patience > 0 && p.Attempts > 1 && time.Duration(p.Attempts)*p.Timeout > patience {
		find(p.pos.of("timeout"), "total-time", fmt.Sprintf("%d attempts of %s are more than the %s that a client waits %s",
			p.Attempts, showTime(p.Timeout), showTime(patience), where), "up to "+showTime(patience/time.Duration(p.Attempts)))
	}
}

// spreads tells whether a pool, or what stands in for it, states more than one group within which repeats are known.
func (c *checker) spreads(p *Pool, g hoptiller.Group) bool {
	groups := map[int]bool{}
	for n := 0; p != nil && n <= len(c.plan.Pools); n++ {
		of := p.Zones
		if g == hoptiller.GroupCell {
			of = p.Cells
		}
		for _, x := range of {
			groups[x] = true
		}
		p = c.plan.Pools[p.Fallback]
	}
	return g != hoptiller.GroupAll && len(groups) > 1
}

// routeRules finds routes that no request gets to, and those of which none goes before the other.
func (c *checker) routeRules() {
	all := c.plan.rules()
	if len(all) > mostRules {
		c.find(c.routes[0].pos[""], "routes", fmt.Sprintf("the routes make %d combinations of key and client", len(all)), fmt.Sprintf("up to %d", mostRules))
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
				by := (*Route)(nil)
				for j := range all {
					b := &all[j]
					if b.route == a.route || !b.covers(a, class, tenant) {
						continue
					}
					switch order := b.compare(a); {
					case order > 0:
						by = b.route
					case order == 0 && !tied[[2]*Route{b.route, a.route}]:
						tied[[2]*Route{a.route, b.route}] = true
					}
				}
				if by == nil {
					reached[a.route] = true
				} else {
					blocker[a.route] = by
				}
			}
		}
	}
	for pair := range tied {
		later, other := pair[0], pair[1]
		if other.pos[""].pos.Compare(later.pos[""].pos) > 0 {
			later, other = other, later
		}
		c.find(later.pos[""], "precedence", fmt.Sprintf("routes %s and %s fit the same requests, and neither goes before the other", other.Name, later.Name),
			"a rank for one of them")
	}
	for _, r := range c.routes {
		if by := blocker[r]; !reached[r] && by != nil {
			c.find(r.pos[""], "unreachable", fmt.Sprintf("no request gets to route %s: all that fit it go to route %s or others before it", r.Name, by.Name), "")
		}
	}
}

// limitRules holds the limits against the descriptors and the memory that there are.
func (c *checker) limitRules() {
	l, p := &c.plan.Limits, c.platform
	if spare, sum := p.Sockets-24, l.Clients+l.Providers+l.Origin; p.Sockets > 0 && sum > spare {
		most, name := 0, ""
		for _, x := range []struct {
			name string
			n    int
		}{{"clients", l.Clients}, {"providers", l.Providers}, {"origin", l.Origin}} {
			if x.n > most {
				most, name = x.n, x.name
			}
		}
		c.find(l.pos.of(name), "descriptors", fmt.Sprintf("the connections are %d, and of %d descriptors 24 are for the program itself", sum, p.Sockets),
			fmt.Sprintf("up to %d in all", spare))
	}
	if most := 8 * int(p.MemoryMB); most > 0 && l.Clients > most {
		c.find(l.pos.of("clients"), "memory", fmt.Sprintf("%d client connections do not fit %d MB", l.Clients, p.MemoryMB), fmt.Sprintf("up to %d", most))
	}
	if most := 2 * int(p.MemoryMB); most > 0 && l.Open > most {
		c.find(l.pos.of("open"), "memory", fmt.Sprintf("%d open invocations do not fit %d MB", l.Open, p.MemoryMB), fmt.Sprintf("up to %d", most))
	}
	if l.Queue > 0 && l.Concurrency.Most == 0 {
		c.find(l.pos.of("queue"), "queue", "a queue without a limit to wait for", "concurrency beside it")
	}
	for i := range p.Settings.Classes {
		if aim := p.Settings.Classes[i].Aim; aim > 0 && l.QueueFor >= aim {
			c.find(l.pos.of("queue"), "queue-time", fmt.Sprintf("one may wait %s in the queue, and an answer to %s is due within %s",
				showTime(l.QueueFor), p.Classes[i], showTime(aim)), "less than "+showTime(aim))
			break
		}
	}
	taken := map[string]string{}
	for _, name := range sorted(c.plan.Listeners) {
		x := c.plan.Listeners[name]
		if other := taken[x.Addr]; other != "" && !strings.HasSuffix(x.Addr, ":0") {
			c.find(x.pos.of("address"), "redefined", fmt.Sprintf("listener %s has this address already", other), "")
		}
		taken[x.Addr] = name
	}
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
