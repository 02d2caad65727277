// Package tally counts what becomes of a day, whichever engine plays it, and sums it
// up in a Result. It sees all that happens and must not be shown to a router.
package tally

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hoptiller"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
)

// Result is what became of a day. Only what clients asked after the warm-up counts.
type Result struct {
	Service float64 `json:"service"` // worth answered within its aim over worth asked for, worth counted by work
	Worst   float64 `json:"worst"`   // the same in the worst 10 s
	Score   float64 `json:"score"`   // 0.45 of the whole, 0.35 of the worst 10 s, 0.2 of the worst class

	Unserved Unserved `json:"unserved"`
	// Unexplained is the part of the requests taken that were refused, failed, lost or late with no cause but their router.
	Unexplained float64 `json:"unexplained"`
	// ByTheMoment is the part of them that only trouble at the time explains, of which nothing shows that it met the request.
	ByTheMoment float64        `json:"by_the_moment"`
	Asked       int            `json:"asked"`    // by clients, repeats not counted
	Tries       float64        `json:"tries"`    // of a client for each
	Taken       int            `json:"taken"`    // by routers, warm-up included
	Calls       float64        `json:"calls"`    // for each request taken
	CallP50     float64        `json:"call_p50"` // ms until a call was answered
	CallP99     float64        `json:"call_p99"`
	Answers     map[string]int `json:"answers"`  // final ones of routers
	Outcomes    map[string]int `json:"outcomes"` // of calls

	Fetches   float64           `json:"fetches"`    // a second
	FetchPeak float64           `json:"fetch_peak"` // most in a second, over the mean
	Waste     float64           `json:"waste"`      // work done for nobody, over work asked for
	NewConns  float64           `json:"new_conns"`  // for each request taken
	CrossZone float64           `json:"cross_zone"` // calls to other zones, for each request taken
	PeerBytes float64           `json:"peer_bytes"` // between routers, for each request taken
	ColdPeak  float64           `json:"cold_peak"`  // most work sent to a cold cache in a second, over its capacity then
	Stops     int               `json:"stops"`      // of the origin
	Falls     int               `json:"falls"`      // of cold caches
	Courses   []rules.Violation `json:"-"`          // of those falls, whether they break a rule or not

	Classes    []ClassResult     `json:"classes"`
	Broken     int               `json:"broken"` // breaches of the rules
	Violations []rules.Violation `json:"violations,omitempty"`

	Series *Series  `json:"series,omitempty"`
	Story  []string `json:"-"`
	Log    []string `json:"-"`
}

// ClassResult is what became of one class. Times are from the client's first
// asking to its answer, in ms.
type ClassResult struct {
	Name    string  `json:"name"`
	Service float64 `json:"service"`
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	P50     float64 `json:"p50"`
	P90     float64 `json:"p90"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
}

// Series is what happened second by second. The first value is the first second of the day proper.
type Series struct {
	Service  []float64     `json:"service"` // of what was asked in that second
	Asked    []int         `json:"asked"`
	Refused  []int         `json:"refused"`
	Fetches  []int         `json:"fetches"`
	Latency  []float64     `json:"latency"`  // mean ms until a call was answered
	Sent     [][]float64   `json:"sent"`     // by cache: work sent a second
	Capacity [][]float64   `json:"capacity"` // by cache
	Faults   []SeriesFault `json:"faults"`
}

// SeriesFault is the beginning or end of a fault.
type SeriesFault struct {
	At   float64 `json:"at"` // seconds
	Text string  `json:"text"`
}

// Tally counts. Make one with New; it is not safe for concurrent use.
type Tally struct {
	day       *model.Day
	series    *Series
	from      time.Duration // of the day proper
	seconds   []second
	classes   []class
	taken     int
	calls     int
	cross     int
	asked     int
	tries     int
	falls     int
	peerBytes int
	work      float64
	unserved  Unserved // by worth
	proper    int      // requests taken in the day proper
	blamed    int      // of them, those that nothing explains but their router
	excused   int      // and those that only trouble at the time explains
	ends      [hoptiller.Miss + 1]int
	times     *hdrhistogram.Histogram // of calls that were answered
	finals    [model.NoRoute + 1]int
	coldPeak  float64
	sent      []float64 // by cache, at the last sample of a second
	sampled   time.Duration
	logs      []string
}

type second struct {
	asked, served float64
	ops, refused  int
	fetches       int
	answers       int           // of calls
	waited        time.Duration // for them in sum
}

type class struct {
	asked, served float64
	ops, ok       int
	times         *hdrhistogram.Histogram
}

// New returns a Tally of a day; series tells whether to keep what happens second by second.
func New(day *model.Day, series bool) *Tally {
	t := &Tally{day: day, from: day.Warm.D(), sampled: day.Warm.D(), times: hdrhistogram.New(1, 600e6, 3)}
	t.seconds = make([]second, int(day.Length.Seconds())+1)
	for range day.Classes {
		t.classes = append(t.classes, class{times: hdrhistogram.New(1, 600e6, 3)})
	}
	if series {
		t.series = &Series{}
	}
	return t
}

// at finds the second of a time; nil before the day proper or after it.
func (t *Tally) at(now time.Duration) *second {
	if i := int((now - t.from) / time.Second); now >= t.from && i < len(t.seconds) {
		return &t.seconds[i]
	}
	return nil
}

// Ended takes the end of what a client wanted.
func (t *Tally) Ended(op *model.Op) {
	s := t.at(op.At)
	if s == nil {
		return
	}
	set := &t.day.Classes[op.Class]
	worth := set.Worth * op.Work
	c := &t.classes[op.Class]
	t.asked++
	t.tries += op.Tries
	t.work += op.Work
	s.ops++
	c.ops++
	s.asked += worth
	c.asked += worth
	took := op.Served - op.At
	if op.Served == 0 || took > set.Aim.D() {
		t.unserved.add(op, worth)
	}
	if op.Served == 0 {
		return
	}
	c.ok++
	c.times.RecordValue(max(1, took.Microseconds()))
	if took > set.Aim.D() {
		worth *= set.Late
	}
	s.served += worth
	c.served += worth
}

// Answered takes a router's final answer.
func (t *Tally) Answered(now time.Duration, f model.Final) {
	t.finals[f]++
	if s := t.at(now); s != nil && f == model.Refused {
		s.refused++
	}
}

// Fetched takes a call that has come to the origin.
func (t *Tally) Fetched(now time.Duration, call *model.Call) {
	if s := t.at(now); s != nil && !call.Try.Op.Write {
		s.fetches++
	}
}

// Taken takes a request that has come to a router.
func (t *Tally) Taken(now time.Duration) {
	t.taken++
	if t.at(now) != nil {
		t.proper++
	}
}

// Unexplained takes a request that was refused, failed, lost or late with no cause but its router.
func (t *Tally) Unexplained(now time.Duration) {
	if t.at(now) != nil {
		t.blamed++
	}
}

// ByTheMoment takes a request that was refused, failed, lost or late, which only trouble at the time explains.
func (t *Tally) ByTheMoment(now time.Duration) {
	if t.at(now) != nil {
		t.excused++
	}
}

// Called takes a call; cross tells that it goes to another zone.
func (t *Tally) Called(cross bool) {
	t.calls++
	if cross {
		t.cross++
	}
}

// Closed takes the end of a call, and how long it took.
func (t *Tally) Closed(now time.Duration, s hoptiller.Status, took time.Duration) {
	t.ends[s]++
	if s != hoptiller.OK && s != hoptiller.Miss || now < t.from {
		return
	}
	t.times.RecordValue(max(1, took.Microseconds()))
	if x := t.at(now); x != nil {
		x.answers++
		x.waited += took
	}
}

// Fell takes the fall of a cold cache.
func (t *Tally) Fell() { t.falls++ }

// Told takes a message between routers of so many bytes.
func (t *Tally) Told(bytes int) { t.peerBytes += bytes }

// Fault takes the beginning or end of a fault.
func (t *Tally) Fault(now time.Duration, text string) {
	if t.series != nil {
		t.series.Faults = append(t.series.Faults, SeriesFault{(now - t.from).Seconds(), text})
	}
}

// Log keeps the first lines that routers log.
func (t *Tally) Log(now time.Duration, router int, text string) {
	if len(t.logs) < 200 {
		t.logs = append(t.logs, fmt.Sprintf("%10.3f s  router %d: %s", (now-t.from).Seconds(), router, text))
	}
}

// Sample looks at the caches once a second.
func (t *Tally) Sample(w *model.World) {
	now := w.Now()
	if now < t.sampled+time.Second {
		if now <= t.from { // what was sent in the warm-up is not the first second's
			t.sent = t.sent[:0]
			for _, c := range w.Caches {
				t.sent = append(t.sent, c.Sent)
			}
		}
		return
	}
	span := (now - t.sampled).Seconds()
	t.sampled = now
	for len(t.sent) < len(w.Caches) {
		t.sent = append(t.sent, 0)
	}
	if s := t.series; s != nil {
		for len(s.Sent) < len(w.Caches) {
			s.Sent, s.Capacity = append(s.Sent, nil), append(s.Capacity, nil)
		}
	}
	for i, c := range w.Caches {
		sent, capacity := (c.Sent-t.sent[i])/span, c.Capacity(now)
		t.sent[i] = c.Sent
		if capacity > 0 && c.Warmth(now) < 1 {
			t.coldPeak = max(t.coldPeak, sent/capacity)
		}
		if s := t.series; s != nil {
			for len(s.Sent[i]) < int((now-t.from)/time.Second)-1 { // it has joined since
				s.Sent[i], s.Capacity[i] = append(s.Sent[i], 0), append(s.Capacity[i], 0)
			}
			s.Sent[i], s.Capacity[i] = append(s.Sent[i], sent), append(s.Capacity[i], capacity)
		}
	}
}

// Second is what happened in one second of the day proper.
type Second struct {
	Asked, Refused, Fetches int
	Service                 float64 // of what was asked in it and has ended
}

// Last tells of a second that is over, counted from 0.
func (t *Tally) Second(i int) (s Second, ok bool) {
	if i < 0 || i >= len(t.seconds) {
		return s, false
	}
	x := &t.seconds[i]
	return Second{x.ops, x.refused, x.fetches, part(x.served, x.asked)}, true
}

// part is a over b, or 1 where nothing was asked for.
func part(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

// Result sums up, when the day is over.
func (t *Tally) Result(w *model.World, check *rules.Checker) *Result {
	r := &Result{Asked: t.asked, Tries: float64(t.tries) / float64(max(t.asked, 1)), Taken: t.taken, Waste: w.Waste / max(t.work, 1e-9),
		Stops: w.Origin.Stops, Falls: t.falls, Broken: check.Count, Violations: check.Found, Courses: check.Falls, ColdPeak: t.coldPeak,
		Answers: map[string]int{}, Outcomes: map[string]int{}, Log: t.logs, Series: t.series,
		Unexplained: float64(t.blamed) / float64(max(t.proper, 1)), ByTheMoment: float64(t.excused) / float64(max(t.proper, 1))}
	taken := float64(max(t.taken, 1))
	r.Calls, r.CrossZone = float64(t.calls)/taken, float64(t.cross)/taken
	r.CallP50, r.CallP99 = float64(t.times.ValueAtQuantile(50))/1000, float64(t.times.ValueAtQuantile(99))/1000
	r.NewConns, r.PeerBytes = float64(w.Handshakes)/taken, float64(t.peerBytes)/taken
	for f, name := range [...]string{"served", "refused", "failed"} {
		r.Answers[name] = t.finals[f]
	}
	for s, n := range t.ends {
		r.Outcomes[StatusNames[s]] = n
	}
	var asked, served float64
	fetches, peak := 0, 0
	for _, s := range t.seconds {
		asked, served = asked+s.asked, served+s.served
		fetches, peak = fetches+s.fetches, max(peak, s.fetches)
	}
	r.Service, r.Worst = part(served, asked), 1
	r.Unserved = t.unserved.over(asked)
	const window = 10
	for i := 0; i+window <= len(t.seconds)-1; i++ {
		var a, b float64
		for _, s := range t.seconds[i : i+window] {
			a, b = a+s.served, b+s.asked
		}
		r.Worst = min(r.Worst, part(a, b))
	}
	r.Worst = min(r.Worst, r.Service)
	r.Fetches = float64(fetches) / t.day.Length.Seconds()
	r.FetchPeak = float64(peak) / max(r.Fetches, 1e-9)
	worst := 1.0
	for i := range t.classes {
		c := &t.classes[i]
		ms := func(q float64) float64 { return float64(c.times.ValueAtQuantile(q)) / 1000 }
		cr := ClassResult{Name: t.day.Classes[i].Name, Service: part(c.served, c.asked), Asked: c.ops, Served: c.ok,
			P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9)}
		r.Classes = append(r.Classes, cr)
		worst = min(worst, cr.Service)
	}
	r.Score = 0.45*r.Service + 0.35*r.Worst + 0.2*worst
	if s := t.series; s != nil {
		for _, x := range t.seconds[:len(t.seconds)-1] {
			s.Service, s.Asked = append(s.Service, part(x.served, x.asked)), append(s.Asked, x.ops)
			s.Refused, s.Fetches = append(s.Refused, x.refused), append(s.Fetches, x.fetches)
			s.Latency = append(s.Latency, x.waited.Seconds()*1000/float64(max(x.answers, 1)))
		}
	}
	slices.SortStableFunc(r.Violations, func(a, b rules.Violation) int { return cmp.Compare(a.At, b.At) })
	return r
}

// StatusNames are the ends of a call in words.
var StatusNames = [...]string{hoptiller.OK: "served", hoptiller.ServerError: "error", hoptiller.Full: "turned away",
	hoptiller.Timeout: "timed out", hoptiller.ConnectFailed: "no connection", hoptiller.Reset: "reset",
	hoptiller.Cancelled: "cancelled", hoptiller.Moot: "moot", hoptiller.Miss: "miss"}
