package hoptiller

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI passes over exactly the tests that KNOWN-RED.txt names, and prints them. It rejects a list of more than nine tests, a test
// that does not exist, a test whose name occurs more than once, an entry without its command, its seed, what was seen or an open
// issue, and lines that it can't parse.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(".ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	const line = "./a TestOne: `go test ./a -run TestOne -count=9`, seed 7: it hangs in 1 of 9 (issue 9)\n"
	const two = "./a TestTwo: `bin/hoplab soak --seeds 1`, seed 1: b (issue 1)\n"
	const three = ". TestThree: `go test . -run TestThree`, no seed: c (issue 2)"
	entry := func(pkg, name string) string {
		return pkg + " " + name + ": `go test " + pkg + " -run " + name + "`, no seed: x (issue 1)\n"
	}
	for name, c := range map[string]struct{ file, flag, says string }{
		"no file":        {"", "", ""},
		"one":            {line, "-skip=^(TestOne)$\n", "known red: " + line},
		"three":          {line + two + three, "-skip=^(TestOne|TestTwo|TestThree)$\n", "known red: " + three + "\n"},
		"four":           {line + two + three + "\n" + entry("./a", "TestFour"), "-skip=^(TestOne|TestTwo|TestThree|TestFour)$\n", ""},
		"ten":            {strings.Repeat(line, 10), "", "10 tests are listed"},
		"not there":      {entry("./a", "TestNone"), "", "./a has no TestNone"},
		"not there now":  {entry("./a", "TestOn"), "", "./a has no TestOn"},
		"other package":  {entry("./b", "TestOne"), "", "./b has no TestOne"},
		"there twice":    {entry("./a", "TestBoth"), "", "TestBoth is there more than once"},
		"no command":     {"./a TestOne: it hangs (issue 9)\n", "", "line 1 is not"},
		"empty command":  {"./a TestOne: ``, seed 7: it hangs (issue 9)\n", "", "line 1 is not"},
		"no seed":        {"./a TestOne: `go test ./a -run TestOne`: it hangs (issue 9)\n", "", "line 1 is not"},
		"nothing seen":   {"./a TestOne: `go test ./a -run TestOne`, seed 7: (issue 9)\n", "", "line 1 is not"},
		"no issue":       {"./a TestOne: `go test ./a -run TestOne`, seed 7: it hangs\n", "", "line 1 is not"},
		"ended issue":    {"./a TestOne: `go test ./a -run TestOne`, seed 7: it hangs (issue 3)\n", "", "issue 3 is not among the open ones: 1,2,9"},
		"other command":  {"./a TestOne: `true`, seed 7: it hangs (issue 9)\n", "", "none of go test, bin/hoplab and make"},
		"other test":     {"./a TestOne: `go test ./a -run TestTwo`, seed 7: it hangs (issue 9)\n", "", "does not run TestOne"},
		"elsewhere":      {"./a TestOne: `go test ./b -run TestOne`, seed 7: it hangs (issue 9)\n", "", "does not test ./a"},
		"empty line":     {line + "\n", "", "line 2 is not"},
		"empty":          {"\n", "", "line 1 is not"},
		"pattern":        {"./a Test.*: `go test ./a -run Test.*`, seed 7: it hangs (issue 1)\n", "", "line 1 is not"},
		"several a line": {"./a TestOne|TestTwo: `go test ./a -run TestOne`, seed 7: x (issue 1)\n", "", "line 1 is not"},
		"no open issues": {"open: none", "", "no line \"Open issues"},
	} {
		dir := t.TempDir()
		write := func(path, text string) {
			if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, path), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		write("a/x_test.go", "func TestOne(t *testing.T) {\nfunc TestTwo(t *testing.T) {\nfunc TestFour(t *testing.T) {\nfunc TestBoth(t *testing.T) {\n")
		write("b/x_test.go", "func TestBoth(t *testing.T) {\n")
		write("x_test.go", "func TestThree(t *testing.T) {\n")
		if c.file != "open: none" {
			write("docs/ROADMAP.md", "# Roadmap\n\nOpen issues: 1, 2, 9\n")
		}
		if c.file != "" {
			write("KNOWN-RED.txt", c.file)
		}
		cmd := exec.Command(script)
		cmd.Dir = dir
		var said strings.Builder
		cmd.Stderr = &said
		flag, err := cmd.Output()
		if bad := c.flag == "" && c.says != ""; string(flag) != c.flag || (err != nil) != bad || !strings.Contains(said.String(), c.says) {
			t.Errorf("%s: output %q, error output %q, error %v", name, flag, said.String(), err)
		}
	}
}
