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

// Limits of a scenario's settings.
const (
	minSize           = 4
	maxSize           = 1000
	maxFleetProcesses = 60
	maxCaches         = 1000
	maxZones          = 100
	maxRegions        = 15
	maxSeeds          = 20
	maxRepetitions    = 10
	maxCalm           = 5 * time.Minute
	maxSettle         = time.Minute
	maxCut            = 5 * time.Minute
	minCalm           = time.Second
	voterStartDelay   = 10 * time.Second // time after its start in which a voter grants no permit
)

// File is a scenario: the sizes of the fleets that are run one after the other, and the faults of each.
type File struct {
	Title       string        `toml:"title"`
	Sizes       []int         `toml:"sizes"`
	Seeds       int           `toml:"seeds"`     // runs of each size
	Processes   int           `toml:"real"`      // processes of the router's program in each fleet, at most its size
	Caches      int           `toml:"caches"`    // cache servers that discovery lists
	Zones       int           `toml:"zones"`     // routers are assigned to zones by number, round robin
	Regions     int           `toml:"regions"`   // routers are assigned to regions in the same manner
	Settle      unit.Duration `toml:"settle"`    // time between the first agreement and the first measurement
	Calm        unit.Duration `toml:"calm"`      // time of the measurement before the first fault
	Cut         unit.Duration `toml:"cut"`       // time for which regions are cut off from one another
	Loss        float64       `toml:"loss"`      // fraction of the datagrams that is lost during the fault "loss"
	Repetitions int           `toml:"repeat"`    // number of times that each fault is played
	Faults      []string      `toml:"troubles"`  // names of the faults in the order in which they are played
	Calibrate   bool          `toml:"calibrate"` // each run is repeated with processes alone, and both are compared

	Name string `toml:"-"` // base name of the file, without its extension
}

// Load reads and checks the scenario file at path.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a scenario. Its errors name path, the line and the setting.
func Parse(path string, text []byte) (*File, error) {
	f := &File{Seeds: 1, Processes: 8, Caches: 110, Zones: 15, Regions: 4, Settle: unit.Duration(voterStartDelay),
		Calm: unit.Duration(15 * time.Second),
		Cut:  unit.Duration(20 * time.Second), Loss: 0.1, Repetitions: 1}
	if err := experiment.DecodeFile(path, text, f); err != nil {
		return nil, err
	}
	f.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if setting, reason := f.validate(); reason != "" {
		return nil, experiment.FigureError(path, text, setting, reason)
	}
	return f, nil
}

// Check returns an error for the first invalid setting of a scenario.
func (f *File) Check() error {
	if _, reason := f.validate(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// validate returns the name of the first invalid setting and the reason. An empty reason means that the scenario is valid.
func (f *File) validate() (setting, reason string) {
	if len(f.Sizes) == 0 {
		return "sizes", "sizes is empty: at least one is needed"
	}
	for _, n := range f.Sizes {
		if n < minSize || n > maxSize {
			return "sizes", fmt.Sprintf("sizes has %d: %d to %d is possible", n, minSize, maxSize)
		}
	}
	for _, b := range []struct {
		name             string
		value            float64
		minimum, maximum float64
	}{
		{"seeds", float64(f.Seeds), 1, maxSeeds},
		{"real", float64(f.Processes), 1, maxFleetProcesses},
		{"caches", float64(f.Caches), 1, maxCaches},
		{"zones", float64(f.Zones), 1, maxZones},
		{"regions", float64(f.Regions), 2, maxRegions},
		{"loss", f.Loss, 0, 0.5},
		{"repeat", float64(f.Repetitions), 1, maxRepetitions},
	} {
		if !(b.value >= b.minimum && b.value <= b.maximum) {
			return b.name, fmt.Sprintf("%s is %g: %g to %g is possible", b.name, b.value, b.minimum, b.maximum)
		}
	}
	if f.Settle.Std() > maxSettle {
		return "settle", fmt.Sprintf("settle is %v: up to %v is possible", f.Settle, maxSettle)
	}
	if slices.Contains(f.Faults, faultDrain) && f.Settle.Std() < voterStartDelay {
		return "settle", fmt.Sprintf("settle is %v: voters grant no drain for %v after their start", f.Settle, voterStartDelay)
	}
	if f.Calm.Std() < minCalm || f.Calm.Std() > maxCalm {
		return "calm", fmt.Sprintf("calm is %v: %v to %v is possible", f.Calm, minCalm, maxCalm)
	}
	if f.Cut.Std() < minCalm || f.Cut.Std() > maxCut {
		return "cut", fmt.Sprintf("cut is %v: %v to %v is possible", f.Cut, minCalm, maxCut)
	}
	if i := slices.IndexFunc(f.Sizes, func(n int) bool { return n < f.Processes }); i >= 0 {
		return "real", fmt.Sprintf("real is %d, and a fleet of %d is to be run", f.Processes, f.Sizes[i])
	}
	for i, name := range f.Faults {
		if faultNamed(name) == nil {
			return "troubles", fmt.Sprintf("troubles has %q: must be one of %s", name, strings.Join(FaultNames(), ", "))
		}
		if slices.Contains(f.Faults[:i], name) {
			return "troubles", fmt.Sprintf("troubles has %q twice", name)
		}
	}
	return "", ""
}

// Run is one run of a scenario with one fleet size and one seed.
type Run struct {
	File      *File
	Size      int
	Processes int // processes of the router's program; the other routers are hollow
	Seed      uint64
}

// Runs returns all runs of a scenario in their order. They go seed by seed, so that an interrupted scenario has run as many
// sizes as possible.
func (f *File) Runs() (all []Run) {
	for seed := range f.Seeds {
		for _, size := range f.Sizes {
			if f.Calibrate {
				all = append(all, Run{f, size, size, uint64(seed + 1)})
			}
			all = append(all, Run{f, size, f.Processes, uint64(seed + 1)})
		}
	}
	return all
}
