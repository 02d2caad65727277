package scale

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// Usage is what a process has used and what it holds at a moment.
type Usage struct {
	Processor   time.Duration // processor time since its start
	MemoryBytes int64         // resident memory
	Threads     int
	Connections int // sockets of all kinds
}

// readUsage reads the usage of a process.
func readUsage(pid int) (Usage, error) {
	var u Usage
	var err error
	if u.Processor, err = processorTime(pid); err != nil {
		return u, err
	}
	if u.MemoryBytes, u.Threads, err = readMemory(pid); err != nil {
		return u, err
	}
	u.Connections, err = countSockets(pid)
	return u, err
}

// cpuClockScheduled selects the processor time of a process in the id of its clock, which Linux defines as ~pid << 3 | 2.
const cpuClockScheduled = 2

// processorTime returns the processor time of all threads of a process, including those that have ended, in nanoseconds.
func processorTime(pid int) (time.Duration, error) {
	clock := int32(^pid)<<3 | cpuClockScheduled
	var at syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(clock), uintptr(unsafe.Pointer(&at)), 0); errno != 0 {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, errno)
	}
	return time.Duration(at.Nano()), nil
}

// readMemory returns the resident memory of a process in bytes and the number of its threads.
func readMemory(pid int) (bytes int64, threads int, err error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		switch name {
		case "VmRSS":
			kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
			bytes = kilobytes << 10
		case "Threads":
			threads, _ = strconv.Atoi(fields[0])
		}
	}
	return bytes, threads, lines.Err()
}

// countSockets returns the number of sockets of a process.
func countSockets(pid int) (count int, err error) {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		if target, err := os.Readlink(folder + "/" + e.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count, nil
}

// loadAverage returns the load average of the last minute, or 0 if the system does not report it.
func loadAverage() (load float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Sscan(string(text), &load)
	}
	return load
}
