package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"hoptiller"
)

// ParseSettings reads the settings of an instance of the decision module from JSON. It ignores unknown names, and
// absent values are zero. A value that cannot be read causes a warning and is replaced by the safest one: an invalid
// number counts as not stated, and a class with an invalid effect or group as one whose requests must not run twice.
func ParseSettings(text []byte) (s hoptiller.Settings, warnings []string, err error) {
	if !gjson.ValidBytes(text) {
		return s, nil, errors.New("settings: not JSON")
	}
	r := &reader{root: gjson.ParseBytes(text)}
	s = hoptiller.Settings{
		RouterIndex: r.int("selfIndex"), RouterCount: r.int("balancers"), Zone: r.int("zone"),
		OverShareWorth: r.float("overShareWorth"), TailFraction: r.float("scoringMix.tailPart"), OriginKind: -1,
		CacheAside: r.text("familyInfo.mode") == "aside", OrderedAnswers: r.bool("familyInfo.ordered"),
		ListOnRequest:     r.text("membershipMode") == "on_request",
		FetchListWithin:   r.time("rules.askWithin"),
		StopSendingWithin: r.time("rules.stopSendingWithin"),
		AnswerGrace:       r.time("rules.graceToAnswer"),
		ColdCapacity:      r.float("rules.coldFrom"), WarmUp: r.time("rules.cold"),
		OverloadFactor: r.float("rules.overloadFactor"), CollapseWindow: r.time("rules.fall"),
		AbsenceAllowsSending: r.bool("rules.removalNotBinding"),
		MaxAttempts:          r.int("bounds.mostTries"), Hedging: r.bool("bounds.secondCopies"),
		AllowsCancel: r.bool("bounds.mayCancel"), SendsRetryAfter: r.bool("bounds.retryAfter"),
		MaxRetryAfter: r.time("bounds.maxRetryAfter"), ConnectTimeout: r.time("bounds.connectTimeout"),
		TickInterval: r.time("period"),
	}
	if r.has("familyInfo.originKind") {
		s.OriginKind = r.int("familyInfo.originKind")
	}
	window := r.time("rules.budgetWindow")
	free, ratio := r.float("rules.budgetFree"), r.float("rules.furtherRatio")
	if r.has("rules.budgetFree") || r.has("rules.furtherRatio") { // a window alone does not state a budget
		s.BudgetFree, s.BudgetRatio, s.BudgetWindow = free, ratio, window
	}
	for _, account := range r.list("accounts") {
		s.Tenants = append(s.Tenants, hoptiller.Tenant{Allowance: account.float("allowancePerS")})
	}
	for _, class := range r.list("classes") {
		s.Classes = append(s.Classes, class.parseClass())
	}
	return s, r.warnings, nil
}

// Limits on the values in the settings. Larger values are capped, so that sums of a few values do not overflow.
const (
	maxTime   = 366 * 24 * time.Hour
	maxNumber = 1e12
)

// reader reads values from a JSON object and records a warning for each invalid one.
type reader struct {
	root     gjson.Result
	prefix   string // text before the warnings about this object
	parent   *reader
	warnings []string // collected by the outermost reader only
}

func (r *reader) warn(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for ; r.parent != nil; r = r.parent {
		text = r.prefix + text
	}
	r.warnings = append(r.warnings, text)
}

func (r *reader) has(path string) bool {
	v := r.root.Get(path)
	return v.Exists() && v.Type != gjson.Null
}

// getTyped returns the value at path. ok is false if there is none, or if it has none of the types.
func (r *reader) getTyped(path string, types ...gjson.Type) (v gjson.Result, ok bool) {
	if !r.has(path) {
		return v, false
	}
	v = r.root.Get(path)
	for _, t := range types {
		if v.Type == t {
			return v, true
		}
	}
	r.warn("%s is of a wrong type", path)
	return gjson.Result{}, false
}

func (r *reader) number(path string, limit float64) float64 {
	v, _ := r.getTyped(path, gjson.Number)
	if math.Abs(v.Num) > limit {
		r.warn("%s is beyond %.0f", path, limit)
		return math.Copysign(limit, v.Num)
	}
	return v.Num
}

func (r *reader) float(path string) float64 { return r.number(path, maxNumber) }

func (r *reader) integer(path string, limit float64) int {
	x := r.number(path, limit)
	if x != math.Trunc(x) {
		r.warn("%s is no whole number", path)
		return 0
	}
	return int(x)
}

func (r *reader) int(path string) int { return r.integer(path, maxNumber) }

// time reads a duration in microseconds. A negative value counts as zero.
func (r *reader) time(path string) time.Duration {
	return time.Duration(max(0, r.integer(path, float64(maxTime.Microseconds())))) * time.Microsecond
}

func (r *reader) bool(path string) bool {
	v, _ := r.getTyped(path, gjson.True, gjson.False)
	return v.Type == gjson.True
}

func (r *reader) text(path string) string {
	v, _ := r.getTyped(path, gjson.String)
	return v.Str
}

func (r *reader) list(path string) (objects []*reader) {
	v, ok := r.getTyped(path, gjson.JSON)
	if ok && !v.IsArray() {
		r.warn("%s is of a wrong type", path)
		return nil
	}
	for i, element := range v.Array() {
		objects = append(objects, &reader{root: element, prefix: fmt.Sprintf("%s %d: ", path, i), parent: r})
	}
	return objects
}

func (r *reader) parseClass() hoptiller.Class {
	c := hoptiller.Class{
		Aim: r.time("onTime"), Deadline: r.time("deadline"), Worth: r.float("worth"),
		LateFraction: r.float("lateValue"), DedupTTL: r.time("keyTtl"), Stream: r.bool("stream"),
	}
	switch effect := r.text("effect"); effect {
	case "idempotent":
		c.Effect = hoptiller.Idempotent
	case "deduplicated":
		c.Effect = hoptiller.Deduplicated
	case "at_most_once":
		c.Effect = hoptiller.AtMostOnce
	default: // also for an absent effect
		c.Effect = hoptiller.AtMostOnce
		r.warn("unknown effect %q", effect)
	}
	switch group := r.text("group"); group {
	case "all", "":
		c.Group = hoptiller.GroupAll
	case "zone":
		c.Group = hoptiller.GroupZone
	case "cell":
		c.Group = hoptiller.GroupCell
	default:
		c.Effect = hoptiller.AtMostOnce
		r.warn("unknown group %q", group)
	}
	return c
}
