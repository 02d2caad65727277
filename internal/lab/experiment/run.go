package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/lab/sim"
)

// Record is the result of one run.
type Record struct {
	Experiment string         `json:"experiment"`
	Policy     string         `json:"policy"`
	Seed       uint64         `json:"seed"`
	At         map[string]any `json:"at,omitempty"` // values of the swept figures
	*scoring.Result
}

// Point returns the name of the record's point of the sweep. Equal points have equal names.
func (r *Record) Point() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(r.At)) {
		parts = append(parts, fmt.Sprintf("%s=%v", k, r.At[k]))
	}
	return strings.Join(parts, " ")
}

// Value returns a figure of the result by its JSON name. A figure of a class has the name of the class before it, such
// as "book.service". It reports whether there is such a figure.
func (r *Record) Value(name string) (float64, bool) {
	class, figure, ofClass := strings.Cut(name, ".")
	figures := *r.Result // without the long lists, which hold no figures
	figures.Series, figures.Violations = nil, nil
	text, err := json.Marshal(figures)
	if err != nil {
		return 0, false
	}
	var all map[string]any
	if json.Unmarshal(text, &all) != nil {
		return 0, false
	}
	if ofClass {
		for _, c := range r.Classes {
			if c.Name == class {
				text, _ = json.Marshal(c)
				all = nil
				json.Unmarshal(text, &all)
				x, ok := all[figure].(float64)
				return x, ok
			}
		}
	}
	x, ok := all[name].(float64)
	return x, ok
}

// interruption is the last line of the results of an interrupted run.
type interruption struct {
	Interrupted bool `json:"interrupted"`
	Done        int  `json:"done"` // number of runs that were finished
	Of          int  `json:"of"`   // number of all runs
}

// job is one run of the experiment.
type job struct {
	policy string
	seed   uint64
	point  Point
}

// jobs returns all runs of the experiment in the order of the results.
func (f *File) jobs() ([]job, error) {
	points, err := f.Points()
	if err != nil {
		return nil, err
	}
	var jobs []job
	for _, p := range points {
		for i := range f.Seeds {
			for _, policy := range f.Policies {
				jobs = append(jobs, job{policy, p.Day.Seed + uint64(i), p})
			}
		}
	}
	return jobs, nil
}

// Run plays the experiment on a number of cores (0: all) and writes a line for each run. The order of the lines doesn't
// depend on the number of cores. done, if not nil, is called after each run with the number of finished runs and of all
// runs. When ctx ends, Run keeps the finished runs and writes a last line that says that others are missing.
func (f *File) Run(ctx context.Context, cores int, out io.Writer, done func(finished, total int, r *Record)) ([]*Record, error) {
	jobs, err := f.jobs()
	if err != nil {
		return nil, err
	}
	engine := f.Engine
	if engine == nil {
		engine = f.playVirtual
	}
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	var (
		mu       sync.Mutex
		records  = make([]*Record, len(jobs))
		written  int
		finished int
		g        errgroup.Group
	)
	g.SetLimit(cores)
	for i, j := range jobs {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			day := j.point.Day
			day.Seed = j.seed
			result, err := engine(ctx, &day, j.policy, f.Series)
			if ctx.Err() != nil {
				return nil // interrupted
			}
			if err != nil {
				return err
			}
			r := &Record{f.Name, j.policy, j.seed, j.point.At, result}
			mu.Lock()
			defer mu.Unlock()
			records[i] = r
			finished++
			if done != nil {
				done(finished, len(jobs), r)
			}
			for ; written < len(jobs) && records[written] != nil; written++ {
				if err := writeLine(out, records[written]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var kept []*Record
	for i, r := range records {
		if r == nil {
			continue
		}
		if kept = append(kept, r); i >= written {
			if err := writeLine(out, r); err != nil {
				return kept, err
			}
		}
	}
	if len(kept) < len(jobs) {
		if err := writeLine(out, interruption{true, len(kept), len(jobs)}); err != nil {
			return kept, err
		}
		return kept, fmt.Errorf("interrupted: %d of %d runs are kept", len(kept), len(jobs))
	}
	return kept, nil
}

func writeLine(out io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = out.Write(append(b, '\n'))
	return err
}

// ReadRecords reads the results of an experiment and reports whether they are complete.
func ReadRecords(path string) (records []*Record, complete bool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, false, err
	}
	complete = true
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 64<<20)
	for n := 1; lines.Scan(); n++ {
		var end interruption
		if json.Unmarshal(lines.Bytes(), &end) == nil && end.Interrupted {
			complete = false
			continue
		}
		r := &Record{Result: &scoring.Result{}}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil || r.Policy == "" {
			return nil, false, &Error{Path: path, Line: n, Text: "this is no result of hoplab run"}
		}
		records = append(records, r)
	}
	return records, complete, lines.Err()
}

// Engine plays one day with the policy of a name. If series is set it records time series.
type Engine func(ctx context.Context, day *model.Day, policy string, series bool) (*scoring.Result, error)

// playVirtual is an Engine that plays a day in virtual time.
func (f *File) playVirtual(ctx context.Context, day *model.Day, policy string, series bool) (*scoring.Result, error) {
	p, err := f.policy(policy, day)
	if err != nil {
		return nil, err
	}
	return sim.Run(ctx, day, p, sim.Options{Series: series})
}

// Trace replays one run and records a trace of one request.
func (f *File) Trace(ctx context.Context, policy string, seed uint64, at map[string]any, s sim.TracedRequest) (*scoring.Result, error) {
	day, err := f.dayAt(at)
	if err != nil {
		return nil, err
	}
	day.Seed = seed
	p, err := f.policy(policy, &day)
	if err != nil {
		return nil, err
	}
	return sim.Run(ctx, &day, p, sim.Options{Trace: &s})
}

// playDay plays a day without an experiment file.
func playDay(ctx context.Context, day model.Day, policy string) (*scoring.Result, error) {
	return sim.Run(ctx, &day, Policy(policy), sim.Options{})
}
