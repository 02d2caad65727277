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

// ReleasePlan is a release that a drill's steps start, resume, halt and roll back. The new version is the same program with
// settings that name it. If the plan has an operators' file, the new version reads this one, which is how a drill makes a
// bad version.
type ReleasePlan struct {
	OperatorsFile  string        `toml:"file,omitempty"`
	CanarySize     int           `toml:"canary,omitempty"`
	SecondWaveSize int           `toml:"wave,omitempty"`
	MinRequests    int           `toml:"requests,omitempty"`
	SoakDuration   unit.Duration `toml:"soak,omitempty"`
	ReplaceTimeout unit.Duration `toml:"settle,omitempty"`
	PermitTimeout  unit.Duration `toml:"permit,omitempty"`
	StartFailures  []int         `toml:"lost,omitempty"` // numbers of routers whose new version does not start
}

// The variants of a router's program: the version before the release and the released one.
const (
	formerVariant = ""
	newVariant    = "new"
)

// commandPrefix begins the text of an event for a command that the release runs.
const commandPrefix = "the release's command: "

// writeFiles writes an operators' file for each variant of the program, if the drill has such a file or a release plan.
func (p *player) writeFiles() error {
	if p.drill.OperatorsFile == "" && p.drill.Plan == nil {
		return nil
	}
	var err error
	if p.folder, err = os.MkdirTemp("", "hopdrill"); err != nil {
		return err
	}
	text := p.drill.OperatorsFile
	if err := os.WriteFile(p.filePath(formerVariant+".hop"), []byte(text), 0o600); err != nil {
		return err
	}
	if p.drill.Plan != nil && p.drill.Plan.OperatorsFile != "" {
		text = p.drill.Plan.OperatorsFile
	}
	return os.WriteFile(p.filePath(newVariant+".hop"), []byte(text), 0o600)
}

func (p *player) filePath(name string) string { return filepath.Join(p.folder, name) }

// variantEnv returns the environment variables that make a router read its variant's operators' file.
func (p *player) variantEnv(kind string) []string {
	if p.folder == "" || p.drill.OperatorsFile == "" && (kind == formerVariant || p.drill.Plan.OperatorsFile == "") {
		return nil
	}
	return []string{"HOPTILLER_FILE=" + p.filePath(kind+".hop")}
}

// writePlan writes the plan file of the release and returns its path. The plan's command is a script that asks this drill
// through files to replace a router, and waits until the drill has done so.
func (p *player) writePlan(control standin.Control, state string) (path string, err error) {
	digest, err := control.SettingsDigest(newVariant)
	if err != nil {
		return "", err
	}
	script := p.filePath("replace.sh")
	text := "#!/bin/sh\ncd " + p.folder + "\necho $2 > ask.$1.tmp\nmv ask.$1.tmp ask.$1\nwhile [ ! -e done.$1 ]; do sleep 0.05; done\nread how < done.$1\nrm done.$1\n[ \"$how\" = ok ]\n"
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		return "", err
	}
	r := p.drill.Plan
	var b strings.Builder
	fmt.Fprintf(&b, "release drill {\n\tsettings %s\n\treplace %q \"{number}\" new\n\tback %q \"{number}\" former\n\tstate %q\n", digest, script, script, state)
	for name, n := range map[string]int{"canary": r.CanarySize, "wave": r.SecondWaveSize, "requests": r.MinRequests} {
		if n > 0 {
			fmt.Fprintf(&b, "\t%s %d\n", name, n)
		}
	}
	for name, d := range map[string]unit.Duration{"soak": r.SoakDuration, "settle": r.ReplaceTimeout, "permit": r.PermitTimeout} {
		if d > 0 {
			fmt.Fprintf(&b, "\t%s %dms\n", name, d.Std().Milliseconds())
		}
	}
	b.WriteString("}\n")
	for i := range p.drill.Day.Routers {
		fmt.Fprintf(&b, "router %d %q\n", i, p.proxies[proxyKey{i, admin}][0].Addr())
	}
	path = p.filePath(state + ".plan")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// runRelease runs the router's program to start, resume, halt or roll back the release.
func (p *player) runRelease(s *Step, control standin.Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "here"
	if s.OtherMachine {
		state = "away"
	}
	path, err := p.writePlan(control, state)
	if err != nil {
		p.record(-1, "release: %v", err)
		return
	}
	cmd := exec.Command(p.program, "release", s.ReleaseCommand, path)
	out := &lineWriter{timeline: p.timeline, router: -1, source: "release"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		p.record(-1, "release: %v", err)
		return
	}
	p.drivers = append(p.drivers, cmd.Process)
	if s.ReleaseCommand != "halt" {
		p.currentDriver = cmd.Process
	}
	p.driverWaits.Go(func() {
		cmd.Wait()
		p.timeline.add(time.Now(), time.Millisecond, "release", -1, fmt.Sprintf("release %s: %v", s.ReleaseCommand, cmd.ProcessState))
	})
}

// runCommands carries out the replacements that the release's commands have requested since the last call.
func (p *player) runCommands(control standin.Control) {
	for i := range p.drill.Day.Routers {
		requestFile := p.filePath(fmt.Sprintf("ask.%d", i))
		text, err := os.ReadFile(requestFile)
		if err != nil {
			continue
		}
		os.Remove(requestFile)
		kind := strings.TrimSpace(string(text))
		p.record(i, "%s%s", commandPrefix, kind)
		p.record(i, "term: true")
		if kind == "former" {
			kind = formerVariant
		}
		done := func(err error) {
			how := "ok"
			if err != nil {
				how = err.Error()
			}
			temporary := p.filePath(fmt.Sprintf("done.%d.tmp", i))
			os.WriteFile(temporary, []byte(how+"\n"), 0o600)
			os.Rename(temporary, p.filePath(fmt.Sprintf("done.%d", i)))
		}
		if kind == newVariant && slices.Contains(p.drill.Plan.StartFailures, i) {
			control.Signal(i, syscall.SIGTERM)
			done(nil)
			continue
		}
		control.Replace(i, kind, done)
	}
}

// pollCommands carries out the replacements that the release's commands request, until ctx ends.
func (p *player) pollCommands(ctx context.Context, control standin.Control) {
	if p.drill.Plan == nil {
		return
	}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.runCommands(control)
		}
	}
}

// signalDriver kills the process that drives the release, or pauses it while a step with a duration lasts. If another process drives
// the release by the end of the step, the one that was paused goes on all the same.
func (p *player) signalDriver(s *Step, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.currentDriver == nil:
	case s.Duration == 0:
		p.record(-1, "the driver is killed")
		p.currentDriver.Kill()
	case on: // by the end of the step another one may drive the release
		p.pausedDrivers[s] = p.currentDriver
		p.currentDriver.Signal(syscall.SIGSTOP)
	default:
		p.pausedDrivers[s].Signal(syscall.SIGCONT)
	}
}

// killDrivers kills all processes of release commands and waits for them.
func (p *player) killDrivers() {
	p.mu.Lock()
	all := p.drivers
	p.drivers, p.currentDriver = nil, nil
	p.mu.Unlock()
	for _, d := range all {
		d.Kill()
	}
	p.driverWaits.Wait()
}
