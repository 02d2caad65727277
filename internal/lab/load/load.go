// Package load sends requests to a router or a cache over the meta protocol at
// times that are set ahead, whether or not answers come (an open loop), and
// measures each answer from the time at which its request was due. A server that
// stalls is thus charged for all who would have asked meanwhile: the measure is
// not blind to what is called coordinated omission (Tene, "How NOT to Measure
// Latency", 2013).
//
// It bounds the requests, the time and the connections of a run, and it sends to
// loopback addresses only.
package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hoptiller/internal/lab/model"
)

// Class is one class of request.
type Class struct {
	Name     string
	Share    float64
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Write    bool
}

// Plan says what is sent.
type Plan struct {
	Addrs   []string // routers, dealt out evenly
	Rate    float64  // requests a second; 0: as many as the connections carry, one after the other (a closed loop)
	For     time.Duration
	Conns   int // connections at the most
	Keys    int
	Zipf    float64
	Offset  float64
	Seed    uint64
	Classes []Class
	Retries int // of a client that is told to come back, after the time that it is told
	Value   int // bytes of a write's value

	Progress func(*Report) // called once a second
}

// Report is what came of a run. Times are in ms.
type Report struct {
	Seconds float64       `json:"seconds"`
	Rate    float64       `json:"rate"` // answers a second
	Late    int           `json:"late"` // requests that were sent 10 ms or more after they were due, for want of connections
	Classes []ClassReport `json:"classes"`
}

// ClassReport is what came of one class.
type ClassReport struct {
	Name    string  `json:"name"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"` // the connection ended, or no answer came within the deadline
	Retries int     `json:"retries"`
	Service float64 `json:"service"` // worth served within its aim over worth asked for
	P50     float64 `json:"p50"`
	P90     float64 `json:"p90"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Max     float64 `json:"max"`
}

// Check tells what is impossible in a plan.
func (p *Plan) Check() error {
	switch {
	case len(p.Addrs) == 0:
		return errors.New("no address to send to")
	case p.Rate < 0 || p.Rate > 1e6:
		return fmt.Errorf("rate is %g: 0 to 1000000 a second is possible", p.Rate)
	case p.For <= 0 || p.For > time.Hour:
		return fmt.Errorf("time is %v: up to an hour is possible", p.For)
	case p.Conns < 1 || p.Conns > 5000:
		return fmt.Errorf("connections are %d: 1 to 5000 is possible", p.Conns)
	case p.Keys < 1 || p.Keys > 1e7:
		return fmt.Errorf("keys are %d: 1 to 10000000 is possible", p.Keys)
	case len(p.Classes) == 0:
		return errors.New("no class of request")
	}
	for _, a := range p.Addrs {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return err
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%s is no loopback address: load is sent to this machine alone", a)
		}
	}
	return nil
}

type run struct {
	plan Plan
	zipf *model.Zipf
	keys []uint64

	mu      sync.Mutex
	classes []count
	late    int
	begun   time.Time
	next    uint64
	idle    chan *conn
	open    chan struct{} // places for connections
}

type count struct {
	sent, served, refused, failed, lost, retries int
	asked, got                                   float64
	times                                        *hdrhistogram.Histogram
}

type conn struct {
	net.Conn
	r *bufio.Reader
}

// order is one request that is due.
type order struct {
	id    uint64
	key   uint64
	class int
	due   time.Time
}

// Run sends what the plan says, until it is over or ctx ends, and waits for the answers.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	r := &run{plan: plan, zipf: model.NewZipf(plan.Keys, plan.Zipf, plan.Offset), begun: time.Now(),
		idle: make(chan *conn, plan.Conns), open: make(chan struct{}, plan.Conns)}
	keys := model.Stream(plan.Seed, "keys", 0)
	for range plan.Keys {
		r.keys = append(r.keys, keys.Uint64())
	}
	for range plan.Classes {
		r.classes = append(r.classes, count{times: hdrhistogram.New(1, 600e6, 3)})
	}
	ctx, cancel := context.WithTimeout(ctx, plan.For)
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				if plan.Progress != nil {
					plan.Progress(r.report())
				}
			}
		}
	}()
	var g sync.WaitGroup
	if plan.Rate > 0 {
		r.openLoop(ctx, &g)
	} else {
		for i := range plan.Conns {
			g.Add(1)
			go func() {
				defer g.Done()
				rng := model.Stream(plan.Seed, "closed", i)
				for ctx.Err() == nil {
					r.ask(r.draw(rng, time.Now()))
				}
			}()
		}
	}
	g.Wait()
	<-watched
	close(r.idle)
	for c := range r.idle {
		c.Close()
	}
	return r.report(), nil
}

// openLoop sends each request when it is due, with exponential times between them.
func (r *run) openLoop(ctx context.Context, g *sync.WaitGroup) {
	rng := model.Stream(r.plan.Seed, "open", 0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for due := r.begun; ; {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		if ctx.Err() != nil {
			return
		}
		o := r.draw(rng, due)
		g.Add(1)
		go func() {
			defer g.Done()
			r.ask(o)
		}()
	}
}

func (r *run) draw(rng *rand.Rand, due time.Time) order {
	r.mu.Lock()
	r.next++
	o := order{id: r.next, due: due}
	r.mu.Unlock()
	x, all := rng.Float64(), 0.0
	for _, c := range r.plan.Classes {
		all += c.Share
	}
	for x *= all; o.class < len(r.plan.Classes)-1 && x >= r.plan.Classes[o.class].Share; o.class++ {
		x -= r.plan.Classes[o.class].Share
	}
	o.key = r.keys[r.zipf.Rank(rng.Float64())]
	return o
}

// outcome is what one request came to.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	lost
)

// ask carries one request to its end, with the repeats of a client that is told to come back.
func (r *run) ask(o order) {
	class := &r.plan.Classes[o.class]
	end := o.due.Add(class.Deadline)
	var what outcome
	tries := 0
	for {
		var after time.Duration
		what, after = r.try(o, tries, end)
		if what != refused || tries >= r.plan.Retries || time.Now().Add(after).After(end) {
			break
		}
		tries++
		time.Sleep(max(after, time.Millisecond))
	}
	took := time.Since(o.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.classes[o.class]
	c.sent++
	c.retries += tries
	c.asked += class.Worth
	switch what {
	case served:
		c.served++
		c.times.RecordValue(max(1, took.Microseconds()))
		if took <= class.Aim {
			c.got += class.Worth
		}
	case refused:
		c.refused++
	case failed:
		c.failed++
	default:
		c.lost++
	}
}

func (r *run) try(o order, n int, end time.Time) (outcome, time.Duration) {
	c, used := r.connect(o)
	if c == nil {
		return lost, 0
	}
	if n == 0 && time.Since(o.due) >= 10*time.Millisecond {
		r.mu.Lock()
		r.late++
		r.mu.Unlock()
	}
	what, after, clean := r.exchange(c, o, n, end)
	if !clean && used && what == lost && time.Now().Before(end) { // a router may close an idle connection just then
		c.Close() // its place goes to the next one
		if c, _ = r.dial(o); c == nil {
			<-r.open
			return lost, 0
		}
		what, after, clean = r.exchange(c, o, n, end)
	}
	if !clean {
		r.drop(c)
		return what, after
	}
	r.idle <- c
	return what, after
}

// connect takes an idle connection, or opens one, or waits for one.
func (r *run) connect(o order) (c *conn, used bool) {
	select {
	case c = <-r.idle:
		return c, true
	default:
	}
	select {
	case c = <-r.idle:
		return c, true
	case r.open <- struct{}{}:
		c, _ = r.dial(o)
		if c == nil {
			<-r.open
		}
		return c, false
	}
}

func (r *run) dial(o order) (*conn, error) {
	nc, err := net.DialTimeout("tcp", r.plan.Addrs[o.id%uint64(len(r.plan.Addrs))], 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{nc, bufio.NewReader(nc)}, nil
}

func (r *run) drop(c *conn) {
	c.Close()
	<-r.open
}

// exchange writes a request and reads its answer. clean tells that the connection can be used again.
func (r *run) exchange(c *conn, o order, n int, end time.Time) (what outcome, after time.Duration, clean bool) {
	class := &r.plan.Classes[o.class]
	c.SetDeadline(end)
	left := max(1, time.Until(end).Milliseconds())
	id := strconv.FormatUint(o.id<<4+uint64(n), 16)
	var err error
	if class.Write {
		_, err = fmt.Fprintf(c, "ms %016x %d O%s Pc=%s,d=%d,k=%x\r\n%s\r\n", o.key, r.plan.Value, id, class.Name, left, o.id,
			strings.Repeat("v", r.plan.Value))
	} else {
		_, err = fmt.Fprintf(c, "mg %016x v O%s Pc=%s,d=%d\r\n", o.key, id, class.Name, left)
	}
	if err != nil {
		return lost, 0, false
	}
	line, err := c.r.ReadString('\n')
	if err != nil {
		return lost, 0, false
	}
	switch word := strings.Fields(line); {
	case len(word) >= 2 && word[0] == "VA":
		size, err := strconv.Atoi(word[1])
		if err != nil || size < 0 {
			return failed, 0, false
		}
		if _, err := io.CopyN(io.Discard, c.r, int64(size)+2); err != nil {
			return lost, 0, false
		}
		return served, 0, true
	case len(word) >= 1 && word[0] == "HD":
		return served, 0, true
	case len(word) >= 2 && word[0] == "SERVER_ERROR" && word[1] == "busy":
		if len(word) > 2 {
			ms, _ := strconv.Atoi(word[2])
			after = time.Duration(ms) * time.Millisecond
		}
		return refused, after, true
	}
	return failed, 0, true
}

func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Report{Seconds: time.Since(r.begun).Seconds(), Late: r.late}
	all := 0
	for i := range r.classes {
		c := &r.classes[i]
		ms := func(q float64) float64 { return float64(c.times.ValueAtQuantile(q)) / 1000 }
		service := 1.0
		if c.asked > 0 {
			service = c.got / c.asked
		}
		all += c.sent
		p.Classes = append(p.Classes, ClassReport{Name: r.plan.Classes[i].Name, Sent: c.sent, Served: c.served, Refused: c.refused,
			Failed: c.failed, Lost: c.lost, Retries: c.retries, Service: service, P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9),
			Max: float64(c.times.Max()) / 1000})
	}
	p.Rate = float64(all) / p.Seconds
	return p
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
