package plan

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"hoptiller/internal/opfile"
)

const (
	maxFiles        = 64  // files of one plan
	maxIncludeDepth = 16  // files in a chain of includes
	maxFindings     = 200 // findings that one report contains

	// maxValues bounds the values of one statement after constants are replaced: enough for the addresses of a pool
	// of 1,024 servers, and room to grow. It also bounds the expansion of constants that contain constants.
	maxValues = 4096

	// maxMatchers bounds the pairs of a key prefix and a client network that a request is compared with. Their number
	// does not depend on the number of routers or servers.
	maxMatchers = 2048
)

// Report lists the findings about a plan.
type Report struct {
	Findings []*opfile.Finding
	texts    map[string][]string // lines of each file, for display
}

// Err returns nil if there are no findings. Otherwise it returns the first finding and the number of the others.
func (r *Report) Err() error {
	switch n := len(r.Findings); {
	case n == 0:
		return nil
	case n == 1:
		return r.Findings[0]
	default:
		return fmt.Errorf("%w; and %d more", r.Findings[0], n-1)
	}
}

// Error returns all findings in the form of String.
func (r *Report) Error() string { return strings.TrimSuffix(r.String(), "\n") }

// String returns all findings, each with its line of the file and a marker under the text that it concerns.
func (r *Report) String() string {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%v: %s (%s)\n", f.Pos, f.Text, f.Rule)
		if lines := r.texts[f.Pos.File]; f.Width > 0 && f.Pos.Line <= len(lines) {
			line := []rune(strings.TrimRight(lines[f.Pos.Line-1], "\r"))
			from := min(f.Pos.Column-1, len(line))
			// A very long line is shortened to the part around the marker.
			first := max(0, from-60)
			shown := line[first:min(len(line), from+60)]
			mark := strings.Map(func(c rune) rune {
				if c == '\t' {
					return c
				}
				return ' '
			}, string(shown[:from-first]))
			fmt.Fprintf(&b, "    %s\n    %s%s\n", string(shown), mark, "^"+strings.Repeat("~", min(60, f.Width)-1))
		}
		if f.Accept != "" {
			fmt.Fprintf(&b, "    accepted: %s\n", f.Accept)
		}
	}
	return b.String()
}

// loader collects the statements and constants of a plan from its files.
type loader struct {
	read         func(name string) ([]byte, error)
	report       *Report
	loaded       map[string]bool // names of the files that have been loaded
	includeChain []string        // files that are being loaded; each includes the next one
	statements   []*opfile.Statement
	constants    map[string]*constant
}

// constant is a constant with its unresolved and its resolved values.
type constant struct {
	loc       location
	raw       []*opfile.Value
	values    []value
	resolved  bool // values is complete
	resolving bool // values is being computed
}

// statement is a statement in which the constants are replaced by their values.
type statement struct {
	name     string
	loc      location
	values   []value
	block    []*statement
	hasBlock bool
}

// value is a value with its location. A value from a constant has the location at which the constant is used.
type value struct {
	text     string
	quoted   bool
	loc      location
	constant string // name of the constant that it comes from; empty: none
}

// Load reads a file with its includes and returns its plan. If there are findings, the plan is nil and the report
// lists all of them, in the order of the text. Paths in an include are relative to the file with the include.
func Load(name string, read func(name string) ([]byte, error), p *Platform) (*Plan, *Report) {
	l := &loader{read: read, report: &Report{texts: map[string][]string{}}, loaded: map[string]bool{},
		constants: map[string]*constant{}}
	l.loadFile(filepath.Clean(name), location{opfile.Pos{File: name, Line: 1, Column: 1}, 0})
	var statements []*statement
	for _, s := range l.statements {
		statements = append(statements, l.resolveStatement(s))
	}
	for _, name := range sortedKeys(l.constants) {
		l.constantValues(l.constants[name], nil) // unused constants must be valid too
	}
	plan := newPlan(p)
	c := &checker{loader: l, plan: plan, platform: p}
	c.check(statements)
	slices.SortStableFunc(l.report.Findings, func(a, b *opfile.Finding) int { return a.Pos.Compare(b.Pos) })
	if len(l.report.Findings) > 0 {
		return nil, l.report
	}
	plan.table = compile(plan)
	return plan, l.report
}

func (l *loader) addFinding(loc location, rule, what, accept string) {
	if len(l.report.Findings) < maxFindings {
		l.report.Findings = append(l.report.Findings,
			&opfile.Finding{Pos: loc.pos, Width: loc.width, Rule: rule, Text: what, Accept: accept})
	}
}

func locationOf(pos lexer.Position, text string) location {
	return location{opfile.PosOf(pos), utf8.RuneCountInString(text)}
}

// loadFile loads the statements of a file. A file that is included more than once is loaded once.
func (l *loader) loadFile(name string, loc location) {
	if i := slices.Index(l.includeChain, name); i >= 0 {
		l.addFinding(loc, "include-cycle",
			"these files include one another: "+strings.Join(append(slices.Clone(l.includeChain[i:]), name), " -> "), "")
		return
	}
	switch {
	case l.loaded[name]:
		return
	case len(l.loaded) >= maxFiles || len(l.includeChain) >= maxIncludeDepth:
		l.addFinding(loc, "includes", fmt.Sprintf("more than %d files, or more than %d that include one another",
			maxFiles, maxIncludeDepth), "")
		return
	}
	l.loaded[name] = true
	text, err := l.read(name)
	if err != nil {
		l.addFinding(loc, "include", "can't be read: "+err.Error(), "")
		return
	}
	f, findings := opfile.Parse(name, text)
	if len(text) <= opfile.MaxBytes {
		l.report.texts[name] = strings.Split(string(text), "\n")
	}
	for _, x := range findings {
		l.addFinding(location{x.Pos, x.Width}, x.Rule, x.Text, x.Accept)
	}
	l.includeChain = append(l.includeChain, name)
	defer func() { l.includeChain = l.includeChain[:len(l.includeChain)-1] }()
	for _, s := range opfile.Statements(f.Lines) {
		loc := locationOf(s.Pos, s.Name)
		switch s.Name {
		case "include":
			if len(s.Values) != 1 || s.Block != nil || s.Values[0].Const != "" {
				l.addFinding(loc, "values", "include takes the path of one file", `include "other.hop"`)
				continue
			}
			path := s.Values[0].Plain()
			if !filepath.IsAbs(path) {
				path = filepath.Join(filepath.Dir(name), path)
			}
			l.loadFile(filepath.Clean(path), locationOf(s.Values[0].Pos, s.Values[0].String()))
		case "const":
			l.defineConstant(s, loc)
		default:
			l.statements = append(l.statements, s)
		}
	}
}

// defineConstant records a constant. A constant is valid in all files, including those loaded before its definition.
func (l *loader) defineConstant(s *opfile.Statement, loc location) {
	if len(s.Values) < 2 || s.Block != nil || s.Values[0].Word == "" || !isName(s.Values[0].Word) {
		l.addFinding(loc, "values", "const takes a name and its values", "const quick 40ms")
		return
	}
	name := s.Values[0].Word
	loc = locationOf(s.Values[0].Pos, name)
	if previous := l.constants[name]; previous != nil {
		l.addFinding(loc, "redefined", fmt.Sprintf("the constant %s is defined at %v already", name, previous.loc.pos), "another name")
		return
	}
	l.constants[name] = &constant{loc: loc, raw: s.Values[1:]}
}

// isName reports whether a word is a valid name.
func isName(s string) bool {
	for i, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
		if !letter && (i == 0 || c != '-' && (c < '0' || c > '9')) {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// constantValues returns the values of a constant, whose definition may use other constants.
func (l *loader) constantValues(c *constant, use *opfile.Value) []value {
	switch {
	case c.resolved:
	case c.resolving:
		l.addFinding(locationOf(use.Pos, use.Const), "constant-cycle", use.Const+" is defined in terms of itself", "")
	default:
		c.resolving = true
		c.values = l.resolveValues(c.raw)
		c.resolved, c.resolving = true, false
	}
	return c.values
}

// resolveValues replaces constants by their values.
func (l *loader) resolveValues(raw []*opfile.Value) []value {
	var all []value
	for _, v := range raw {
		loc := locationOf(v.Pos, v.String())
		if v.Const == "" {
			all = append(all, value{v.Plain(), v.Text != "", loc, ""})
		} else if c := l.constants[v.Const[1:]]; c == nil {
			l.addFinding(loc, "constant", "there is no constant "+v.Const[1:], "")
			all = append(all, value{constant: v.Const[1:], loc: loc}) // placeholder for the missing value
		} else {
			for _, x := range l.constantValues(c, v) {
				all = append(all, value{x.text, x.quoted, loc, v.Const[1:]})
			}
		}
		if len(all) > maxValues {
			l.addFinding(loc, "values", fmt.Sprintf("more than %d values", maxValues), "")
			return all[:maxValues]
		}
	}
	return all
}

func (l *loader) resolveStatement(s *opfile.Statement) *statement {
	r := &statement{name: s.Name, loc: locationOf(s.Pos, s.Name), values: l.resolveValues(s.Values), hasBlock: s.Block != nil}
	if s.Block != nil {
		for _, inner := range opfile.Statements(s.Block.Lines) {
			r.block = append(r.block, l.resolveStatement(inner))
		}
	}
	return r
}
