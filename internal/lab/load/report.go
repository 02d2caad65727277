package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run, or the state of a run that has not ended. The command writes it with these JSON names.
type Report struct {
	Seconds float64       `json:"seconds"`
	Rate    float64       `json:"rate"` // finished requests a second
	Late    int           `json:"late"` // requests sent 10 ms or more after they were due, because no connection was free
	Classes []ClassReport `json:"classes"`
}

// ClassReport is the result of one class. Latencies are in milliseconds.
type ClassReport struct {
	Name    string  `json:"name"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"` // the connection was closed, or no response came within the deadline
	Retries int     `json:"retries"`
	Service float64 `json:"service"` // worth of the requests served within the aim, divided by the worth of all requests
	P50     float64 `json:"p50"`
	P90     float64 `json:"p90"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Max     float64 `json:"max"`
}

// classCounts counts the requests of one class.
type classCounts struct {
	sent, served, refused, failed, lost, retries int
	requestedWorth, servedWorth                  float64
	latencies                                    *hdrhistogram.Histogram // in microseconds
}

// report returns the result up to now.
func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{Seconds: time.Since(r.start).Seconds(), Late: r.late}
	sent := 0
	for i := range r.counts {
		sent += r.counts[i].sent
		report.Classes = append(report.Classes, r.counts[i].report(r.plan.Classes[i].Name))
	}
	report.Rate = float64(sent) / report.Seconds
	return report
}

// report returns the result of the class under its name.
func (c *classCounts) report(name string) ClassReport {
	const microsPerMilli = 1000
	milliseconds := func(quantile float64) float64 {
		return float64(c.latencies.ValueAtQuantile(quantile)) / microsPerMilli
	}
	service := 1.0
	if c.requestedWorth > 0 {
		service = c.servedWorth / c.requestedWorth
	}
	return ClassReport{
		Name:    name,
		Sent:    c.sent,
		Served:  c.served,
		Refused: c.refused,
		Failed:  c.failed,
		Lost:    c.lost,
		Retries: c.retries,
		Service: service,
		P50:     milliseconds(50),
		P90:     milliseconds(90),
		P99:     milliseconds(99),
		P999:    milliseconds(99.9),
		Max:     float64(c.latencies.Max()) / microsPerMilli,
	}
}

// WriteText writes the report as a table.
func (p *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tserved\trefused\tfailed\tlost\tretries\tservice\tp50 ms\tp90\tp99\tp99.9\tmax\t")
	for _, c := range p.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", c.Name, c.Sent, c.Served, c.Refused,
			c.Failed, c.Lost, c.Retries, c.Service, c.P50, c.P90, c.P99, c.P999, c.Max)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%.0f requests a second over %.1f s; %d were sent 10 ms or more late\n", p.Rate, p.Seconds, p.Late)
	return err
}

// WriteJSON writes the report as one line.
func (p *Report) WriteJSON(out io.Writer) error { return json.NewEncoder(out).Encode(p) }
