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
	"hoptiller/internal/lab/sim"
	"hoptiller/internal/lab/tally"
)

// Record is the result of one run.
type Record struct {
	Experiment string         `json:"experiment"`
	Policy     string         `json:"policy"`
	Seed       uint64         `json:"seed"`
	At         map[string]any `json:"at,omitempty"` // the point of the sweep
	*tally.Result
}

// Point names the point of a sweep, the same for equal ones.
func (r *Record) Point() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(r.At)) {
		parts = append(parts, fmt.Sprintf("%s=%v", k, r.At[k]))
	}
	return strings.Join(parts, " ")
}

// Value is a figure of the result by the name it has in JSON; for a class "book.service" and the like.
func (r *Record) Value(name string) (float64, bool) {
	class, figure, ofClass := strings.Cut(name, ".")
	figures := *r.Result // without what is long and has no figure
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

// interruption is the last line of results that are not all.
type interruption struct {
	Interrupted bool `json:"interrupted"`
	Done        int  `json:"done"`
	Of          int  `json:"of"`
}

// job is one run that is to be done.
type job struct {
	policy string
	seed   uint64
	point  Point
}

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

// Run plays the experiment on so many cores (0: all) and writes a line for each run, in the same order
// however many there are. done is called after each. When ctx ends, the runs that are over are kept, and
// a last line says that others are missing.
func (f *File) Run(ctx context.Context, cores int, out io.Writer, done func(n, of int, r *Record)) ([]*Record, error) {
	jobs, err := f.jobs()
	if err != nil {
		return nil, err
	}
	engine := f.Engine
	if engine == nil {
		engine = f.virtual
	}
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	var (
		mu      sync.Mutex
		records = make([]*Record, len(jobs))
		written int
		count   int
		g       errgroup.Group
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
			count++
			if done != nil {
				done(count, len(jobs), r)
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

// ReadRecords reads the results of a run. whole tells whether all are there.
func ReadRecords(path string) (records []*Record, whole bool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, false, err
	}
	whole = true
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 64<<20)
	for n := 1; lines.Scan(); n++ {
		var end interruption
		if json.Unmarshal(lines.Bytes(), &end) == nil && end.Interrupted {
			whole = false
			continue
		}
		r := &Record{Result: &tally.Result{}}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil || r.Policy == "" {
			return nil, false, &Error{Path: path, Line: n, Text: "this is no result of hoplab run"}
		}
		records = append(records, r)
	}
	return records, whole, lines.Err()
}

// Engine plays one day with one policy.
type Engine func(ctx context.Context, day *model.Day, policy string, series bool) (*tally.Result, error)

// virtual plays in virtual time.
func (f *File) virtual(ctx context.Context, day *model.Day, policy string, series bool) (*tally.Result, error) {
	p, err := f.policy(policy, day)
	if err != nil {
		return nil, err
	}
	return sim.Run(ctx, day, p, sim.Options{Series: series})
}

// Story plays one run again and tells the course of one request.
func (f *File) Story(ctx context.Context, policy string, seed uint64, at map[string]any, s sim.Subject) (*tally.Result, error) {
	day, err := f.with(at)
	if err != nil {
		return nil, err
	}
	day.Seed = seed
	p, err := f.policy(policy, &day)
	if err != nil {
		return nil, err
	}
	return sim.Run(ctx, &day, p, sim.Options{Story: &s})
}

// play is a run without a file.
func play(ctx context.Context, day model.Day, policy string) (*tally.Result, error) {
	return sim.Run(ctx, &day, Policy(policy), sim.Options{})
}
