package scale

import (
	"context"
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
	processor                       float64 // part of a core
	sent, received                  float64
	sentDatagrams, receivedDatagram float64
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
		sentDatagrams: float64(moved.SentDatagrams) / seconds, receivedDatagram: float64(moved.ReceivedDatagrams) / seconds,
	}
}

// leastPeak is the shortest time between samples that counts as a second for peaks.
const leastPeak = sampleEvery / 2

// figures are what the processes that are observers used in a phase.
func figures(phase string, samples []sample, observers []int) (all []Figure) {
	first, last := samples[0], samples[len(samples)-1]
	collected := map[string][]float64{}
	var order []string
	units := map[string]string{}
	add := func(name, unit string, value float64) {
		if _, known := units[name]; !known {
			order, units[name] = append(order, name), unit
		}
		collected[name] = append(collected[name], value)
	}
	for _, i := range observers {
		mean := rate(first.readings[i], last.readings[i], last.at.Sub(first.at))
		peak, memory := mean, int64(0)
		for k := 1; k < len(samples); k++ {
			took := samples[k].at.Sub(samples[k-1].at)
			memory = max(memory, samples[k].readings[i].usage.MemoryBytes)
			if took < leastPeak || samples[k].readings[i].pid == 0 {
				continue
			}
			second := rate(samples[k-1].readings[i], samples[k].readings[i], took)
			peak.processor, peak.sent = max(peak.processor, second.processor), max(peak.sent, second.sent)
		}
		add(FigureProcessor, UnitCore, 100*mean.processor)
		add(FigurePeakProcessor, UnitCore, 100*peak.processor)
		add(FigureMemory, UnitMegabytes, float64(memory)/1e6)
		add(FigureThreads, UnitCount, float64(last.readings[i].usage.Threads))
		add(FigureConnections, UnitCount, float64(last.readings[i].usage.Connections))
		add(FigureSent, UnitBytes, mean.sent)
		add(FigurePeakSent, UnitBytes, peak.sent)
		add(FigureReceived, UnitBytes, mean.received)
		add(FigureSentDatagrams, UnitDatagrams, mean.sentDatagrams)
		add(FigureReceivedDatagrams, UnitDatagrams, mean.receivedDatagram)
	}
	for _, name := range order {
		f := Figure{Phase: phase, Name: name, Unit: units[name]}
		for _, value := range collected[name] {
			f.Value += value / float64(len(collected[name]))
			f.Worst = max(f.Worst, value)
		}
		all = append(all, f)
	}
	return all
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
