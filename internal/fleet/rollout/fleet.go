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
	callTime = 2 * time.Second

	// atOnce routers are asked at one time, each on a connection of its own. It is no bound on the fleet: of 1,024 routers those
	// that don't answer cost four times callTime and not thirty times, in which the fleet would take the driver for gone.
	atOnce = 256

	mostText = 1 << 20 // bytes of an answer, with all notes that a fleet keeps: some 200 each
)

// fleet asks and tells the routers of a plan.
type fleet struct {
	plan    *plan.Release
	numbers []int
	client  http.Client
}

func newFleet(p *plan.Release) *fleet {
	return &fleet{plan: p, numbers: slices.Sorted(maps.Keys(p.Routers)),
		client: http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// answer is what one router says.
type answer struct {
	view    *peers.Report
	metrics *metrics.Snapshot
	err     string
}

// ask asks all routers.
func (f *fleet) ask(ctx context.Context) map[int]answer {
	var mu sync.Mutex
	all := map[int]answer{}
	var g errgroup.Group
	g.SetLimit(atOnce)
	for _, n := range f.numbers {
		g.Go(func() error {
			a := answer{}
			seen := peers.Ask(ctx, f.plan.Routers[n])
			if a.view, a.err = seen.View, seen.Err; a.view != nil {
				a.metrics, _ = f.metrics(ctx, f.plan.Routers[n])
			}
			if a.view != nil && a.view.Self != n {
				a = answer{err: fmt.Sprintf("router %d answers at its address", a.view.Self)}
			}
			mu.Lock()
			defer mu.Unlock()
			all[n] = a
			return nil
		})
	}
	g.Wait()
	return all
}

func (f *fleet) metrics(ctx context.Context, addr string) (*metrics.Snapshot, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/metrics", nil)
	if err != nil {
		return nil, err
	}
	r, err := f.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	s := &metrics.Snapshot{}
	return s, json.NewDecoder(io.LimitReader(r.Body, mostText)).Decode(s) // it has no list of routers or slot caches
}

// post makes an operators' call of a router, and gives the status and what was said.
func (f *fleet) post(ctx context.Context, router int, path string, q url.Values) (status int, text string, err error) {
	at := "http://" + f.plan.Routers[router] + path
	if len(q) > 0 {
		at += "?" + q.Encode()
	}
	c, err := http.NewRequestWithContext(ctx, http.MethodPost, at, nil)
	if err != nil {
		return 0, "", err
	}
	r, err := f.client.Do(c)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, mostText))
	return r.StatusCode, strings.TrimSpace(string(body)), err
}

// shows is the figure of a router that the release changes.
func (f *fleet) shows(m *peers.Member) string {
	if f.plan.Program != "" {
		return m.Version
	}
	return m.Settings
}

// to is what a changed router shows.
func (f *fleet) to() string { return f.plan.Program + f.plan.Settings }

// sight puts together what the routers have answered. What a router says of itself holds where most others that answered have the
// same of it; of one that does not answer, what most others say.
func (f *fleet) sight(all map[int]answer) *release.Sight {
	s := &release.Sight{Routers: map[int]release.Router{}, Agree: true}
	sums := map[string]bool{}
	for _, n := range f.numbers {
		a := all[n]
		x := release.Router{Out: "none"}
		alike, alive, voices := 0, 0, 0
		for o, b := range all {
			if o == n || b.view == nil || n >= len(b.view.Members) {
				continue
			}
			voices++
			m := &b.view.Members[n]
			if m.State == "alive" || m.State == "suspect" {
				alive++
				if x.Life == "" {
					x.Life, x.Shows = m.Start, f.shows(m)
				}
				if a.view != nil && n < len(a.view.Members) && m.Start == a.view.Members[n].Start && m.Phase == "serving" {
					alike++
				}
			}
		}
		x.Alive = alive*2 > voices
		if v := a.view; v != nil && n < len(v.Members) {
			own := &v.Members[n]
			x.Reached, x.Alive = true, true
			x.Life, x.Shows = own.Start, f.shows(own)
			x.Serving = own.Phase == "serving" && alike*2 >= voices
			if v.Out != nil {
				x.Out, x.Why = v.Out.State, v.Out.Why
			}
			if x.Out == "none" && own.Phase == "draining" {
				x.Why = "it is drained by another call than this release's"
			}
			if a.metrics != nil {
				for _, d := range a.metrics.Downstream {
					x.Counts.Requests += d.Completed + d.Rejected + d.Failed
					x.Counts.Bad += d.Rejected + d.Failed
				}
				for _, late := range a.metrics.Late {
					x.Counts.Bad += late
				}
			}
			if own.Phase == "serving" {
				sums[v.Sum] = true
			}
		} else {
			x.Why = a.err
		}
		s.Routers[n] = x
	}
	s.Agree = len(sums) <= 1
	return s
}

// order is in which routers are changed: by number, or one zone after the other.
func (f *fleet) order(all map[int]answer) []int {
	order := slices.Clone(f.numbers)
	if !f.plan.ByZone {
		return order
	}
	zone := func(n int) int {
		for _, a := range all {
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

// hold tells the fleet that this driver runs the release and where it stands. It asks the router that keeps the place, as far as is
// known, and else the others one after the other.
func (d *Driver) hold(ctx context.Context, stage string) (held bool, holder string, ended bool) {
	q := url.Values{"id": {d.plan.Name}, "by": {d.by}, "stage": {stage}}
	if d.held {
		q.Set("only", "1")
	}
	holder = "no router answers"
	unknown := false
	defer func() {
		if unknown && !held { // it is asked for anew: if another driver has it now, that is told
			d.held = false
		}
	}()
	tried := map[int]bool{}
	ask := append([]int{d.keeper}, d.fleet.numbers...)
	for i := 0; i < len(ask) && len(tried) < mostAsked; i++ {
		next := ask[i]
		if tried[next] || d.plan.Routers[next] == "" {
			continue
		}
		tried[next] = true
		status, text, err := d.fleet.post(ctx, next, "/v1/fleet/release", q)
		switch {
		case err != nil:
			continue
		case status == http.StatusOK:
			d.keeper = next
			var c peers.Charges
			if json.Unmarshal([]byte(text), &c) == nil && c.Release != nil && c.Release.State == "held" {
				d.held = true
				return true, "", false
			} else if c.Release != nil {
				return false, "asked for, and " + c.Release.Why, false
			}
			return false, text, false
		case status == http.StatusGone:
			return false, "it was ended", true
		case status == http.StatusNotFound && d.held: // no majority could renew it, and it has run out; or this router is new
			holder = "it is not known to router " + strconv.Itoa(next)
			unknown = true
		case status == http.StatusConflict:
			holder = text
			if n := keeperOf(text); n >= 0 && !tried[n] { // that one knows whether its driver is gone
				ask = slices.Insert(ask, i+1, n)
				continue
			}
			return false, holder, false
		default:
			holder = text
		}
	}
	return false, holder, false
}

// keeperOf is the router that a refusal names as the one that keeps the place; negative: it names none.
func keeperOf(refusal string) int {
	_, at, ok := strings.Cut(refusal, "kept by router ")
	end := strings.IndexFunc(at+" ", func(r rune) bool { return r < '0' || r > '9' })
	n, err := strconv.Atoi(at[:end])
	if !ok || err != nil {
		return -1
	}
	return n
}

// mostAsked is how many routers are asked for the fleet's place in one turn, one after the other. It bounds the turn's time, not
// the fleet: the one that keeps the place is asked first, and any other knows which one that is.
const mostAsked = 9
