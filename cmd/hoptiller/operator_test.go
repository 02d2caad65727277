package main

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"
)

// TestCommands runs each command and checks its exit code and parts of its output.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		return path
	}
	config := put("config.json", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":`+settings+`}`)
	good := put("good.hop", "policy p {\n\trate 5/s\n}\nroute r {\n\tclass read\n\tpolicy p\n}\n")
	ugly := put("ugly.hop", "# kept\npolicy p { rate  6/s }\nroute r { class read\n policy p }")
	bad := put("bad.hop", "route r {\n\tclass reed\n}\nroute q {\n\tpool x\n}\n")
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"check " + good, 0, []string{"1 routes, 0 pools, 1 policies"}},
		{"check " + bad + " " + good, 3, []string{"bad.hop:2:8: there is no class \"reed\" (class)", "\tclass reed\n",
			"^~~~\n", "accepted: read, book, cancel", "bad.hop:5:7: there is no pool", "1 routes"}},
		{"check nothing.hop", 3, []string{"can't be read: no such file"}},
		{"check " + dir, 3, []string{"no regular file"}},
		{"fmt " + ugly, 0, []string{"# kept\npolicy p {\n\trate 6/s\n}\n"}},
		{"fmt --diff " + good, 0, nil},
		{"fmt --diff " + ugly, 3, []string{"- policy p { rate  6/s }", "+ \trate 6/s"}},
		{"fmt --write " + ugly, 0, nil},
		{"fmt --diff " + ugly, 0, nil},
		{"diff " + good + " " + good, 0, nil},
		{"diff " + good + " " + ugly, 3, []string{"~ policy p\n    rate: 5/s burst 1 -> 6/s burst 1\n~ route r\n"}},
		{"diff " + good + " " + bad, 3, []string{"reed"}},
		{"explain " + good + " --class read", 0, []string{"route r\n", "timeout: 9s", "rate: 5/s", "route r: taken"}},
		{"explain " + good + " --class book", 0, []string{"no route\n", "route r: another class"}},
		{"explain " + good + " --class x", 1, []string{"there is no class"}},
		{"version", 0, []string{"built with go"}},
		{"completion bash", 0, []string{"complete -F _hoptiller hoptiller", "explain) words="}},
		{"completion zsh", 0, []string{"bashcompinit"}},
		{"completion fish", 0, []string{"-a explain"}},
		{"completion csh", 80, nil},
		{"nonsense", 80, nil},
		{"serve --file " + bad, 1, []string{"bad.hop:2:8", "bad.hop:5:7", "the operator's file can't be used"}},
		{"serve --log-level loud", 1, []string{"log level"}},
	} {
		cmd := exec.Command(programPath, strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code {
			t.Errorf("%s: exit code %d, not %d: %s", c.args, code, c.code, out)
		}
		for _, s := range c.want {
			if !strings.Contains(string(out), s) {
				t.Errorf("%s: no %q in:\n%s", c.args, s, out)
			}
		}
	}
	if info, err := os.Stat(ugly); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("a rewritten file has another mode: %v", info.Mode())
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".hoptiller-*")); len(left) > 0 {
		t.Errorf("temporary files were not removed: %v", left)
	}
	cmd := exec.Command(programPath, "check", good)
	cmd.Env = []string{}
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "RELAY_CONFIG is not set") {
		t.Errorf("without a configuration: %s", out)
	}
}

// TestShippedFile checks that the operator's file in deploy has no errors and is formatted.
func TestShippedFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/prairie.hop")
	if err != nil {
		t.Fatal(err)
	}
	booking := strings.Replace(settings, `"name":"read"`, `"name":"slot-view"`, 1)
	config := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(config, []byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":`+booking+`}`), 0o600)
	cmd := exec.Command(programPath, "check", "--config", config, "../../deploy/prairie.hop")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%s", out)
	}
	out, err := exec.Command(programPath, "fmt", "../../deploy/prairie.hop").Output()
	if err != nil || string(out) != string(text) {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestReadConsistent checks that reading a file that does not exist fails, and that a file which is replaced during reads is
// always read completely, in its old or its new version.
func TestReadConsistent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.hop")
	if _, err := readConsistent(path); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	a, b := strings.Repeat("a b\n", 50_000), strings.Repeat("c d\n", 40_000)
	os.WriteFile(path, []byte(a), 0o600)
	done := make(chan bool)
	go func() {
		defer close(done)
		for range 200 {
			if replaceFile(path, []byte(b)) != nil || replaceFile(path, []byte(a)) != nil {
				t.Error("the file could not be replaced")
			}
		}
	}()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		default:
		}
		if text, err := readConsistent(path); err != nil || string(text) != a && string(text) != b {
			t.Fatalf("%v, %d bytes", err, len(text))
		}
	}
}

// changingFile simulates a file that is written during remainingWrites more reads: the second Stat then returns another size.
type changingFile struct {
	fs.File
	remainingWrites *int
	stats           int
}

func (g *changingFile) Stat() (fs.FileInfo, error) {
	if g.stats++; g.stats == 2 && *g.remainingWrites > 0 {
		*g.remainingWrites--
		return fs.Stat(fstest.MapFS{"x": {Data: make([]byte, 99)}}, "x")
	}
	return g.File.Stat()
}

// TestReadUntilUnchanged checks that a file that is written while it is read is read again, and that reading fails if the file
// changes each time.
func TestReadUntilUnchanged(t *testing.T) {
	dir := fstest.MapFS{"x": {Data: []byte("a b\n"), Mode: 0o600}}
	for writes, want := range map[int]string{0: "a b\n", 2: "a b\n", 3: ""} {
		left := writes
		text, err := readUntilUnchanged(func() (fs.File, error) {
			f, err := dir.Open("x")
			return &changingFile{File: f, remainingWrites: &left}, err
		})
		if string(text) != want || (err == nil) != (want != "") {
			t.Errorf("written %d times: %q, %v", writes, text, err)
		}
	}
}
