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

// Crossing: SIGHUP comes while the program that was just started still reads its configuration. It goes on, and takes what the
// configuration says by then.
func TestReloadBeforeReady(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	reader := pipe(t, path)
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
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	said, ended := make(chan string, 1000), make(chan error, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			said <- lines.Text()
		}
		ended <- cmd.Wait()
	}()
	t.Cleanup(func() { cmd.Process.Kill() })
	write := reader()
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	write(config(before))
	testprog.Await(t, said, "line that it listens") // so the first configuration has been read to its end
	reader()(config(after))
	if line := testprog.Await(t, asked, "call to the discovery of the new configuration"); !strings.HasPrefix(line, "GET /registry/instances?watch=1&after=0 ") {
		t.Errorf("it is asked %q", line)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testprog.Await(t, ended, "end of the program"); err != nil {
		t.Error(err)
	}
}
