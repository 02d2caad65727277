package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"
	"strings"

	"hoptiller/internal/admission/middleware"
	"hoptiller/internal/config"
	"hoptiller/internal/discovery"
	"hoptiller/internal/logs"
	"hoptiller/internal/plan"
)

// reloader reads the configuration and the operator's file again on each SIGHUP. The router keeps its clients, its
// connections and all that it has learned. It applies every change of both files that needs no restart. If anything
// is wrong with one of the files, it applies neither.
type reloader struct {
	serve           *serveCmd
	config          *config.Config
	plan            *plan.Plan
	discoveryClient *discovery.Client
	admission       *middleware.Handler // nil without an operator's file
	log             *logs.Log
	fleet           *fleetMember
}

// run reloads on each signal until ctx ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload()
		}
	}
}

// reload reads both files and applies their changes.
func (r *reloader) reload() {
	// The environment still names the discovery service of the start, so here the file takes precedence.
	c, p, err := r.serve.load("")
	var options logs.Options
	if err == nil {
		options, err = r.serve.logOptions(p)
	}
	var report *plan.Report
	if errors.As(err, &report) {
		err = report.Err() // in one line
	}
	if err != nil {
		slog.Error("reload refused", "err", err, "kept", "all as it was")
		return
	}
	changes := plan.Diff(r.plan, p)
	if needRestart := restartNeededFor(changes); needRestart != "" {
		slog.Warn("reload needs a restart for a part", "part", needRestart)
	}
	if r.admission != nil {
		r.admission.SetPlan(p)
	}
	r.plan = p
	r.fleet.setBounds(p.Fleet)
	r.log.SetOptions(options)
	if c.Discovery != r.config.Discovery {
		r.discoveryClient.SetSource(registry(c))
	}
	r.config = c
	slog.Info("reload", "discovery", c.Discovery, "changes", len(changes))
}

// restartNeededFor lists the changes that take effect only at a restart, separated by commas. Listeners and limits that are in
// use stay as they are until then.
func restartNeededFor(changes []plan.Change) string {
	var parts []string
	for _, c := range changes {
		if strings.HasPrefix(c.Subject, "listener ") {
			parts = append(parts, c.Subject)
		}
		if c.Subject == "fleet" && slices.ContainsFunc(c.After, func(f plan.Field) bool { return f.Name == "view" }) {
			parts = append(parts, "fleet view")
		}
		if c.Subject != "limits" {
			continue
		}
		for _, f := range c.After {
			if f.Name != "concurrency" && f.Name != "queue" {
				parts = append(parts, "limits "+f.Name)
			}
		}
	}
	return strings.Join(parts, ", ")
}
