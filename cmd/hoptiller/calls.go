package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/admin"
	"hoptiller/internal/discovery"
	"hoptiller/internal/fleet/leases"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/front"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/loadreport"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
	"hoptiller/internal/unit"
	"hoptiller/internal/valuemem"
)

// processMetrics is the answer to /v1/metrics.
type processMetrics struct {
	metrics.Snapshot
	Values  valuemem.Summary `json:"value_memory,omitzero"` // memory for long values
	Reasons reasonCounts     `json:"reasons"`               // why connections and attempts ended
	Fleet   *peers.Summary   `json:"fleet,omitempty"`       // this router's view of the fleet
}

// adminCalls returns the operators' calls by path. fleet is nil if the fleet view is off.
func adminCalls(phases *lifecycle.State, clientFront *front.Front, counts *metrics.Counters, values *valuemem.Budget,
	reasons *endReasons, reports *loadreport.Table, router *relay.Relay, fleet *peers.Peers) map[string]admin.Call {
	transitionCall := func(e lifecycle.Event) func() (bool, []byte) {
		return func() (bool, []byte) {
			changed := phases.Apply(e)
			return changed, phaseJSON(phases)
		}
	}
	all := map[string]admin.Call{
		"/v1/readyz": {Method: "GET", Do: func() (bool, []byte) { return clientFront.Ready(), phaseJSON(phases) }},
		"/v1/metrics": {Method: "GET", Do: func() (bool, []byte) {
			s := processMetrics{Snapshot: counts.Snapshot(), Values: values.Summary(), Reasons: reasons.counts()}
			s.Members, s.Unavailable = router.CacheCounts()
			s.Reports = reports.Summary()
			if fleet != nil {
				s.Fleet = fleet.Summary()
			}
			body, err := json.Marshal(s)
			return err == nil, append(body, '\n')
		}},
		"/v1/router/drain":    {Method: "POST", Do: transitionCall(lifecycle.Drain)},
		"/v1/router/activate": {Method: "POST", Do: transitionCall(lifecycle.Activate)},
	}
	if fleet != nil {
		all["/v1/fleet"] = admin.Call{Method: "GET", Do: func() (bool, []byte) {
			body, err := json.Marshal(fleet.Report())
			return err == nil, append(body, '\n')
		}}
		serviceCall := func(do func() peers.PermitStatus) func() (bool, []byte) {
			return func() (bool, []byte) {
				body, err := json.Marshal(do())
				return err == nil, append(body, '\n')
			}
		}
		addParameterCalls(all, fleet)
		all["/v1/fleet/drain"] = admin.Call{Method: "POST", Do: serviceCall(fleet.GoOutOfService)}
		all["/v1/fleet/activate"] = admin.Call{Method: "POST", Do: serviceCall(fleet.ReturnToService)}
	}
	return all
}

// addParameterCalls adds the calls that take query parameters.
func addParameterCalls(all map[string]admin.Call, fleet *peers.Peers) {
	addCall := func(path string, do func(q url.Values) error) {
		all[path] = admin.Call{Method: "POST", Query: func(q url.Values) (int, []byte) {
			if err := do(q); err != nil {
				return errorStatus(err), []byte(err.Error())
			}
			body, err := json.Marshal(fleet.Report().FleetLeases)
			if err != nil {
				return http.StatusInternalServerError, []byte(err.Error())
			}
			return http.StatusOK, append(body, '\n')
		}}
	}
	addCall("/v1/fleet/caches/drain", func(q url.Values) error {
		drainTime, err := durationParam(q, "for", time.Hour, peers.MaxDrainDuration)
		if err != nil {
			return err
		}
		rampTime, err := durationParam(q, "over", 0, time.Hour)
		if err != nil {
			return err
		}
		return fleet.DrainCache(q.Get("cache"), drainTime, rampTime)
	})
	addCall("/v1/fleet/caches/activate", func(q url.Values) error { return fleet.ActivateCache(q.Get("cache")) })
	addCall("/v1/fleet/release", func(q url.Values) error {
		_, err := fleet.DriveRelease(q.Get("id"), q.Get("by"), q.Get("stage"), q.Get("only") != "")
		return err
	})
	addCall("/v1/fleet/release/end", func(q url.Values) error { return fleet.EndRelease(q.Get("id")) })
}

// errorStatus returns the HTTP status for an error.
func errorStatus(err error) int {
	var takenErr *leases.AlreadyManagedError
	var runsErr *peers.ReleaseRunningError
	switch {
	case errors.Is(err, peers.ErrUnknownCache), errors.Is(err, leases.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, peers.ErrReleaseEnded):
		return http.StatusGone
	case errors.As(err, &takenErr), errors.As(err, &runsErr), errors.Is(err, leases.ErrFull):
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// durationParam reads a duration from a query parameter. It must be from 0 to maxValue; without the parameter it is defaultValue.
func durationParam(q url.Values, name string, defaultValue, maxValue time.Duration) (time.Duration, error) {
	text := q.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	d, err := unit.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	if d.Std() < 0 || d.Std() > maxValue {
		return 0, fmt.Errorf("%s: %v is not from 0 to %v", name, d, maxValue)
	}
	return d.Std(), nil
}

// phaseJSON formats the phase of this process.
func phaseJSON(phases *lifecycle.State) []byte {
	return []byte(`{"phase":"` + phases.Phase().String() + "\"}\n")
}

// firstListNotifier passes on server lists and closes received at the first one that comes from discovery.
type firstListNotifier struct {
	discovery.Listener
	once     sync.Once
	received chan struct{}
}

// UpdateServers passes on a server list.
func (l *firstListNotifier) UpdateServers(kind hoptiller.ListKind, servers []relay.Server) {
	l.Listener.UpdateServers(kind, servers)
	if kind == hoptiller.ListFull || kind == hoptiller.ListDelta {
		l.once.Do(func() { close(l.received) })
	}
}
