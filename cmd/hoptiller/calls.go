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
	"hoptiller/internal/fleet/notes"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/front"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/loadreport"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
	"hoptiller/internal/unit"
)

// processMetrics are what operators read of this process.
type processMetrics struct {
	metrics.Snapshot
	Reasons reasonCounts   `json:"reasons"`         // why connections ended, and how attempts did
	Fleet   *peers.Summary `json:"fleet,omitempty"` // as the routers see one another
}

// calls are what operators can ask of this process.
func calls(life *lifecycle.State, f *front.Front, counts *metrics.Counters, reasons *reasons, reports *loadreport.Table, r *relay.Relay, fleet *peers.Peers) map[string]admin.Call {
	told := func(e lifecycle.Event) func() (bool, []byte) {
		return func() (bool, []byte) {
			yes := life.Tell(e)
			return yes, state(life)
		}
	}
	all := map[string]admin.Call{
		"/v1/readyz": {Method: "GET", Do: func() (bool, []byte) { return f.Ready(), state(life) }},
		"/v1/metrics": {Method: "GET", Do: func() (bool, []byte) {
			s := processMetrics{Snapshot: counts.Snapshot(), Reasons: reasons.counts()}
			s.Members, s.Unavailable = r.Members()
			s.Reports = reports.Summary()
			if fleet != nil {
				s.Fleet = fleet.Summary()
			}
			body, err := json.Marshal(s)
			return err == nil, append(body, '\n')
		}},
		"/v1/router/drain":    {Method: "POST", Do: told(lifecycle.Drain)},
		"/v1/router/activate": {Method: "POST", Do: told(lifecycle.Activate)},
	}
	if fleet != nil {
		all["/v1/fleet"] = admin.Call{Method: "GET", Do: func() (bool, []byte) {
			body, err := json.Marshal(fleet.Report())
			return err == nil, append(body, '\n')
		}}
		out := func(do func() peers.Out) func() (bool, []byte) {
			return func() (bool, []byte) {
				body, err := json.Marshal(do())
				return err == nil, append(body, '\n')
			}
		}
		asked(all, fleet)
		all["/v1/fleet/drain"] = admin.Call{Method: "POST", Do: out(fleet.GoOut)}
		all["/v1/fleet/activate"] = admin.Call{Method: "POST", Do: out(fleet.ComeBack)}
	}
	return all
}

// asked are the calls that name what they are about.
func asked(all map[string]admin.Call, fleet *peers.Peers) {
	call := func(path string, do func(q url.Values) error) {
		all[path] = admin.Call{Method: "POST", Ask: func(q url.Values) (int, []byte) {
			if err := do(q); err != nil {
				return refusal(err), []byte(err.Error())
			}
			body, err := json.Marshal(fleet.Report().Charges)
			if err != nil {
				return http.StatusInternalServerError, []byte(err.Error())
			}
			return http.StatusOK, append(body, '\n')
		}}
	}
	call("/v1/fleet/caches/drain", func(q url.Values) error {
		last, err := duration(q, "for", time.Hour, peers.MostDrain)
		if err != nil {
			return err
		}
		over, err := duration(q, "over", 0, time.Hour)
		if err != nil {
			return err
		}
		return fleet.DrainCache(q.Get("cache"), last, over)
	})
	call("/v1/fleet/caches/activate", func(q url.Values) error { return fleet.ActivateCache(q.Get("cache")) })
	call("/v1/fleet/release", func(q url.Values) error {
		_, err := fleet.GoOnRelease(q.Get("id"), q.Get("by"), q.Get("stage"), q.Get("only") != "")
		return err
	})
	call("/v1/fleet/release/end", func(q url.Values) error { return fleet.EndRelease(q.Get("id")) })
}

// refusal is the status of an error.
func refusal(err error) int {
	var taken *notes.ErrTaken
	var runs *peers.ErrRuns
	switch {
	case errors.Is(err, peers.ErrNoCache), errors.Is(err, notes.ErrNone):
		return http.StatusNotFound
	case errors.Is(err, peers.ErrEnded):
		return http.StatusGone
	case errors.As(err, &taken), errors.As(err, &runs), errors.Is(err, notes.ErrFull):
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// duration reads a time that a call names, from nothing to most.
func duration(q url.Values, name string, otherwise, most time.Duration) (time.Duration, error) {
	text := q.Get(name)
	if text == "" {
		return otherwise, nil
	}
	d, err := unit.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	if d.D() < 0 || d.D() > most {
		return 0, fmt.Errorf("%s: %v is not from 0 to %v", name, d, most)
	}
	return d.D(), nil
}

func state(life *lifecycle.State) []byte {
	return []byte(`{"phase":"` + life.Phase().String() + "\"}\n")
}

// freshList tells when the directory has spoken for the first time.
type freshList struct {
	discovery.Listener
	once sync.Once
	told chan struct{}
}

// Told passes on what the directory says.
func (l *freshList) Told(kind hoptiller.ListKind, servers []relay.Server) {
	l.Listener.Told(kind, servers)
	if kind == hoptiller.ListFull || kind == hoptiller.ListDelta {
		l.once.Do(func() { close(l.told) })
	}
}
