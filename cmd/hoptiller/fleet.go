package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/command"
	"hoptiller/internal/fleet/peers"
)

// fleetCmd shows how routers see their fleet.
type fleetCmd struct {
	Addrs []string      `arg:"" help:"Operators' addresses of one or more routers."`
	JSON  bool          `help:"Write all that was answered as JSON."`
	Watch bool          `short:"w" help:"Ask again and again until interrupted."`
	Every time.Duration `help:"How often with --watch." default:"2s"`
}

// Run queries all routers at once. A router that does not answer within 3 s is reported, and the others are shown.
func (c *fleetCmd) Run() error {
	for _, a := range c.Addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("operators' address: %w", err)
		}
	}
	if c.Every < 100*time.Millisecond {
		return errors.New("--every must be at least 100ms")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for {
		err := c.queryOnce(ctx, os.Stdout)
		if !c.Watch {
			return err
		}
		if err != nil && !errors.Is(err, command.ErrFinding) {
			fmt.Println(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
		}
	}
}

// queryOnce queries all routers and writes the first view and the differences of the others to w. The error is
// command.ErrFinding if views differ.
func (c *fleetCmd) queryOnce(ctx context.Context, w io.Writer) error {
	answers := make([]peers.FetchResult, len(c.Addrs))
	var g errgroup.Group
	for i, addr := range c.Addrs {
		g.Go(func() error {
			answers[i] = peers.FetchReport(ctx, addr)
			return nil
		})
	}
	g.Wait()
	differences := peers.Differences(answers)
	var failed []string
	for _, a := range answers {
		if a.Err != "" {
			failed = append(failed, a.Addr+": "+a.Err)
		}
	}
	if c.JSON {
		text, err := json.Marshal(map[string]any{"routers": answers, "differences": append([]string{}, differences...)})
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\n", text)
	} else {
		for _, a := range answers {
			if a.Report != nil {
				writeView(w, &a)
				break // the other views are equal, or listed among the differences
			}
		}
		for _, d := range differences {
			fmt.Fprintln(w, "differs:", d)
		}
	}
	switch {
	case len(failed) == len(answers):
		return errors.New(strings.Join(failed, "; "))
	case len(failed) > 0:
		fmt.Fprintln(os.Stderr, "not answered:", strings.Join(failed, "; "))
	}
	if len(differences) > 0 {
		return command.ErrFinding
	}
	return nil
}

// writeView writes the view of one router.
func writeView(w io.Writer, a *peers.FetchResult) {
	v := a.Report
	fmt.Fprintf(w, "as router %d at %s sees it (sum %s): %d alive, %d suspect, %d dead, %d left, %d never heard of; own health %d\n",
		v.Self, a.Addr, v.Checksum, v.Alive, v.Suspect, v.Dead, v.Left, v.Unknown, v.HealthScore)
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "router\tstate\tfor\tphase\tstart\tprogram\tsettings\trequests/s\t")
	for i := range v.Members {
		m := &v.Members[i]
		if m.State == "unknown" {
			fmt.Fprintf(columns, "%d\tunknown\t\t\t\t\t\t\t\n", m.Number)
			continue
		}
		remark := ""
		if m.DuplicateNumber {
			remark = "another router has this number"
		}
		fmt.Fprintf(columns, "%d\t%s\t%v\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Number, m.State, time.Duration(m.SinceSeconds*1e9).Round(time.Second),
			m.Phase, m.Start, m.VersionHash, m.SettingsHash, m.RequestRate, remark)
	}
	columns.Flush()
	if o := v.Permit; o != nil {
		if o.State != "none" {
			fmt.Fprintf(w, "router %d's permit: %s\n", v.Self, strings.TrimSpace(o.State+" "+o.Reason))
		}
		for _, h := range o.Holders {
			fmt.Fprintln(w, "out by permit:", h)
		}
	}
	for _, d := range v.Drains {
		fmt.Fprintf(w, "slot cache %s: %s, kept by router %d, ends in %v %s\n",
			d.Cache, d.State, d.Router, time.Duration(d.EndsInSeconds*1e9).Round(time.Second), d.Reason)
	}
	if r := v.Release; r != nil {
		fmt.Fprintf(w, "release %s: %s, run by %s (%s), kept by router %d %s\n", r.ID, r.State, r.Driver, r.Stage, r.Router, r.Reason)
	}
	for _, c := range v.Observations {
		fmt.Fprintf(w, "slot cache %s was seen %s %.0f s ago\n", c.ID, c.State, c.AgeSeconds)
	}
}
