package scale

import (
	"context"
	"fmt"
	"time"

	"hoptiller/internal/fleet/peers"
)

// Expected is how one router is to be seen by all others.
type Expected struct {
	State string    // alive, dead, left or unknown
	Phase string    // of one that is alive
	Since time.Time // its process has started no earlier; the zero time: whenever
}

// Differs says where a view is not as expected; empty: nowhere. A router that is suspected is still taken to live.
func Differs(report *peers.Report, want []Expected) string {
	if len(report.Members) != len(want) {
		return fmt.Sprintf("the view has %d routers, not %d", len(report.Members), len(want))
	}
	for i, m := range report.Members {
		state, e := m.State, want[i]
		if state == "suspect" {
			state = "alive"
		}
		if state != e.State {
			return fmt.Sprintf("router %d is %s, not %s", i, state, e.State)
		}
		if state != "alive" {
			continue
		}
		if m.Phase != e.Phase {
			return fmt.Sprintf("router %d is %s, not %s", i, m.Phase, e.Phase)
		}
		if start, err := time.Parse(time.RFC3339Nano, m.Start); err != nil || start.Before(e.Since.Truncate(time.Millisecond)) {
			return fmt.Sprintf("router %d is seen in a life that began %s", i, m.Start)
		}
	}
	return ""
}

// same gives the sum that all views have, if they have one.
func same(sums []uint32) (sum uint32, ok bool) {
	for _, s := range sums {
		if s != sums[0] {
			return 0, false
		}
	}
	if len(sums) == 0 {
		return 0, false
	}
	return sums[0], true
}

// agreement watches for the moment from which all routers that run see the fleet as expected. Hollow routers are asked for the sum
// of their views all the time, which costs them next to nothing. Processes are asked for their whole views, and only once the
// hollow ones agree, so that the asking does not become a part of what is measured.
type agreement struct {
	hollow  []*hollow
	process []*process
	want    []Expected
	checked uint32   // the last sum of hollow routers that was held against want
	looked  bool     // one was
	differs string   // and in what that view differs
	said    []string // by each process: the sum that its view had when it was last asked
}

// Times of the watch.
const (
	lookEvery      = 20 * time.Millisecond
	lookEveryAlone = 100 * time.Millisecond // where there are processes alone, all of which are asked
	agreeLimit     = 60 * time.Second
)

// NotAgreedError says that a fleet did not agree in time, and where the last view differed.
type NotAgreedError struct {
	Within time.Duration
	Why    string
}

// Error implements error.
func (e *NotAgreedError) Error() string {
	return fmt.Sprintf("not agreed within %v: %s", e.Within, e.Why)
}

// wait waits until all agree and tells when they were first seen to.
func (a *agreement) wait(ctx context.Context) (time.Time, error) {
	late := time.NewTimer(agreeLimit)
	defer late.Stop()
	every := lookEvery
	if len(a.hollow) == 0 {
		every = lookEveryAlone
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		at := time.Now()
		why, err := a.look(ctx)
		if err != nil {
			return time.Time{}, err
		}
		if why == "" {
			return at, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-late.C:
			return time.Time{}, &NotAgreedError{agreeLimit, why}
		case <-tick.C:
		}
	}
}

// look tells in what the routers differ now; empty: in nothing.
func (a *agreement) look(ctx context.Context) (why string, err error) {
	sum, why := a.lookHollow()
	if why != "" {
		return why, nil
	}
	for i, p := range a.process {
		if len(a.hollow) > 0 && a.said[i] == hex(sum) {
			continue
		}
		report, err := p.report(ctx)
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		if err != nil {
			return err.Error(), nil
		}
		if why := Differs(report, a.want); why != "" {
			return fmt.Sprintf("as router %d sees it %s", p.number, why), nil
		}
		a.said[i] = report.Sum
		if len(a.hollow) > 0 && report.Sum != hex(sum) || report.Sum != a.said[0] {
			return fmt.Sprintf("router %d has the sum %s, another one %s", p.number, report.Sum, a.said[0]), nil
		}
	}
	return "", nil
}

// lookHollow tells the sum of the hollow routers, or in what they differ.
func (a *agreement) lookHollow() (sum uint32, why string) {
	if len(a.hollow) == 0 {
		return 0, ""
	}
	sums := make([]uint32, len(a.hollow))
	for i, h := range a.hollow {
		sums[i] = h.sum()
	}
	sum, ok := same(sums)
	if !ok {
		return 0, "the sums of the hollow routers' views differ"
	}
	if sum != a.checked || !a.looked {
		a.checked, a.looked = sum, true
		a.differs = Differs(a.hollow[0].life.peers.Report(), a.want)
	}
	return sum, a.differs
}

func hex(sum uint32) string { return fmt.Sprintf("%08x", sum) }
