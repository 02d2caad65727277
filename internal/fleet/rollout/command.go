package rollout

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// A command runs in a session of its own and goes on when the driver is killed. It has two files open all the while: one that tells
// that it has begun, written by the process itself before it becomes the command, and a lock that is free once it and all that it
// has left behind with these files have ended. So the next driver knows whether it ran, and whether it runs.

// errRuns says that a former command for the router still runs.
var errRuns = errors.New("a former command for it still runs")

func (d *Driver) file(router int, what string) string {
	return filepath.Join(d.folder, fmt.Sprintf("router%d.%s", router, what))
}

// begun is how many commands have begun for a router.
func (d *Driver) begun(router int) int {
	s, err := os.Stat(d.file(router, "begun"))
	if err != nil {
		return 0
	}
	return int(s.Size())
}

// runs tells whether a command for a router runs.
func (d *Driver) runs(router int) bool {
	lock, err := d.lock(router)
	if err == nil {
		lock.Close()
	}
	return errors.Is(err, errRuns)
}

func (d *Driver) lock(router int) (*os.File, error) {
	f, err := os.OpenFile(d.file(router, "runs"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errRuns
	}
	return f, nil
}

// command starts a router's command. How it ends comes on d.ended.
func (d *Driver) command(router int, words []string) error {
	lock, err := d.lock(router)
	if err != nil {
		return err
	}
	defer lock.Close()
	begun, err := os.OpenFile(d.file(router, "begun"), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_SYNC, 0o644)
	if err != nil {
		return err
	}
	defer begun.Close()
	log, err := os.OpenFile(d.file(router, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", append([]string{"-c", `printf . >&3 && exec "$@"`, "sh"}, words...)...)
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, []*os.File{begun, lock}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() { d.ended <- ended{router, cmd.Wait()} }()
	return nil
}

// ended is how a command has.
type ended struct {
	router int
	err    error
}

// Check tells whether a command can be run at all.
func Check(words []string) error {
	_, err := exec.LookPath(words[0])
	return err
}
