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

// Release is a plan of a release: the same language as an operator's file, with other statements.
type Release struct {
	Name     string
	Program  string   // what changed routers show in the view: their program
	Settings string   // or their settings; one of both is stated
	Replace  []string // the command that replaces a router; {number} and {address} stand for it
	Back     []string // and the one that brings the former back
	State    string   // folder in which the driver keeps what it must not forget
	ByZone   bool     // one zone after the other
	Canary   int      // routers in the first wave
	First    int      // in the second
	Grow     int      // and how many times the one before each further one
	Most     int      // in a wave; 0: any number
	Soak     time.Duration
	Settle   time.Duration
	Permit   time.Duration
	Requests int     // fewer show nothing
	Error    float64 // chance that a good version is halted
	Margin   float64 // part of requests by which a changed router may do worse
	Routers  map[int]string
	pos      places
	routers  map[int]place
}

// Routers have numbers of 16 bits in the datagrams that they send each other.
const (
	mostNumber  = 1<<16 - 1
	mostRouters = mostNumber
)

// MostReleaseName is the longest name of a release.
const MostReleaseName = 24

// LoadRelease reads a plan of a release, as Load reads an operator's file. Paths of the folder are relative to it.
func LoadRelease(name string, read func(name string) ([]byte, error)) (*Release, *Report) {
	l := &loader{read: read, report: &Report{texts: map[string][]string{}}, seen: map[string]bool{}, constants: map[string]*constant{}}
	l.file(filepath.Clean(name), place{opfile.Pos{File: name, Line: 1, Column: 1}, 0})
	c := &checker{loader: l, named: map[string]place{}}
	r := &Release{Canary: 1, First: 2, Grow: 2, Soak: 30 * time.Second, Settle: time.Minute, Permit: 2 * time.Minute, Requests: 500,
		Error: 0.01, Margin: 0.01, Routers: map[int]string{}, pos: places{}, routers: map[int]place{}}
	var releases []*statement
	for _, raw := range l.statements {
		switch s := l.resolve(raw); s.name {
		case "release":
			releases = append(releases, s)
			c.release(s, r)
		case "router":
			c.router(s, r)
		default:
			c.find(s.at, "statement", fmt.Sprintf("there is no statement %q", s.name), "const, include, release, router")
		}
	}
	if len(releases) != 1 {
		c.find(place{opfile.Pos{File: name, Line: 1, Column: 1}, 0}, "release", fmt.Sprintf("%d releases", len(releases)), "one release NAME { ... }")
	}
	if len(r.Routers) < 2 {
		c.find(place{opfile.Pos{File: name, Line: 1, Column: 1}, 0}, "routers", "fewer than two routers", `router 0 "127.0.0.1:9190"`)
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

func (c *checker) release(s *statement, r *Release) {
	name, ok := c.begin(s, true)
	if r.Name = name; len(name) > MostReleaseName {
		c.find(s.at, "values", fmt.Sprintf("the name has %d characters", len(name)), fmt.Sprintf("%d at the most", MostReleaseName))
	}
	words := func(into *[]string) func(*statement) {
		return func(s *statement) {
			c.noBlock(s)
			for _, v := range s.values {
				*into = append(*into, v.text)
			}
			if len(*into) == 0 || (*into)[0] == "" {
				c.find(s.at, "values", s.name+" takes a command", s.name+` "./replace.sh" "{number}"`)
			}
		}
	}
	shown := func(into *string) func(*statement) {
		return func(s *statement) {
			if v, ok := c.one(s); ok {
				if _, err := strconv.ParseUint(v.text, 16, 32); err != nil || len(v.text) != 8 {
					c.find(v.at, "figure", fmt.Sprintf("%q is not what a router shows", v.text), "eight digits, as bin/hoptiller fleet shows them: d1041006")
				}
				*into = v.text
			}
		}
	}
	order := ""
	c.block(s, r.pos, map[string]func(*statement){
		"program":  shown(&r.Program),
		"settings": shown(&r.Settings),
		"replace":  words(&r.Replace),
		"back":     words(&r.Back),
		"state": func(s *statement) {
			if v, ok := c.one(s); ok {
				r.State = v.text
			}
		},
		"order":    c.word(&order, "zone", "number"),
		"canary":   func(s *statement) { r.Canary = c.count(s, 1, mostRouters) },
		"wave":     func(s *statement) { r.First = c.count(s, 1, mostRouters) },
		"grow":     func(s *statement) { r.Grow = c.count(s, 1, 10) },
		"most":     func(s *statement) { r.Most = c.count(s, 1, mostRouters) },
		"soak":     func(s *statement) { r.Soak = c.time(s, time.Second, 24*time.Hour) },
		"settle":   func(s *statement) { r.Settle = c.time(s, 5*time.Second, time.Hour) },
		"permit":   func(s *statement) { r.Permit = c.time(s, 5*time.Second, 24*time.Hour) },
		"requests": func(s *statement) { r.Requests = c.count(s, 50, 1e9) },
		"error":    func(s *statement) { r.Error = c.number(s, unit.Part, 0.0001, 0.2) },
		"margin":   func(s *statement) { r.Margin = c.number(s, unit.Part, 0, 0.5) },
	})
	if r.ByZone = order == "zone"; !ok {
		return
	}
	if (r.Program == "") == (r.Settings == "") {
		c.find(s.at, "figure", "it must be stated what changed routers show", "program d1041006, or settings 4fc80064")
	}
	for name, missing := range map[string]bool{"replace": len(r.Replace) == 0, "back": len(r.Back) == 0, "state": r.State == ""} {
		if _, said := r.pos[name]; missing && !said {
			c.find(s.at, name, "there is no "+name, map[string]string{"replace": `replace "./replace.sh" "{number}"`,
				"back": `back "./replace.sh" "{number}" former`, "state": `state "release-state"`}[name])
		}
	}
	if r.Most > 0 && r.Most < max(r.First, r.Canary) {
		c.find(r.pos.of("most"), "bounds", fmt.Sprintf("a wave has %d at the most, and the first ones have %d and %d", r.Most, r.Canary, r.First), "")
	}
}

func (c *checker) router(s *statement, r *Release) {
	c.noBlock(s)
	if len(s.values) != 2 {
		c.find(s.at, "values", "router takes its number and its operators' address", `router 0 "127.0.0.1:9190"`)
		return
	}
	n, err := strconv.Atoi(s.values[0].text)
	if err != nil || n < 0 || n > mostNumber {
		c.find(s.values[0].at, "range", fmt.Sprintf("%q is no number of a router", s.values[0].text), fmt.Sprintf("0 to %d", mostNumber))
		return
	}
	if before, twice := r.routers[n]; twice {
		c.find(s.values[0].at, "redefined", fmt.Sprintf("router %d is stated at %v already", n, before.pos), "")
		return
	}
	addr := s.values[1].text
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		c.find(s.values[1].at, "address", fmt.Sprintf("%q is no address with a port", addr), "127.0.0.1:9190")
		return
	}
	r.Routers[n], r.routers[n] = addr, s.values[0].at
}

// Find makes a report of what is found wrong with a plan when it is held against the fleet: about a statement of its block, or,
// if that is empty, about a router.
func (r *Release) Find(report *Report, statement string, router int, rule, what string) {
	at, ok := r.pos.of(statement), true
	if statement == "" {
		at, ok = r.routers[router]
	}
	if !ok {
		at = r.pos.of("")
	}
	report.Findings = append(report.Findings, &opfile.Finding{Pos: at.pos, Width: at.width, Rule: rule, Text: what})
}

// Command puts a router's number and address into a command.
func Command(words []string, number int, addr string) (list []string) {
	for _, w := range words {
		w = strings.ReplaceAll(w, "{number}", strconv.Itoa(number))
		list = append(list, strings.ReplaceAll(w, "{address}", addr))
	}
	return list
}
