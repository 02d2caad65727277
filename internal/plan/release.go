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
	Name                 string
	ProgramDigest        string         // digest of the program that updated routers show in the view
	SettingsDigest       string         // digest of the settings that they show; either ProgramDigest or SettingsDigest is stated
	ReplaceCommand       []string       // command that replaces a router, with {number} and {address} as placeholders
	RollbackCommand      []string       // command that restores the previous version of a router
	StateDir             string         // folder for the state that the driver must keep
	ByZone               bool           // waves cover one zone after the other
	CanarySize           int            // number of routers in the first wave
	SecondWaveSize       int            // number of routers in the second wave
	GrowthFactor         int            // factor from one wave to the next
	MaxWaveSize          int            // largest number of routers in a wave; 0: any number
	SoakDuration         time.Duration  // observation time after each wave
	ReplaceTimeout       time.Duration  // limit on the time until a replaced router is back
	PermitTimeout        time.Duration  // limit on the wait for a permit
	MinRequests          int            // smallest number of requests for a comparison
	FalseHaltProbability float64        // probability that a good version is halted
	Margin               float64        // fraction of requests by which an updated router may do worse
	RouterAddrs          map[int]string // addresses by router number
	locations            locationMap
	routerLocations      map[int]location
}

// Router numbers have 16 bits in the datagrams between routers.
const (
	maxRouterNumber = 1<<16 - 1
	maxRouters      = maxRouterNumber
)

// MaxReleaseName is the maximum length of a release's name, in bytes.
const MaxReleaseName = 24

// LoadRelease reads a release plan as Load reads an operator's file. A relative path of the state
// folder is relative to the plan's folder.
func LoadRelease(name string, read func(name string) ([]byte, error)) (*Release, *Report) {
	l := &loader{read: read, report: &Report{texts: map[string][]string{}}, loaded: map[string]bool{},
		constants: map[string]*constant{}}
	l.loadFile(filepath.Clean(name), location{opfile.Pos{File: name, Line: 1, Column: 1}, 0})
	c := &checker{loader: l, definitions: map[string]location{}}
	r := &Release{CanarySize: 1, SecondWaveSize: 2, GrowthFactor: 2, SoakDuration: 30 * time.Second, ReplaceTimeout: time.Minute, PermitTimeout: 2 * time.Minute, MinRequests: 500,
		FalseHaltProbability: 0.01, Margin: 0.01, RouterAddrs: map[int]string{}, locations: locationMap{}, routerLocations: map[int]location{}}
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
	if len(r.RouterAddrs) < 2 {
		c.addFinding(location{opfile.Pos{File: name, Line: 1, Column: 1}, 0}, "routers", "fewer than two routers",
			`router 0 "127.0.0.1:9190"`)
	}
	if !filepath.IsAbs(r.StateDir) {
		r.StateDir = filepath.Join(filepath.Dir(name), r.StateDir)
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
		"program":  parseDigest(&r.ProgramDigest),
		"settings": parseDigest(&r.SettingsDigest),
		"replace":  parseCommand(&r.ReplaceCommand),
		"back":     parseCommand(&r.RollbackCommand),
		"state": func(s *statement) {
			if v, ok := c.singleValue(s); ok {
				r.StateDir = v.text
			}
		},
		"order":    c.parseWord(&order, "zone", "number"),
		"canary":   func(s *statement) { r.CanarySize = c.parseCount(s, 1, maxRouters) },
		"wave":     func(s *statement) { r.SecondWaveSize = c.parseCount(s, 1, maxRouters) },
		"grow":     func(s *statement) { r.GrowthFactor = c.parseCount(s, 1, 10) },
		"most":     func(s *statement) { r.MaxWaveSize = c.parseCount(s, 1, maxRouters) },
		"soak":     func(s *statement) { r.SoakDuration = c.parseTime(s, time.Second, 24*time.Hour) },
		"settle":   func(s *statement) { r.ReplaceTimeout = c.parseTime(s, 5*time.Second, time.Hour) },
		"permit":   func(s *statement) { r.PermitTimeout = c.parseTime(s, 5*time.Second, 24*time.Hour) },
		"requests": func(s *statement) { r.MinRequests = c.parseCount(s, 50, 1e9) },
		"error":    func(s *statement) { r.FalseHaltProbability = c.singleQuantity(s, unit.Fraction, 0.0001, 0.2) },
		"margin":   func(s *statement) { r.Margin = c.singleQuantity(s, unit.Fraction, 0, 0.5) },
	})
	if r.ByZone = order == "zone"; !ok {
		return
	}
	if (r.ProgramDigest == "") == (r.SettingsDigest == "") {
		c.addFinding(s.loc, "figure", "it must be stated what changed routers show", "program d1041006, or settings 4fc80064")
	}
	for name, missing := range map[string]bool{"replace": len(r.ReplaceCommand) == 0, "back": len(r.RollbackCommand) == 0, "state": r.StateDir == ""} {
		if _, stated := r.locations[name]; missing && !stated {
			c.addFinding(s.loc, name, "there is no "+name, map[string]string{"replace": `replace "./replace.sh" "{number}"`,
				"back": `back "./replace.sh" "{number}" former`, "state": `state "release-state"`}[name])
		}
	}
	if r.MaxWaveSize > 0 && r.MaxWaveSize < max(r.SecondWaveSize, r.CanarySize) {
		c.addFinding(r.locations.lookup("most"), "bounds",
			fmt.Sprintf("a wave has at most %d routers, but the first ones have %d and %d", r.MaxWaveSize, r.CanarySize, r.SecondWaveSize), "")
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
	r.RouterAddrs[n], r.routerLocations[n] = addr, s.values[0].loc
}

// AddFinding adds a finding from the comparison of the plan with the running fleet to report. The finding concerns a
// statement of the release block, or, if statement is empty, a router.
func (r *Release) AddFinding(report *Report, statement string, router int, rule, what string) {
	loc, ok := r.locations.lookup(statement), true
	if statement == "" {
		loc, ok = r.routerLocations[router]
	}
	if !ok {
		loc = r.locations.lookup("")
	}
	report.Findings = append(report.Findings, &opfile.Finding{Pos: loc.pos, Width: loc.width, Rule: rule, Text: what})
}

// ExpandCommand replaces the placeholders in a command by a router's number and address.
func ExpandCommand(words []string, number int, addr string) (list []string) {
	for _, w := range words {
		w = strings.ReplaceAll(w, "{number}", strconv.Itoa(number))
		list = append(list, strings.ReplaceAll(w, "{address}", addr))
	}
	return list
}
