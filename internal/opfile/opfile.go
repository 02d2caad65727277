// Package opfile reads and writes the text of an operator's file: words, strings,
// blocks and comments, each with its place. It knows the form and no meaning; what
// a statement may say is the affair of package plan.
//
// It does no I/O, and neither time nor memory grows faster than the text.
package opfile

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	// MostBytes is the size of the largest file that is read.
	MostBytes = 1 << 20
	// MaxDepth is how deep blocks may stand in one another. The language needs
	// two; the parser calls itself for each.
	MaxDepth = 8
	// MostFindings is how many things wrong with a form are told of one file.
	MostFindings = 100
)

// Pos is a place in a file. Line and Column count from 1, columns in characters.
type Pos struct {
	File         string
	Line, Column int
}

// String says file:line:column.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Compare orders places by file, line and column.
func (p Pos) Compare(q Pos) int {
	return cmp.Or(cmp.Compare(p.File, q.File), cmp.Compare(p.Line, q.Line), cmp.Compare(p.Column, q.Column))
}

// Finding is one thing wrong with a file.
type Finding struct {
	Pos    Pos
	Width  int    // characters that it concerns; 0 where it has no place in the text
	Rule   string // name of the rule that is broken, the same in each version of the program
	Text   string // what is wrong
	Accept string // what would be accepted
}

// Error says it in one line.
func (f *Finding) Error() string {
	text := fmt.Sprintf("%v: %s (%s)", f.Pos, f.Text, f.Rule)
	if f.Accept != "" {
		text += "; accepted: " + f.Accept
	}
	return text
}

// File is the form of one file.
type File struct {
	Name  string
	Lines []*Line
}

// Line is a statement, a comment that stands alone, or the end of a line.
type Line struct {
	End       bool       `parser:"(  @Newline"`
	Comment   string     `parser:" | @Comment"`
	Statement *Statement `parser:" | @@ )"`
}

// Statement is a name, its values and its block.
type Statement struct {
	Pos    lexer.Position
	Name   string   `parser:"@Word"`
	Values []*Value `parser:"@@*"`
	Block  *Block   `parser:"@@?"`
	Note   string   `parser:"@Comment?"` // the comment behind it
}

// Value is one value as it is written.
type Value struct {
	Pos   lexer.Position
	Word  string `parser:"  @Word"`
	Text  string `parser:"| @String"` // with its quotes
	Const string `parser:"| @Const"`  // with its dollar sign
}

// Block is what stands between braces.
type Block struct {
	Lines []*Line `parser:"Open @@* Close"`
}

// String is the value as it is written.
func (v *Value) String() string { return v.Word + v.Text + v.Const }

// Plain is what the value says: a word as it is, a string without its quotes.
func (v *Value) Plain() string {
	if v.Text == "" {
		return v.String()
	}
	text, err := strconv.Unquote(v.Text)
	if err != nil {
		return v.Text // the form has been checked: not reached from Parse
	}
	return text
}

// Statements gives the statements among some lines.
func Statements(lines []*Line) []*Statement {
	var s []*Statement
	for _, l := range lines {
		if l.Statement != nil {
			s = append(s, l.Statement)
		}
	}
	return s
}

// tokens is the form of the words. Bad comes last and takes what is left, so that all that is wrong is found
// and not the first of it alone.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Newline", Pattern: `\n`},
	{Name: "Space", Pattern: `[ \t\r]+`},
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"(?:\\.|[^"\\\n])*"`},
	{Name: "Open", Pattern: `\{`},
	{Name: "Close", Pattern: `\}`},
	{Name: "Const", Pattern: `\$[A-Za-z_][A-Za-z0-9_-]*`},
	{Name: "Word", Pattern: `[^\s{}"#$\x00-\x1f\x7f]+`},
	{Name: "Bad", Pattern: `(?s:.)`},
})

// The kinds of word, by their numbers.
var (
	symbols = tokens.Symbols()
	newline = symbols["Newline"]
	space   = symbols["Space"]
	text    = symbols["String"]
	opening = symbols["Open"]
	closing = symbols["Close"]
	bad     = symbols["Bad"]
)

// grammar is built when the first file is read: a router without one should not hold it.
var grammar = sync.OnceValue(func() *participle.Parser[chunk] {
	return participle.MustBuild[chunk](participle.Lexer(tokens), participle.Elide("Space"))
})

// Grammar is the grammar that the parser is built from, in EBNF.
func Grammar() string { return grammar().String() }

// chunk is what stands between two ends of lines outside all blocks. Each is parsed by itself, so that an error
// in one does not hide those in the others.
type chunk struct {
	Lines []*Line `parser:"@@*"`
}

// Parse reads the form of a file. What could not be read is told by the findings, in the order of the text; the
// file then has what could.
func Parse(name string, b []byte) (*File, []*Finding) {
	f := &File{Name: name}
	if len(b) > MostBytes {
		return f, []*Finding{{Pos: Pos{name, 1, 1}, Rule: "file-size", Accept: fmt.Sprintf("%d bytes at the most", MostBytes),
			Text: fmt.Sprintf("the file has %d bytes", len(b))}}
	}
	if at := invalid(b); at >= 0 {
		head := string(b[:at])
		line := strings.Count(head, "\n") + 1
		column := utf8.RuneCountInString(head[strings.LastIndexByte(head, '\n')+1:]) + 1
		return f, []*Finding{{Pos: Pos{name, line, column}, Rule: "encoding", Text: "a byte that is no UTF-8", Accept: "UTF-8"}}
	}
	lx, err := tokens.LexString(name, string(b))
	if err != nil { // not reached: a string can be lexed
		return f, []*Finding{{Pos: Pos{name, 1, 1}, Rule: "form", Text: err.Error()}}
	}
	p := &parser{file: f}
	p.read(lx)
	slices.SortStableFunc(p.findings, func(a, b *Finding) int { return a.Pos.Compare(b.Pos) })
	return f, p.findings
}

// invalid is where the first byte stands that is no UTF-8, or -1.
func invalid(b []byte) int {
	for i := 0; i < len(b); {
		r, n := utf8.DecodeRune(b[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

type parser struct {
	file     *File
	findings []*Finding
	chunk    []lexer.Token
	broken   bool // the chunk has a fault that is told already
}

func (p *parser) find(t lexer.Token, width int, rule, what, accept string) {
	p.broken = true
	if len(p.findings) < MostFindings {
		p.findings = append(p.findings, &Finding{PosOf(t.Pos), width, rule, what, accept})
	}
}

// Place is a position of the lexer's.
func PosOf(p lexer.Position) Pos { return Pos{p.Filename, p.Line, p.Column} }

// read takes token by token, and has each chunk parsed as it ends.
func (p *parser) read(lx lexer.Lexer) {
	var open []lexer.Token
	deep := false
	for {
		t, err := lx.Next()
		if err != nil {
			p.find(lexer.Token{Pos: lexer.Position{Filename: p.file.Name, Line: 1, Column: 1}}, 0, "form", err.Error(), "")
			return
		}
		switch t.Type {
		case space:
			continue
		case lexer.EOF:
			for _, o := range open[:min(len(open), MaxDepth)] {
				p.find(o, 1, "brace", "this block has no end", "} behind its last statement")
			}
			p.parse(t)
			return
		case bad:
			p.bad(t)
			continue
		case text:
			if _, err := strconv.Unquote(t.Value); err != nil {
				p.find(t, utf8.RuneCountInString(t.Value), "string", "a string with an escape that there is not", `\\, \", \n, \t`)
			}
		case opening:
			if open = append(open, t); len(open) > MaxDepth && !deep {
				p.find(t, 1, "depth", fmt.Sprintf("blocks stand more than %d deep in one another", MaxDepth), "")
				deep = true // once is enough
			}
		case closing:
			if len(open) == 0 {
				p.find(t, 1, "brace", "a } that ends no block", "")
				continue
			}
			open = open[:len(open)-1]
		}
		if p.chunk = append(p.chunk, t); t.Type == newline && len(open) == 0 {
			p.parse(lexer.EOFToken(t.Pos))
		}
	}
}

// bad tells what is wrong with a character that begins nothing.
func (p *parser) bad(t lexer.Token) {
	switch t.Value {
	case `"`:
		p.find(t, 1, "string", "a string has no end in its line", `a " at its end`)
	case "$":
		p.find(t, 1, "name", "a $ without the name of a constant", "$name")
	default:
		p.find(t, 1, "character", fmt.Sprintf("%q can't be part of a word", t.Value), "")
	}
}

// parse parses the chunk, unless it is known to be broken.
func (p *parser) parse(end lexer.Token) {
	part, broken := p.chunk, p.broken
	p.chunk, p.broken = nil, false
	if broken || len(part) == 0 {
		return
	}
	if len(part) == 1 && part[0].Type == newline {
		p.file.Lines = append(p.file.Lines, &Line{End: true})
		return
	}
	peeking, err := lexer.Upgrade(&replay{tokens: part, end: end}, space)
	if err == nil {
		var c *chunk
		if c, err = grammar().ParseFromLexer(peeking); err == nil {
			p.file.Lines = append(p.file.Lines, c.Lines...)
			return
		}
	}
	t, what := part[0], err.Error()
	if told := participle.Error(nil); errors.As(err, &told) {
		t.Pos, what = told.Position(), told.Message()
	}
	at := slices.IndexFunc(part, func(c lexer.Token) bool { return c.Pos == t.Pos })
	if at >= 0 && (part[at].Type == text || part[at].Type == opening || strings.HasPrefix(part[at].Value, "$")) {
		what = fmt.Sprintf("%s stands where the name of a statement is due", part[at].Value)
	}
	width := 1
	if at >= 0 {
		width = utf8.RuneCountInString(part[at].Value)
	}
	p.find(t, width, "form", what, "name value ... { statements }")
	p.broken = false
}

// replay gives out tokens that were read before.
type replay struct {
	tokens []lexer.Token
	end    lexer.Token
}

func (r *replay) Next() (lexer.Token, error) {
	if len(r.tokens) == 0 {
		return r.end, nil
	}
	t := r.tokens[0]
	r.tokens = r.tokens[1:]
	return t, nil
}
