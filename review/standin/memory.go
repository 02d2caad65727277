package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// EnforceMemory plays the platform's limit on a router's memory: it looks at the memory that the router's process holds, and
// kills the process once that is over the limit. Pages of files, as of the program itself, are not counted, which favours the
// router. The function that it returns gives the most that was seen, in kB, and how often it has looked.
func (f *Fleet) EnforceMemory(r *Router) (state func() (peak, samples int)) {
	var mu sync.Mutex
	var peak, samples int
	go func() {
		logged := 0
		for {
			time.Sleep(5 * time.Millisecond)
			resident, anonymous := residentMemory(r.Process.Pid())
			if resident == 0 {
				return
			}
			mu.Lock()
			samples++
			peak = max(peak, anonymous)
			mu.Unlock()
			if anonymous > logged+1024 {
				logged = anonymous
				f.World.Log("router %d holds %d kB, and %d kB with the pages of files", r.Number, anonymous, resident)
			}
			if anonymous > r.MemoryMB<<10 {
				f.World.Broken("router %d holds %d kB, and %d kB with the pages of files; it may hold %d kB: the platform kills it", r.Number,
					anonymous, resident, r.MemoryMB<<10)
				r.Process.Signal(syscall.SIGKILL)
				return
			}
		}
	}()
	return func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return peak, samples
	}
}

// residentMemory returns the memory that a process holds, in all and without that of files, in kB; 0 if it has ended.
func residentMemory(pid int) (resident, anonymous int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		switch words[0] {
		case "VmRSS:":
			resident, _ = strconv.Atoi(words[1])
		case "RssAnon:":
			anonymous, _ = strconv.Atoi(words[1])
		}
	}
	return resident, anonymous
}
