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

// Names of figures. Those of a process are means and worsts over the processes that no trouble was played on.
const (
	FigureAgreed            = "agreed"             // until all routers that run have the expected view
	FigureProcessor         = "processor"          // control, there are no requests
	FigurePeakProcessor     = "peak_processor"     // in the worst second
	FigureMemory            = "memory"             // resident, the most that was seen
	FigureThreads           = "threads"            //
	FigureConnections       = "connections"        // sockets of all kinds, listeners too
	FigureSent              = "sent"               // bytes of datagrams, without headers
	FigurePeakSent          = "peak_sent"          // in the worst second
	FigureReceived          = "received"           //
	FigureSentDatagrams     = "sent_datagrams"     //
	FigureReceivedDatagrams = "received_datagrams" //
	FigureDiscoveryCalls    = "discovery_calls"    // of all routers together
	FigureHollowSent        = "hollow_sent"        // mean of the hollow routers
	FigureHollowProcessor   = "hollow_processor"   // of this process, stand-ins and all, over the number of hollow routers
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

// Figure is one thing that was measured in one phase of a run.
type Figure struct {
	Phase string  `json:"phase"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit,omitempty"`
	Value float64 `json:"value"` // mean over what it was measured on
	Worst float64 `json:"worst"`
}

// Strain is how busy the machine was with other things while a run lasted.
type Strain struct {
	Cores      int     `json:"cores"`
	LoadBefore float64 `json:"load_before"` // load average of a minute
	LoadAfter  float64 `json:"load_after"`
	StallMS    float64 `json:"stall_ms"` // the longest time for which a timer of this process was late
	Busy       bool    `json:"busy"`     // too busy for the figures to count
}

// mostStall is the lateness of a timer from which figures don't count: routers may have stood still for as long.
const mostStall = 400 * time.Millisecond

// judge tells whether the machine was too busy.
func (s *Strain) judge() {
	cores := float64(s.Cores)
	s.Busy = s.StallMS > float64(mostStall.Milliseconds()) || s.LoadBefore > cores || s.LoadAfter > cores
}

// Record is what came of one run.
type Record struct {
	Scenario string   `json:"scenario"`
	Size     int      `json:"size"`
	Real     int      `json:"real"`
	Seed     uint64   `json:"seed"`
	Commit   string   `json:"commit"`
	Started  string   `json:"started"`
	Seconds  float64  `json:"seconds"`
	Strain   Strain   `json:"machine"`
	Failed   []string `json:"failed,omitempty"` // phases that came to nothing, each with the reason
	Figures  []Figure `json:"figures"`
}

// AllReal tells whether the run had processes alone.
func (r *Record) AllReal() bool { return r.Real == r.Size }

// Value is the mean of a figure over the times that its phase was played.
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

// Worst is the worst of a figure.
func (r *Record) Worst(phase, name string) (worst float64, ok bool) {
	for _, f := range r.Figures {
		if f.Phase == phase && f.Name == name {
			worst, ok = max(worst, f.Worst), true
		}
	}
	return worst, ok
}

// phases are those of the records, in the order in which they are first met.
func phases(records []*Record) (names []string) {
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

// Write writes a record as a line of JSON.
func Write(w io.Writer, r *Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// ReadRecords reads the results of runs.
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
