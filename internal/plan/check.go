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

// checker parses statements into a plan and checks it.
type checker struct {
	*loader
	plan        *Plan
	platform    *Platform
	definitions map[string]location // location of each definition, by kind and name such as "route x"
	references  []reference
	routes      []*Route
}

// reference is the use of a name. The name must be defined once all statements have been parsed.
type reference struct {
	kind, name string
	loc        location
	resolve    func()
}

func (c *checker) check(statements []*statement) {
	c.definitions = map[string]location{}
	for _, s := range statements {
		switch s.name {
		case "pool":
			c.parsePool(s)
		case "policy":
			c.parsePolicy(s)
		case "route":
			c.parseRoute(s)
		case "listener":
			c.parseListener(s)
		case "limits":
			c.parseLimits(s)
		case "log":
			c.parseLog(s)
		case "fleet":
			c.parseFleet(s)
		default:
			c.addFinding(s.loc, "statement", fmt.Sprintf("there is no statement %q", s.name),
				"include, const, fleet, listener, limits, log, pool, policy, route")
		}
	}
	for _, ref := range c.references {
		if _, exists := c.definitions[ref.kind+" "+ref.name]; exists {
			ref.resolve()
		} else {
			c.addFinding(ref.loc, "name", fmt.Sprintf("there is no %s %q", ref.kind, ref.name), c.knownNames(ref.kind))
		}
	}
	slices.SortFunc(c.routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	c.plan.Routes = c.routes
	c.checkAgainstPlatform()
}

// knownNames lists up to 12 of the defined names of a kind.
func (c *checker) knownNames(kind string) string {
	var names []string
	for full := range c.definitions {
		if name, is := strings.CutPrefix(full, kind+" "); is {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names[:min(len(names), 12)], ", ")
}

// parseHeader parses the head of a statement with a block. If named is true, the statement takes a name that no other
// statement of its kind has. Otherwise it takes no name and may occur once.
func (c *checker) parseHeader(s *statement, named bool) (name string, ok bool) {
	if !s.hasBlock {
		c.addFinding(s.loc, "block", s.name+" needs a block", s.name+" { ... }")
		ok = false
	}
	key := s.name
	if named {
		if len(s.values) != 1 || !isName(s.values[0].text) {
			c.addFinding(s.loc, "values", s.name+" takes one name: letters, digits, - and _", s.name+" near { ... }")
			return "", false
		}
		name = s.values[0].text
		key += " " + name
	} else if len(s.values) > 0 {
		c.addFinding(s.values[0].loc, "values", s.name+" takes no name", s.name+" { ... }")
	}
	if loc, defined := c.definitions[key]; defined {
		c.addFinding(s.loc, "redefined", fmt.Sprintf("%s is stated at %v already", key, loc.pos), "")
		return name, false
	}
	c.definitions[key] = s.loc
	return name, s.hasBlock
}

// parseBlock parses the statements of a block with the parser for each name, and records their locations. Each
// statement may occur once.
func (c *checker) parseBlock(s *statement, locations locationMap, parsers map[string]func(*statement)) {
	locations[""] = s.loc
	for _, inner := range s.block {
		f := parsers[inner.name]
		if f == nil {
			names := make([]string, 0, len(parsers))
			for name := range parsers {
				names = append(names, name)
			}
			slices.Sort(names)
			c.addFinding(inner.loc, "statement", fmt.Sprintf("%s has no %q", s.name, inner.name), strings.Join(names, ", "))
			continue
		}
		if before, defined := locations[inner.name]; defined {
			c.addFinding(inner.loc, "redefined", fmt.Sprintf("%s is stated at %v already", inner.name, before.pos), "")
			continue
		}
		locations[inner.name] = inner.loc
		if len(inner.values) > 0 {
			locations[inner.name] = inner.values[0].loc
		}
		f(inner)
	}
}

// uniqueValues returns the values of a statement. Each may occur only once.
func (c *checker) uniqueValues(s *statement) []value {
	c.rejectBlock(s)
	if len(s.values) == 0 {
		c.addFinding(s.loc, "values", s.name+" has no value", "")
	}
	var all []value
	seen := map[string]bool{}
	for _, v := range s.values {
		if v.text == "" && !v.quoted {
			continue // reported already
		}
		if seen[v.text] {
			c.addFinding(v.loc, "redefined", fmt.Sprintf("%s has %q twice", s.name, v.text), "")
			continue
		}
		seen[v.text] = true
		all = append(all, v)
	}
	return all
}

// indices converts the names that a statement gives to their indices in known, sorted.
func (c *checker) indices(s *statement, known []string, rule string) []int {
	var numbers []int
	for _, v := range c.uniqueValues(s) {
		if i := slices.Index(known, v.text); i >= 0 {
			numbers = append(numbers, i)
		} else {
			c.addFinding(v.loc, rule, fmt.Sprintf("there is no %s %q", s.name, v.text), strings.Join(known, ", "))
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (c *checker) parseCount(s *statement, minimum, maximum int) int {
	return int(c.singleQuantity(s, unit.Count, float64(minimum), float64(maximum)))
}

func (c *checker) parseTime(s *statement, minimum, maximum time.Duration) time.Duration {
	return time.Duration(c.singleQuantity(s, unit.Time, float64(minimum), float64(maximum)))
}

func (c *checker) parsePool(s *statement) {
	name, ok := c.parseHeader(s, true)
	p := &Pool{Name: name, AtLeast: 1, locations: locationMap{}}
	c.parseBlock(s, p.locations, map[string]func(*statement){
		"zone": func(s *statement) { p.Zones = c.indices(s, c.platform.Zones, "zone") },
		"kind": func(s *statement) { p.Kinds = c.indices(s, c.platform.Kinds, "kind") },
		"cell": func(s *statement) {
			for _, v := range c.uniqueValues(s) {
				p.Cells = append(p.Cells, int(c.parseQuantity(v, "cell", unit.Count, 0, 1e6)))
			}
			slices.Sort(p.Cells)
		},
		"address": func(s *statement) {
			for _, v := range c.uniqueValues(s) {
				if c.parseAddress(v, false) {
					p.Addrs = append(p.Addrs, v.text)
				}
			}
			slices.Sort(p.Addrs)
		},
		"at-least": func(s *statement) { p.AtLeast = c.parseCount(s, 1, 10000) },
		"fallback": func(s *statement) {
			if v, ok := c.singleValue(s); ok {
				c.references = append(c.references, reference{"pool", v.text, v.loc, func() { p.Fallback = v.text }})
			}
		},
	})
	if ok {
		c.plan.Pools[name] = p
	}
}

// parseAddress checks that a value has the form host:port. The host must be an IP address, since names are not looked
// up.
func (c *checker) parseAddress(v value, anyPort bool) bool {
	host, port, err := net.SplitHostPort(v.text)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err == nil && perr == nil && (n > 0 || anyPort) {
		if _, err := netip.ParseAddr(host); err == nil {
			return true
		}
	}
	c.addFinding(v.loc, "address", fmt.Sprintf("%q is not an address with a port", v.text), "127.0.0.1:7001")
	return false
}

func (c *checker) parsePolicy(s *statement) {
	name, ok := c.parseHeader(s, true)
	p := &Policy{Name: name, locations: locationMap{}}
	c.parseBlock(s, p.locations, map[string]func(*statement){
		"timeout":  func(s *statement) { p.Timeout = c.parseTime(s, time.Millisecond, time.Hour) },
		"attempts": func(s *statement) { p.Attempts = c.parseCount(s, 1, 100) },
		"repeat":   func(s *statement) { c.parseRepeat(s, p) },
		"copies":   func(s *statement) { p.MaxInFlight = c.parseCount(s, 1, 2) },
		"budget": func(s *statement) {
			c.valueWithOption(s, "least", func(v value) { p.Budget = c.parseQuantity(v, "budget", unit.Fraction, 0, 1) },
				func(v value) { p.BudgetMinRate = c.parseQuantity(v, "least", unit.Rate, 0, 1e6) })
			p.BudgetStated = true
		},
		"concurrency": func(s *statement) { c.parseConcurrency(s, &p.Concurrency) },
		"queue":       func(s *statement) { c.parseQueue(s, &p.MaxQueueLength, &p.MaxQueueTime) },
		"rate": func(s *statement) {
			c.valueWithOption(s, "burst", func(v value) { p.Rate = c.parseQuantity(v, "rate", unit.Rate, 1.0/3600, 1e6) },
				func(v value) { p.Burst = c.parseQuantity(v, "burst", unit.Count, 1, 1e6) })
			if p.Burst == 0 {
				p.Burst = max(1, p.Rate/10)
			}
		},
		"priority": func(s *statement) { p.Priority = c.parseCount(s, 0, 9) },
	})
	if ok {
		c.plan.Policies[name] = p
	}
}

// valueWithOption parses one value, optionally followed by a keyword and a second value.
func (c *checker) valueWithOption(s *statement, word string, first, second func(value)) {
	c.rejectBlock(s)
	switch v := s.values; {
	case len(v) == 1:
		first(v[0])
	case len(v) == 3 && v[1].text == word:
		first(v[0])
		second(v[2])
	default:
		c.addFinding(s.loc, "values", fmt.Sprintf("%s takes a value, and may take %q with another one", s.name, word), "")
	}
}

func (c *checker) parseRepeat(s *statement, p *Policy) {
	c.rejectBlock(s)
	p.RetryStated = true
	if len(s.values) == 1 && s.values[0].text == "never" {
		return
	}
	if len(s.values) < 2 || s.values[0].text != "on" {
		c.addFinding(s.loc, "values", "repeat takes never, or on with outcomes", "repeat on "+outcomeList(AllOutcomes))
		return
	}
	for _, v := range s.values[1:] {
		known := false
		for _, o := range outcomeNames {
			if o.name == v.text {
				p.RetryOn |= OutcomeSet(o.status)
				known = true
			}
		}
		if !known {
			c.addFinding(v.loc, "outcome", fmt.Sprintf("there is no outcome %q", v.text), outcomeList(AllOutcomes))
		}
	}
}

// outcomeList writes a set of outcomes as the language does.
func outcomeList(set Outcomes) string {
	var names []string
	for _, o := range outcomeNames {
		if set.Contains(o.status) {
			names = append(names, o.name)
		}
	}
	return strings.Join(names, " ")
}

func (c *checker) parseQueue(s *statement, maxLength *int, maxWait *time.Duration) {
	c.valueWithOption(s, "for", func(v value) { *maxLength = int(c.parseQuantity(v, "queue", unit.Count, 1, 10000)) },
		func(v value) {
			*maxWait = time.Duration(c.parseQuantity(v, "for", unit.Time, float64(time.Millisecond), float64(time.Minute)))
		})
	if *maxLength > 0 && *maxWait == 0 {
		c.addFinding(s.loc, "queue", "a queue without a limit on the time in it", "queue 20 for 50ms")
	}
}

func (c *checker) parseConcurrency(s *statement, k *Concurrency) {
	c.rejectBlock(s)
	switch v := s.values; {
	case len(v) == 1:
		k.Max = int(c.parseQuantity(v[0], "concurrency", unit.Count, 1, 1e5))
		k.Min = k.Max
	case len(v) == 3 && v[0].text == "adaptive":
		k.Adaptive = true
		k.Min = int(c.parseQuantity(v[1], "concurrency", unit.Count, 1, 1e5))
		k.Max = int(c.parseQuantity(v[2], "concurrency", unit.Count, 1, 1e5))
		if k.Max < k.Min {
			c.addFinding(v[2].loc, "range", fmt.Sprintf("the maximum %d is less than the minimum %d", k.Max, k.Min),
				"adaptive LEAST MOST")
		}
	default:
		c.addFinding(s.loc, "values", "concurrency takes a number, or adaptive with the least and the most",
			"concurrency 40, concurrency adaptive 4 200")
	}
}

func (c *checker) parseRoute(s *statement) {
	name, ok := c.parseHeader(s, true)
	r := &Route{Name: name, locations: locationMap{}}
	c.parseBlock(s, r.locations, map[string]func(*statement){
		"class": func(s *statement) { r.Classes = c.indices(s, c.platform.Classes, "class") },
		"key": func(s *statement) {
			for _, v := range c.uniqueValues(s) {
				if v.text == "" || len(v.text) > 250 || strings.ContainsFunc(v.text, func(r rune) bool { return r <= ' ' || r == 127 }) {
					c.addFinding(v.loc, "key", fmt.Sprintf("%q is not a valid beginning of a key", v.text), "1 to 250 bytes without spaces")
					continue
				}
				r.Keys = append(r.Keys, v.text)
			}
			slices.Sort(r.Keys)
		},
		"tenant": func(s *statement) {
			for _, v := range c.uniqueValues(s) {
				r.Tenants = append(r.Tenants, v.text)
			}
			slices.Sort(r.Tenants)
		},
		"client": func(s *statement) {
			for _, v := range c.uniqueValues(s) {
				c.parseClient(r, v)
			}
			slices.SortFunc(r.Clients, func(a, b netip.Prefix) int { return strings.Compare(a.String(), b.String()) })
		},
		"rank": func(s *statement) { r.Rank = c.parseCount(s, 0, 1000) },
		"pool": func(s *statement) {
			if v, ok := c.singleValue(s); ok {
				c.references = append(c.references, reference{"pool", v.text, v.loc, func() { r.Pool = c.plan.Pools[v.text] }})
			}
		},
		"policy": func(s *statement) {
			if v, ok := c.singleValue(s); ok {
				c.references = append(c.references, reference{"policy", v.text, v.loc, func() { r.Policy = c.plan.Policies[v.text] }})
			}
		},
	})
	if ok {
		c.routes = append(c.routes, r)
	}
}

func (c *checker) parseClient(r *Route, v value) {
	p, err := netip.ParsePrefix(v.text)
	if err != nil {
		if a, aerr := netip.ParseAddr(v.text); aerr == nil {
			p, err = netip.PrefixFrom(a, a.BitLen()), nil
		}
	}
	switch {
	case err != nil:
		c.addFinding(v.loc, "address", fmt.Sprintf("%q is neither an address nor a network", v.text), "127.0.0.1, 10.0.0.0/8")
	case p != p.Masked():
		c.addFinding(v.loc, "address", fmt.Sprintf("%s has bits set beyond its prefix length", v.text), p.Masked().String())
	default:
		r.Clients = append(r.Clients, p)
	}
}

func (c *checker) parseListener(s *statement) {
	name, ok := c.parseHeader(s, true)
	l := &Listener{Name: name, locations: locationMap{}}
	c.parseBlock(s, l.locations, map[string]func(*statement){
		"address": func(s *statement) {
			if v, ok := c.singleValue(s); ok && c.parseAddress(v, true) {
				l.Addr = v.text
			}
		},
	})
	if ok && l.locations["address"] == (location{}) {
		c.addFinding(s.loc, "address", "a listener without an address", `address "127.0.0.1:7001"`)
	}
	if ok {
		c.plan.Listeners[name] = l
	}
}

func (c *checker) parseLimits(s *statement) {
	c.parseHeader(s, false)
	l := &c.plan.Limits
	l.locations = locationMap{}
	c.parseBlock(s, l.locations, map[string]func(*statement){
		"clients":   func(s *statement) { l.ClientConns = c.parseCount(s, 1, 1e6) },
		"open":      func(s *statement) { l.OpenRequests = c.parseCount(s, 1, 1e6) },
		"providers": func(s *statement) { l.CacheConns = c.parseCount(s, 1, 1e6) },
		"origin":    func(s *statement) { l.OriginConns = c.parseCount(s, 1, 1e6) },
		"places":    func(s *statement) { l.ConnsPerCore = c.parseCount(s, 3, 1e5) },

		"concurrency": func(s *statement) { c.parseConcurrency(s, &l.Concurrency) },
		"queue":       func(s *statement) { c.parseQueue(s, &l.MaxQueueLength, &l.MaxQueueTime) },
	})
}

func (c *checker) parseFleet(s *statement) {
	c.parseHeader(s, false)
	f := &c.plan.Fleet
	f.locations = locationMap{}
	c.parseBlock(s, f.locations, map[string]func(*statement){
		"view":     c.parseWord(&f.View, "on", "off"),
		"out":      func(s *statement) { f.RoutersOut = c.parseBound(s) },
		"out-zone": func(s *statement) { f.RoutersOutPerZone = c.parseBound(s) },

		"caches":      func(s *statement) { f.CachesOut = c.parseBound(s) },
		"caches-zone": func(s *statement) { f.CachesOutPerZone = c.parseBound(s) },
	})
	for name, b := range map[string][2]Bound{"out-zone": {f.RoutersOutPerZone, f.RoutersOut}, "caches-zone": {f.CachesOutPerZone, f.CachesOut}} {
		if zone, all := b[0], b[1]; zone.Number > max(1, all.Number) && all.Fraction == 0 {
			c.addFinding(f.locations.lookup(name), "bounds",
				fmt.Sprintf("more may be out of one zone (%v) than of the whole fleet (%v)", zone, all), "")
		}
	}
	if f.View == "off" && (f.RoutersOut != Bound{} || f.RoutersOutPerZone != Bound{} || f.CachesOut != Bound{} || f.CachesOutPerZone != Bound{}) {
		c.addFinding(f.locations.lookup("view"), "bounds", "these bounds need the fleet view, which is off", "on")
	}
}

// parseBound parses a number of routers or servers, or a percentage.
func (c *checker) parseBound(s *statement) (b Bound) {
	if len(s.values) == 1 && strings.HasSuffix(s.values[0].text, "%") {
		b.Fraction = c.singleQuantity(s, unit.Fraction, 0.001, 1)
		return b
	}
	b.Number = c.parseCount(s, 1, permit.MaxSlots)
	return b
}

// parseWord returns a parser that accepts one of the given words and stores it in target.
func (c *checker) parseWord(target *string, words ...string) func(*statement) {
	return func(s *statement) {
		if v, ok := c.singleValue(s); ok && slices.Contains(words, v.text) {
			*target = v.text
		} else if ok {
			c.addFinding(v.loc, "word", fmt.Sprintf("%s can't be %q", s.name, v.text), strings.Join(words, ", "))
		}
	}
}

func (c *checker) parseLog(s *statement) {
	c.parseHeader(s, false)
	l := &c.plan.Log
	l.locations = locationMap{}
	c.parseBlock(s, l.locations, map[string]func(*statement){
		"level":  c.parseWord(&l.Level, "debug", "info", "warn", "error"),
		"format": c.parseWord(&l.Format, "text", "json"),
		"rate":   func(s *statement) { l.Rate = c.singleQuantity(s, unit.Rate, 0.01, 1000) },
	})
}
