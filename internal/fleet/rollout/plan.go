package rollout

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"hoptiller/internal/fleet/release"
	"hoptiller/internal/plan"
)

// Examine holds a plan against the fleet: which of it can't be kept, and in which waves it would go.
func Examine(ctx context.Context, p *plan.Release) (waves [][]int, report *plan.Report) {
	f, report := newFleet(p), &plan.Report{}
	for name, words := range map[string][]string{"replace": p.Replace, "back": p.Back} {
		if err := Check(words); err != nil {
			p.Find(report, name, 0, "command", err.Error())
		}
	}
	all := f.ask(ctx)
	s := f.sight(all)
	bound, answered := 0, 0
	for _, n := range f.numbers {
		switch a := all[n]; {
		case a.view == nil:
			p.Find(report, "", n, "router", fmt.Sprintf("router %d can't be asked: %s", n, a.err))
		case a.view.Out != nil:
			bound = a.view.Out.Most
			answered = max(answered, len(a.view.Members))
		default:
			p.Find(report, "", n, "router", fmt.Sprintf("router %d agrees with nobody on who is out", n))
		}
	}
	if answered > len(f.numbers) {
		p.Find(report, "release", 0, "routers", fmt.Sprintf("the fleet has %d routers, and %d are named", answered, len(f.numbers)))
	}
	if bound > 0 {
		for name, size := range map[string]int{"canary": p.Canary, "wave": p.First} {
			if size > len(f.numbers) {
				p.Find(report, name, 0, "bounds", fmt.Sprintf("%d routers are more than there are", size))
			}
		}
		if p.Canary > bound {
			p.Find(report, "canary", 0, "bounds", fmt.Sprintf("%d routers at first, and the fleet lets %d be out", p.Canary, bound))
		}
	}
	if !s.Agree {
		p.Find(report, "release", 0, "views", "the routers' views of the fleet disagree")
	}
	order, params := f.order(all), params(p)
	for r := release.New(0, params, order, nil); ; {
		size, n := r.Size()
		from := 0
		for _, w := range waves {
			from += len(w)
		}
		waves = append(waves, order[from:size])
		if size == n {
			break
		}
		r.NextWave()
	}
	return waves, report
}

// Status writes how a release stands: by this machine's journal, and as the routers have it.
func Status(ctx context.Context, w io.Writer, p *plan.Release) error {
	records, err := Records(p.State)
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(p.State, "journal"), err)
	}
	f := newFleet(p)
	all := f.ask(ctx)
	r := release.New(0, params(p), f.order(all), records)
	switch {
	case len(records) == 0:
		fmt.Fprintln(w, "this machine has not driven it")
	case r.Ended():
		fmt.Fprintf(w, "ended%s\n", map[bool]string{true: ", all is as it was"}[r.GoesBack()])
	case r.Halted() != "":
		fmt.Fprintln(w, "halted:", r.Halted())
	default:
		fmt.Fprintf(w, "on its way %s\n", map[bool]string{false: "forth", true: "back"}[r.GoesBack()])
	}
	stages := r.Stages()
	for _, s := range []release.Stage{release.Waiting, release.Begun, release.Changed} {
		if len(records) > 0 && len(stages[s]) > 0 {
			fmt.Fprintf(w, "%v: %s\n", s, strings.Trim(fmt.Sprint(stages[s]), "[]"))
		}
	}
	shown := map[string][]int{}
	for n, x := range f.sight(all).Routers {
		text := "nothing"
		if x.Reached {
			text = x.Shows
		}
		shown[text] = append(shown[text], n)
	}
	for text, list := range shown {
		fmt.Fprintf(w, "%d routers show %s\n", len(list), text)
	}
	for _, n := range f.numbers {
		if v := all[n].view; v != nil && v.Release != nil {
			fmt.Fprintf(w, "the fleet knows: release %s, %s, run by %s (%s), kept by router %d\n", v.Release.ID, v.Release.State, v.Release.By,
				v.Release.Stage, v.Release.Router)
			return nil
		}
	}
	fmt.Fprintln(w, "the fleet knows of no release")
	return nil
}
