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
	mostFiles    = 64  // files of one plan
	mostIncludes = 16  // files that include one another in a chain
	mostFindings = 200 // that are told of one plan

	// mostValues of one statement, once constants are put in: the addresses of a pool of 1,024 servers, and room to grow. It
	// bounds what constants of constants can come to.
	mostValues = 4096

	// mostRules bounds what a request is held against, pairs of a key and a client's network. Neither routers nor servers are
	// among them.
	mostRules = 2048
)

// Report is what Load found wrong.
type Report struct {
	Findings []*opfile.Finding
	texts    map[string][]string // lines of each file, to be shown
}

// Err is nil where nothing is wrong; else it says the first finding, and how many there are.
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

// Error says all findings, as String does.
func (r *Report) Error() string { return strings.TrimSuffix(r.String(), "\n") }

// String says all findings, each with its line of the file and a marker under what it concerns.
func (r *Report) String() string {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%v: %s (%s)\n", f.Pos, f.Text, f.Rule)
		if lines := r.texts[f.Pos.File]; f.Width > 0 && f.Pos.Line <= len(lines) {
			line := []rune(strings.TrimRight(lines[f.Pos.Line-1], "\r"))
			from := min(f.Pos.Column-1, len(line))
			// Of a very long line the part round the marker is shown.
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

// loader puts the files of a plan together.
type loader struct {
	read       func(name string) ([]byte, error)
	report     *Report
	seen       map[string]bool
	chain      []string // files that are being read, each included by the one before it
	statements []*opfile.Statement
	constants  map[string]*constant
}

type constant struct {
	at     place
	raw    []*opfile.Value
	values []value
	done   bool // values are known
	going  bool // they are being found out
}

// statement is a statement whose constants are put in.
type statement struct {
	name   string
	at     place
	values []value
	block  []*statement
	braces bool
}

// value is a value with the place where it is written; for one from a constant, that of the constant's use.
type value struct {
	text   string
	quoted bool
	at     place
	from   string // the constant that it comes from
}

// Load reads a file and what it includes, and gives its meaning. The plan is nil
// where anything is wrong; the report then says all that is, in the order of the
// text. Paths in an include are relative to the file that it stands in.
func Load(name string, read func(name string) ([]byte, error), p *Platform) (*Plan, *Report) {
	l := &loader{read: read, report: &Report{texts: map[string][]string{}}, seen: map[string]bool{}, constants: map[string]*constant{}}
	l.file(filepath.Clean(name), place{opfile.Pos{File: name, Line: 1, Column: 1}, 0})
	var statements []*statement
	for _, s := range l.statements {
		statements = append(statements, l.resolve(s))
	}
	for _, name := range sorted(l.constants) {
		l.constant(l.constants[name], nil) // those that are used nowhere must make sense too
	}
	plan := newPlan(p)
	c := &checker{loader: l, plan: plan, platform: p}
	c.all(statements)
	slices.SortStableFunc(l.report.Findings, func(a, b *opfile.Finding) int { return a.Pos.Compare(b.Pos) })
	if len(l.report.Findings) > 0 {
		return nil, l.report
	}
	plan.table = compile(plan)
	return plan, l.report
}

func (l *loader) find(at place, rule, what, accept string) {
	if len(l.report.Findings) < mostFindings {
		l.report.Findings = append(l.report.Findings, &opfile.Finding{Pos: at.pos, Width: at.width, Rule: rule, Text: what, Accept: accept})
	}
}

func placeOf(pos lexer.Position, text string) place {
	return place{opfile.Place(pos), utf8.RuneCountInString(text)}
}

// file takes a file's statements, unless they have been taken: a file that two others include counts once.
func (l *loader) file(name string, at place) {
	if i := slices.Index(l.chain, name); i >= 0 {
		l.find(at, "include-cycle", "these files include one another: "+strings.Join(append(slices.Clone(l.chain[i:]), name), " -> "), "")
		return
	}
	switch {
	case l.seen[name]:
		return
	case len(l.seen) >= mostFiles || len(l.chain) >= mostIncludes:
		l.find(at, "includes", fmt.Sprintf("more than %d files, or more than %d that include one another", mostFiles, mostIncludes), "")
		return
	}
	l.seen[name] = true
	text, err := l.read(name)
	if err != nil {
		l.find(at, "include", "can't be read: "+err.Error(), "")
		return
	}
	f, findings := opfile.Parse(name, text)
	if len(text) <= opfile.MostBytes {
		l.report.texts[name] = strings.Split(string(text), "\n")
	}
	for _, x := range findings {
		l.find(place{x.Pos, x.Width}, x.Rule, x.Text, x.Accept)
	}
	l.chain = append(l.chain, name)
	defer func() { l.chain = l.chain[:len(l.chain)-1] }()
	for _, s := range opfile.Statements(f.Lines) {
		at := placeOf(s.Pos, s.Name)
		switch s.Name {
		case "include":
			if len(s.Values) != 1 || s.Block != nil || s.Values[0].Const != "" {
				l.find(at, "values", "include takes the path of one file", `include "other.hop"`)
				continue
			}
			path := s.Values[0].Plain()
			if !filepath.IsAbs(path) {
				path = filepath.Join(filepath.Dir(name), path)
			}
			l.file(filepath.Clean(path), placeOf(s.Values[0].Pos, s.Values[0].String()))
		case "const":
			l.define(s, at)
		default:
			l.statements = append(l.statements, s)
		}
	}
}

// define takes a constant. Constants hold in all files, also in those before them.
func (l *loader) define(s *opfile.Statement, at place) {
	if len(s.Values) < 2 || s.Block != nil || s.Values[0].Word == "" || !isName(s.Values[0].Word) {
		l.find(at, "values", "const takes a name and its values", "const quick 40ms")
		return
	}
	name := s.Values[0].Word
	at = placeOf(s.Values[0].Pos, name)
	if before := l.constants[name]; before != nil {
		l.find(at, "redefined", fmt.Sprintf("the constant %s is defined at %v already", name, before.at.pos), "another name")
		return
	}
	l.constants[name] = &constant{at: at, raw: s.Values[1:]}
}

// isName tells whether a word can name something.
func isName(s string) bool {
	for i, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
		if !letter && (i == 0 || c != '-' && (c < '0' || c > '9')) {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// constant finds out the values of a constant, which may name others.
func (l *loader) constant(c *constant, use *opfile.Value) []value {
	switch {
	case c.done:
	case c.going:
		l.find(placeOf(use.Pos, use.Const), "constant-cycle", use.Const+" is stated by itself", "")
	default:
		c.going = true
		c.values = l.values(c.raw)
		c.done, c.going = true, false
	}
	return c.values
}

// values puts the constants in.
func (l *loader) values(raw []*opfile.Value) []value {
	var all []value
	for _, v := range raw {
		at := placeOf(v.Pos, v.String())
		if v.Const == "" {
			all = append(all, value{v.Plain(), v.Text != "", at, ""})
		} else if c := l.constants[v.Const[1:]]; c == nil {
			l.find(at, "constant", "there is no constant "+v.Const[1:], "")
			all = append(all, value{from: v.Const[1:], at: at}) // stands for what is missing
		} else {
			for _, x := range l.constant(c, v) {
				all = append(all, value{x.text, x.quoted, at, v.Const[1:]})
			}
		}
		if len(all) > mostValues {
			l.find(at, "values", fmt.Sprintf("more than %d values", mostValues), "")
			return all[:mostValues]
		}
	}
	return all
}

func (l *loader) resolve(s *opfile.Statement) *statement {
	r := &statement{name: s.Name, at: placeOf(s.Pos, s.Name), values: l.values(s.Values), braces: s.Block != nil}
	if s.Block != nil {
		for _, inner := range opfile.Statements(s.Block.Lines) {
			r.block = append(r.block, l.resolve(inner))
		}
	}
	return r
}
