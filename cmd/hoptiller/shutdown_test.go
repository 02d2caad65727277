package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// replaceWithPipe replaces a file by a named pipe. The function that it returns waits until a process opens the pipe for
// reading, and returns a function that writes text to the pipe and closes it.
func replaceWithPipe(t *testing.T, path string) (reader func() (write func(text []byte))) {
	t.Helper()
	os.Remove(path)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return func() func([]byte) {
		opened := make(chan *os.File, 1)
		go func() {
			f, err := os.OpenFile(path, os.O_WRONLY, 0)
			if err != nil {
				t.Error(err)
			}
			opened <- f
		}()
		select {
		case f := <-opened:
			return func(text []byte) {
				f.Write(text)
				f.Close()
			}
		case <-time.After(testTimeout):
			t.Fatal("no process reads the configuration")
			return nil
		}
	}
}

// TestStopBeforeReady sends SIGTERM, once or twice, while the program still reads its configuration. Its exit code
// must be 0.
func TestStopBeforeReady(t *testing.T) {
	t.Parallel()
	for name, times := range map[string]int{"once": 1, "twice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "config.json")
			reader := replaceWithPipe(t, path)
			ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
			defer cancel()
			cmd := exec.CommandContext(ctx, programPath)
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
			var log strings.Builder
			cmd.Stderr = &log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			write := reader()
			for range times {
				if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
			}
			write([]byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":{"version":1,"full":true,"servers":[]},"settings":` +
				settings + `}`))
			if err := cmd.Wait(); err != nil {
				t.Errorf("%v, log %s", err, log.String())
			}
		})
	}
}

// TestStopWhileReloading sends SIGTERM twice while the program handles a SIGHUP. The request in flight must be answered, and the
// program must end with exit code 0.
func TestStopWhileReloading(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	play := func(text string) { w.runScenario(t, t.Name(), strings.Split(text, "\n")) }
	play(`
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *`)
	reader := replaceWithPipe(t, w.configPath)
	if err := w.program.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	write := reader()
	play(`
		program close
		program wait * msg=stopping*
		program close
		p1 send VA 1 O01\r\nx
		c1 expect VA 1 O01
		c1 expect x`)
	write([]byte(w.configText))
	play(`
		c1 expect <closed>
		program expect 0`)
}

// TestStopWithClientsInEveryState sends SIGTERM while one client has connected and sent nothing, one has sent half a command,
// one is idle and sends a command just after the signal, and one stays idle. All commands must be answered, and each connection
// must end after its last answer.
func TestStopWithClientsInEveryState(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	w.serveReads("x")
	addr := w.actors["program"].addr
	silent, half, asks, rests := dial(t, addr), dial(t, addr), dial(t, addr), dial(t, addr)
	fmt.Fprint(half, "mg k2 v O02 Pc=re")
	read := func(conn net.Conn, want string) {
		t.Helper()
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); string(got) != want || err != nil {
			t.Errorf("got %q, %v, not %q", got, err, want)
		}
	}
	for _, conn := range []net.Conn{asks, rests} {
		fmt.Fprint(conn, "mn\r\n")
		read(conn, "MN\r\n")
	}
	w.runScenario(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	fmt.Fprint(silent, "mg k1 v O01 Pc=read,d=9000\r\n")
	fmt.Fprint(half, "ad,d=9000\r\n")
	fmt.Fprint(asks, "mg k3 v O03 Pc=read,d=9000\r\n")
	read(silent, "VA 1 O01\r\nx\r\n")
	read(half, "VA 1 O02\r\nx\r\n")
	read(asks, "VA 1 O03\r\nx\r\n")
	for _, conn := range []net.Conn{silent, half, asks, rests} {
		if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("after the last answer: %d bytes, %v", n, err)
		}
	}
	w.runScenario(t, t.Name(), []string{"program expect 0"})
}
