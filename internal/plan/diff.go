package plan

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"hoptiller/internal/unit"
)

// Field is one figure of a thing, as the language writes it.
type Field struct{ Name, Value string }

// Change is one thing that means something else in another plan.
type Change struct {
	Thing  string  // "route desk" and the like
	Before []Field // the figures that differ; none where the thing is new
	After  []Field // the same of the other plan; none where it is gone
}

// String says a change in a line for each figure.
func (c Change) String() string {
	var b strings.Builder
	switch {
	case len(c.Before) == 0:
		fmt.Fprintf(&b, "+ %s\n", c.Thing)
	case len(c.After) == 0:
		fmt.Fprintf(&b, "- %s\n", c.Thing)
	default:
		fmt.Fprintf(&b, "~ %s\n", c.Thing)
	}
	for i := range max(len(c.Before), len(c.After)) {
		switch {
		case len(c.Before) == 0:
			fmt.Fprintf(&b, "    %s: %s\n", c.After[i].Name, c.After[i].Value)
		case len(c.After) == 0:
			fmt.Fprintf(&b, "    %s: %s\n", c.Before[i].Name, c.Before[i].Value)
		default:
			fmt.Fprintf(&b, "    %s: %s -> %s\n", c.Before[i].Name, c.Before[i].Value, c.After[i].Value)
		}
	}
	return b.String()
}

// Diff tells what means something else in b than in a: routes with all that their
// requests get, the pools and policies that did it, listeners, limits and the log.
// How it is written (constants, includes, order, comments, names of policies) means
// nothing. It is empty exactly where both tables, listeners, limits and logs are the
// same.
func Diff(a, b *Plan) []Change {
	changes := map[string]Change{}
	compare := func(thing string, x, y []Field) (differs bool) {
		c := Change{Thing: thing}
		for i := range x {
			if x[i] != y[i] {
				c.Before, c.After = append(c.Before, x[i]), append(c.After, y[i])
			}
		}
		if len(c.Before) > 0 {
			changes[thing] = c
		}
		return len(c.Before) > 0
	}
	was, is := a.things(), b.things()
	for name, x := range was {
		if y, both := is[name]; both {
			compare(name, x, y)
		} else {
			changes[name] = Change{name, x, nil}
		}
	}
	for name, y := range is {
		if _, both := was[name]; !both {
			changes[name] = Change{name, nil, y}
		}
	}
	before, after := a.byName(), b.byName()
	for name, r := range before {
		s := after[name]
		if s == nil {
			changes["route "+name] = Change{"route " + name, a.Route(r), nil}
			continue
		}
		x, y := a.Route(r), b.Route(s)
		for i := range x { // what is stated in another way, and does the same, has not changed
			if a.effect(r, x[i].Name) == b.effect(s, x[i].Name) {
				y[i] = x[i]
			}
		}
		if !compare("route "+name, x, y) {
			continue
		}
		differs := func(from []Field) bool {
			return slices.ContainsFunc(from, func(f Field) bool {
				return slices.ContainsFunc(changes["route "+name].Before, func(c Field) bool { return c.Name == f.Name })
			})
		}
		if r.Pool != nil && s.Pool != nil && r.Pool.Name == s.Pool.Name && differs(a.poolFields(nil)) {
			compare("pool "+r.Pool.Name, a.poolFields(r.Pool), b.poolFields(s.Pool))
		}
		if r.Policy != nil && s.Policy != nil && r.Policy.Name == s.Policy.Name && differs(a.policyFields(nil, -1)) {
			compare("policy "+r.Policy.Name, a.policyFields(r.Policy, -1), b.policyFields(s.Policy, -1))
		}
	}
	for name, s := range after {
		if before[name] == nil {
			changes["route "+name] = Change{"route " + name, nil, b.Route(s)}
		}
	}
	var list []Change
	for _, name := range sorted(changes) {
		list = append(list, changes[name])
	}
	return list
}

func (p *Plan) byName() map[string]*Route {
	all := map[string]*Route{}
	for _, r := range p.Routes {
		all[r.Name] = r
	}
	return all
}

// effect is what a figure of a route comes to for all its classes, with what the settings fill in.
func (p *Plan) effect(r *Route, figure string) string {
	var b strings.Builder
	for class := range p.platform.Classes {
		if len(r.Classes) > 0 && !slices.Contains(r.Classes, class) {
			continue
		}
		for _, f := range p.policyFields(r.Policy, class) {
			if f.Name == figure {
				fmt.Fprintf(&b, "%d %s; ", class, f.Value)
			}
		}
	}
	for _, f := range append(p.matchFields(r), p.poolFields(r.Pool)...) {
		if f.Name == figure {
			b.WriteString(f.Value)
		}
	}
	return b.String()
}

// things are the things of a plan beside routes, by name, each with the same figures in the same order.
func (p *Plan) things() map[string][]Field {
	all := map[string][]Field{
		"limits": {{"clients", amount(p.Limits.Clients)}, {"open", amount(p.Limits.Open)},
			{"providers", amount(p.Limits.Providers)}, {"origin", amount(p.Limits.Origin)}, {"places", strconv.Itoa(cmp.Or(p.Limits.Places, 14))},
			{"concurrency", concurrencyText(p.Limits.Concurrency)}, {"queue", queueText(p.Limits.Queue, p.Limits.QueueFor)}},
		"log": {{"level", p.Log.Level}, {"format", p.Log.Format}, {"rate", unit.Format(p.Log.Rate, unit.Rate)}},
	}
	f := p.Fleet
	all["fleet"] = []Field{{"view", cmp.Or(f.View, "as the settings have it")}, {"out", f.Out.text("1")}, {"out-zone", f.OutZone.text("any")},
		{"caches", f.Caches.text("1")}, {"caches-zone", f.CachesZone.text("any")}}
	for name, l := range p.Listeners {
		all["listener "+name] = []Field{{"address", l.Addr}}
	}
	return all
}

// amount writes a count of which 0 is none stated.
func amount(n int) string {
	if n == 0 {
		return "as the platform says"
	}
	return strconv.Itoa(n)
}

func names(numbers []int, known []string) string {
	if len(numbers) == 0 {
		return "any"
	}
	var s []string
	for _, n := range numbers {
		if n < len(known) {
			s = append(s, known[n])
		} else {
			s = append(s, strconv.Itoa(n))
		}
	}
	return strings.Join(s, " ")
}

func texts[T any](list []T, text func(T) string) string {
	if len(list) == 0 {
		return "any"
	}
	var s []string
	for _, x := range list {
		s = append(s, text(x))
	}
	return strings.Join(s, " ")
}

// Route gives a route's figures, with those of the pool and the policy that its requests get.
func (p *Plan) Route(r *Route) []Field {
	return slices.Concat(p.matchFields(r), p.poolFields(r.Pool), p.policyFields(r.Policy, -1))
}

// matchFields tells which requests a route is for.
func (p *Plan) matchFields(r *Route) []Field {
	return []Field{
		{"class", names(r.Classes, p.platform.Classes)}, {"key", texts(r.Keys, strconv.Quote)},
		{"tenant", texts(r.Tenants, strconv.Quote)}, {"client", texts(r.Clients, netip.Prefix.String)}, {"rank", strconv.Itoa(r.Rank)},
	}
}

func (p *Plan) poolFields(pool *Pool) []Field {
	// A chain of fallbacks is told whole: what a pool does when it is empty is a part of what it does.
	var zones, kinds, cells, addrs, least []string
	for n := 0; pool != nil && n <= len(p.Pools); n++ {
		zones, kinds = append(zones, names(pool.Zones, p.platform.Zones)), append(kinds, names(pool.Kinds, p.platform.Kinds))
		cells, addrs = append(cells, names(pool.Cells, nil)), append(addrs, texts(pool.Addrs, strings.Clone))
		least = append(least, strconv.Itoa(pool.AtLeast))
		pool = p.Pools[pool.Fallback]
	}
	if len(zones) == 0 {
		return []Field{{"zone", "any"}, {"kind", "any"}, {"cell", "any"}, {"address", "any"}, {"at-least", "1"}}
	}
	join := func(s []string) string { return strings.Join(s, ", else ") }
	return []Field{{"zone", join(zones)}, {"kind", join(kinds)}, {"cell", join(cells)}, {"address", join(addrs)}, {"at-least", join(least)}}
}

// policyFields gives a policy's figures; for a class, with what the settings fill in.
func (p *Plan) policyFields(policy *Policy, class int) []Field {
	var x Policy
	if policy != nil {
		x = *policy
	}
	if class >= 0 {
		x = p.effective(policy, class)
	}
	or := func(stated bool, value, otherwise string) string {
		if stated {
			return value
		}
		return otherwise
	}
	const open = "as the module decides"
	repeat := or(x.RepeatSaid, or(x.Repeat == 0, "never", "on "+outcomeList(x.Repeat)), open)
	return []Field{
		{"timeout", or(x.Timeout > 0, showTime(x.Timeout), open)},
		{"attempts", or(x.Attempts > 0, strconv.Itoa(x.Attempts), open)},
		{"repeat", repeat},
		{"copies", or(x.Copies > 0, strconv.Itoa(x.Copies), open)},
		{"budget", or(x.BudgetSaid, unit.Format(x.Budget, unit.Part)+" least "+unit.Format(x.BudgetLeast, unit.Rate), open)},
		{"concurrency", concurrencyText(x.Concurrency)},
		{"queue", queueText(x.Queue, x.QueueFor)},
		{"rate", or(x.Rate > 0, unit.Format(x.Rate, unit.Rate)+" burst "+strconv.FormatFloat(x.Burst, 'g', -1, 64), "no limit")},
		{"priority", strconv.Itoa(x.Priority)},
	}
}

func concurrencyText(c Concurrency) string {
	switch {
	case c.Most == 0:
		return "no limit"
	case c.Adaptive:
		return fmt.Sprintf("adaptive %d %d", c.Least, c.Most)
	}
	return strconv.Itoa(c.Most)
}

func queueText(n int, longest time.Duration) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprintf("%d for %s", n, showTime(longest))
}

// Explain tells what an invocation gets, and why: the entry's figures, and of each
// route that does not fit, or goes behind the one that does, the reason.
func (p *Plan) Explain(class int, key, tenant string, client netip.Addr) (e *Entry, fields []Field, why []string) {
	e = p.table.Lookup(class, []byte(key), []byte(tenant), client)
	all := p.rules()
	slices.SortStableFunc(all, func(a, b rule) int { return b.compare(&a) })
	var taken *rule
	for i := range all {
		r := &all[i]
		name := "route " + r.route.Name
		switch {
		case len(r.route.Classes) > 0 && !slices.Contains(r.route.Classes, class):
			why = append(why, name+": another class")
		case !strings.HasPrefix(key, r.key):
			why = append(why, fmt.Sprintf("%s: the key does not begin with %q", name, r.key))
		case r.client.IsValid() && !r.client.Contains(client):
			why = append(why, fmt.Sprintf("%s: the client is not in %v", name, r.client))
		case len(r.route.Tenants) > 0 && !slices.Contains(r.route.Tenants, tenant):
			why = append(why, name+": another tenant")
		case taken == nil:
			taken = r
			why = append(why, name+": taken")
		case taken.route == r.route:
		default:
			why = append(why, fmt.Sprintf("%s: fits, but goes behind route %s", name, taken.route.Name))
		}
	}
	if taken == nil {
		why = append(why, "no route fits: the settings alone hold")
	}
	policy := (*Policy)(nil)
	if e.Route != nil {
		policy = e.Route.Policy
	}
	return e, append(p.poolFields(e.Pool), p.policyFields(policy, class)...), why
}
