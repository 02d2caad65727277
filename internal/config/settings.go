package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"hoptiller"
)

// ParseSettings reads the settings that an instance of the decision module is
// given, as JSON. Unknown names are passed over, absent ones are zero.
func ParseSettings(text []byte) (hoptiller.Settings, error) {
	if !gjson.ValidBytes(text) {
		return hoptiller.Settings{}, errors.New("settings: not JSON")
	}
	r := &reader{root: gjson.ParseBytes(text)}
	s := hoptiller.Settings{
		Self: r.int("selfIndex"), Balancers: r.int("balancers"), Zone: r.int("zone"),
		OverShareWorth: r.float("overShareWorth"), TailPart: r.float("scoringMix.tailPart"), OriginKind: -1,
		Aside: r.text("familyInfo.mode") == "aside", Ordered: r.bool("familyInfo.ordered"),
		ListOnRequest:     r.text("membershipMode") == "on_request",
		AskWithin:         r.time("rules.askWithin"),
		StopSendingWithin: r.time("rules.stopSendingWithin"),
		AnswerGrace:       r.time("rules.graceToAnswer"),
		ColdFrom:          r.float("rules.coldFrom"), Cold: r.time("rules.cold"),
		OverloadFactor: r.float("rules.overloadFactor"), Fall: r.time("rules.fall"),
		RemovalNotBinding: r.bool("rules.removalNotBinding"),
		MaxAttempts:       r.int("bounds.mostTries"), SecondCopies: r.bool("bounds.secondCopies"),
		MayCancel: r.bool("bounds.mayCancel"), RetryAfter: r.bool("bounds.retryAfter"),
		MaxRetryAfter: r.time("bounds.maxRetryAfter"), ConnTimeout: r.time("bounds.connectTimeout"),
		Tick: r.time("period"),
	}
	if r.has("familyInfo.originKind") {
		s.OriginKind = r.int("familyInfo.originKind")
	}
	window := r.time("rules.budgetWindow")
	free, ratio := r.float("rules.budgetFree"), r.float("rules.furtherRatio")
	if r.has("rules.budgetFree") || r.has("rules.furtherRatio") { // a window alone states no budget
		s.BudgetFree, s.BudgetRatio, s.BudgetWindow = free, ratio, window
	}
	for _, a := range r.list("accounts") {
		s.Tenants = append(s.Tenants, hoptiller.Tenant{Allowance: a.float("allowancePerS")})
	}
	for _, c := range r.list("classes") {
		s.Classes = append(s.Classes, c.class())
	}
	if r.err != nil {
		return hoptiller.Settings{}, fmt.Errorf("settings: %w", r.err)
	}
	return s, nil
}

// reader takes values out of an object; the first of a wrong type is its error.
type reader struct {
	root   gjson.Result
	name   string // of the object
	parent *reader
	err    error
}

func (r *reader) fail(format string, args ...any) {
	for ; r.parent != nil; r = r.parent {
		format = r.name + format
	}
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
}

func (r *reader) has(path string) bool {
	v := r.root.Get(path)
	return v.Exists() && v.Type != gjson.Null
}

// get takes a value, if there is one that is of a type.
func (r *reader) get(path string, types ...gjson.Type) (v gjson.Result, ok bool) {
	if !r.has(path) {
		return v, false
	}
	v = r.root.Get(path)
	for _, t := range types {
		if v.Type == t {
			return v, true
		}
	}
	r.fail("%s is of a wrong type", path)
	return v, false
}

func (r *reader) float(path string) float64 {
	v, _ := r.get(path, gjson.Number)
	return v.Num
}

func (r *reader) int(path string) int {
	x := r.float(path)
	if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
		r.fail("%s is no whole number", path)
		return 0
	}
	return int(x)
}

// time reads microseconds; less than none is none.
func (r *reader) time(path string) time.Duration {
	return time.Duration(min(max(0, r.int(path)), math.MaxInt64/1000)) * time.Microsecond
}

func (r *reader) bool(path string) bool {
	v, _ := r.get(path, gjson.True, gjson.False)
	return v.Type == gjson.True
}

func (r *reader) text(path string) string {
	v, _ := r.get(path, gjson.String)
	return v.Str
}

func (r *reader) list(path string) (objects []*reader) {
	v, ok := r.get(path, gjson.JSON)
	if ok && !v.IsArray() {
		r.fail("%s is of a wrong type", path)
		return nil
	}
	for i, e := range v.Array() {
		objects = append(objects, &reader{root: e, name: fmt.Sprintf("%s %d: ", path, i), parent: r})
	}
	return objects
}

func (r *reader) class() hoptiller.Class {
	c := hoptiller.Class{
		Aim: r.time("onTime"), Deadline: r.time("deadline"), Worth: r.float("worth"),
		LateValue: r.float("lateValue"), KeyTTL: r.time("keyTtl"), Stream: r.bool("stream"),
	}
	switch effect := r.text("effect"); effect {
	case "idempotent":
		c.Effect = hoptiller.Idempotent
	case "deduplicated":
		c.Effect = hoptiller.Deduplicated
	case "at_most_once", "":
		c.Effect = hoptiller.AtMostOnce
	default:
		r.fail("unknown effect %q", effect)
	}
	switch group := r.text("group"); group {
	case "all", "":
		c.Group = hoptiller.GroupAll
	case "zone":
		c.Group = hoptiller.GroupZone
	case "cell":
		c.Group = hoptiller.GroupCell
	default:
		r.fail("unknown group %q", group)
	}
	return c
}
