package rollout

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// A command runs in its own session, so it continues when the driver is killed. It has two files open as long as it runs. The
// process itself writes a byte to the first file before it executes the command, which shows that the command has begun. The
// second file carries a lock, which is free once the command and all processes that inherited the file from it have ended. From
// these files the next driver knows whether the command has begun and whether it still runs.

// errStillRunning is returned if the previous command for a router still runs.
var errStillRunning = errors.New("the previous command for this router still runs")

// routerFile returns the path of one of a router's files: begun, runs or log.
func (d *Driver) routerFile(router int, kind string) string {
	return filepath.Join(d.folder, fmt.Sprintf("router%d.%s", router, kind))
}

// commandsBegun returns how many commands have begun for a router. Each has written one byte.
func (d *Driver) commandsBegun(router int) int {
	info, err := os.Stat(d.routerFile(router, "begun"))
	if err != nil {
		return 0
	}
	return int(info.Size())
}

// commandRuns reports whether a command for a router runs.
func (d *Driver) commandRuns(router int) bool {
	lock, err := d.lock(router)
	if err == nil {
		lock.Close()
	}
	return errors.Is(err, errStillRunning)
}

// lock locks the file that shows that a router's command runs. The error is errStillRunning if a command holds the lock.
func (d *Driver) lock(router int) (*os.File, error) {
	file, err := os.OpenFile(d.routerFile(router, "runs"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, errStillRunning
	}
	return file, nil
}

// startCommand starts a router's command. Its result is sent to d.commandResults when the command ends.
func (d *Driver) startCommand(router int, words []string) error {
	lock, err := d.lock(router)
	if err != nil {
		return err
	}
	defer lock.Close()
	begunFile, err := os.OpenFile(d.routerFile(router, "begun"), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_SYNC, 0o644)
	if err != nil {
		return err
	}
	defer begunFile.Close()
	logFile, err := os.OpenFile(d.routerFile(router, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", append([]string{"-c", `printf . >&3 && exec "$@"`, "sh"}, words...)...)
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = logFile, logFile, []*os.File{begunFile, lock}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() { d.commandResults <- commandResult{router, cmd.Wait()} }()
	return nil
}

// commandResult says how the command of a router ended.
type commandResult struct {
	router int
	err    error
}

// CheckCommand returns an error if the program of a command is not found.
func CheckCommand(words []string) error {
	_, err := exec.LookPath(words[0])
	return err
}
