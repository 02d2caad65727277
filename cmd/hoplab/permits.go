package main

import (
	"fmt"
	"time"

	"hoptiller/internal/command"
	"hoptiller/internal/lab/leasesearch"
)

type permitsCmd struct {
	Depth int    `help:"Steps of the search through all orders, for 3 electors and 2 seekers." default:"4"`
	Walks int    `help:"Random walks of 300 steps, for 5 electors and 4 seekers." default:"300"`
	Seed  uint64 `help:"Of the walks." default:"1"`
}

// Run searches the protocol as it is, and then two that are broken, which must be found.
func (c *permitsCmd) Run() error {
	if c.Depth < 1 || c.Walks < 1 {
		return fmt.Errorf("--depth %d, --walks %d: 1 or more are possible", c.Depth, c.Walks)
	}
	const walk = 300
	found := false
	tell := func(name string, s *leasesearch.Search, err error, more string) {
		fmt.Printf("%s: %d states in %v%s", name, s.States, s.Took.Round(time.Millisecond), more)
		if err != nil {
			fmt.Printf(": %.160s", err)
		}
		fmt.Println()
	}
	all := leasesearch.New(3, 2, 1, c.Depth)
	err := all.Run()
	tell(fmt.Sprintf("all orders to a depth of %d", c.Depth), all, err, "")
	found = found || err != nil
	walks := leasesearch.New(5, 4, 2, walk)
	held, err := walks.RandomWalks(c.Walks, c.Seed)
	tell(fmt.Sprintf("%d random walks", c.Walks), walks, err, fmt.Sprintf(", somebody held a permit in %d", held))
	found = found || err != nil
	for name, spoil := range map[string]func(s *leasesearch.Search){
		"electors that grant at once after a restart": func(s *leasesearch.Search) { s.StartDelay = 0 },
		"holders without a margin for clocks":         func(s *leasesearch.Search) { s.DriftMargin = 0 },
	} {
		broken := leasesearch.New(3, 2, 1, walk)
		spoil(broken)
		_, err := broken.RandomWalks(20000, c.Seed)
		tell(name, broken, err, "")
		if err == nil {
			return fmt.Errorf("%s were not caught", name)
		}
	}
	if found {
		return command.ErrFinding
	}
	return nil
}
