package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/unit"
)

// Limits of a file's figures.
const (
	leastSize    = 4
	mostSize     = 1000
	mostReal     = 60
	mostCaches   = 1000
	mostZones    = 100
	mostRegions  = 15
	mostSeeds    = 20
	mostRepeat   = 10
	mostCalm     = 5 * time.Minute
	mostSettle   = time.Minute
	mostCut      = 5 * time.Minute
	leastCalm    = time.Second
	electionWait = 10 * time.Second // an elector grants nothing for so long after its start
)

// File is a scenario: the sizes of fleets that are run one after the other, and what happens to each.
type File struct {
	Title     string        `toml:"title"`
	Sizes     []int         `toml:"sizes"`
	Seeds     int           `toml:"seeds"`     // runs of each size
	Real      int           `toml:"real"`      // processes of the program in each fleet, no more than its size
	Caches    int           `toml:"caches"`    // cache servers that discovery lists
	Zones     int           `toml:"zones"`     // routers are spread over them by number
	Regions   int           `toml:"regions"`   // the same
	Settle    unit.Duration `toml:"settle"`    // between the first agreement and what is measured
	Calm      unit.Duration `toml:"calm"`      // measured before the first trouble
	Cut       unit.Duration `toml:"cut"`       // for which regions are cut from one another
	Loss      float64       `toml:"loss"`      // part of the datagrams lost in the trouble of that name
	Repeat    int           `toml:"repeat"`    // times that each trouble is played
	Troubles  []string      `toml:"troubles"`  // in their order
	Calibrate bool          `toml:"calibrate"` // each run is repeated with real processes alone, and both are compared

	Name string `toml:"-"` // of the file, without its ending
}

// Load reads a scenario from a file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of a scenario; path is for its messages, which name line and figure.
func Parse(path string, text []byte) (*File, error) {
	f := &File{Seeds: 1, Real: 8, Caches: 110, Zones: 15, Regions: 4, Settle: unit.Duration(electionWait), Calm: unit.Duration(15 * time.Second),
		Cut: unit.Duration(20 * time.Second), Loss: 0.1, Repeat: 1}
	if err := experiment.Strict(path, text, f); err != nil {
		return nil, err
	}
	f.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if figure, why := f.wrong(); why != "" {
		return nil, experiment.Fault(path, text, figure, why)
	}
	return f, nil
}

// Check tells what is impossible in a scenario.
func (f *File) Check() error {
	if _, why := f.wrong(); why != "" {
		return errors.New(why)
	}
	return nil
}

// wrong names the first figure that is impossible and says why; an empty reason means that all are possible.
func (f *File) wrong() (figure, why string) {
	if len(f.Sizes) == 0 {
		return "sizes", "sizes is empty: at least one is needed"
	}
	for _, n := range f.Sizes {
		if n < leastSize || n > mostSize {
			return "sizes", fmt.Sprintf("sizes has %d: %d to %d is possible", n, leastSize, mostSize)
		}
	}
	for _, b := range []struct {
		name        string
		value       float64
		least, most float64
	}{
		{"seeds", float64(f.Seeds), 1, mostSeeds},
		{"real", float64(f.Real), 1, mostReal},
		{"caches", float64(f.Caches), 1, mostCaches},
		{"zones", float64(f.Zones), 1, mostZones},
		{"regions", float64(f.Regions), 2, mostRegions},
		{"loss", f.Loss, 0, 0.5},
		{"repeat", float64(f.Repeat), 1, mostRepeat},
	} {
		if !(b.value >= b.least && b.value <= b.most) {
			return b.name, fmt.Sprintf("%s is %g: %g to %g is possible", b.name, b.value, b.least, b.most)
		}
	}
	if f.Settle.D() > mostSettle {
		return "settle", fmt.Sprintf("settle is %v: up to %v is possible", f.Settle, mostSettle)
	}
	if slices.Contains(f.Troubles, troubleDrain) && f.Settle.D() < electionWait {
		return "settle", fmt.Sprintf("settle is %v: electors grant no drain for %v after their start", f.Settle, electionWait)
	}
	if f.Calm.D() < leastCalm || f.Calm.D() > mostCalm {
		return "calm", fmt.Sprintf("calm is %v: %v to %v is possible", f.Calm, leastCalm, mostCalm)
	}
	if f.Cut.D() < leastCalm || f.Cut.D() > mostCut {
		return "cut", fmt.Sprintf("cut is %v: %v to %v is possible", f.Cut, leastCalm, mostCut)
	}
	if i := slices.IndexFunc(f.Sizes, func(n int) bool { return n < f.Real }); i >= 0 {
		return "real", fmt.Sprintf("real is %d, and a fleet of %d is to be run", f.Real, f.Sizes[i])
	}
	for i, name := range f.Troubles {
		if troubleNamed(name) == nil {
			return "troubles", fmt.Sprintf("troubles has %q: one of %s is meant", name, strings.Join(TroubleNames(), ", "))
		}
		if slices.Contains(f.Troubles[:i], name) {
			return "troubles", fmt.Sprintf("troubles has %q twice", name)
		}
	}
	return "", ""
}

// Run is one fleet that is run.
type Run struct {
	File *File
	Size int
	Real int // processes of the program; the others are hollow
	Seed uint64
}

// Runs are all runs of a scenario in their order: seed by seed, so that an interrupted scenario has each size once first.
func (f *File) Runs() (all []Run) {
	for seed := range f.Seeds {
		for _, size := range f.Sizes {
			if f.Calibrate {
				all = append(all, Run{f, size, size, uint64(seed + 1)})
			}
			all = append(all, Run{f, size, f.Real, uint64(seed + 1)})
		}
	}
	return all
}
