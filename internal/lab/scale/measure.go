package scale

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"
)

// reading is what one process has used, sent and received up to a moment.
type reading struct {
	pid     int // 0 if the process was down
	usage   Usage
	traffic Traffic
}

// sample is a reading of each process at one time.
type sample struct {
	at       time.Time
	readings []reading // by index in fleet.processes
}

const sampleInterval = time.Second

// meter samples the usage of a fleet's processes.
type meter struct {
	fleet *fleet

	mu      sync.Mutex
	samples []sample
}

// takeSample reads all processes now.
func (m *meter) takeSample() sample {
	s := sample{at: time.Now(), readings: make([]reading, len(m.fleet.processes))}
	for i, p := range m.fleet.processes {
		s.readings[i].traffic = m.fleet.processTraffic(i)
		if !p.isRunning() {
			continue
		}
		usage, err := readUsage(p.pid())
		if err != nil { // the process has just ended
			continue
		}
		s.readings[i].pid, s.readings[i].usage = p.pid(), usage
	}
	return s
}

// run takes a sample every second until ctx ends. It holds locked while it reads the processes.
func (m *meter) run(ctx context.Context, locked sync.Locker) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		locked.Lock()
		s := m.takeSample()
		locked.Unlock()
		m.mu.Lock()
		m.samples = append(m.samples, s)
		m.mu.Unlock()
	}
}

// samplesBetween returns begin, the samples that were taken after it and before end, and end.
func (m *meter) samplesBetween(begin, end sample) []sample {
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

// rates is what one process used, sent and received per second between two samples. Traffic is in bytes or datagrams.
type rates struct {
	processor                        float64 // cores, fractional
	sent, received                   float64
	sentDatagrams, receivedDatagrams float64
}

// ratesBetween returns the rates of a process between two readings. The processor time of a process that started between them
// counts from its start.
func ratesBetween(before, after reading, took time.Duration) rates {
	used := after.usage.Processor
	if before.pid == after.pid {
		used -= before.usage.Processor
	}
	seconds := took.Seconds()
	traffic := after.traffic.since(before.traffic)
	return rates{
		processor: used.Seconds() / seconds,
		sent:      float64(traffic.SentBytes) / seconds, received: float64(traffic.ReceivedBytes) / seconds,
		sentDatagrams: float64(traffic.SentDatagrams) / seconds, receivedDatagrams: float64(traffic.ReceivedDatagrams) / seconds,
	}
}

// minPeakInterval is the shortest time between two samples from which a peak rate is computed.
const minPeakInterval = sampleInterval / 2

// collector computes the mean and the worst value of figures over processes. It keeps the order in which they are first added.
type collector struct {
	phase   string
	figures []Figure
	counts  []int
}

// add adds the value of a figure for one more process.
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

// processFigures returns the figures of a phase, measured on the processes whose indices are listed as observers.
func processFigures(phase string, samples []sample, observers []int) []Figure {
	c := &collector{phase: phase}
	first, last := samples[0], samples[len(samples)-1]
	for _, i := range observers {
		mean := ratesBetween(first.readings[i], last.readings[i], last.at.Sub(first.at))
		peak, memory := peakRates(samples, i, mean)
		usage := last.readings[i].usage
		c.add(FigureProcessor, UnitCore, 100*mean.processor)
		c.add(FigurePeakProcessor, UnitCore, 100*peak.processor)
		c.add(FigureMemory, UnitMegabytes, float64(memory)/1e6)
		c.add(FigureThreads, UnitCount, float64(usage.Threads))
		c.add(FigureConnections, UnitCount, float64(usage.Connections))
		c.add(FigureSent, UnitBytes, mean.sent)
		c.add(FigurePeakSent, UnitBytes, peak.sent)
		c.add(FigureReceived, UnitBytes, mean.received)
		c.add(FigureSentDatagrams, UnitDatagrams, mean.sentDatagrams)
		c.add(FigureReceivedDatagrams, UnitDatagrams, mean.receivedDatagrams)
	}
	return c.figures
}

// peakRates returns the highest rates of a process between two samples, at least its mean rates, and the largest memory in
// bytes that it held.
func peakRates(samples []sample, process int, mean rates) (peak rates, memory int64) {
	peak = mean
	for k := 1; k < len(samples); k++ {
		before, after := samples[k-1].readings[process], samples[k].readings[process]
		memory = max(memory, after.usage.MemoryBytes)
		took := samples[k].at.Sub(samples[k-1].at)
		if took < minPeakInterval || after.pid == 0 {
			continue
		}
		second := ratesBetween(before, after, took)
		peak.processor, peak.sent = max(peak.processor, second.processor), max(peak.sent, second.sent)
	}
	return peak, memory
}

// ownProcessorTime returns the processor time that this process has used, or 0 if the system does not report it.
func ownProcessorTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// measureTimerDelay returns the longest time by which a timer of this process was late until ctx ended.
func measureTimerDelay(ctx context.Context) (maxDelay time.Duration) {
	const every = 20 * time.Millisecond
	for {
		begun := time.Now()
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return maxDelay
		case <-timer.C:
		}
		maxDelay = max(maxDelay, time.Since(begun)-every)
	}
}
