package plan

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"hoptiller/internal/opfile"
	"hoptiller/internal/unit"
)

// Release is a parsed release plan. Its file uses the language of operators' files with other statements.
type Release struct {
	Name            string
	Program         string         // digest of the program that updated routers show in the view
	Settings        string         // digest of the settings that they show; either Program or Settings is stated
	Replace         []string       // command that replaces a router, with {number} and {address} as placeholders
	Back            []string       // command that restores the previous version of a router
	State           string         // folder for the state that the driver must keep
	ByZone          bool           // waves cover one zone after the other
	Canary          int            // number of routers in the first wave
	First           int            // number of routers in the second wave
	Grow            int            // factor from one wave to the next
	Most            int            // largest number of routers in a wave; 0: any number
	Soak            time.Duration  // observation time after each wave
	Settle          time.Duration  // limit on the time until a replaced router is back
	Permit          time.Duration  // limit on the wait for a permit
	Requests        int            // smallest number of requests for a comparison
	Error           float64        // probability that a good version is halted
	Margin          float64        // fraction of requests by which an updated router may do worse
	Routers         map[int]string // addresses by router number
	locations       locationMap
	routerLocations map[int]location
}

// Router numbers have 16 bits in the datagrams between routers.
const (
	maxRouterNumber = 1<<16 - 1
	maxRouters      = maxRouterNumber
)

// MaxReleaseName is the maximum length of a release's name, in bytes.
const MaxReleaseName = 24

// LoadRelease reads a release plan in the way in which Load reads an operator's file. A relative path of the state
// folder is relative to the plan's folder.
func LoadRelease(name string, read func(name string) ([]byte, error)) (*Release, *Report) {
	l := &loader{read: read, report: &Report{texts: map[string][]string{}}, loaded: map[string]bool{},
		constants: map[string]*constant{}}
	l.loadFile(filepath.Clean(name), location{opfile.Pos{File: name, Line: 1, Column: 1}, 0})
	c := &checker{loader: l, definitions: map[string]location{}}
	r := &Release{Canary: 1, First: 2, Grow: 2, Soak: 30 * time.Second, Settle: time.Minute, Permit: 2 * time.Minute, Requests: 500,
		Error: 0.01, Margin: 0.01, Routers: map[int]string{}, locations: locationMap{}, routerLocations: map[int]location{}}
	var releases []*statement
	for _, raw := range l.statements {
		switch s := l.resolveStatement(raw); s.name {
		case "release":
			releases = append(releases, s)
			c.parseRelease(s, r)
		case "router":
			c.parseRouter(s, r)
		default:
			c.addFinding(s.loc, "statement", fmt.Sprintf("there is no statement %q", s.name), "const, include, release, router")
		}
	}
	if len(releases) != 1 {
		c.addFinding(location{opfile.Pos{File: name, Line: 1, Column: 1}, 0}, "release",
			fmt.Sprintf("%d releases", len(releases)), "one release NAME { ... }")
	}
	if len(r.Routers) < 2 {
		c.addFinding(location{opfile.Pos{File: name, Line: 1, Column: 1}, 0}, "routers", "fewer than two routers",
			`router 0 "127.0.0.1:9190"`)
	}
	if !filepath.IsAbs(r.State) {
		r.State = filepath.Join(filepath.Dir(name), r.State)
	}
	slices.SortStableFunc(l.report.Findings, func(a, b *opfile.Finding) int { return a.Pos.Compare(b.Pos) })
	if len(l.report.Findings) > 0 {
		return nil, l.report
	}
	return r, l.report
}

func (c *checker) parseRelease(s *statement, r *Release) {
	name, ok := c.parseHeader(s, true)
	if r.Name = name; len(name) > MaxReleaseName {
		c.addFinding(s.loc, "values", fmt.Sprintf("the name has %d characters", len(name)),
			fmt.Sprintf("%d at the most", MaxReleaseName))
	}
	parseCommand := func(target *[]string) func(*statement) {
		return func(s *statement) {
			c.rejectBlock(s)
			for _, v := range s.values {
				*target = append(*target, v.text)
			}
			if len(*target) == 0 || (*target)[0] == "" {
				c.addFinding(s.loc, "values", s.name+" takes a command", s.name+` "./replace.sh" "{number}"`)
			}
		}
	}
	parseDigest := func(target *string) func(*statement) {
		return func(s *statement) {
			if v, ok := c.singleValue(s); ok {
				if _, err := strconv.ParseUint(v.text, 16, 32); err != nil || len(v.text) != 8 {
					c.addFinding(v.loc, "figure", fmt.Sprintf("%q is not what a router shows", v.text),
						"eight digits, as bin/hoptiller fleet shows them: d1041006")
				}
				*target = v.text
			}
		}
	}
	order := ""
	c.parseBlock(s, r.locations, map[string]func(*statement){
		"program":  parseDigest(&r.Program),
		"settings": parseDigest(&r.Settings),
		"replace":  parseCommand(&r.Replace),
		"back":     parseCommand(&r.Back),
		"state": func(s *statement) {
			if v, ok := c.singleValue(s); ok {
				r.State = v.text
			}
		},
		"order":    c.parseWord(&order, "zone", "number"),
		"canary":   func(s *statement) { r.Canary = c.parseCount(s, 1, maxRouters) },
		"wave":     func(s *statement) { r.First = c.parseCount(s, 1, maxRouters) },
		"grow":     func(s *statement) { r.Grow = c.parseCount(s, 1, 10) },
		"most":     func(s *statement) { r.Most = c.parseCount(s, 1, maxRouters) },
		"soak":     func(s *statement) { r.Soak = c.parseTime(s, time.Second, 24*time.Hour) },
		"settle":   func(s *statement) { r.Settle = c.parseTime(s, 5*time.Second, time.Hour) },
		"permit":   func(s *statement) { r.Permit = c.parseTime(s, 5*time.Second, 24*time.Hour) },
		"requests": func(s *statement) { r.Requests = c.parseCount(s, 50, 1e9) },
		"error":    func(s *statement) { r.Error = c.singleQuantity(s, unit.Fraction, 0.0001, 0.2) },
		"margin":   func(s *statement) { r.Margin = c.singleQuantity(s, unit.Fraction, 0, 0.5) },
	})
	if r.ByZone = order == "zone"; !ok {
		return
	}
	if (r.Program == "") == (r.Settings == "") {
		c.addFinding(s.loc, "figure", "it must be stated what changed routers show", "program d1041006, or settings 4fc80064")
	}
	for name, missing := range map[string]bool{"replace": len(r.Replace) == 0, "back": len(r.Back) == 0, "state": r.State == ""} {
		if _, stated := r.locations[name]; missing && !stated {
			c.addFinding(s.loc, name, "there is no "+name, map[string]string{"replace": `replace "./replace.sh" "{number}"`,
				"back": `back "./replace.sh" "{number}" former`, "state": `state "release-state"`}[name])
		}
	}
	if r.Most > 0 && r.Most < max(r.First, r.Canary) {
		c.addFinding(r.locations.lookup("most"), "bounds",
			fmt.Sprintf("a wave has at most %d routers, but the first ones have %d and %d", r.Most, r.Canary, r.First), "")
	}
}

func (c *checker) parseRouter(s *statement, r *Release) {
	c.rejectBlock(s)
	if len(s.values) != 2 {
		c.addFinding(s.loc, "values", "router takes its number and its operators' address", `router 0 "127.0.0.1:9190"`)
		return
	}
	n, err := strconv.Atoi(s.values[0].text)
	if err != nil || n < 0 || n > maxRouterNumber {
		c.addFinding(s.values[0].loc, "range", fmt.Sprintf("%q is not a router number", s.values[0].text),
			fmt.Sprintf("0 to %d", maxRouterNumber))
		return
	}
	if before, defined := r.routerLocations[n]; defined {
		c.addFinding(s.values[0].loc, "redefined", fmt.Sprintf("router %d is stated at %v already", n, before.pos), "")
		return
	}
	addr := s.values[1].text
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		c.addFinding(s.values[1].loc, "address", fmt.Sprintf("%q is not an address with a port", addr), "127.0.0.1:9190")
		return
	}
	r.Routers[n], r.routerLocations[n] = addr, s.values[0].loc
}

// Find adds a finding from the comparison of the plan with the running fleet to report. The finding concerns a
// statement of the release block, or, if statement is empty, a router.
func (r *Release) Find(report *Report, statement string, router int, rule, what string) {
	loc, ok := r.locations.lookup(statement), true
	if statement == "" {
		loc, ok = r.routerLocations[router]
	}
	if !ok {
		loc = r.locations.lookup("")
	}
	report.Findings = append(report.Findings, &opfile.Finding{Pos: loc.pos, Width: loc.width, Rule: rule, Text: what})
}

// Command replaces the placeholders in a command by a router's number and address.
func Command(words []string, number int, addr string) (list []string) {
	for _, w := range words {
		w = strings.ReplaceAll(w, "{number}", strconv.Itoa(number))
		list = append(list, strings.ReplaceAll(w, "{address}", addr))
	}
	return list
}
