// Package opfile reads and writes the syntax of an operator's file: words, strings, blocks and comments, each with
// its position. It does not interpret statements; package plan does.
//
// The package does no I/O. Time and memory grow linearly with the size of the text.
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
	// MaxBytes is the maximum size of a file, in bytes.
	MaxBytes = 1 << 20
	// MaxDepth is the maximum nesting depth of blocks. The language needs two levels, and the parser recurses once
	// for each level.
	MaxDepth = 8
	// MaxFindings is the maximum number of syntax findings for one file.
	MaxFindings = 100
)

// Pos is a position in a file. Line and Column count from 1, columns in characters.
type Pos struct {
	File         string
	Line, Column int
}

// String returns the position as file:line:column.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Compare orders positions by file, line and column.
func (p Pos) Compare(q Pos) int {
	return cmp.Or(cmp.Compare(p.File, q.File), cmp.Compare(p.Line, q.Line), cmp.Compare(p.Column, q.Column))
}

// Finding describes one fault in a file.
type Finding struct {
	Pos    Pos
	Width  int    // number of characters that it concerns; 0 if the fault has no position in the text
	Rule   string // name of the violated rule, stable across versions of the program
	Text   string // description of the fault
	Accept string // what is accepted instead
}

// Error returns the finding in one line.
func (f *Finding) Error() string {
	text := fmt.Sprintf("%v: %s (%s)", f.Pos, f.Text, f.Rule)
	if f.Accept != "" {
		text += "; accepted: " + f.Accept
	}
	return text
}

// File is the syntax tree of one file.
type File struct {
	Name  string
	Lines []*Line
}

// Line is a statement, a comment on a line of its own, or the end of a line.
type Line struct {
	End       bool       `parser:"(  @Newline"`
	Comment   string     `parser:" | @Comment"`
	Statement *Statement `parser:" | @@ )"`
}

// Statement is a name with its values, and possibly a block.
type Statement struct {
	Pos             lexer.Position
	Name            string   `parser:"@Word"`
	Values          []*Value `parser:"@@*"`
	Block           *Block   `parser:"@@?"`
	TrailingComment string   `parser:"@Comment?"` // the comment after it on the same line
}

// Value is one value in its source form. Exactly one of Word, Text and Const is set.
type Value struct {
	Pos   lexer.Position
	Word  string `parser:"  @Word"`
	Text  string `parser:"| @String"` // including its quotes
	Const string `parser:"| @Const"`  // including its dollar sign
}

// Block is the text between braces.
type Block struct {
	Lines []*Line `parser:"Open @@* Close"`
}

// String returns the value in its source form.
func (v *Value) String() string { return v.Word + v.Text + v.Const }

// Plain returns the content of the value: a word as it is, a string without its quotes.
func (v *Value) Plain() string {
	if v.Text == "" {
		return v.String()
	}
	text, err := strconv.Unquote(v.Text)
	if err != nil {
		return v.Text // unreachable: Parse has checked the escapes
	}
	return text
}

// Statements returns the statements among lines.
func Statements(lines []*Line) []*Statement {
	var s []*Statement
	for _, l := range lines {
		if l.Statement != nil {
			s = append(s, l.Statement)
		}
	}
	return s
}

// lexerDefinition defines the tokens. Bad comes last and matches any remaining character, so that every fault in a
// text is found and not only the first.
var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
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

// Token types of the lexer.
var (
	tokenTypes  = lexerDefinition.Symbols()
	newlineType = tokenTypes["Newline"]
	spaceType   = tokenTypes["Space"]
	stringType  = tokenTypes["String"]
	openType    = tokenTypes["Open"]
	closeType   = tokenTypes["Close"]
	badType     = tokenTypes["Bad"]
)

// grammar builds the parser when the first file is read, so that a router without a file does not hold it in memory.
var grammar = sync.OnceValue(func() *participle.Parser[chunk] {
	return participle.MustBuild[chunk](participle.Lexer(lexerDefinition), participle.Elide("Space"))
})

// Grammar returns the grammar of the parser in EBNF.
func Grammar() string { return grammar().String() }

// chunk is the text between two line ends outside all blocks. Each chunk is parsed separately, so that an error in
// one does not hide errors in the others.
type chunk struct {
	Lines []*Line `parser:"@@*"`
}

// Parse parses a file. The findings, in the order of the text, describe what could not be parsed; the file contains
// the rest.
func Parse(name string, b []byte) (*File, []*Finding) {
	f := &File{Name: name}
	if len(b) > MaxBytes {
		return f, []*Finding{{Pos: Pos{name, 1, 1}, Rule: "file-size", Accept: fmt.Sprintf("%d bytes at the most", MaxBytes),
			Text: fmt.Sprintf("the file has %d bytes", len(b))}}
	}
	if offset := invalidUTF8(b); offset >= 0 {
		head := string(b[:offset])
		line := strings.Count(head, "\n") + 1
		column := utf8.RuneCountInString(head[strings.LastIndexByte(head, '\n')+1:]) + 1
		return f, []*Finding{{Pos: Pos{name, line, column}, Rule: "encoding", Text: "a byte that is not valid UTF-8", Accept: "UTF-8"}}
	}
	lx, err := lexerDefinition.LexString(name, string(b))
	if err != nil { // unreachable: lexing a string does not fail
		return f, []*Finding{{Pos: Pos{name, 1, 1}, Rule: "form", Text: err.Error()}}
	}
	p := &parser{file: f}
	p.read(lx)
	slices.SortStableFunc(p.findings, func(a, b *Finding) int { return a.Pos.Compare(b.Pos) })
	return f, p.findings
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8, or -1.
func invalidUTF8(b []byte) int {
	for i := 0; i < len(b); {
		r, n := utf8.DecodeRune(b[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// parser splits the tokens of a file into chunks and parses them.
type parser struct {
	file     *File
	findings []*Finding
	pending  []lexer.Token // tokens of the current chunk
	broken   bool          // a fault of the pending chunk has been reported
}

func (p *parser) addFinding(t lexer.Token, width int, rule, what, accept string) {
	p.broken = true
	if len(p.findings) < MaxFindings {
		p.findings = append(p.findings, &Finding{PosOf(t.Pos), width, rule, what, accept})
	}
}

// PosOf converts a position of the lexer.
func PosOf(p lexer.Position) Pos { return Pos{p.Filename, p.Line, p.Column} }

// read reads all tokens and parses each chunk at its end.
func (p *parser) read(lx lexer.Lexer) {
	var open []lexer.Token
	depthReported := false
	for {
		t, err := lx.Next()
		if err != nil {
			p.addFinding(lexer.Token{Pos: lexer.Position{Filename: p.file.Name, Line: 1, Column: 1}}, 0, "form", err.Error(), "")
			return
		}
		switch t.Type {
		case spaceType:
			continue
		case lexer.EOF:
			for _, o := range open[:min(len(open), MaxDepth)] {
				p.addFinding(o, 1, "brace", "this block has no end", "} behind its last statement")
			}
			p.parseChunk(t)
			return
		case badType:
			p.reportBad(t)
			continue
		case stringType:
			if _, err := strconv.Unquote(t.Value); err != nil {
				p.addFinding(t, utf8.RuneCountInString(t.Value), "string", "a string with an unknown escape", `\\, \", \n, \t`)
			}
		case openType:
			if open = append(open, t); len(open) > MaxDepth && !depthReported {
				p.addFinding(t, 1, "depth", fmt.Sprintf("blocks are nested more than %d deep", MaxDepth), "")
				depthReported = true // one finding is enough
			}
		case closeType:
			if len(open) == 0 {
				p.addFinding(t, 1, "brace", "a } without an open block", "")
				continue
			}
			open = open[:len(open)-1]
		}
		if p.pending = append(p.pending, t); t.Type == newlineType && len(open) == 0 {
			p.parseChunk(lexer.EOFToken(t.Pos))
		}
	}
}

// reportBad adds a finding for a character that starts no token.
func (p *parser) reportBad(t lexer.Token) {
	switch t.Value {
	case `"`:
		p.addFinding(t, 1, "string", "a string does not end in its line", `a " at its end`)
	case "$":
		p.addFinding(t, 1, "name", "a $ without the name of a constant", "$name")
	default:
		p.addFinding(t, 1, "character", fmt.Sprintf("%q can't be part of a word", t.Value), "")
	}
}

// parseChunk parses the pending chunk, unless a fault in it has already been reported.
func (p *parser) parseChunk(end lexer.Token) {
	chunkTokens, broken := p.pending, p.broken
	p.pending, p.broken = nil, false
	if broken || len(chunkTokens) == 0 {
		return
	}
	if len(chunkTokens) == 1 && chunkTokens[0].Type == newlineType {
		p.file.Lines = append(p.file.Lines, &Line{End: true})
		return
	}
	peeking, err := lexer.Upgrade(&replayLexer{tokens: chunkTokens, end: end}, spaceType)
	if err == nil {
		var c *chunk
		if c, err = grammar().ParseFromLexer(peeking); err == nil {
			p.file.Lines = append(p.file.Lines, c.Lines...)
			return
		}
	}
	t, what := chunkTokens[0], err.Error()
	if parseErr := participle.Error(nil); errors.As(err, &parseErr) {
		t.Pos, what = parseErr.Position(), parseErr.Message()
	}
	index := slices.IndexFunc(chunkTokens, func(c lexer.Token) bool { return c.Pos == t.Pos })
	if index >= 0 && (chunkTokens[index].Type == stringType || chunkTokens[index].Type == openType ||
		strings.HasPrefix(chunkTokens[index].Value, "$")) {
		what = fmt.Sprintf("%s instead of the name of a statement", chunkTokens[index].Value)
	}
	width := 1
	if index >= 0 {
		width = utf8.RuneCountInString(chunkTokens[index].Value)
	}
	p.addFinding(t, width, "form", what, "name value ... { statements }")
	p.broken = false
}

// replayLexer is a lexer that returns tokens that were read before.
type replayLexer struct {
	tokens []lexer.Token
	end    lexer.Token
}

func (r *replayLexer) Next() (lexer.Token, error) {
	if len(r.tokens) == 0 {
		return r.end, nil
	}
	t := r.tokens[0]
	r.tokens = r.tokens[1:]
	return t, nil
}
