package drill

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"hoptiller/internal/lab/standin"
	"hoptiller/internal/unit"
)

// Plan is a release that a drill's steps start, halt and take back. The new version is the same program with settings that name it,
// and, where file is stated, with an operator's file of its own: that is how a bad one is made.
type Plan struct {
	File     string        `toml:"file,omitempty"`
	Canary   int           `toml:"canary,omitempty"`
	Wave     int           `toml:"wave,omitempty"`
	Requests int           `toml:"requests,omitempty"`
	Soak     unit.Duration `toml:"soak,omitempty"`
	Settle   unit.Duration `toml:"settle,omitempty"`
	Permit   unit.Duration `toml:"permit,omitempty"`
	Lost     []int         `toml:"lost,omitempty"` // routers whose new version does not start
}

// The variants of a router's program.
const (
	former = ""
	newer  = "new"
)

// commandRuns begins the text of an event that tells of a release's command.
const commandRuns = "the release's command: "

// files writes the operator's files.
func (p *player) files() error {
	if p.f.File == "" && p.f.Plan == nil {
		return nil
	}
	var err error
	if p.folder, err = os.MkdirTemp("", "hopdrill"); err != nil {
		return err
	}
	text := p.f.File
	if err := os.WriteFile(p.path(former+".hop"), []byte(text), 0o600); err != nil {
		return err
	}
	if p.f.Plan != nil && p.f.Plan.File != "" {
		text = p.f.Plan.File
	}
	return os.WriteFile(p.path(newer+".hop"), []byte(text), 0o600)
}

func (p *player) path(name string) string { return filepath.Join(p.folder, name) }

// variant is the environment of a router.
func (p *player) variant(kind string) []string {
	if p.folder == "" || p.f.File == "" && (kind == former || p.f.Plan.File == "") {
		return nil
	}
	return []string{"HOPTILLER_FILE=" + p.path(kind+".hop")}
}

// plan writes the release's plan. Its command is a script that asks this drill, by files, to replace a router, and waits for that.
func (p *player) plan(hand standin.Control, state string) (path string, err error) {
	shows, err := hand.Shows(newer)
	if err != nil {
		return "", err
	}
	script := p.path("replace.sh")
	text := "#!/bin/sh\ncd " + p.folder + "\necho $2 > ask.$1.tmp\nmv ask.$1.tmp ask.$1\nwhile [ ! -e done.$1 ]; do sleep 0.05; done\nread how < done.$1\nrm done.$1\n[ \"$how\" = ok ]\n"
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		return "", err
	}
	r := p.f.Plan
	var b strings.Builder
	fmt.Fprintf(&b, "release drill {\n\tsettings %s\n\treplace %q \"{number}\" new\n\tback %q \"{number}\" former\n\tstate %q\n", shows, script, script, state)
	for name, n := range map[string]int{"canary": r.Canary, "wave": r.Wave, "requests": r.Requests} {
		if n > 0 {
			fmt.Fprintf(&b, "\t%s %d\n", name, n)
		}
	}
	for name, d := range map[string]unit.Duration{"soak": r.Soak, "settle": r.Settle, "permit": r.Permit} {
		if d > 0 {
			fmt.Fprintf(&b, "\t%s %dms\n", name, d.D().Milliseconds())
		}
	}
	b.WriteString("}\n")
	for i := range p.f.Day.Routers {
		fmt.Fprintf(&b, "router %d %q\n", i, p.ways[wayKey{i, admin}][0].Addr())
	}
	path = p.path(state + ".plan")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// release runs the router's program to start, resume, halt or take back the release.
func (p *player) release(s *Step, hand standin.Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "here"
	if s.Away {
		state = "away"
	}
	path, err := p.plan(hand, state)
	if err != nil {
		p.say(-1, "release: %v", err)
		return
	}
	cmd := exec.Command(p.program, "release", s.Do, path)
	out := &log{t: p.timeline, router: -1, from: "release"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		p.say(-1, "release: %v", err)
		return
	}
	p.started = append(p.started, cmd.Process)
	if s.Do != "halt" {
		p.driver = cmd.Process
	}
	p.drivers.Go(func() {
		cmd.Wait()
		p.timeline.add(time.Now(), time.Millisecond, "release", -1, fmt.Sprintf("release %s: %v", s.Do, cmd.ProcessState))
	})
}

// asked carries out what the release's commands have asked for since it was last called.
func (p *player) asked(hand standin.Control) {
	for i := range p.f.Day.Routers {
		ask := p.path(fmt.Sprintf("ask.%d", i))
		text, err := os.ReadFile(ask)
		if err != nil {
			continue
		}
		os.Remove(ask)
		kind := strings.TrimSpace(string(text))
		p.say(i, "%s%s", commandRuns, kind)
		p.say(i, "term: true")
		if kind == "former" {
			kind = former
		}
		done := func(err error) {
			how := "ok"
			if err != nil {
				how = err.Error()
			}
			temporary := p.path(fmt.Sprintf("done.%d.tmp", i))
			os.WriteFile(temporary, []byte(how+"\n"), 0o600)
			os.Rename(temporary, p.path(fmt.Sprintf("done.%d", i)))
		}
		if kind == newer && slices.Contains(p.f.Plan.Lost, i) {
			hand.Signal(i, syscall.SIGTERM)
			done(nil)
			continue
		}
		hand.Replace(i, kind, done)
	}
}

// watchAsked carries out what the release's commands ask for, until ctx ends.
func (p *player) watchAsked(ctx context.Context, hand standin.Control) {
	if p.f.Plan == nil {
		return
	}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.asked(hand)
		}
	}
}

func (p *player) signalDriver(s *Step, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.driver == nil:
	case s.For == 0:
		p.say(-1, "the driver is killed")
		p.driver.Kill()
	case on:
		p.driver.Signal(syscall.SIGSTOP)
	default:
		p.driver.Signal(syscall.SIGCONT)
	}
}

// endDrivers ends all that drive the release, at the end of the day.
func (p *player) endDrivers() {
	p.mu.Lock()
	all := p.started
	p.started, p.driver = nil, nil
	p.mu.Unlock()
	for _, d := range all {
		d.Kill()
	}
	p.drivers.Wait()
}
