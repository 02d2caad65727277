package plan

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Entry is what an invocation gets.
type Entry struct {
	Route  *Route // nil where none fits
	Pool   *Pool  // nil: all providers
	Policy Policy // with what the settings say where the file says nothing
	Class  int
}

// Table finds the entry of an invocation. It is never changed once it is made.
type Table struct {
	classes []classTable
}

type classTable struct {
	levels []level // those that go before others first
	none   *Entry
}

// level has the routes of one rank whose key prefix has one length.
type level struct {
	rank, length int
	byKey        map[string][]target
}

type target struct {
	rule
	entry *Entry
}

// rule is one combination of key prefix and client prefix of a route.
type rule struct {
	route  *Route
	key    string
	client netip.Prefix // not valid: all
}

// rules gives all combinations of all routes.
func (p *Plan) rules() []rule {
	var all []rule
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
				if all = append(all, rule{r, key, client}); len(all) > mostRules {
					return all
				}
			}
		}
	}
	return all
}

// compare is above 0 where a goes before b, and 0 where neither does.
func (a *rule) compare(b *rule) int {
	named := func(r *rule, list int) int { return min(1, list) }
	return cmp.Or(
		cmp.Compare(a.route.Rank, b.route.Rank),
		cmp.Compare(len(a.key), len(b.key)),
		cmp.Compare(a.client.Bits(), b.client.Bits()), // -1 where there is none
		cmp.Compare(named(a, len(a.route.Tenants)), named(b, len(b.route.Tenants))),
		cmp.Compare(named(a, len(a.route.Classes)), named(b, len(b.route.Classes))),
	)
}

// covers tells whether a fits all requests of a class and a tenant ("" for all tenants) that b fits.
func (a *rule) covers(b *rule, class int, tenant string) bool {
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

// compile makes the table of a plan that has been checked.
func compile(p *Plan) *Table {
	t := &Table{classes: make([]classTable, max(1, len(p.platform.Classes)))}
	all := p.rules()
	slices.SortStableFunc(all, func(a, b rule) int { return b.compare(&a) })
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

// effective fills in what a policy leaves to the settings.
func (p *Plan) effective(of *Policy, class int) Policy {
	var e Policy
	if of != nil {
		e = *of
	}
	set := &p.platform.Settings
	patience := time.Duration(0)
	if class < len(set.Classes) {
		patience = set.Classes[class].Deadline
	}
	if e.Timeout == 0 {
		e.Timeout = patience
	}
	if e.Attempts == 0 {
		e.Attempts = set.MaxAttempts
	}
	if !e.RepeatSaid {
		e.Repeat = AllOutcomes // as far as the module does
	}
	if e.Copies == 0 {
		e.Copies = 1
		if set.SecondCopies {
			e.Copies = 2
		}
	}
	e.Name, e.pos = "", nil
	return e
}

// Entries gives each entry once.
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

// Lookup finds the entry for a class, a key, a tenant and a client's address. It
// allocates nothing. A class that there is not gets the entry of the first.
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
			if targets[j].fits(tenant, client) {
				return targets[j].entry
			}
		}
	}
	return ct.none
}

func (a *rule) fits(tenant []byte, client netip.Addr) bool {
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
