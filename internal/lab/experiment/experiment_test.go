package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/unit"
)

const smallExperiment = `title = "small"
policies = ["hoptiller", "ring"]
seeds = 2
[day]
warm = "4 s"
length = "6 s"
[[day.fault]]
kind = "crash"
at = "1 s"
for = "2 s"
part = 0.2
[sweep]
"load.level" = [0.3, 0.6]
"fault.1.kind,fault.1.size" = [["crash", 0], ["errors", 0.5]]
`

// The error for each bad file is one line that names the position, the fault and the values that are allowed.
func TestBadFiles(t *testing.T) {
	for text, want := range map[string]string{
		"titel = \"x\"":                               `x.toml:1:1: there is no "titel"`,
		"[day]\nlength = \"5\"":                       `x.toml:2:10: "5" has no unit of time`,
		"[day]\nlength = \"5 MB\"":                    `x.toml:2:10: "5 MB" is a size, and a time is meant`,
		"[day]\nlength = \"1s 500\"":                  `x.toml:2:10: "1s 500": "s 500" is no unit of time`,
		"[day]\nrouters = 3\n[day.fleet]\ncaches = 0": "x.toml:4: fleet.caches is 0: 1 to 20000 is possible",
		"[day]\nfleet.caches = 0":                     "x.toml:2: fleet.caches is 0: 1 to 20000 is possible",
		"[[day.fault]]\nkind = \"fire\"":              `x.toml:2: fault 1: kind is "fire": must be one of add,`,
		"policies = [\"best\"]":                       `x.toml:1: policy "best" is not known: hoptiller, random`,
		"[plot]\nx = \"load.level\"":                  `x.toml:2: plot over "load.level": "time" or a figure of the sweep is meant`,
		"[plot]\nx = \"time\"":                        `x.toml:2: plot over "time": series = true is needed for that`,
		"seeds = -1":                                  "x.toml:1: seeds is -1: 1 to 100000 is possible",
		"[sweep]\n\"load.level\" = 3":                 `x.toml:2: sweep of "load.level": a list of values is meant`,
		"[sweep]\n\"load.levle\" = [3]":               `x.toml:2: sweep at map[load.levle:3]: there is no "day.load.levle"`,
		"[sweep]\n\"load.level\" = [99]":              `x.toml:2: sweep at map[load.level:99]: load.level is 99: 0 to 10 is possible`,
		"[sweep]\n\"a,b\" = [[1]]":                    `x.toml:2: sweep of "a,b": lists of 2 values are meant`,
		"[sweep]\n\"fault.2.size\" = [0.5]":           `x.toml:2: sweep at map[fault.2.size:0.5]`,
		"title = ":                                    "x.toml:1:",
		"[day]\nrouters = \"three\"":                  "x.toml:2:11:",
	} {
		_, err := Parse("x.toml", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n got %v\nwant %s", text, err, want)
		}
	}
}

// The same experiment gives the same bytes on one core and on four, and reading the results back gives equal records.
func TestRunOnCores(t *testing.T) {
	f, err := Parse("small.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	var one, four bytes.Buffer
	records, err := f.Run(context.Background(), 1, &one, nil)
	if err != nil || len(records) != 16 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	if _, err := f.Run(context.Background(), 4, &four, nil); err != nil || !bytes.Equal(one.Bytes(), four.Bytes()) {
		t.Errorf("one core and four differ, %v", err)
	}
	path := filepath.Join(t.TempDir(), "out.jsonl")
	if err := os.WriteFile(path, one.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	read, complete, err := ReadRecords(path)
	if err != nil || !complete || len(read) != len(records) {
		t.Fatalf("%d read, complete %v, %v", len(read), complete, err)
	}
	for i := range read {
		if read[i].Score != records[i].Score || read[i].Point() != records[i].Point() {
			t.Errorf("record %d differs after it was read back", i)
		}
	}
	var table bytes.Buffer
	if err := WriteTable(&table, records, "fault.1.kind", "service"); err != nil ||
		!strings.HasPrefix(table.String(), "| fault.1.kind | hoptiller | ring |\n") ||
		strings.Count(table.String(), "**") != 4 {
		t.Errorf("%v\n%s", err, &table)
	}
	rows, missing := Compare(records, read, []string{"score", "book.service"})
	if len(rows) != 16 || missing != 0 || rows[0].Difference.Mean != 0 || rows[0].Difference.Significant() {
		t.Errorf("%d rows, %d missing, %+v", len(rows), missing, rows[0])
	}
}

// An interrupted experiment keeps its finished runs and marks the results as incomplete.
func TestInterrupted(t *testing.T) {
	f, err := Parse("small.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var out bytes.Buffer
	records, err := f.Run(ctx, 1, &out, func(n, _ int, _ *Record) {
		if n == 3 {
			cancel()
		}
	})
	if err == nil || len(records) != 3 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	path := filepath.Join(t.TempDir(), "out.jsonl")
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if read, complete, err := ReadRecords(path); len(read) != 3 || complete || err != nil {
		t.Errorf("%d read, complete %v, %v", len(read), complete, err)
	}
	if _, _, err := ReadRecords(os.DevNull); err != nil {
		t.Error(err)
	}
	os.WriteFile(path, []byte("{\"policy\":\"x\"}\nnonsense\n"), 0o600)
	var e *Error
	if _, _, err := ReadRecords(path); !errors.As(err, &e) || e.Line != 2 {
		t.Errorf("a line that is no JSON: %v", err)
	}
}

// A day that is written as an experiment file and parsed again is the same day.
func TestWrite(t *testing.T) {
	for n := range 20 {
		day := Draw(3, n)
		text, err := Marshal("drawn", []string{"ring"}, &day)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Parse("x.toml", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		a, _ := tree(&day)
		b, _ := tree(&f.Day)
		if len(differing(a, b)) > 0 || len(text) > 1500 {
			t.Errorf("day %d differs after it was read back: %v\n%s", n, differing(a, b), text)
		}
	}
}

func TestEstimate(t *testing.T) {
	e := NewEstimate([]float64{1, 2, 3, 4, 5}) // from a table of Student's t: 3 ± 2.776 * 1.5811 / sqrt(5)
	if math.Abs(e.Mean-3) > 1e-9 || math.Abs(e.HalfWidth-1.963) > 0.001 || !e.Significant() {
		t.Errorf("got %v", e)
	}
	if NewEstimate([]float64{4}).Significant() {
		t.Error("a single value is taken as significant")
	}
}

// A hunt against a policy with a known weakness finds it and simplifies the day.
func TestHunt(t *testing.T) {
	h := &Hunt{Policy: "random", Rivals: []string{"ring"}, Margin: 0.1, Seed: 5, Cores: 2, MaxSimplifications: 6}
	var found []*Finding
	played, err := h.Run(context.Background(), 2, func(f *Finding) { found = append(found, f) })
	if err != nil || played != 2 || len(found) != 2 {
		t.Fatalf("%d played, %d found, %v", played, len(found), err)
	}
	for _, f := range found {
		drawn := Draw(5, f.Number)
		if len(f.Day.Faults) > len(drawn.Faults) || f.Day.Length > drawn.Length || f.Reason == "" {
			t.Errorf("day %d: %s, %+v", f.Number, f.Reason, f.Day)
		}
	}
}

// Durations in a file may have any unit.
func TestUnits(t *testing.T) {
	f, err := Parse("x.toml", []byte("[day]\nlength = \"2 m\"\nnet.cross = \"1500us\"\ndirectory.notice = [\"1 s\", \"2 s\"]"))
	if err != nil || f.Day.Length != unit.Duration(2*time.Minute) || f.Day.Net.Cross != unit.Duration(1500*time.Microsecond) {
		t.Errorf("%v, %v", f, err)
	}
}
