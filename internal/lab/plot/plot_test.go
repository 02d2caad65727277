package plot

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"hoptiller/internal/lab/experiment"
)

// Each kind of plot is drawn from the results of an experiment and shows their names.
func TestPlots(t *testing.T) {
	f, err := experiment.Parse("x.toml", []byte(`title = "x"
policies = ["hoptiller", "ring"]
seeds = 2
series = true
[day]
warm = "1 s"
length = "3 s"
[[day.fault]]
kind = "crash"
at = "1 s"
for = "1 s"
[sweep]
"load.level" = [0.2, 0.5]
`))
	if err != nil {
		t.Fatal(err)
	}
	records, err := f.Run(context.Background(), 0, io.Discard, nil)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	for name, write := range map[string]func(string) error{
		"sweep.svg":   func(p string) error { return Sweep(records, "load.level", "score", p) },
		"bars.svg":    func(p string) error { return Bars(records, "", "book.service", p) },
		"names.png":   func(p string) error { return Bars(records, "load.level", "fetches", p) },
		"service.svg": func(p string) error { return TimeSeries(records[0], "service", p) },
		"load.svg":    func(p string) error { return TimeSeries(records[0], "load", p) },
	} {
		if err := write(path(name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		text, err := os.ReadFile(path(name))
		if err != nil || len(text) < 2000 {
			t.Errorf("%s: %d bytes, %v", name, len(text), err)
		}
		if name == "sweep.svg" && (!bytes.Contains(text, []byte("ring")) || !bytes.Contains(text, []byte("load.level"))) {
			t.Error("the plot lacks the name of a policy or of the parameter")
		}
	}
	for name, err := range map[string]error{
		"extension":      Sweep(records, "load.level", "score", path("x.gif")),
		"metric":         Sweep(records, "load.level", "beauty", path("x.svg")),
		"time series":    TimeSeries(records[0], "beauty", path("x.svg")),
		"missing series": TimeSeries(&experiment.Record{Result: records[0].Result}, "none", path("x.svg")),
	} {
		if err == nil {
			t.Errorf("a wrong %s is accepted", name)
		}
	}
}
