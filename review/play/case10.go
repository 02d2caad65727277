package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["10"] = playCase10 }

// case10Limit is how long a release may take back the one router that it has changed. The plan gives a router 30 s to be let out and
// 15 s to come back.
const case10Limit = 55 * time.Second

// replaceScript is an operator's command that ends a router's process, starts the new one, and returns.
const replaceScript = `#!/bin/sh
# replace.sh NUMBER SETTINGS
cd "$ROOT" || exit 1
old=$(cat "$RUN/router$1.pid")
kill "$old"
while kill -0 "$old" 2>/dev/null && ! grep -q "^State:.Z" "/proc/$old/status"; do sleep 0.1; done
. "$RUN/router$1.env"
RELAY_CONFIG="$RUN/router$1-$2.json" bin/hoptiller >> "$RUN/router$1.log" 2>&1 < /dev/null &
echo $! > "$RUN/router$1.pid"
`

// playCase10 takes back a release that has been halted behind its first router.
func playCase10(w *world, trouble bool) (broken []string) {
	_, list := w.startServers(4, plainAnswer, 100*time.Millisecond)
	fleet := w.newFleet(3, w.startDiscovery(list), "fleet {\n\tview on\n}\n")
	digest := w.shownSettings(fleet[0], "new")
	script := filepath.Join(w.dir, "replace.sh")
	must(os.WriteFile(script, []byte(replaceScript), 0o755))
	for _, r := range fleet {
		for _, variant := range []string{"former", "new"} {
			set := r.config["settings"].(map[string]any)
			if delete(set, "variant"); variant == "new" {
				set["variant"] = variant
			}
			r.writeConfig(fmt.Sprintf("router%d-%s.json", r.number, variant))
			delete(set, "variant")
		}
		env := fmt.Sprintf("export RELAY_ADMIN=%s HOPTILLER_FILE=%s\n", r.admin, strings.TrimPrefix(r.env[0], "HOPTILLER_FILE="))
		must(writeFile(filepath.Join(w.dir, fmt.Sprintf("router%d.env", r.number)), env))
		p := r.start()
		must(writeFile(w.pidFile(r), fmt.Sprintln(p.cmd.Process.Pid)))
	}
	w.onClose(func() { w.endRouters(fleet) })
	for _, r := range fleet {
		w.waitFor("router "+fmt.Sprint(r.number), 10*time.Second, r.ready)
	}
	w.startLoad(fleet, 20*time.Millisecond)
	plan := filepath.Join(w.dir, "lists-2.hop")
	text := fmt.Sprintf("release lists-2 {\n\tsettings %q\n\treplace %q \"{number}\" \"new\"\n\tback %q \"{number}\" \"former\"\n"+
		"\tstate \"lists-2.state\"\n\tcanary 1\n\twave 1\n\tsoak 20s\n\trequests 50\n\tsettle 15s\n\tpermit 30s\n}\n", digest, script, script)
	for _, r := range fleet {
		text += fmt.Sprintf("router %d %q\n", r.number, r.admin)
	}
	must(writeFile(plan, text))
	time.Sleep(11 * time.Second) // electors grant nothing in the first 10 s
	env := []string{"ROOT=" + w.root, "RUN=" + w.dir}
	start := w.startProcess("start", "exec bin/hoptiller release start "+plan, env)
	w.waitFor("the first router's new settings", 30*time.Second, func() bool { return strings.Contains(w.output("start"), "router 0: done") })
	if !trouble {
		time.Sleep(10 * time.Second)
		w.noteOutputs("start")
		return nil
	}
	w.startProcess("halt", "exec bin/hoptiller release halt "+plan, env).waitEnded(5 * time.Second)
	if !start.waitEnded(20 * time.Second) {
		stop("the first driver has not halted")
	}
	began := time.Now()
	back := w.startProcess("back", "exec bin/hoptiller release back "+plan, env)
	if !back.waitEnded(case10Limit) {
		status, body := w.call("GET", fleet[0].admin, "/v1/readyz")
		w.note("router 0 answers readyz with %d %s", status, body)
		broken = append(broken, fmt.Sprintf("release back has not ended after %v; router 0 is %s", time.Since(began).Round(time.Second), body))
	}
	w.noteOutputs("start", "halt", "back")
	return broken
}

func (w *world) pidFile(r *router) string {
	return filepath.Join(w.dir, fmt.Sprintf("router%d.pid", r.number))
}

// endRouters ends the processes that the replace script has started.
func (w *world) endRouters(fleet []*router) {
	for _, r := range fleet {
		var pid int
		text, _ := os.ReadFile(w.pidFile(r))
		fmt.Sscan(string(text), &pid)
		if name, _ := os.ReadFile(fmt.Sprintf("/proc/%d/comm", pid)); strings.TrimSpace(string(name)) != "hoptiller" {
			continue
		}
		if p, err := os.FindProcess(pid); err == nil {
			p.Kill()
		}
	}
}
