package main

import (
	"encoding/json"
	"sync"

	"hoptiller"
	"hoptiller/internal/admin"
	"hoptiller/internal/directory"
	"hoptiller/internal/figures"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/front"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/loads"
	"hoptiller/internal/relay"
)

// metrics are what operators read of this process.
type metrics struct {
	figures.Snapshot
	Fleet *peers.Summary `json:"fleet,omitempty"` // as the routers see one another
}

// calls are what operators can ask of this process.
func calls(life *lifecycle.State, f *front.Front, counts *figures.Counts, reports *loads.Table, r *relay.Relay, fleet *peers.Peers) map[string]admin.Call {
	told := func(e lifecycle.Event) func() (bool, []byte) {
		return func() (bool, []byte) {
			yes := life.Tell(e)
			return yes, state(life)
		}
	}
	all := map[string]admin.Call{
		"/v1/readyz": {Method: "GET", Do: func() (bool, []byte) { return f.Ready(), state(life) }},
		"/v1/metrics": {Method: "GET", Do: func() (bool, []byte) {
			s := metrics{Snapshot: counts.Snapshot()}
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
		all["/v1/fleet/drain"] = admin.Call{Method: "POST", Do: out(fleet.GoOut)}
		all["/v1/fleet/activate"] = admin.Call{Method: "POST", Do: out(fleet.ComeBack)}
	}
	return all
}

func state(life *lifecycle.State) []byte {
	return []byte(`{"phase":"` + life.Phase().String() + "\"}\n")
}

// freshList tells when the directory has spoken for the first time.
type freshList struct {
	directory.Listener
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
