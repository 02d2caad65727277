package hoptiller

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI leaves out the tests that KNOWN-RED.txt names, and nothing else: it tells them, and refuses more than three, one that is not
// there, one whose name others have too, and what it can't read.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(".ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	const line = "./a TestOne: it hangs (issue 9)\n"
	for name, c := range map[string]struct{ file, flag, says string }{
		"no file":        {"", "", ""},
		"one":            {line, "-skip=^(TestOne)$\n", "known red: " + line},
		"three":          {line + "./a TestTwo: b (issue 1)\n. TestThree: c (issue 2)", "-skip=^(TestOne|TestTwo|TestThree)$\n", "known red: . TestThree: c (issue 2)\n"},
		"four":           {line + "./a TestTwo: b (issue 1)\n. TestThree: c (issue 2)\n./a TestFour: d (issue 3)\n", "", "4 tests are listed"},
		"not there":      {"./a TestNone: x (issue 1)\n", "", "./a has no TestNone"},
		"not there now":  {"./a TestOn: x (issue 1)\n", "", "./a has no TestOn"},
		"other package":  {"./b TestOne: x (issue 1)\n", "", "./b has no TestOne"},
		"there twice":    {"./a TestBoth: x (issue 1)\n", "", "TestBoth is there more than once"},
		"no cause":       {"./a TestOne: (issue 1)\n", "", "line 1 is not"},
		"no issue":       {"./a TestOne: it hangs\n", "", "line 1 is not"},
		"empty line":     {line + "\n", "", "line 2 is not"},
		"empty":          {"\n", "", "line 1 is not"},
		"pattern":        {"./a Test.*: it hangs (issue 1)\n", "", "line 1 is not"},
		"several a line": {"./a TestOne|TestTwo: x (issue 1)\n", "", "line 1 is not"},
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
		if c.file != "" {
			write("KNOWN-RED.txt", c.file)
		}
		cmd := exec.Command(script)
		cmd.Dir = dir
		var said strings.Builder
		cmd.Stderr = &said
		flag, err := cmd.Output()
		if bad := c.flag == "" && c.says != ""; string(flag) != c.flag || (err != nil) != bad || !strings.Contains(said.String(), c.says) {
			t.Errorf("%s: gives %q, says %q, %v", name, flag, said.String(), err)
		}
	}
}
