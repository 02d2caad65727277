package scale

import (
	"context"
	"fmt"
	"time"

	"hoptiller/internal/fleet/peers"
)

// ExpectedMember is the state in which all others must see one router.
type ExpectedMember struct {
	State string    // alive, dead, left or unknown
	Phase string    // checked for a router that is alive
	Since time.Time // earliest start of its process; the zero time accepts any
}

// Difference describes the first difference between a view and the expected one, or returns "" if there is none. A suspected
// router counts as alive.
func Difference(report *peers.Report, want []ExpectedMember) string {
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

// commonSum returns the checksum of all views. It returns false if there are no views or their checksums differ.
func commonSum(sums []uint32) (sum uint32, ok bool) {
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

// agreementWatch waits until all running routers see the fleet as expected. It polls the checksums of hollow routers' views all
// the time, which costs them next to nothing. It requests complete views of processes only after the hollow routers agree, so
// that the requests add little to the cost that is measured.
type agreementWatch struct {
	hollow       []*hollow
	processes    []*process
	expected     []ExpectedMember
	checkedSum   uint32   // the latest checksum of hollow routers whose view was compared with the expected one
	hasChecked   bool     // whether any view was compared
	difference   string   // how the view with checkedSum differs; empty: not at all
	reportedSums []string // by process: checksum of the latest view that it returned
}

// Poll intervals and the time limit of agreementWatch.
const (
	checkInterval        = 20 * time.Millisecond
	processCheckInterval = 100 * time.Millisecond // for fleets without hollow routers, where each check asks all processes
	agreeTimeout         = 60 * time.Second
)

// NotAgreedError reports that a fleet did not agree in time, and how the last view differed.
type NotAgreedError struct {
	Timeout time.Duration
	Reason  string
}

// Error implements error.
func (e *NotAgreedError) Error() string {
	return fmt.Sprintf("not agreed within %v: %s", e.Timeout, e.Reason)
}

// wait waits until all routers agree and returns the time of the check that saw it.
func (a *agreementWatch) wait(ctx context.Context) (time.Time, error) {
	timeout := time.NewTimer(agreeTimeout)
	defer timeout.Stop()
	interval := checkInterval
	if len(a.hollow) == 0 {
		interval = processCheckInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		at := time.Now()
		difference, err := a.check(ctx)
		if err != nil {
			return time.Time{}, err
		}
		if difference == "" {
			return at, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-timeout.C:
			return time.Time{}, &NotAgreedError{agreeTimeout, difference}
		case <-tick.C:
		}
	}
}

// check describes the first difference of the routers' views from the expected one now, or returns "" if there is none.
func (a *agreementWatch) check(ctx context.Context) (difference string, err error) {
	sum, difference := a.checkHollow()
	if difference != "" {
		return difference, nil
	}
	for i, p := range a.processes {
		if len(a.hollow) > 0 && a.reportedSums[i] == formatSum(sum) {
			continue
		}
		report, err := p.fetchView(ctx)
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		if err != nil {
			return err.Error(), nil
		}
		if difference := Difference(report, a.expected); difference != "" {
			return fmt.Sprintf("as router %d sees it %s", p.number, difference), nil
		}
		a.reportedSums[i] = report.Checksum
		if len(a.hollow) > 0 && report.Checksum != formatSum(sum) || report.Checksum != a.reportedSums[0] {
			return fmt.Sprintf("router %d has the sum %s, another one %s", p.number, report.Checksum, a.reportedSums[0]), nil
		}
	}
	return "", nil
}

// checkHollow returns the common checksum of the hollow routers, or a description of how their views differ.
func (a *agreementWatch) checkHollow() (sum uint32, difference string) {
	if len(a.hollow) == 0 {
		return 0, ""
	}
	sums := make([]uint32, len(a.hollow))
	for i, h := range a.hollow {
		sums[i] = h.sum()
	}
	sum, ok := commonSum(sums)
	if !ok {
		return 0, "the sums of the hollow routers' views differ"
	}
	if sum != a.checkedSum || !a.hasChecked {
		a.checkedSum, a.hasChecked = sum, true
		a.difference = Difference(a.hollow[0].current.peers.Report(), a.expected)
	}
	return sum, a.difference
}

func formatSum(sum uint32) string { return fmt.Sprintf("%08x", sum) }
