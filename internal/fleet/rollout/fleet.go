package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/release"
	"hoptiller/internal/metrics"
	"hoptiller/internal/plan"
)

const (
	callTimeout = 2 * time.Second // of one call to a router

	// maxParallelCalls is how many routers are queried at one time, each on its own connection. It does not limit the size of the
	// fleet. If none of 1,024 routers answers, a query takes four times callTimeout and not thirty times, after which the fleet
	// would consider the driver dead.
	maxParallelCalls = 256

	maxAnswerBytes = 1 << 20 // limit of one answer; enough for all leases that a fleet can have, at about 200 bytes each
)

// fleet calls the routers of a release plan.
type fleet struct {
	plan    *plan.Release
	numbers []int // numbers of the routers, ascending
	client  http.Client
}

// newFleet returns a fleet whose calls each use a new connection.
func newFleet(p *plan.Release) *fleet {
	return &fleet{plan: p, numbers: slices.Sorted(maps.Keys(p.RouterAddrs)),
		client: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// answer is the result of querying one router.
type answer struct {
	view    *peers.Report
	metrics *metrics.Snapshot
	err     string
}

// queryAll queries all routers for their views and metrics.
func (f *fleet) queryAll(ctx context.Context) map[int]answer {
	var mu sync.Mutex
	answers := map[int]answer{}
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, n := range f.numbers {
		g.Go(func() error {
			a := answer{}
			reply := peers.FetchReport(ctx, f.plan.RouterAddrs[n])
			if a.view, a.err = reply.Report, reply.Err; a.view != nil {
				a.metrics, _ = f.metrics(ctx, f.plan.RouterAddrs[n])
			}
			if a.view != nil && a.view.Self != n {
				a = answer{err: fmt.Sprintf("router %d answers at its address", a.view.Self)}
			}
			mu.Lock()
			defer mu.Unlock()
			answers[n] = a
			return nil
		})
	}
	g.Wait()
	return answers
}

// metrics fetches a router's metrics.
func (f *fleet) metrics(ctx context.Context, addr string) (*metrics.Snapshot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	snapshot := &metrics.Snapshot{}
	// The size of the metrics does not depend on the size of the fleet: they list neither routers nor slot caches.
	return snapshot, json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(snapshot)
}

// post makes a call to the operators' interface of a router, and returns the HTTP status and the body.
func (f *fleet) post(ctx context.Context, router int, path string, query url.Values) (status int, text string, err error) {
	target := "http://" + f.plan.RouterAddrs[router] + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, strings.TrimSpace(string(body)), err
}

// revision returns the property of a router that the release changes: the version of its program, or the checksum of its
// settings.
func (f *fleet) revision(member *peers.Member) string {
	if f.plan.ProgramDigest != "" {
		return member.VersionHash
	}
	return member.SettingsHash
}

// targetRevision returns the revision of a changed router. The plan states either a program or settings.
func (f *fleet) targetRevision() string { return f.plan.ProgramDigest + f.plan.SettingsDigest }

// state combines the answers of the routers into the state of the fleet. A router serves if it reports so and at least half of
// the others that answered report the same process as serving. The state of a router that does not answer is what most others
// report.
func (f *fleet) state(answers map[int]answer) *release.FleetState {
	fleetState := &release.FleetState{Routers: map[int]release.Router{}, ViewsAgree: true}
	checksums := map[string]bool{}
	for _, n := range f.numbers {
		a := answers[n]
		router := release.Router{PermitState: "none"}
		agreeing, alive, others := 0, 0, 0
		for other, otherAnswer := range answers {
			if other == n || otherAnswer.view == nil || n >= len(otherAnswer.view.Members) {
				continue
			}
			others++
			member := &otherAnswer.view.Members[n]
			if member.State == "alive" || member.State == "suspect" {
				alive++
				if router.Incarnation == "" {
					router.Incarnation, router.Revision = member.Start, f.revision(member)
				}
				if a.view != nil && n < len(a.view.Members) && member.Start == a.view.Members[n].Start && member.Phase == "serving" {
					agreeing++
				}
			}
		}
		router.Alive = alive*2 > others
		if ownReport := a.view; ownReport != nil && n < len(ownReport.Members) {
			own := &ownReport.Members[n]
			router.Reached, router.Alive = true, true
			router.Incarnation, router.Revision = own.Start, f.revision(own)
			router.Serving = own.Phase == "serving" && agreeing*2 >= others
			if ownReport.Permit != nil {
				router.PermitState, router.Reason = ownReport.Permit.State, ownReport.Permit.Reason
			}
			if router.PermitState == "none" && own.Phase == "draining" {
				router.Reason = "it was drained by a call that does not belong to this release"
			}
			if a.metrics != nil {
				for _, d := range a.metrics.Downstream {
					router.Counts.Requests += d.Completed + d.Rejected + d.Failed
					router.Counts.Bad += d.Rejected + d.Failed
				}
				for _, late := range a.metrics.Late {
					router.Counts.Bad += late
				}
			}
			if own.Phase == "serving" {
				checksums[ownReport.Checksum] = true
			}
		} else {
			router.Reason = a.err
		}
		fleetState.Routers[n] = router
	}
	fleetState.ViewsAgree = len(checksums) <= 1
	return fleetState
}

// order returns the routers in the order of their replacement: by number, or one zone after the other.
func (f *fleet) order(answers map[int]answer) []int {
	order := slices.Clone(f.numbers)
	if !f.plan.ByZone {
		return order
	}
	zone := func(n int) int {
		for _, a := range answers {
			if a.view != nil && n < len(a.view.Members) && a.view.Members[n].Zone != nil {
				return *a.view.Members[n].Zone
			}
		}
		return -1
	}
	zones := map[int]int{}
	for _, n := range order {
		zones[n] = zone(n)
	}
	slices.SortStableFunc(order, func(a, b int) int { return zones[a] - zones[b] })
	return order
}

// leaseStatus is what the fleet says of the release lease.
type leaseStatus struct {
	held   bool   // this driver holds it
	taken  bool   // another driver holds it
	ended  bool   // an operator has ended the release
	holder string // if it is not held: the driver that holds it, or why no driver does
}

// runBy is part of the refusal of a router that knows another driver to hold the lease.
const runBy = " is run by "

// holdLease acquires or renews the fleet's release lease, and announces the stage of the release with it. Logs and errors call
// the lease the fleet's place for releases. holdLease calls the router that is known to manage the lease first, and then the
// others one after the other.
func (d *Driver) holdLease(ctx context.Context, stage string) leaseStatus {
	query := url.Values{"id": {d.plan.Name}, "by": {d.driverID}, "stage": {stage}}
	if d.leaseHeld {
		query.Set("only", "1")
	}
	status := d.callForLease(ctx, query)
	if status.held {
		d.leaseHeld = true
	} else if status.unknown { // acquire it anew next time, which reports any other driver that has it
		d.leaseHeld = false
	}
	return status.leaseStatus
}

// leaseAnswer is the outcome of the calls for the release lease.
type leaseAnswer struct {
	leaseStatus
	unknown bool // a router does not know the lease that this driver had acquired
}

// callForLease calls routers until one of them decides on the release lease.
func (d *Driver) callForLease(ctx context.Context, query url.Values) (result leaseAnswer) {
	result.holder = "no router answers"
	tried := map[int]bool{}
	candidates := append([]int{d.leaseRouter}, d.fleet.numbers...)
	for i := 0; i < len(candidates) && len(tried) < maxLeaseCalls; i++ {
		router := candidates[i]
		if tried[router] || d.plan.RouterAddrs[router] == "" {
			continue
		}
		tried[router] = true
		status, text, err := d.fleet.post(ctx, router, "/v1/fleet/release", query)
		switch {
		case err != nil:
			continue
		case status == http.StatusOK:
			d.leaseRouter = router
			result.held, result.holder = readLease(text)
			return result
		case status == http.StatusGone:
			result.ended, result.holder = true, "an operator has ended it"
			return result
		case status == http.StatusNotFound && d.leaseHeld:
			// The lease expired unrenewed, for lack of a majority, or this router is new.
			result.holder = "it is unknown to router " + strconv.Itoa(router)
			result.unknown = true
		case status == http.StatusConflict:
			result.holder, result.taken = text, strings.Contains(text, runBy)
			// The router that manages the lease knows whether the driver that holds it is dead.
			if n := leaseRouterIn(text); n >= 0 && !tried[n] {
				candidates = slices.Insert(candidates, i+1, n)
				continue
			}
			return result
		default:
			result.holder = text
		}
	}
	return result
}

// readLease reads the answer of a router that manages the release lease for this driver.
func readLease(text string) (held bool, holder string) {
	var fleetLeases peers.FleetLeases
	err := json.Unmarshal([]byte(text), &fleetLeases)
	switch {
	case err != nil || fleetLeases.Release == nil:
		return false, text
	case fleetLeases.Release.State == "held":
		return true, ""
	}
	return false, "requested, but " + fleetLeases.Release.Reason
}

// leaseRouterIn returns the router that a refusal names as the one that manages the lease, or a negative number if it names none.
func leaseRouterIn(refusal string) int {
	_, rest, ok := strings.Cut(refusal, "kept by router ")
	digitsEnd := strings.IndexFunc(rest+" ", func(r rune) bool { return r < '0' || r > '9' })
	n, err := strconv.Atoi(rest[:digitsEnd])
	if !ok || err != nil {
		return -1
	}
	return n
}

// maxLeaseCalls is how many routers holdLease calls for the release lease, one after the other. It bounds the time that this
// takes, not the size of the fleet: the router that manages the lease is called first, and any other router knows which one that
// is.
const maxLeaseCalls = 9
