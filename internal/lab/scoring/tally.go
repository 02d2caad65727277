// Package scoring counts the events of a day, whichever engine plays it, and computes a Result with its score.
// It sees everything that happens and must not be visible to a router.
package scoring

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hoptiller"
	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
)

// Result is the outcome of a day. Only what clients asked for after the warm-up counts, except where a field
// says otherwise.
type Result struct {
	// Service is the worth answered within the aim over the worth asked for; each request's worth is
	// multiplied by its work.
	Service     float64 `json:"service"`
	WorstWindow float64 `json:"worst"` // the same for the worst 10 s
	Score       float64 `json:"score"` // 0.45 of Service, 0.35 of the worst 10 s, 0.2 of the worst class

	Unserved Unserved `json:"unserved"`
	// Unexplained is the share of accepted requests that were refused, failed, lost or late with no cause but
	// their router.
	Unexplained float64 `json:"unexplained"`
	// ExplainedByTiming is the share of accepted requests that were refused, failed, lost or late and that only a
	// fault at the same time explains, with no sign that the fault affected the request.
	ExplainedByTiming float64        `json:"by_the_moment"`
	Asked             int            `json:"asked"`    // operations of clients, not counting retries
	Tries             float64        `json:"tries"`    // mean number of a client's tries per operation
	RequestsTaken     int            `json:"taken"`    // requests accepted by routers, warm-up included
	Calls             float64        `json:"calls"`    // per accepted request
	CallP50           float64        `json:"call_p50"` // ms until a call was answered
	CallP99           float64        `json:"call_p99"`
	Answers           map[string]int `json:"answers"`  // final answers of routers, by kind
	Outcomes          map[string]int `json:"outcomes"` // calls, by how they ended

	Fetches   float64 `json:"fetches"`    // per second
	FetchPeak float64 `json:"fetch_peak"` // largest number of fetches in one second, over the mean
	Waste     float64 `json:"waste"`      // work whose result nobody waited for, over work asked for
	NewConns  float64 `json:"new_conns"`  // per accepted request
	CrossZone float64 `json:"cross_zone"` // calls to other zones, per accepted request
	PeerBytes float64 `json:"peer_bytes"` // bytes between routers, per accepted request
	// ColdPeak is the largest work received by a cold cache in one second, over its capacity at that time.
	ColdPeak       float64                `json:"cold_peak"`
	OriginStops    int                    `json:"stops"` // how often the origin stopped under its load or by a fault
	Collapses      int                    `json:"falls"` // collapses of cold caches
	CollapseTraces []invariants.Violation `json:"-"`     // descriptions of the collapses, whether or not they are violations

	Classes        []ClassResult          `json:"classes"`
	ViolationCount int                    `json:"broken"` // number of violations of the invariants
	Violations     []invariants.Violation `json:"violations,omitempty"`

	Series *Series  `json:"series,omitempty"`
	Trace  []string `json:"-"`
	Log    []string `json:"-"`
}

// ClassResult is the outcome of one class. Times are in ms, from the client's first try to its answer.
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

// Series holds values for each second. The first value is for the first second after the warm-up.
type Series struct {
	Service  []float64     `json:"service"` // of what was asked for in that second
	Asked    []int         `json:"asked"`
	Refused  []int         `json:"refused"`
	Fetches  []int         `json:"fetches"`
	Latency  []float64     `json:"latency"`  // mean time until a call was answered, in ms
	Sent     [][]float64   `json:"sent"`     // by cache: work received per second
	Capacity [][]float64   `json:"capacity"` // by cache
	Faults   []SeriesFault `json:"faults"`
}

// SeriesFault marks the start or end of a fault.
type SeriesFault struct {
	At   float64 `json:"at"` // seconds since the end of the warm-up
	Text string  `json:"text"`
}

// Scorer counts the events of a day. Create one with New; it is not safe for concurrent use.
type Scorer struct {
	day               *model.Day
	series            *Series
	measuredFrom      time.Duration // end of the warm-up
	seconds           []secondCounts
	classes           []classCounts
	requestsTaken     int
	calls             int
	crossZoneCalls    int
	operations        int
	tries             int
	collapses         int
	peerBytes         int
	workAsked         float64
	unserved          Unserved // by worth
	measuredRequests  int      // requests accepted after the warm-up
	unexplained       int      // of measuredRequests: those that went wrong with no cause but their router
	explainedByTiming int      // of measuredRequests: those that only a fault at the same time explains
	callResults       [hoptiller.Miss + 1]int
	callTimes         *hdrhistogram.Histogram // durations of answered calls, in microseconds
	finalAnswers      [model.FinalNoRouter + 1]int
	coldPeak          float64
	workSent          []float64 // by cache: WorkReceived at the last sample
	sampledAt         time.Duration
	logLines          []string
}

type secondCounts struct {
	worthAsked, worthServed float64
	operations, refused     int
	fetches                 int
	answeredCalls           int           // number of calls answered
	callTime                time.Duration // sum of their durations
}

type classCounts struct {
	worthAsked, worthServed float64
	operations, answered    int
	times                   *hdrhistogram.Histogram
}

// New returns a Scorer for a day; series says whether to keep values for each second.
func New(day *model.Day, series bool) *Scorer {
	t := &Scorer{day: day, measuredFrom: day.WarmUp.Std(), sampledAt: day.WarmUp.Std(), callTimes: hdrhistogram.New(1, 600e6, 3)}
	t.seconds = make([]secondCounts, int(day.Length.Seconds())+1)
	for range day.Classes {
		t.classes = append(t.classes, classCounts{times: hdrhistogram.New(1, 600e6, 3)})
	}
	if series {
		t.series = &Series{}
	}
	return t
}

// secondAt returns the counts of the second that contains a time, or nil outside the measured time.
func (t *Scorer) secondAt(now time.Duration) *secondCounts {
	if i := int((now - t.measuredFrom) / time.Second); now >= t.measuredFrom && i < len(t.seconds) {
		return &t.seconds[i]
	}
	return nil
}

// OperationEnded counts the end of a client's operation.
func (t *Scorer) OperationEnded(op *model.Operation) {
	counts := t.secondAt(op.CreatedAt)
	if counts == nil {
		return
	}
	settings := &t.day.Classes[op.Class]
	worth := settings.Worth * op.Work
	class := &t.classes[op.Class]
	t.operations++
	t.tries += op.TryCount
	t.workAsked += op.Work
	counts.operations++
	class.operations++
	counts.worthAsked += worth
	class.worthAsked += worth
	took := op.AnsweredAt - op.CreatedAt
	if op.AnsweredAt == 0 || took > settings.Aim.Std() {
		t.unserved.add(op, worth)
	}
	if op.AnsweredAt == 0 {
		return
	}
	class.answered++
	class.times.RecordValue(max(1, took.Microseconds()))
	if took > settings.Aim.Std() {
		worth *= settings.LateShare
	}
	counts.worthServed += worth
	class.worthServed += worth
}

// FinalAnswer counts a router's final answer.
func (t *Scorer) FinalAnswer(now time.Duration, answer model.FinalAnswer) {
	t.finalAnswers[answer]++
	if s := t.secondAt(now); s != nil && answer == model.FinalRefused {
		s.refused++
	}
}

// OriginCall counts a call that the origin has received.
func (t *Scorer) OriginCall(now time.Duration, call *model.Call) {
	if s := t.secondAt(now); s != nil && !call.Try.Op.Write {
		s.fetches++
	}
}

// RequestTaken counts a request that a router has accepted.
func (t *Scorer) RequestTaken(now time.Duration) {
	t.requestsTaken++
	if t.secondAt(now) != nil {
		t.measuredRequests++
	}
}

// RequestUnexplained counts a request that was refused, failed, lost or late with no cause but its router.
func (t *Scorer) RequestUnexplained(now time.Duration) {
	if t.secondAt(now) != nil {
		t.unexplained++
	}
}

// RequestExplainedByTiming counts a request that was refused, failed, lost or late and that only a fault at
// the same time explains.
func (t *Scorer) RequestExplainedByTiming(now time.Duration) {
	if t.secondAt(now) != nil {
		t.explainedByTiming++
	}
}

// CallSent counts a call; crossZone says whether it goes to another zone.
func (t *Scorer) CallSent(crossZone bool) {
	t.calls++
	if crossZone {
		t.crossZoneCalls++
	}
}

// CallEnded counts the end of a call and its duration.
func (t *Scorer) CallEnded(now time.Duration, status hoptiller.Status, took time.Duration) {
	t.callResults[status]++
	if status != hoptiller.OK && status != hoptiller.Miss || now < t.measuredFrom {
		return
	}
	t.callTimes.RecordValue(max(1, took.Microseconds()))
	if counts := t.secondAt(now); counts != nil {
		counts.answeredCalls++
		counts.callTime += took
	}
}

// CacheCollapsed counts the collapse of a cold cache.
func (t *Scorer) CacheCollapsed() { t.collapses++ }

// PeerMessage counts the bytes of a message between routers.
func (t *Scorer) PeerMessage(bytes int) { t.peerBytes += bytes }

// FaultChanged records the start or end of a fault.
func (t *Scorer) FaultChanged(now time.Duration, text string) {
	if t.series != nil {
		t.series.Faults = append(t.series.Faults, SeriesFault{(now - t.measuredFrom).Seconds(), text})
	}
}

// RouterLog keeps the first 200 lines that routers log.
func (t *Scorer) RouterLog(now time.Duration, router int, text string) {
	if len(t.logLines) < 200 {
		t.logLines = append(t.logLines, fmt.Sprintf("%10.3f s  router %d: %s", (now-t.measuredFrom).Seconds(), router, text))
	}
}

// Sample measures the caches once a second.
func (t *Scorer) Sample(w *model.World) {
	now := w.Now()
	if now < t.sampledAt+time.Second {
		if now <= t.measuredFrom { // work received in the warm-up does not count for the first second
			t.workSent = t.workSent[:0]
			for _, c := range w.Caches {
				t.workSent = append(t.workSent, c.WorkReceived)
			}
		}
		return
	}
	elapsed := (now - t.sampledAt).Seconds()
	t.sampledAt = now
	for len(t.workSent) < len(w.Caches) {
		t.workSent = append(t.workSent, 0)
	}
	if series := t.series; series != nil {
		for len(series.Sent) < len(w.Caches) {
			series.Sent, series.Capacity = append(series.Sent, nil), append(series.Capacity, nil)
		}
	}
	for i, c := range w.Caches {
		sent, capacity := (c.WorkReceived-t.workSent[i])/elapsed, c.Capacity(now)
		t.workSent[i] = c.WorkReceived
		if capacity > 0 && c.Warmth(now) < 1 {
			t.coldPeak = max(t.coldPeak, sent/capacity)
		}
		if series := t.series; series != nil {
			for len(series.Sent[i]) < int((now-t.measuredFrom)/time.Second)-1 { // zeros for the seconds before the cache joined
				series.Sent[i], series.Capacity[i] = append(series.Sent[i], 0), append(series.Capacity[i], 0)
			}
			series.Sent[i], series.Capacity[i] = append(series.Sent[i], sent), append(series.Capacity[i], capacity)
		}
	}
}

// Second is a summary of one second after the warm-up.
type Second struct {
	Asked, Refused, Fetches int
	Service                 float64 // service of the operations that were created in it and have ended
}

// Second returns the summary of a second, counted from 0; ok is false outside the measured time.
func (t *Scorer) Second(i int) (summary Second, ok bool) {
	if i < 0 || i >= len(t.seconds) {
		return summary, false
	}
	counts := &t.seconds[i]
	return Second{counts.operations, counts.refused, counts.fetches, ratioOrOne(counts.worthServed, counts.worthAsked)}, true
}

// ratioOrOne returns numerator over denominator, or 1 if the denominator is 0 or less.
func ratioOrOne(numerator, denominator float64) float64 {
	if denominator <= 0 {
		return 1
	}
	return numerator / denominator
}

// Result returns the outcome when the day is over.
func (t *Scorer) Result(w *model.World, check *invariants.Checker) *Result {
	result := &Result{Asked: t.operations, Tries: float64(t.tries) / float64(max(t.operations, 1)), RequestsTaken: t.requestsTaken,
		Waste:       w.WastedWork / max(t.workAsked, 1e-9),
		OriginStops: w.Origin.StopCount, Collapses: t.collapses, ViolationCount: check.ViolationCount, Violations: check.Violations,
		CollapseTraces: check.Collapses, ColdPeak: t.coldPeak,
		Answers: map[string]int{}, Outcomes: map[string]int{}, Log: t.logLines, Series: t.series,
		Unexplained:       float64(t.unexplained) / float64(max(t.measuredRequests, 1)),
		ExplainedByTiming: float64(t.explainedByTiming) / float64(max(t.measuredRequests, 1))}
	taken := float64(max(t.requestsTaken, 1))
	result.Calls, result.CrossZone = float64(t.calls)/taken, float64(t.crossZoneCalls)/taken
	result.CallP50, result.CallP99 = float64(t.callTimes.ValueAtQuantile(50))/1000, float64(t.callTimes.ValueAtQuantile(99))/1000
	result.NewConns, result.PeerBytes = float64(w.Handshakes)/taken, float64(t.peerBytes)/taken
	for answer, name := range [...]string{"served", "refused", "failed"} {
		result.Answers[name] = t.finalAnswers[answer]
	}
	for status, n := range t.callResults {
		result.Outcomes[CallResultNames[status]] = n
	}
	var asked, served float64
	fetches, peak := 0, 0
	for _, counts := range t.seconds {
		asked, served = asked+counts.worthAsked, served+counts.worthServed
		fetches, peak = fetches+counts.fetches, max(peak, counts.fetches)
	}
	result.Service, result.WorstWindow = ratioOrOne(served, asked), 1
	result.Unserved = t.unserved.dividedBy(asked)
	const window = 10
	for i := 0; i+window <= len(t.seconds)-1; i++ {
		var windowServed, windowAsked float64
		for _, counts := range t.seconds[i : i+window] {
			windowServed, windowAsked = windowServed+counts.worthServed, windowAsked+counts.worthAsked
		}
		result.WorstWindow = min(result.WorstWindow, ratioOrOne(windowServed, windowAsked))
	}
	result.WorstWindow = min(result.WorstWindow, result.Service)
	result.Fetches = float64(fetches) / t.day.Length.Seconds()
	result.FetchPeak = float64(peak) / max(result.Fetches, 1e-9)
	worstClass := 1.0
	for i := range t.classes {
		class := &t.classes[i]
		millis := func(quantile float64) float64 { return float64(class.times.ValueAtQuantile(quantile)) / 1000 }
		entry := ClassResult{Name: t.day.Classes[i].Name, Service: ratioOrOne(class.worthServed, class.worthAsked),
			Asked: class.operations, Served: class.answered,
			P50: millis(50), P90: millis(90), P99: millis(99), P999: millis(99.9)}
		result.Classes = append(result.Classes, entry)
		worstClass = min(worstClass, entry.Service)
	}
	result.Score = 0.45*result.Service + 0.35*result.WorstWindow + 0.2*worstClass
	if series := t.series; series != nil {
		for _, counts := range t.seconds[:len(t.seconds)-1] {
			series.Service, series.Asked = append(series.Service, ratioOrOne(counts.worthServed, counts.worthAsked)),
				append(series.Asked, counts.operations)
			series.Refused, series.Fetches = append(series.Refused, counts.refused), append(series.Fetches, counts.fetches)
			series.Latency = append(series.Latency, counts.callTime.Seconds()*1000/float64(max(counts.answeredCalls, 1)))
		}
	}
	slices.SortStableFunc(result.Violations, func(a, b invariants.Violation) int { return cmp.Compare(a.At, b.At) })
	return result
}

// CallResultNames are the names of the results of a call.
var CallResultNames = [...]string{hoptiller.OK: "served", hoptiller.ServerError: "error", hoptiller.TurnedAway: "turned away",
	hoptiller.Timeout: "timed out", hoptiller.ConnectFailed: "no connection", hoptiller.Reset: "reset",
	hoptiller.Cancelled: "cancelled", hoptiller.NotSent: "moot", hoptiller.Miss: "miss"}
