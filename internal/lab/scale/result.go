package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// Names of figures. Those of a process are means and worst values over the processes that are no victims of the phase's fault.
const (
	FigureAgreementTime     = "agreed"             // time until all running routers have the expected view
	FigureProcessor         = "processor"          // all of it is for control, as there are no requests
	FigurePeakProcessor     = "peak_processor"     // processor use in the worst second
	FigureMemory            = "memory"             // resident memory, the largest sample
	FigureThreads           = "threads"            //
	FigureConnections       = "connections"        // sockets of all kinds, including listeners
	FigureSent              = "sent"               // bytes of datagrams, without the headers of UDP and IP
	FigurePeakSent          = "peak_sent"          // bytes sent in the worst second
	FigureReceived          = "received"           //
	FigureSentDatagrams     = "sent_datagrams"     //
	FigureReceivedDatagrams = "received_datagrams" //
	FigureDiscoveryCalls    = "discovery_calls"    // requests of all routers together
	FigureHollowSent        = "hollow_sent"        // mean over the hollow routers
	FigureHollowProcessor   = "hollow_processor"   // of this process with its stand-ins, divided by the number of hollow routers
)

// Units of figures.
const (
	UnitSeconds   = "s"
	UnitCore      = "% of a core"
	UnitMegabytes = "MB"
	UnitBytes     = "B/s"
	UnitDatagrams = "1/s"
	UnitCount     = ""
)

// Figure is one measured quantity of one phase of a run.
type Figure struct {
	Phase string  `json:"phase"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit,omitempty"`
	Value float64 `json:"value"` // mean over the processes on which it was measured
	Worst float64 `json:"worst"`
}

// MachineLoad is how busy the machine was during a run.
type MachineLoad struct {
	Cores           int     `json:"cores"`
	LoadBefore      float64 `json:"load_before"` // load average of one minute
	LoadAfter       float64 `json:"load_after"`
	MaxTimerDelayMS float64 `json:"stall_ms"` // the longest time for which a timer of this process was late
	Busy            bool    `json:"busy"`     // whether the machine was too busy for the figures to count
}

// maxTimerDelay is the largest delay of a timer with which figures count. With a larger one routers may have been paused for
// as long.
const maxTimerDelay = 400 * time.Millisecond

// updateBusy sets Busy from the other fields.
func (s *MachineLoad) updateBusy() {
	cores := float64(s.Cores)
	s.Busy = s.MaxTimerDelayMS > float64(maxTimerDelay.Milliseconds()) || s.LoadBefore > cores || s.LoadAfter > cores
}

// Record is the result of one run.
type Record struct {
	Scenario    string      `json:"scenario"`
	Size        int         `json:"size"`
	Processes   int         `json:"real"`
	Seed        uint64      `json:"seed"`
	Commit      string      `json:"commit"`
	Started     string      `json:"started"`
	Seconds     float64     `json:"seconds"`
	MachineLoad MachineLoad `json:"machine"`
	Failed      []string    `json:"failed,omitempty"` // phases that failed, each with the reason
	Figures     []Figure    `json:"figures"`
}

// ProcessesOnly reports whether the run had no hollow routers.
func (r *Record) ProcessesOnly() bool { return r.Processes == r.Size }

// Value returns the mean of a figure over all repetitions of its phase.
func (r *Record) Value(phase, name string) (mean float64, ok bool) {
	count := 0
	for _, f := range r.Figures {
		if f.Phase == phase && f.Name == name {
			mean += f.Value
			count++
		}
	}
	return mean / float64(max(1, count)), count > 0
}

// Worst returns the worst value of a figure over all repetitions of its phase.
func (r *Record) Worst(phase, name string) (worst float64, ok bool) {
	for _, f := range r.Figures {
		if f.Phase == phase && f.Name == name {
			worst, ok = max(worst, f.Worst), true
		}
	}
	return worst, ok
}

// distinctPhases returns the phases of the records, in the order in which they first occur.
func distinctPhases(records []*Record) (names []string) {
	known := map[string]bool{}
	for _, r := range records {
		for _, f := range r.Figures {
			if !known[f.Phase] {
				known[f.Phase] = true
				names = append(names, f.Phase)
			}
		}
	}
	return names
}

// WriteRecord writes a record as a line of JSON.
func WriteRecord(w io.Writer, r *Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// ReadRecords reads a file of records with one line of JSON each.
func ReadRecords(path string) (all []*Record, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for number := 1; lines.Scan(); number++ {
		r := &Record{}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		all = append(all, r)
	}
	return all, lines.Err()
}
