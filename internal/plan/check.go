package plan

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/unit"
)

// checker makes a plan of statements.
type checker struct {
	*loader
	plan     *Plan
	platform *Platform
	named    map[string]place // "route x" and the like, where it is stated
	uses     []use
	routes   []*Route
}

// use is a name that must exist once all is read.
type use struct {
	kind, name string
	at         place
	set        func()
}

func (c *checker) all(statements []*statement) {
	c.named = map[string]place{}
	for _, s := range statements {
		switch s.name {
		case "pool":
			c.pool(s)
		case "policy":
			c.policy(s)
		case "route":
			c.route(s)
		case "listener":
			c.listener(s)
		case "limits":
			c.limits(s)
		case "log":
			c.log(s)
		case "fleet":
			c.fleet(s)
		default:
			c.find(s.at, "statement", fmt.Sprintf("there is no statement %q", s.name),
				"include, const, fleet, listener, limits, log, pool, policy, route")
		}
	}
	for _, u := range c.uses {
		if _, exists := c.named[u.kind+" "+u.name]; exists {
			u.set()
		} else {
			c.find(u.at, "name", fmt.Sprintf("there is no %s %q", u.kind, u.name), c.names(u.kind))
		}
	}
	slices.SortFunc(c.routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	c.plan.Routes = c.routes
	c.rules()
}

// names lists what there is of a kind.
func (c *checker) names(kind string) string {
	var names []string
	for full := range c.named {
		if name, is := strings.CutPrefix(full, kind+" "); is {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names[:min(len(names), 12)], ", ")
}

// begin takes the head of a statement with a block: its name, which must be its own, or none.
func (c *checker) begin(s *statement, named bool) (name string, ok bool) {
	if !s.braces {
		c.find(s.at, "block", s.name+" needs a block", s.name+" { ... }")
		ok = false
	}
	key := s.name
	if named {
		if len(s.values) != 1 || !isName(s.values[0].text) {
			c.find(s.at, "values", s.name+" takes one name: letters, digits, - and _", s.name+" near { ... }")
			return "", false
		}
		name = s.values[0].text
		key += " " + name
	} else if len(s.values) > 0 {
		c.find(s.values[0].at, "values", s.name+" takes no name", s.name+" { ... }")
	}
	if at, twice := c.named[key]; twice {
		c.find(s.at, "redefined", fmt.Sprintf("%s is stated at %v already", key, at.pos), "")
		return name, false
	}
	c.named[key] = s.at
	return name, s.braces
}

// block takes the statements of a block, each of which may stand there once.
func (c *checker) block(s *statement, at places, take map[string]func(*statement)) {
	at[""] = s.at
	for _, inner := range s.block {
		f := take[inner.name]
		if f == nil {
			names := make([]string, 0, len(take))
			for name := range take {
				names = append(names, name)
			}
			slices.Sort(names)
			c.find(inner.at, "statement", fmt.Sprintf("%s has no %q", s.name, inner.name), strings.Join(names, ", "))
			continue
		}
		if before, twice := at[inner.name]; twice {
			c.find(inner.at, "redefined", fmt.Sprintf("%s is stated at %v already", inner.name, before.pos), "")
			continue
		}
		at[inner.name] = inner.at
		if len(inner.values) > 0 {
			at[inner.name] = inner.values[0].at
		}
		f(inner)
	}
}

// list takes the values of a statement, each but once.
func (c *checker) list(s *statement) []value {
	c.noBlock(s)
	if len(s.values) == 0 {
		c.find(s.at, "values", s.name+" has no value", "")
	}
	var all []value
	seen := map[string]bool{}
	for _, v := range s.values {
		if v.text == "" && !v.quoted {
			continue // told already
		}
		if seen[v.text] {
			c.find(v.at, "redefined", fmt.Sprintf("%s has %q twice", s.name, v.text), "")
			continue
		}
		seen[v.text] = true
		all = append(all, v)
	}
	return all
}

// indices takes names as their numbers in a list.
func (c *checker) indices(s *statement, known []string, rule string) []int {
	var numbers []int
	for _, v := range c.list(s) {
		if i := slices.Index(known, v.text); i >= 0 {
			numbers = append(numbers, i)
		} else {
			c.find(v.at, rule, fmt.Sprintf("there is no %s %q", s.name, v.text), strings.Join(known, ", "))
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (c *checker) count(s *statement, least, most int) int {
	return int(c.number(s, unit.Count, float64(least), float64(most)))
}

func (c *checker) time(s *statement, least, most time.Duration) time.Duration {
	return time.Duration(c.number(s, unit.Time, float64(least), float64(most)))
}

func (c *checker) pool(s *statement) {
	name, ok := c.begin(s, true)
	p := &Pool{Name: name, AtLeast: 1, pos: places{}}
	c.block(s, p.pos, map[string]func(*statement){
		"zone": func(s *statement) { p.Zones = c.indices(s, c.platform.Zones, "zone") },
		"kind": func(s *statement) { p.Kinds = c.indices(s, c.platform.Kinds, "kind") },
		"cell": func(s *statement) {
			for _, v := range c.list(s) {
				p.Cells = append(p.Cells, int(c.quantity(v, "cell", unit.Count, 0, 1e6)))
			}
			slices.Sort(p.Cells)
		},
		"address": func(s *statement) {
			for _, v := range c.list(s) {
				if c.address(v, false) {
					p.Addrs = append(p.Addrs, v.text)
				}
			}
			slices.Sort(p.Addrs)
		},
		"at-least": func(s *statement) { p.AtLeast = c.count(s, 1, 10000) },
		"fallback": func(s *statement) {
			if v, ok := c.one(s); ok {
				c.uses = append(c.uses, use{"pool", v.text, v.at, func() { p.Fallback = v.text }})
			}
		},
	})
	if ok {
		c.plan.Pools[name] = p
	}
}

// address checks host:port; the host is an address, since names are not looked up.
func (c *checker) address(v value, anyPort bool) bool {
	host, port, err := net.SplitHostPort(v.text)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err == nil && perr == nil && (n > 0 || anyPort) {
		if _, err := netip.ParseAddr(host); err == nil {
			return true
		}
	}
	c.find(v.at, "address", fmt.Sprintf("%q is no address with a port", v.text), "127.0.0.1:7001")
	return false
}

func (c *checker) policy(s *statement) {
	name, ok := c.begin(s, true)
	p := &Policy{Name: name, pos: places{}}
	c.block(s, p.pos, map[string]func(*statement){
		"timeout":  func(s *statement) { p.Timeout = c.time(s, time.Millisecond, time.Hour) },
		"attempts": func(s *statement) { p.Attempts = c.count(s, 1, 100) },
		"repeat":   func(s *statement) { c.repeat(s, p) },
		"copies":   func(s *statement) { p.Copies = c.count(s, 1, 2) },
		"budget": func(s *statement) {
			c.pairs(s, "least", func(v value) { p.Budget = c.quantity(v, "budget", unit.Part, 0, 1) },
				func(v value) { p.BudgetLeast = c.quantity(v, "least", unit.Rate, 0, 1e6) })
			p.BudgetSaid = true
		},
		"concurrency": func(s *statement) { c.concurrency(s, &p.Concurrency) },
		"queue":       func(s *statement) { c.queue(s, &p.Queue, &p.QueueFor) },
		"rate": func(s *statement) {
			c.pairs(s, "burst", func(v value) { p.Rate = c.quantity(v, "rate", unit.Rate, 1.0/3600, 1e6) },
				func(v value) { p.Burst = c.quantity(v, "burst", unit.Count, 1, 1e6) })
			if p.Burst == 0 {
				p.Burst = max(1, p.Rate/10)
			}
		},
		"priority": func(s *statement) { p.Priority = c.count(s, 0, 9) },
	})
	if ok {
		c.plan.Policies[name] = p
	}
}

// pairs takes a value, and behind a word another one.
func (c *checker) pairs(s *statement, word string, first, second func(value)) {
	c.noBlock(s)
	switch v := s.values; {
	case len(v) == 1:
		first(v[0])
	case len(v) == 3 && v[1].text == word:
		first(v[0])
		second(v[2])
	default:
		c.find(s.at, "values", fmt.Sprintf("%s takes a value, and may take %q with another one", s.name, word), "")
	}
}

func (c *checker) repeat(s *statement, p *Policy) {
	c.noBlock(s)
	p.RepeatSaid = true
	if len(s.values) == 1 && s.values[0].text == "never" {
		return
	}
	if len(s.values) < 2 || s.values[0].text != "on" {
		c.find(s.at, "values", "repeat takes never, or on with outcomes", "repeat on "+outcomeList(AllOutcomes))
		return
	}
	for _, v := range s.values[1:] {
		known := false
		for _, o := range outcomeNames {
			if o.name == v.text {
				p.Repeat |= Of(o.status)
				known = true
			}
		}
		if !known {
			c.find(v.at, "outcome", fmt.Sprintf("there is no outcome %q", v.text), outcomeList(AllOutcomes))
		}
	}
}

// outcomeList writes a set as the language does.
func outcomeList(set Outcomes) string {
	var names []string
	for _, o := range outcomeNames {
		if set.Has(o.status) {
			names = append(names, o.name)
		}
	}
	return strings.Join(names, " ")
}

func (c *checker) queue(s *statement, most *int, longest *time.Duration) {
	c.pairs(s, "for", func(v value) { *most = int(c.quantity(v, "queue", unit.Count, 1, 10000)) }, func(v value) {
		*longest = time.Duration(c.quantity(v, "for", unit.Time, float64(time.Millisecond), float64(time.Minute)))
	})
	if *most > 0 && *longest == 0 {
		c.find(s.at, "queue", "a queue without a time for which one may wait in it", "queue 20 for 50ms")
	}
}

func (c *checker) concurrency(s *statement, k *Concurrency) {
	c.noBlock(s)
	switch v := s.values; {
	case len(v) == 1:
		k.Most = int(c.quantity(v[0], "concurrency", unit.Count, 1, 1e5))
		k.Least = k.Most
	case len(v) == 3 && v[0].text == "adaptive":
		k.Adaptive = true
		k.Least = int(c.quantity(v[1], "concurrency", unit.Count, 1, 1e5))
		k.Most = int(c.quantity(v[2], "concurrency", unit.Count, 1, 1e5))
		if k.Most < k.Least {
			c.find(v[2].at, "range", fmt.Sprintf("the most is %d and the least %d", k.Most, k.Least), "adaptive LEAST MOST")
		}
	default:
		c.find(s.at, "values", "concurrency takes a number, or adaptive with the least and the most", "concurrency 40, concurrency adaptive 4 200")
	}
}

func (c *checker) route(s *statement) {
	name, ok := c.begin(s, true)
	r := &Route{Name: name, pos: places{}}
	c.block(s, r.pos, map[string]func(*statement){
		"class": func(s *statement) { r.Classes = c.indices(s, c.platform.Classes, "class") },
		"key": func(s *statement) {
			for _, v := range c.list(s) {
				if v.text == "" || len(v.text) > 250 || strings.ContainsFunc(v.text, func(r rune) bool { return r <= ' ' || r == 127 }) {
					c.find(v.at, "key", fmt.Sprintf("%q begins no key", v.text), "1 to 250 bytes without spaces")
					continue
				}
				r.Keys = append(r.Keys, v.text)
			}
			slices.Sort(r.Keys)
		},
		"tenant": func(s *statement) {
			for _, v := range c.list(s) {
				r.Tenants = append(r.Tenants, v.text)
			}
			slices.Sort(r.Tenants)
		},
		"client": func(s *statement) {
			for _, v := range c.list(s) {
				c.client(r, v)
			}
			slices.SortFunc(r.Clients, func(a, b netip.Prefix) int { return strings.Compare(a.String(), b.String()) })
		},
		"rank": func(s *statement) { r.Rank = c.count(s, 0, 1000) },
		"pool": func(s *statement) {
			if v, ok := c.one(s); ok {
				c.uses = append(c.uses, use{"pool", v.text, v.at, func() { r.Pool = c.plan.Pools[v.text] }})
			}
		},
		"policy": func(s *statement) {
			if v, ok := c.one(s); ok {
				c.uses = append(c.uses, use{"policy", v.text, v.at, func() { r.Policy = c.plan.Policies[v.text] }})
			}
		},
	})
	if ok {
		c.routes = append(c.routes, r)
	}
}

func (c *checker) client(r *Route, v value) {
	p, err := netip.ParsePrefix(v.text)
	if err != nil {
		if a, aerr := netip.ParseAddr(v.text); aerr == nil {
			p, err = netip.PrefixFrom(a, a.BitLen()), nil
		}
	}
	switch {
	case err != nil:
		c.find(v.at, "address", fmt.Sprintf("%q is no address and no network", v.text), "127.0.0.1, 10.0.0.0/8")
	case p != p.Masked():
		c.find(v.at, "address", fmt.Sprintf("%s has bits behind its length", v.text), p.Masked().String())
	default:
		r.Clients = append(r.Clients, p)
	}
}

func (c *checker) listener(s *statement) {
	name, ok := c.begin(s, true)
	l := &Listener{Name: name, pos: places{}}
	c.block(s, l.pos, map[string]func(*statement){
		"address": func(s *statement) {
			if v, ok := c.one(s); ok && c.address(v, true) {
				l.Addr = v.text
			}
		},
	})
	if ok && l.pos["address"] == (place{}) {
		c.find(s.at, "address", "a listener without an address", `address "127.0.0.1:7001"`)
	}
	if ok {
		c.plan.Listeners[name] = l
	}
}

func (c *checker) limits(s *statement) {
	c.begin(s, false)
	l := &c.plan.Limits
	l.pos = places{}
	c.block(s, l.pos, map[string]func(*statement){
		"clients":   func(s *statement) { l.Clients = c.count(s, 1, 1e6) },
		"open":      func(s *statement) { l.Open = c.count(s, 1, 1e6) },
		"providers": func(s *statement) { l.Providers = c.count(s, 1, 1e6) },
		"origin":    func(s *statement) { l.Origin = c.count(s, 1, 1e6) },
		"places":    func(s *statement) { l.Places = c.count(s, 3, 1e5) },

		"concurrency": func(s *statement) { c.concurrency(s, &l.Concurrency) },
		"queue":       func(s *statement) { c.queue(s, &l.Queue, &l.QueueFor) },
	})
}

func (c *checker) fleet(s *statement) {
	c.begin(s, false)
	f := &c.plan.Fleet
	f.pos = places{}
	c.block(s, f.pos, map[string]func(*statement){
		"view":     c.word(&f.View, "on", "off"),
		"out":      func(s *statement) { f.Out = c.bound(s) },
		"out-zone": func(s *statement) { f.OutZone = c.bound(s) },

		"caches":      func(s *statement) { f.Caches = c.bound(s) },
		"caches-zone": func(s *statement) { f.CachesZone = c.bound(s) },
	})
	for name, b := range map[string][2]Bound{"out-zone": {f.OutZone, f.Out}, "caches-zone": {f.CachesZone, f.Caches}} {
		if zone, all := b[0], b[1]; zone.Number > max(1, all.Number) && all.Part == 0 {
			c.find(f.pos.of(name), "bounds", fmt.Sprintf("more may be out of one zone (%v) than of the whole fleet (%v)", zone, all), "")
		}
	}
	if f.View == "off" && (f.Out != Bound{} || f.OutZone != Bound{} || f.Caches != Bound{} || f.CachesZone != Bound{}) {
		c.find(f.pos.of("view"), "bounds", "without a view routers agree on nothing, and the bounds are for that", "on")
	}
}

// bound takes a number of routers or servers, or a percentage.
func (c *checker) bound(s *statement) (b Bound) {
	if len(s.values) == 1 && strings.HasSuffix(s.values[0].text, "%") {
		b.Part = c.number(s, unit.Part, 0.001, 1)
		return b
	}
	b.Number = c.count(s, 1, permit.MostPlaces)
	return b
}

// word takes one of some words.
func (c *checker) word(into *string, words ...string) func(*statement) {
	return func(s *statement) {
		if v, ok := c.one(s); ok && slices.Contains(words, v.text) {
			*into = v.text
		} else if ok {
			c.find(v.at, "word", fmt.Sprintf("%s can't be %q", s.name, v.text), strings.Join(words, ", "))
		}
	}
}

func (c *checker) log(s *statement) {
	c.begin(s, false)
	l := &c.plan.Log
	l.pos = places{}
	c.block(s, l.pos, map[string]func(*statement){
		"level":  c.word(&l.Level, "debug", "info", "warn", "error"),
		"format": c.word(&l.Format, "text", "json"),
		"rate":   func(s *statement) { l.Rate = c.number(s, unit.Rate, 0.01, 1000) },
	})
}
