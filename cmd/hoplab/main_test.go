package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"hoptiller/internal/testprog"
)

var programPath string // of the hoplab program that TestMain builds

func TestMain(m *testing.M) { testprog.Main(m, ".", &programPath) }

// TestCommands runs each command and checks its exit code and a part of its output.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"day.toml": "policies = [\"hoptiller\", \"ring\"]\nseries = true\nseeds = 8\n[day]\nwarm = \"2 s\"\nlength = \"4 s\"\n" +
			"[sweep]\n\"load.level\" = [0.3, 0.5]\n",
		"worse.toml": "policies = [\"p2c\"]\nseries = true\nseeds = 8\n[day]\nwarm = \"2 s\"\nlength = \"4 s\"\n" +
			"[sweep]\n\"load.level\" = [0.3, 0.5]\n",
		"plots.toml": "[day]\nwarm = \"1 s\"\nlength = \"2 s\"\n[sweep]\n\"load.level\" = [0.3, 0.5]\n" +
			"[plot]\nx = \"load.level\"\ny = [\"score\", \"call_p99\"]\n",
		"scale.toml":      "sizes = [50, 100]\n",
		"bad-scale.toml":  "sizes = [50]\nreal = 99\n",
		"long-scale.toml": "sizes = [1000]\nrepeat = 10\ntroubles = [\"cut\", \"loss\"]\n",
		"scale.jsonl": `{"scenario":"scale","size":50,"real":8,"seed":1,"figures":[{"phase":"calm","name":"sent","value":500,"worst":600}]}` + "\n" +
			`{"scenario":"scale","size":100,"real":8,"seed":1,"figures":[{"phase":"calm","name":"sent","value":600,"worst":7000}]}` + "\n",
		"bad.toml": "[day]\n\nfleet.cashes = 3\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"run day.toml", 0, "load.level=0.5"},
		{"run worse.toml -q", 0, ""},
		{"run plots.toml --plots drawn", 0, "0.5    hoptiller"},
		{"run bad.toml", 1, `bad.toml:3:1: there is no "day.fleet.cashes"`},
		{"run none.toml", 80, "none.toml"},
		{"run day.toml --sockets --router none", 1, "the router's program"},
		{"compare day.jsonl day.jsonl", 0, "0.0000 ± 0.0000"},
		{"compare day.jsonl worse.jsonl --against hoptiller", 3, "p2c has fallen at load.level=0.3"},
		{"compare day.jsonl worse.jsonl", 1, "no run in common"},
		{"table day.jsonl -x load.level", 0, "| load.level | hoptiller | ring |"},
		{"plot day.jsonl -x load.level -o a.svg", 0, ""},
		{"plot day.jsonl -x time -y load -o b.png", 0, ""},
		{"plot day.jsonl -y beauty -o c.svg", 1, `no number "beauty"`},
		{"story day.toml --router 1 --request 9", 0, "final answer"},
		{"story day.toml --router 1 --request 99999", 1, "has taken no request"},
		{"hunt --days 2 --for 30s --out found --policy random --rivals ring --seed 5", 3, "behind ring: 1 days"},
		{"hunt --policy best", 1, `policy "best" is not known`},
		{"load 10.0.0.1:80", 1, "no loopback address"},
		{"kinds", 0, "zone_loss"},
		{"pick --caches 5,20 --for 5ms -o pick.svg", 0, "rendezvous"},
		{"pick --caches 0", 1, "1 to 20000"},
		{"scale bad-scale.toml --router day.toml", 1, "bad-scale.toml:2: real is 99: 1 to 60 is possible"},
		{"scale long-scale.toml --router day.toml", 1, "and a run may take 10m0s"},
		{"scale scale.toml --router day.toml --sizes 5000", 1, "sizes has 5000: 4 to 1000 is possible"},
		{"scale scale.toml --router day.toml --seed 4", 1, "the file has seeds 1 to 1"},
		{"scale scale.toml", 1, "the router's program"},
		{"scale scale.toml --report scale.jsonl --plot scale.svg", 0, "sent 7000 of 6000 B/s (at 100)"},
		{"run --nonsense", 80, "unknown flag"},
	} {
		cmd := exec.Command(programPath, strings.Fields(test.args)...)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != test.code || !strings.Contains(string(out), test.want) {
			t.Errorf("hoplab %s: exit code %d, output\n%s\nwant %d and %q", test.args, code, out, test.code, test.want)
		}
	}
	for _, name := range []string{"a.svg", "b.png", "scale.svg", "drawn/plots-score.svg", "drawn/plots-call_p99.svg"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() < 1000 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
