package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["9"] = playCase9 }

const (
	case9Stands = 25 * time.Second // how long the driver stands still
	case9Watch  = 35 * time.Second // how long commands are watched for after that
)

// playCase9 has operators halt a release while its driver stands still. After the halt nothing may begin.
func playCase9(w *world, trouble bool) (broken []string) {
	fleet, _ := w.startSmallFleet(3, "fleet {\n\tview on\n}\n")
	w.startLoad(fleet, 20*time.Millisecond)
	r, addr := w.startReplacer(fleet, 3*time.Second)
	program, err := os.Executable()
	must(err)
	replace := fmt.Sprintf("%q \"call\" %q", program, addr)
	digest := w.shownSettings(fleet[0], "new")
	planA, planB := w.writePlan("machine-a", digest, replace, fleet), w.writePlan("machine-b", digest, replace, fleet)
	time.Sleep(11 * time.Second) // electors grant nothing in the first 10 s
	driver := w.startProcess("driver-a", "exec bin/hoptiller release start "+planA, nil)
	w.waitFor("the first router", 30*time.Second, func() bool { return strings.Contains(w.output("driver-a"), "router 0: done") })
	stands := time.Now()
	if trouble {
		driver.signal(syscall.SIGSTOP)
		w.note("the driver stands still")
	}
	time.Sleep(time.Second)
	halt := w.startProcess("halt", "exec bin/hoptiller release halt "+planB, nil)
	if !halt.waitEnded(5*time.Second) || halt.cmd.ProcessState.ExitCode() != 0 {
		stop("release halt: %s", w.output("halt"))
	}
	w.note("the operators have halted the release: exit code 0")
	before := r.begunCommands()
	if trouble {
		time.Sleep(time.Until(stands.Add(case9Stands)))
		driver.signal(syscall.SIGCONT)
		w.note("the driver goes on")
	}
	time.Sleep(case9Watch)
	w.noteOutputs("driver-a", "halt")
	for name, times := range r.begunCommands() {
		if times > before[name] {
			broken = append(broken, fmt.Sprintf("the command %q was begun after the release had been halted", name))
		}
	}
	return broken
}
