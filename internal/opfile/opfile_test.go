package opfile

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
)

// sameContent reports whether two files contain the same words in the same order, regardless of white space.
func sameContent(a, b []*Line) bool {
	x, y := contentWords(nil, a), contentWords(nil, b)
	return fmt.Sprint(x) == fmt.Sprint(y)
}

// contentWords appends the words and comments of lines to list.
func contentWords(list []string, lines []*Line) []string {
	for _, l := range lines {
		if l.Comment != "" {
			list = append(list, trimComment(l.Comment))
		}
		if s := l.Statement; s != nil {
			list = append(list, "statement", s.Name)
			for _, v := range s.Values {
				list = append(list, v.String())
			}
			if s.Block != nil {
				list = append(contentWords(append(list, "{"), s.Block.Lines), "}")
			}
			list = append(list, trimComment(s.TrailingComment))
		}
	}
	return list
}

func TestFormat(t *testing.T) {
	in := "\n\n# top\npool  near {zone \"a b\"   $east # note \n\n\n # own\n}\nroute x { class book }  pool y{}\n\n\n\n#end"
	want := "# top\npool near {\n\tzone \"a b\" $east # note\n\n\t# own\n}\nroute x {\n\tclass book\n}\npool y {}\n\n#end\n"
	f, findings := Parse("x", []byte(in))
	if got := f.Format(); len(findings) > 0 || string(got) != want {
		t.Errorf("%v\n%s", findings, got)
	}
}

// Each chunk is parsed separately: a fault in one hides nothing in the others, and the valid statements are kept.
func TestFindings(t *testing.T) {
	in := "a \"x\nb $ 1\npool x {\n \"y\"\n}\ngood 1\n} c\nd \"\\q\"\ne {\nf \x01\n"
	f, findings := Parse("f", []byte(in))
	var got []string
	for _, x := range findings {
		got = append(got, fmt.Sprintf("%d:%d %s", x.Pos.Line, x.Pos.Column, x.Rule))
	}
	want := "[1:3 string 2:3 name 4:2 form 7:1 brace 8:3 string 9:3 brace 10:3 character]"
	if fmt.Sprint(got) != want || len(f.Lines) == 0 || len(Statements(f.Lines)) == 0 || Statements(f.Lines)[0].Name != "good" {
		t.Errorf("%v, %s", got, f.Format())
	}
	if _, findings := Parse("f", []byte("a \"ü\xff")); len(findings) != 1 || findings[0].Pos.Column != 5 {
		t.Errorf("%v", findings)
	}
}

// Large or deeply nested texts are refused quickly and without deep recursion.
func TestBoundedFindings(t *testing.T) {
	for name, text := range map[string]string{
		"file-size": strings.Repeat("a b\n", 10<<20/4),
		"depth":     strings.Repeat("a {", 100_000) + strings.Repeat("}", 100_000),
		"brace":     strings.Repeat("}", 100_000),
		"string":    strings.Repeat("\"\n", 100_000),
	} {
		_, findings := Parse("f", []byte(text))
		if len(findings) == 0 || len(findings) > MaxFindings || findings[0].Rule != name {
			t.Errorf("%s: %d findings, %.200v", name, len(findings), findings)
		}
	}
}

// The memory for parsing a file grows linearly with its size and not quadratically. The same holds for the time,
// which this test does not measure because it varies between runs.
func TestLinearMemory(t *testing.T) {
	bytesFor := func(n int) float64 {
		text := bytes.Repeat([]byte("route x { class book # y\n}\n"), n)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if _, findings := Parse("f", text); len(findings) > 0 {
			t.Fatal(findings)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	bytesFor(10)
	if small, large := bytesFor(500), bytesFor(8000); large > 16*1.5*small {
		t.Errorf("16 times the text took %.0f bytes, compared with %.0f", large, small)
	}
}

// The formatted text contains what was parsed, and formatting it again changes nothing.
func TestFormatKeepsMeaning(t *testing.T) {
	piece := rapid.SampledFrom([]string{"a", "1s", "\"x y\"", "$c", " ", "\t", "\n", "\n\n", "{", "}", "# c\n", "#",
		"{\n", "}\n", "é"})
	rapid.Check(t, func(t *rapid.T) {
		checkFormat(t, []byte(strings.Join(rapid.SliceOfN(piece, 0, 40).Draw(t, "text"), "")))
	})
}

func checkFormat(t interface{ Fatalf(string, ...any) }, in []byte) {
	f, findings := Parse("f", in)
	if len(findings) > 0 {
		return
	}
	out := f.Format()
	g, findings := Parse("f", out)
	if len(findings) > 0 || !sameContent(f.Lines, g.Lines) {
		t.Fatalf("%q became %q: %v", in, out, findings)
	}
	if again := g.Format(); !bytes.Equal(out, again) {
		t.Fatalf("%q was formatted as %q, and that as %q", in, out, again)
	}
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("../plan/testdata/*/*.hop")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte("a \"b\" $c { d # e\n} \"\\x\" \x00"))
	f.Fuzz(func(t *testing.T, in []byte) { checkFormat(t, in) })
}

// The grammar in the documentation is the one that the parser is built from.
func TestGrammarIsDocumented(t *testing.T) {
	b, err := os.ReadFile("../../docs/grammar.ebnf")
	if err != nil || strings.TrimSpace(string(b)) != strings.TrimSpace(Grammar()) {
		t.Errorf("%v; the grammar is now:\n%s", err, Grammar())
	}
}
