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

// whilePaused pauses the process of the program and calls during, to simulate a machine that is short of processors.
func (w *environment) whilePaused(t *testing.T, during func()) {
	t.Helper()
	process := w.program.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	testprog.Eventually(t, "the program is paused", func() bool { return isStopped(t, process.Pid) })
	during()
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// isStopped reports whether a process is stopped by a signal.
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // after the name, which may contain anything
	return strings.HasPrefix(rest, "T")
}

// TestClientsDisconnectWhilePaused pauses the program while clients close or reset their connections and while their attempts
// end with a miss. When the program continues it must fetch nothing for them, whichever of the two events it handles first.
func TestClientsDisconnectWhilePaused(t *testing.T) {
	t.Parallel()
	const clients = 60
	w := startProgram(t, []string{"p1"}, "")
	conns := make([]net.Conn, clients)
	for i := range conns {
		conns[i] = dial(t, w.actors["program"].addr)
		fmt.Fprintf(conns[i], "mg k%d v O%d Pc=read,d=9000\r\n", i, i)
	}
	var calls []receivedAttempt
	for range clients {
		calls = append(calls, w.awaitAttempt(t, "p1", "mg *"))
	}
	w.whilePaused(t, func() {
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
	if err := w.pollAdmin(`/v1/metrics *"pending":0,*`); err != nil {
		t.Fatal(err)
	}
	w.runScenario(t, t.Name(), []string{"program close", "program wait * msg=stopping*", "program expect 0"})
	for _, text := range w.takeLines("o") {
		if strings.HasPrefix(text, "GET ") {
			t.Errorf("%q was sent for a client that had disconnected before the program continued %v ago", text, time.Since(continued))
		}
	}
}
