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

// reloader reads the configuration and the operator's file again on each SIGHUP. A router under load keeps its
// clients, providers and all that it has learned. It takes all of both files that can be taken without a restart,
// or, where anything is wrong with one of them, nothing of either.
type reloader struct {
	serve     *serveCmd
	config    *config.Config
	plan      *plan.Plan
	dir       *discovery.Client
	admission *middleware.Handler // nil without an operator's file
	log       *logs.Log
	fleet     *fleet
}

func (l *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			l.reload()
		}
	}
}

func (l *reloader) reload() {
	// The environment still names the directory of the start, so here the file goes before it.
	c, p, err := l.serve.load("")
	var options logs.Options
	if err == nil {
		options, err = l.serve.logging(p)
	}
	var report *plan.Report
	if errors.As(err, &report) {
		err = report.Err() // one line
	}
	if err != nil {
		slog.Error("reload refused", "err", err, "kept", "all as it was")
		return
	}
	changes := plan.Diff(l.plan, p)
	if later := restart(changes); later != "" {
		slog.Warn("reload needs a restart for a part", "part", later)
	}
	if l.admission != nil {
		l.admission.SetPlan(p)
	}
	l.plan = p
	l.fleet.adopt(p.Fleet)
	l.log.Set(options)
	if c.Discovery != l.config.Discovery {
		l.dir.Move(registry(c))
	}
	l.config = c
	slog.Info("reload", "discovery", c.Discovery, "changes", len(changes))
}

// restart names what of some changes is taken only at the start: what is open then stays as it is.
func restart(changes []plan.Change) string {
	var parts []string
	for _, c := range changes {
		if strings.HasPrefix(c.Thing, "listener ") {
			parts = append(parts, c.Thing)
		}
		if c.Thing == "fleet" && slices.ContainsFunc(c.After, func(f plan.Field) bool { return f.Name == "view" }) {
			parts = append(parts, "fleet view")
		}
		if c.Thing != "limits" {
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
