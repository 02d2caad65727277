package main

import (
	"fmt"
	"time"

	"hoptiller/internal/command"
	"hoptiller/internal/lab/leasesearch"
)

// permitsCmd searches the permit protocol for violations of its bound.
type permitsCmd struct {
	Depth int    `help:"Steps of the search through all orders, for 3 electors and 2 seekers." default:"4"`
	Walks int    `help:"Random walks of 300 steps, for 5 electors and 4 seekers." default:"300"`
	Seed  uint64 `help:"Of the walks." default:"1"`
}

// Run searches the real protocol first. It then searches two weakened variants, whose violations must be found; this shows that
// the search detects them. The error is command.ErrFinding if the real protocol is violated.
func (c *permitsCmd) Run() error {
	if c.Depth < 1 || c.Walks < 1 {
		return fmt.Errorf("--depth %d, --walks %d: both must be at least 1", c.Depth, c.Walks)
	}
	const walkSteps = 300
	violated := false
	report := func(name string, s *leasesearch.Search, err error, more string) {
		fmt.Printf("%s: %d states in %v%s", name, s.States, s.Duration.Round(time.Millisecond), more)
		if err != nil {
			fmt.Printf(": %.160s", err)
		}
		fmt.Println()
	}
	exhaustive := leasesearch.New(3, 2, 1, c.Depth)
	err := exhaustive.Run()
	report(fmt.Sprintf("all orders to a depth of %d", c.Depth), exhaustive, err, "")
	violated = violated || err != nil
	random := leasesearch.New(5, 4, 2, walkSteps)
	walksWithHolder, err := random.RandomWalks(c.Walks, c.Seed)
	report(fmt.Sprintf("%d random walks", c.Walks), random, err, fmt.Sprintf(", somebody held a permit in %d", walksWithHolder))
	violated = violated || err != nil
	for name, weaken := range map[string]func(s *leasesearch.Search){
		"electors that grant at once after a restart": func(s *leasesearch.Search) { s.StartDelay = 0 },
		"holders without a margin for clocks":         func(s *leasesearch.Search) { s.DriftMargin = 0 },
	} {
		broken := leasesearch.New(3, 2, 1, walkSteps)
		weaken(broken)
		_, err := broken.RandomWalks(20000, c.Seed)
		report(name, broken, err, "")
		if err == nil {
			return fmt.Errorf("%s: the search found no violation, although there must be one", name)
		}
	}
	if violated {
		return command.ErrFinding
	}
	return nil
}
