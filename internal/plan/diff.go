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

// Field is one setting of a route, pool, policy or section, as the language writes it.
type Field struct{ Name, Value string }

// Change describes a route, pool, policy, listener or section whose meaning differs between two plans.
type Change struct {
	Subject string  // kind and name, such as "route desk"
	Before  []Field // the fields that differ; none if the first plan lacks the thing
	After   []Field // the same fields of the second plan; none if it lacks the thing
}

// String returns a change with a line for each field.
func (c Change) String() string {
	var b strings.Builder
	switch {
	case len(c.Before) == 0:
		fmt.Fprintf(&b, "+ %s\n", c.Subject)
	case len(c.After) == 0:
		fmt.Fprintf(&b, "- %s\n", c.Subject)
	default:
		fmt.Fprintf(&b, "~ %s\n", c.Subject)
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

// Diff returns the differences in meaning from a to b: routes with everything that their requests get, the pools and
// policies that cause the change, listeners, limits and the log. It ignores how a file is written: constants,
// includes, order, comments, names of policies. The result is empty if and only if tables, listeners, limits and logs
// are the same.
func Diff(a, b *Plan) []Change {
	changes := map[string]Change{}
	compare := func(thing string, x, y []Field) (differs bool) {
		c := Change{Subject: thing}
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
	beforeSections, afterSections := a.sections(), b.sections()
	for name, x := range beforeSections {
		if y, both := afterSections[name]; both {
			compare(name, x, y)
		} else {
			changes[name] = Change{name, x, nil}
		}
	}
	for name, y := range afterSections {
		if _, both := beforeSections[name]; !both {
			changes[name] = Change{name, nil, y}
		}
	}
	before, after := a.routesByName(), b.routesByName()
	for name, r := range before {
		s := after[name]
		if s == nil {
			changes["route "+name] = Change{"route " + name, a.Route(r), nil}
			continue
		}
		x, y := a.Route(r), b.Route(s)
		for i := range x { // a field that is written differently with the same effect has not changed
			if a.effectiveValue(r, x[i].Name) == b.effectiveValue(s, x[i].Name) {
				y[i] = x[i]
			}
		}
		if !compare("route "+name, x, y) {
			continue
		}
		differsInAny := func(fields []Field) bool {
			return slices.ContainsFunc(fields, func(f Field) bool {
				return slices.ContainsFunc(changes["route "+name].Before, func(c Field) bool { return c.Name == f.Name })
			})
		}
		if r.Pool != nil && s.Pool != nil && r.Pool.Name == s.Pool.Name && differsInAny(a.poolFields(nil)) {
			compare("pool "+r.Pool.Name, a.poolFields(r.Pool), b.poolFields(s.Pool))
		}
		if r.Policy != nil && s.Policy != nil && r.Policy.Name == s.Policy.Name && differsInAny(a.policyFields(nil, -1)) {
			compare("policy "+r.Policy.Name, a.policyFields(r.Policy, -1), b.policyFields(s.Policy, -1))
		}
	}
	for name, s := range after {
		if before[name] == nil {
			changes["route "+name] = Change{"route " + name, nil, b.Route(s)}
		}
	}
	var list []Change
	for _, name := range sortedKeys(changes) {
		list = append(list, changes[name])
	}
	return list
}

// routesByName indexes the routes by their names.
func (p *Plan) routesByName() map[string]*Route {
	all := map[string]*Route{}
	for _, r := range p.Routes {
		all[r.Name] = r
	}
	return all
}

// effectiveValue returns the effective value of a route's field for all its classes, including what the settings fill
// in.
func (p *Plan) effectiveValue(r *Route, field string) string {
	var b strings.Builder
	for class := range p.platform.Classes {
		if len(r.Classes) > 0 && !slices.Contains(r.Classes, class) {
			continue
		}
		for _, f := range p.policyFields(r.Policy, class) {
			if f.Name == field {
				fmt.Fprintf(&b, "%d %s; ", class, f.Value)
			}
		}
	}
	for _, f := range append(p.matchFields(r), p.poolFields(r.Pool)...) {
		if f.Name == field {
			b.WriteString(f.Value)
		}
	}
	return b.String()
}

// sections returns the parts of a plan other than routes, by name. Each has the same fields in the same order in
// every plan.
func (p *Plan) sections() map[string][]Field {
	all := map[string][]Field{
		"limits": {{"clients", countText(p.Limits.ClientConns)}, {"open", countText(p.Limits.OpenRequests)},
			{"providers", countText(p.Limits.CacheConns)}, {"origin", countText(p.Limits.OriginConns)},
			{"places", strconv.Itoa(cmp.Or(p.Limits.ConnsPerCore, 14))},
			{"concurrency", concurrencyText(p.Limits.Concurrency)}, {"queue", queueText(p.Limits.MaxQueueLength, p.Limits.MaxQueueTime)}},
		"log": {{"level", p.Log.Level}, {"format", p.Log.Format}, {"rate", unit.Format(p.Log.Rate, unit.Rate)}},
	}
	f := p.Fleet
	all["fleet"] = []Field{{"view", cmp.Or(f.View, "as the settings have it")}, {"out", f.RoutersOut.text("1")},
		{"out-zone", f.RoutersOutPerZone.text("any")},
		{"caches", f.CachesOut.text("1")}, {"caches-zone", f.CachesOutPerZone.text("any")}}
	for name, l := range p.Listeners {
		all["listener "+name] = []Field{{"address", l.Addr}}
	}
	return all
}

// countText writes a count. 0 means that none is stated.
func countText(n int) string {
	if n == 0 {
		return "as the platform says"
	}
	return strconv.Itoa(n)
}

// numberNames writes numbers by their names in known, or as digits if there is no name.
func numberNames(numbers []int, known []string) string {
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

func joinTexts[T any](list []T, text func(T) string) string {
	if len(list) == 0 {
		return "any"
	}
	var s []string
	for _, x := range list {
		s = append(s, text(x))
	}
	return strings.Join(s, " ")
}

// Route returns the fields of a route, with those of its pool and its policy.
func (p *Plan) Route(r *Route) []Field {
	return slices.Concat(p.matchFields(r), p.poolFields(r.Pool), p.policyFields(r.Policy, -1))
}

// matchFields returns the fields that select the requests of a route.
func (p *Plan) matchFields(r *Route) []Field {
	return []Field{
		{"class", numberNames(r.Classes, p.platform.Classes)}, {"key", joinTexts(r.Keys, strconv.Quote)},
		{"tenant", joinTexts(r.Tenants, strconv.Quote)},
		{"client", joinTexts(r.Clients, netip.Prefix.String)}, {"rank", strconv.Itoa(r.Rank)},
	}
}

func (p *Plan) poolFields(pool *Pool) []Field {
	// The fields cover the whole chain of fallbacks, since the fallback of an empty pool is part of its behaviour.
	var zones, kinds, cells, addrs, least []string
	for n := 0; pool != nil && n <= len(p.Pools); n++ {
		zones, kinds = append(zones, numberNames(pool.Zones, p.platform.Zones)),
			append(kinds, numberNames(pool.Kinds, p.platform.Kinds))
		cells, addrs = append(cells, numberNames(pool.Cells, nil)), append(addrs, joinTexts(pool.Addrs, strings.Clone))
		least = append(least, strconv.Itoa(pool.AtLeast))
		pool = p.Pools[pool.Fallback]
	}
	if len(zones) == 0 {
		return []Field{{"zone", "any"}, {"kind", "any"}, {"cell", "any"}, {"address", "any"}, {"at-least", "1"}}
	}
	join := func(s []string) string { return strings.Join(s, ", else ") }
	return []Field{{"zone", join(zones)}, {"kind", join(kinds)}, {"cell", join(cells)}, {"address", join(addrs)},
		{"at-least", join(least)}}
}

// policyFields returns the fields of a policy. For a class of 0 or more they include what the settings fill in.
func (p *Plan) policyFields(policy *Policy, class int) []Field {
	var values Policy
	if policy != nil {
		values = *policy
	}
	if class >= 0 {
		values = p.effective(policy, class)
	}
	textOr := func(isStated bool, value, otherwise string) string {
		if isStated {
			return value
		}
		return otherwise
	}
	const unstated = "as the module decides"
	repeat := textOr(values.RetryStated, textOr(values.RetryOn == 0, "never", "on "+outcomeList(values.RetryOn)), unstated)
	return []Field{
		{"timeout", textOr(values.Timeout > 0, formatTime(values.Timeout), unstated)},
		{"attempts", textOr(values.Attempts > 0, strconv.Itoa(values.Attempts), unstated)},
		{"repeat", repeat},
		{"copies", textOr(values.MaxInFlight > 0, strconv.Itoa(values.MaxInFlight), unstated)},
		{"budget", textOr(values.BudgetStated,
			unit.Format(values.Budget, unit.Fraction)+" least "+unit.Format(values.BudgetMinRate, unit.Rate), unstated)},
		{"concurrency", concurrencyText(values.Concurrency)},
		{"queue", queueText(values.MaxQueueLength, values.MaxQueueTime)},
		{"rate", textOr(values.Rate > 0,
			unit.Format(values.Rate, unit.Rate)+" burst "+strconv.FormatFloat(values.Burst, 'g', -1, 64), "no limit")},
		{"priority", strconv.Itoa(values.Priority)},
	}
}

func concurrencyText(c Concurrency) string {
	switch {
	case c.Max == 0:
		return "no limit"
	case c.Adaptive:
		return fmt.Sprintf("adaptive %d %d", c.Min, c.Max)
	}
	return strconv.Itoa(c.Max)
}

func queueText(n int, maxWait time.Duration) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprintf("%d for %s", n, formatTime(maxWait))
}

// Explain returns what a request gets and why: its entry, the fields of the entry, and for each route the reason why
// it is taken, does not match, or has a lower precedence.
func (p *Plan) Explain(class int, key, tenant string, client netip.Addr) (e *Entry, fields []Field, reasons []string) {
	e = p.table.Lookup(class, []byte(key), []byte(tenant), client)
	all := p.matchers()
	slices.SortStableFunc(all, func(a, b matcher) int { return b.compare(&a) })
	var chosen *matcher
	for i := range all {
		r := &all[i]
		name := "route " + r.route.Name
		switch {
		case len(r.route.Classes) > 0 && !slices.Contains(r.route.Classes, class):
			reasons = append(reasons, name+": another class")
		case !strings.HasPrefix(key, r.key):
			reasons = append(reasons, fmt.Sprintf("%s: the key does not begin with %q", name, r.key))
		case r.client.IsValid() && !r.client.Contains(client):
			reasons = append(reasons, fmt.Sprintf("%s: the client is not in %v", name, r.client))
		case len(r.route.Tenants) > 0 && !slices.Contains(r.route.Tenants, tenant):
			reasons = append(reasons, name+": another tenant")
		case chosen == nil:
			chosen = r
			reasons = append(reasons, name+": taken")
		case chosen.route == r.route:
		default:
			reasons = append(reasons, fmt.Sprintf("%s: fits, but route %s takes precedence", name, chosen.route.Name))
		}
	}
	if chosen == nil {
		reasons = append(reasons, "no route fits: only the settings apply")
	}
	policy := (*Policy)(nil)
	if e.Route != nil {
		policy = e.Route.Policy
	}
	return e, append(p.poolFields(e.Pool), p.policyFields(policy, class)...), reasons
}
