package plan

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Entry is the result of looking up a request.
type Entry struct {
	Route  *Route // nil: no route matches
	Pool   *Pool  // nil: all cache servers
	Policy Policy // the policy, completed from the settings
	Class  int
}

// Table maps requests to entries. It is immutable.
type Table struct {
	classes []classTable
}

// classTable holds the entries for one class.
type classTable struct {
	levels []level // in order of precedence, the highest first
	none   *Entry  // for requests that no route matches
}

// level holds the routes of one rank whose key prefixes have the same length.
type level struct {
	rank, length int
	byKey        map[string][]target
}

// target is a matcher with the entry for the requests that it matches.
type target struct {
	matcher
	entry *Entry
}

// matcher is one combination of key prefix and client prefix of a route.
type matcher struct {
	route  *Route
	key    string
	client netip.Prefix // invalid: all clients
}

// matchers returns all combinations of all routes. It stops after maxMatchers + 1 of them.
func (p *Plan) matchers() []matcher {
	var all []matcher
	for _, r := range p.Routes {
		keys, clients := r.Keys, r.Clients
		if len(keys) == 0 {
			keys = []string{""}
		}
		if len(clients) == 0 {
			clients = []netip.Prefix{{}}
		}
		for _, key := range keys {
			for _, client := range clients {
				if all = append(all, matcher{r, key, client}); len(all) > maxMatchers {
					return all
				}
			}
		}
	}
	return all
}

// compare returns a positive number if a takes precedence over b, a negative one if b does, and 0 if neither does.
func (a *matcher) compare(b *matcher) int {
	presence := func(r *matcher, count int) int { return min(1, count) }
	return cmp.Or(
		cmp.Compare(a.route.Rank, b.route.Rank),
		cmp.Compare(len(a.key), len(b.key)),
		cmp.Compare(a.client.Bits(), b.client.Bits()), // -1 without a client prefix
		cmp.Compare(presence(a, len(a.route.Tenants)), presence(b, len(b.route.Tenants))),
		cmp.Compare(presence(a, len(a.route.Classes)), presence(b, len(b.route.Classes))),
	)
}

// covers reports whether a matches all requests of a class and a tenant ("" for all tenants) that b matches.
func (a *matcher) covers(b *matcher, class int, tenant string) bool {
	if len(a.route.Classes) > 0 && !slices.Contains(a.route.Classes, class) {
		return false
	}
	if len(a.route.Tenants) > 0 && !slices.Contains(a.route.Tenants, tenant) {
		return false
	}
	if !strings.HasPrefix(b.key, a.key) {
		return false
	}
	return !a.client.IsValid() || b.client.IsValid() && a.client.Bits() <= b.client.Bits() && a.client.Contains(b.client.Addr())
}

// compile builds the table of a plan that has been checked.
func compile(p *Plan) *Table {
	t := &Table{classes: make([]classTable, max(1, len(p.platform.Classes)))}
	all := p.matchers()
	slices.SortStableFunc(all, func(a, b matcher) int { return b.compare(&a) })
	for class := range t.classes {
		ct := &t.classes[class]
		ct.none = &Entry{Class: class, Policy: p.effective(nil, class)}
		entries := map[*Route]*Entry{}
		for _, r := range all {
			if len(r.route.Classes) > 0 && !slices.Contains(r.route.Classes, class) {
				continue
			}
			e := entries[r.route]
			if e == nil {
				e = &Entry{Route: r.route, Pool: r.route.Pool, Class: class, Policy: p.effective(r.route.Policy, class)}
				entries[r.route] = e
			}
			if n := len(ct.levels); n == 0 || ct.levels[n-1].rank != r.route.Rank || ct.levels[n-1].length != len(r.key) {
				ct.levels = append(ct.levels, level{r.route.Rank, len(r.key), map[string][]target{}})
			}
			l := &ct.levels[len(ct.levels)-1]
			l.byKey[r.key] = append(l.byKey[r.key], target{r, e})
		}
	}
	return t
}

// effective returns a policy whose unstated fields are filled in from the settings.
func (p *Plan) effective(policy *Policy, class int) Policy {
	var e Policy
	if policy != nil {
		e = *policy
	}
	set := &p.platform.Settings
	deadline := time.Duration(0)
	if class < len(set.Classes) {
		deadline = set.Classes[class].Deadline
	}
	if e.Timeout == 0 {
		e.Timeout = deadline
	}
	if e.Attempts == 0 {
		e.Attempts = set.MaxAttempts
	}
	if !e.RetryStated {
		e.RetryOn = AllOutcomes // the decision module still decides which of them it retries
	}
	if e.MaxInFlight == 0 {
		e.MaxInFlight = 1
		if set.Hedging {
			e.MaxInFlight = 2
		}
	}
	e.Name, e.locations = "", nil
	return e
}

// Entries returns each entry once.
func (t *Table) Entries() []*Entry {
	var all []*Entry
	seen := map[*Entry]bool{}
	for i := range t.classes {
		all = append(all, t.classes[i].none)
		for j := range t.classes[i].levels {
			for _, targets := range t.classes[i].levels[j].byKey {
				for _, x := range targets {
					if !seen[x.entry] {
						seen[x.entry] = true
						all = append(all, x.entry)
					}
				}
			}
		}
	}
	return all
}

// Lookup returns the entry for a class, a key, a tenant and a client's address. It does not allocate memory. An
// unknown class gets the entry of the first class.
func (t *Table) Lookup(class int, key, tenant []byte, client netip.Addr) *Entry {
	if class < 0 || class >= len(t.classes) {
		class = 0
	}
	ct := &t.classes[class]
	for i := range ct.levels {
		l := &ct.levels[i]
		if len(key) < l.length {
			continue
		}
		targets := l.byKey[string(key[:l.length])]
		for j := range targets {
			if targets[j].matches(tenant, client) {
				return targets[j].entry
			}
		}
	}
	return ct.none
}

// matches reports whether a tenant and a client satisfy the route and the client prefix.
func (a *matcher) matches(tenant []byte, client netip.Addr) bool {
	if a.client.IsValid() && !a.client.Contains(client) {
		return false
	}
	if len(a.route.Tenants) == 0 {
		return true
	}
	for _, t := range a.route.Tenants {
		if t == string(tenant) {
			return true
		}
	}
	return false
}
