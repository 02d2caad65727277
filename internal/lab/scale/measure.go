package scale

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"
)

// reading is what one process has used and sent until a moment.
type reading struct {
	pid     int // 0: it was down
	usage   Usage
	traffic Traffic
}

// sample is a reading of all processes.
type sample struct {
	at       time.Time
	readings []reading // by index of the process
}

const sampleEvery = time.Second

// meter reads the usage of a fleet's processes.
type meter struct {
	fleet *fleet

	mu      sync.Mutex
	samples []sample
}

// take reads all processes now.
func (m *meter) take() sample {
	s := sample{at: time.Now(), readings: make([]reading, len(m.fleet.processes))}
	for i, p := range m.fleet.processes {
		s.readings[i].traffic = m.fleet.traffic(i)
		if !p.runs() {
			continue
		}
		usage, err := usageOf(p.pid())
		if err != nil { // it has just ended
			continue
		}
		s.readings[i].pid, s.readings[i].usage = p.pid(), usage
	}
	return s
}

// run takes a sample every second until ctx ends.
func (m *meter) run(ctx context.Context, locked sync.Locker) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		locked.Lock()
		s := m.take()
		locked.Unlock()
		m.mu.Lock()
		m.samples = append(m.samples, s)
		m.mu.Unlock()
	}
}

// between are the samples of a time, with its beginning and end.
func (m *meter) between(begin, end sample) []sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []sample{begin}
	for _, s := range m.samples {
		if s.at.After(begin.at) && s.at.Before(end.at) {
			all = append(all, s)
		}
	}
	return append(all, end)
}

// rates are what one process used and sent per second between two samples.
type rates struct {
	processor                        float64 // part of a core
	sent, received                   float64
	sentDatagrams, receivedDatagrams float64
}

// rate is that of a process between two readings. The processor time of a process that has started between counts from its start.
func rate(before, after reading, took time.Duration) rates {
	used := after.usage.Processor
	if before.pid == after.pid {
		used -= before.usage.Processor
	}
	seconds := took.Seconds()
	moved := after.traffic.minus(before.traffic)
	return rates{
		processor: used.Seconds() / seconds,
		sent:      float64(moved.SentBytes) / seconds, received: float64(moved.ReceivedBytes) / seconds,
		sentDatagrams: float64(moved.SentDatagrams) / seconds, receivedDatagrams: float64(moved.ReceivedDatagrams) / seconds,
	}
}

// leastPeak is the shortest time between samples that counts as a second for peaks.
const leastPeak = sampleEvery / 2

// collector gathers the values of figures over processes, in the order in which the figures are first met.
type collector struct {
	phase   string
	figures []Figure
	counts  []int
}

// add takes the value of a figure for one more process.
func (c *collector) add(name, unit string, value float64) {
	at := slices.IndexFunc(c.figures, func(f Figure) bool { return f.Name == name })
	if at < 0 {
		at = len(c.figures)
		c.figures, c.counts = append(c.figures, Figure{Phase: c.phase, Name: name, Unit: unit}), append(c.counts, 0)
	}
	f := &c.figures[at]
	c.counts[at]++
	f.Value += (value - f.Value) / float64(c.counts[at])
	f.Worst = max(f.Worst, value)
}

// figures are what the processes that are observers used in a phase.
func figures(phase string, samples []sample, observers []int) []Figure {
	c := &collector{phase: phase}
	first, last := samples[0], samples[len(samples)-1]
	for _, i := range observers {
		mean := rate(first.readings[i], last.readings[i], last.at.Sub(first.at))
		peak, memory := peaks(samples, i, mean)
		holds := last.readings[i].usage
		c.add(FigureProcessor, UnitCore, 100*mean.processor)
		c.add(FigurePeakProcessor, UnitCore, 100*peak.processor)
		c.add(FigureMemory, UnitMegabytes, float64(memory)/1e6)
		c.add(FigureThreads, UnitCount, float64(holds.Threads))
		c.add(FigureConnections, UnitCount, float64(holds.Connections))
		c.add(FigureSent, UnitBytes, mean.sent)
		c.add(FigurePeakSent, UnitBytes, peak.sent)
		c.add(FigureReceived, UnitBytes, mean.received)
		c.add(FigureSentDatagrams, UnitDatagrams, mean.sentDatagrams)
		c.add(FigureReceivedDatagrams, UnitDatagrams, mean.receivedDatagrams)
	}
	return c.figures
}

// peaks are the highest rates of a process in any second, no less than its mean, and the most memory that it held.
func peaks(samples []sample, process int, mean rates) (peak rates, memory int64) {
	peak = mean
	for k := 1; k < len(samples); k++ {
		before, after := samples[k-1].readings[process], samples[k].readings[process]
		memory = max(memory, after.usage.MemoryBytes)
		took := samples[k].at.Sub(samples[k-1].at)
		if took < leastPeak || after.pid == 0 {
			continue
		}
		second := rate(before, after, took)
		peak.processor, peak.sent = max(peak.processor, second.processor), max(peak.sent, second.sent)
	}
	return peak, memory
}

// ownProcessor is the processor time of this process.
func ownProcessor() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// watchStalls tells the longest time by which a timer of this process was late until ctx ended.
func watchStalls(ctx context.Context) (most time.Duration) {
	const every = 20 * time.Millisecond
	for {
		begun := time.Now()
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return most
		case <-timer.C:
		}
		most = max(most, time.Since(begun)-every)
	}
}
