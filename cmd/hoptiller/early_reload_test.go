package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"hoptiller/internal/testprog"
)

// TestReloadBeforeReady sends SIGHUP while a program that was just started still reads its configuration. The program must
// continue, and then use the configuration as it was changed in the meantime.
func TestReloadBeforeReady(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	reader := replaceWithPipe(t, path)
	before, after := testprog.Listen(t), testprog.Listen(t)
	asked := make(chan string, 100)
	testprog.Accept(after, func(conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		asked <- line
	})
	config := func(discovery net.Listener) []byte {
		return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"known":{"version":7,"full":true,"servers":[]},"settings":%s}`,
			discovery.Addr().String(), settings)
	}
	cmd := exec.Command(programPath)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	logLines, ended := make(chan string, 1000), make(chan error, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			logLines <- lines.Text()
		}
		ended <- cmd.Wait()
	}()
	t.Cleanup(func() { cmd.Process.Kill() })
	write := reader()
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	write(config(before))
	testprog.Await(t, logLines, "log line about the listener") // the first configuration has been read completely
	reader()(config(after))
	if line := testprog.Await(t, asked, "call to the discovery of the new configuration"); !strings.HasPrefix(line, "GET /registry/instances?watch=1&after=0 ") {
		t.Errorf("the new discovery service received %q", line)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testprog.Await(t, ended, "end of the program"); err != nil {
		t.Error(err)
	}
}
