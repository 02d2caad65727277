package scale

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Bounds of a run. One that would break them is refused before it starts.
const (
	MostProcesses = 300
	MostTime      = 10 * time.Minute
	memoryPart    = 0.5 // of the machine's memory
)

// What a run takes, for the estimate before it starts. Memory was measured by runs of 50 to 1,000 routers and rounded up.
const (
	ownMemory        = 120 << 20 // of this process, without any router
	hollowMemory     = 400 << 10 // of a hollow router in a fleet of a few
	hollowPerRouter  = 700       // and of each router that it knows
	realMemory       = 40 << 20  // of a process of the program in a fleet of a few
	realPerRouter    = 16 << 10  // and of each router that it knows
	hollowSockets    = 3         // its own, and both ends of its connection to discovery
	ownSockets       = 100
	startTime        = 20 * time.Second // until all have agreed for the first time
	perHundredRouter = time.Second      // that all agreements take longer for each hundred routers
)

// Machine is what a run can take of the machine.
type Machine struct {
	Memory  int64 // bytes
	Sockets int64 // descriptors that this process may have
}

// ThisMachine reads the memory and the limit of descriptors of this machine.
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

// totalMemory is the memory of the machine in bytes.
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

// BoundError says that a run would break a bound, with the figure.
type BoundError struct {
	Run  Run
	What string
}

// Error implements error.
func (e *BoundError) Error() string {
	return fmt.Sprintf("%d routers, %d of them real: %s", e.Run.Size, e.Run.Real, e.What)
}

// Check refuses a run that would break a bound on a machine. The error is a *BoundError.
func (r Run) Check(m Machine) error {
	refuse := func(format string, args ...any) error { return &BoundError{r, fmt.Sprintf(format, args...)} }
	if r.Real > MostProcesses {
		return refuse("%d processes, and %d may run", r.Real, MostProcesses)
	}
	if memory, most := r.memory(), int64(memoryPart*float64(m.Memory)); memory >= most {
		return refuse("about %d MB of memory, and less than %d MB may be taken: half of the machine's", memory>>20, most>>20)
	}
	if sockets := r.sockets(); sockets > m.Sockets {
		return refuse("about %d descriptors, and this process may have %d", sockets, m.Sockets)
	}
	if took := r.duration(); took > MostTime {
		return refuse("about %v, and a run may take %v", took.Round(time.Second), MostTime)
	}
	return nil
}

func (r Run) hollow() int64 { return int64(r.Size - r.Real) }

// memory is about what a run takes of it, in bytes.
func (r Run) memory() int64 {
	size := int64(r.Size)
	return ownMemory + r.hollow()*(hollowMemory+size*hollowPerRouter) + int64(r.Real)*(realMemory+size*realPerRouter)
}

// sockets is about how many descriptors this process needs: those of hollow routers, and a relay for each pair of real ones.
func (r Run) sockets() int64 {
	return ownSockets + int64(r.File.Caches) + r.hollow()*hollowSockets + int64(r.Real)*int64(r.Real)
}

// duration is about how long a run takes.
func (r Run) duration() time.Duration {
	slower := time.Duration(r.Size) * perHundredRouter / 100
	took := startTime + slower + r.File.Settle.D() + r.File.Calm.D()
	for _, name := range r.File.Troubles {
		took += time.Duration(r.File.Repeat) * (troubleNamed(name).takes(r.File) + slower)
	}
	return took
}
