package requestid

import (
	"errors"
	"fmt"
	"os"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// errForeignFile reports a file that another user owns, or that is no plain file.
var errForeignFile = errors.New("not a plain file of this user")

// Open returns the table in a file, which is made if it does not exist. All processes that open the file share the table, which is
// mapped into the memory of each until it ends. A shorter file is extended.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var status unix.Stat_t
	if err := unix.Fstat(int(file.Fd()), &status); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if status.Mode&unix.S_IFMT != unix.S_IFREG || int(status.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("%s: %w", path, errForeignFile)
	}
	if err := unix.Fallocate(int(file.Fd()), 0, 0, tableSize); err != nil { // else a full file system would end the process later
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, tableSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Table{unsafe.Slice((*uint64)(unsafe.Pointer(&memory[0])), tableSize/8)}, nil
}

// SocketPath returns the path of the table that the processes share which hold a listening socket.
func SocketPath(dir string, socket uintptr) (string, error) {
	var status unix.Stat_t
	if err := unix.Fstat(int(socket), &status); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s/hoptiller-ids-1-%d", dir, status.Ino), nil
}

// Now returns the time on the clock that all processes of the machine read, and that is never set.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
