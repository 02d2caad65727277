package scale

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Bounds of a run. Check refuses a run that would exceed them.
const (
	MaxProcesses   = 300
	MaxDuration    = 10 * time.Minute
	memoryFraction = 0.5 // fraction of the machine's memory that a run may use
)

// What a run needs, for the estimate before it starts. The memory figures come from runs of 50 to 1,000 routers and are
// rounded up.
const (
	baseMemory             = 120 << 20 // bytes of this process without any router
	hollowMemory           = 400 << 10 // bytes of a hollow router in a fleet of a few routers
	hollowMemoryPerPeer    = 700       // bytes more of a hollow router for each router that it knows
	processMemory          = 40 << 20  // bytes of a process of the program in a fleet of a few routers
	processMemoryPerPeer   = 16 << 10  // bytes more of a process for each router that it knows
	socketsPerHollow       = 3         // its UDP socket, and both ends of its connection to discovery
	baseSockets            = 100
	startDuration          = 20 * time.Second // until all routers agree for the first time
	agreeTimePer100Routers = time.Second      // by which each agreement takes longer for each hundred routers
)

// Machine describes the resources that a run can use.
type Machine struct {
	Memory  int64 // bytes
	Sockets int64 // file descriptors that this process may open
}

// ThisMachine returns the memory of this machine and this process's limit of file descriptors.
func ThisMachine() (Machine, error) {
	memory, err := totalMemory()
	if err != nil {
		return Machine{}, err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return Machine{}, fmt.Errorf("limit of descriptors: %w", err)
	}
	return Machine{Memory: memory, Sockets: int64(min(limit.Cur, 1<<30))}, nil
}

// totalMemory returns the memory of the machine in bytes.
func totalMemory() (int64, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			var kilobytes int64
			if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
				return 0, fmt.Errorf("/proc/meminfo: %w", err)
			}
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("/proc/meminfo has no MemTotal")
}

// BoundError reports that a run would exceed a bound, with the estimate and the bound.
type BoundError struct {
	Run    Run
	Reason string
}

// Error implements error.
func (e *BoundError) Error() string {
	return fmt.Sprintf("%d routers, %d of them real: %s", e.Run.Size, e.Run.Processes, e.Reason)
}

// Check returns a *BoundError if the run would exceed a bound on the machine.
func (r Run) Check(m Machine) error {
	refuse := func(format string, args ...any) error { return &BoundError{r, fmt.Sprintf(format, args...)} }
	if r.Processes > MaxProcesses {
		return refuse("%d processes, and %d may run", r.Processes, MaxProcesses)
	}
	if memory, limit := r.estimateMemory(), int64(memoryFraction*float64(m.Memory)); memory >= limit {
		return refuse("about %d MB of memory, and less than %d MB may be taken: half of the machine's", memory>>20, limit>>20)
	}
	if sockets := r.estimateSockets(); sockets > m.Sockets {
		return refuse("about %d descriptors, and this process may have %d", sockets, m.Sockets)
	}
	if duration := r.estimateDuration(); duration > MaxDuration {
		return refuse("about %v, and a run may take %v", duration.Round(time.Second), MaxDuration)
	}
	return nil
}

func (r Run) hollowCount() int64 { return int64(r.Size - r.Processes) }

// estimateMemory estimates the memory that a run needs, in bytes.
func (r Run) estimateMemory() int64 {
	size := int64(r.Size)
	return baseMemory + r.hollowCount()*(hollowMemory+size*hollowMemoryPerPeer) +
		int64(r.Processes)*(processMemory+size*processMemoryPerPeer)
}

// estimateSockets estimates the file descriptors that this process needs: those of hollow routers, and a proxy for each pair
// of router processes.
func (r Run) estimateSockets() int64 {
	return baseSockets + int64(r.File.Caches) + r.hollowCount()*socketsPerHollow + int64(r.Processes)*int64(r.Processes)
}

// estimateDuration estimates how long a run takes.
func (r Run) estimateDuration() time.Duration {
	agreeTime := time.Duration(r.Size) * agreeTimePer100Routers / 100
	total := startDuration + agreeTime + r.File.Settle.Std() + r.File.Calm.Std()
	for _, name := range r.File.Faults {
		total += time.Duration(r.File.Repetitions) * (faultNamed(name).duration(r.File) + agreeTime)
	}
	return total
}
