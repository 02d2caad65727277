package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// standStill has the program stand still while something happens around it, as on a machine that is short of processors.
func (w *world) standStill(t *testing.T, happens func()) {
	t.Helper()
	process := w.program.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	testprog.Until(t, "the program stands still", func() bool { return stopped(t, process.Pid) })
	happens()
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// stopped tells whether a process is stopped by a signal.
func stopped(t *testing.T, pid int) bool {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // behind the name, which may hold anything
	return strings.HasPrefix(rest, "T")
}

// Crossing: the program stands still while clients leave, closing or resetting, and while the attempts for them end with a miss. When it
// goes on nothing is fetched for them, whichever of the two it hears first.
func TestClientsLeaveWhileTheProgramStandsStill(t *testing.T) {
	t.Parallel()
	const clients = 60
	w := start(t, []string{"p1"}, "")
	conns := make([]net.Conn, clients)
	for i := range conns {
		conns[i] = dial(t, w.actors["program"].addr)
		fmt.Fprintf(conns[i], "mg k%d v O%d Pc=read,d=9000\r\n", i, i)
	}
	var calls []attempt
	for range clients {
		calls = append(calls, w.attemptAt(t, "p1", "mg *"))
	}
	w.standStill(t, func() {
		for _, call := range calls {
			fmt.Fprintf(call.conn, "EN %s\r\n", strings.Fields(call.line)[3])
		}
		for i, conn := range conns {
			if i%2 == 0 {
				conn.(*net.TCPConn).SetLinger(0) // a reset
			}
			conn.Close()
		}
	})
	continued := time.Now()
	if err := w.until(`/v1/metrics *"pending":0,*`); err != nil {
		t.Fatal(err)
	}
	w.play(t, t.Name(), []string{"program close", "program wait * msg=stopping*", "program expect 0"})
	for _, text := range w.linesOf("o") {
		if strings.HasPrefix(text, "GET ") {
			t.Errorf("%q came for a client that had left before the program went on %v ago", text, time.Since(continued))
		}
	}
}
