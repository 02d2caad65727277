package config

import (
	"strings"
	"testing"
	"time"

	"hoptiller"
)

func TestSettings(t *testing.T) {
	s, warnings, err := ParseSettings([]byte(`{"balancers": 2, "future": [1], "bounds": {"mostTries": 4, "secondCopies": true},
		"classes": [{"deadline": 1000000, "effect": "deduplicated", "group": "zone", "keyTtl": 3000000, "onTime": 500000}],
		"familyInfo": {"mode": "aside", "originKind": 2}, "membershipMode": "on_request",
		"accounts": [{"allowancePerS": 241.0}], "rules": {"cold": 23000000, "coldFrom": 0.13}}`))
	if err != nil || len(warnings) > 0 {
		t.Fatal(warnings, err)
	}
	c := s.Classes[0]
	if s.RouterCount != 2 || s.MaxAttempts != 4 || !s.Hedging || !s.CacheAside || s.OriginKind != 2 ||
		!s.ListOnRequest || s.Tenants[0].Allowance != 241 || s.WarmUp != 23*time.Second || s.ColdCapacity != 0.13 ||
		c.Effect != hoptiller.Deduplicated || c.Group != hoptiller.GroupZone || c.DedupTTL != 3*time.Second ||
		c.Aim != 500*time.Millisecond {
		t.Errorf("settings: %+v", s)
	}
	if s, _, err := ParseSettings([]byte("{}")); err != nil || s.OriginKind != -1 {
		t.Errorf("empty settings: %+v, %v", s, err)
	}
	for _, bad := range []string{"", "{"} {
		if _, _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("settings %q were accepted", bad)
		}
	}
	// An invalid value causes a warning and is replaced by the safest one.
	for text, warning := range map[string]string{
		`{"balancers": "two"}`:               "balancers is of a wrong type",
		`{"balancers": 1.5}`:                 "balancers is no whole number",
		`{"classes": [{"effect": "magic"}]}`: `classes 0: unknown effect "magic"`,
		`{"classes": [{"effect": 3}]}`:       `classes 0: effect is of a wrong type`,
		`{"classes": [{}]}`:                  `classes 0: unknown effect ""`,
		`{"classes": [5]}`:                   `classes 0: unknown effect ""`,
		`{"classes": [{"effect": "deduplicated", "group": "street"}]}`:           `classes 0: unknown group "street"`,
		`{"classes": {"effect": "idempotent"}}`:                                  "classes is of a wrong type",
		`{"bounds": {"connectTimeout": 1e300}}`:                                  "bounds.connectTimeout is beyond 31622400000000",
		`{"rules": {"overloadFactor": -1e300}}`:                                  "rules.overloadFactor is beyond 1000000000000",
		`{"classes": [{"effect": "at_most_once", "deadline": 1e18, "worth":1}]}`: "classes 0: deadline is beyond 31622400000000",
	} {
		s, warnings, err := ParseSettings([]byte(text))
		if err != nil || len(warnings) == 0 || warnings[0] != warning {
			t.Errorf("%s: %q, %v", text, warnings, err)
		}
		for _, c := range s.Classes {
			if c.Effect != hoptiller.AtMostOnce || c.Deadline > maxTime {
				t.Errorf("%s: class %+v", text, c)
			}
		}
	}
}

// The share of the score for late answers is read. Absent or unknown shares cause no error.
func TestScoringMix(t *testing.T) {
	for text, want := range map[string]float64{
		`{"scoringMix": {"tailPart": 0.3, "tailMiss": 0.01, "logLossPart": 0.4, "newPart": 1}}`: 0.3,
		`{"scoringMix": {}}`: 0,
		`{}`:                 0,
	} {
		if s, _, err := ParseSettings([]byte(text)); err != nil || s.TailFraction != want {
			t.Errorf("%s: tail share %v, error %v", text, s.TailFraction, err)
		}
	}
}

// The settings for retries and for removal are read. Absent or unusual values cause no error. A value of the wrong
// type causes a warning that names it.
func TestRetryRules(t *testing.T) {
	s, _, err := ParseSettings([]byte(`{"rules": {"budgetFree": 2, "furtherRatio": 0.15, "budgetWindow": 2000000,
		"removalNotBinding": true}}`))
	if err != nil || s.BudgetFree != 2 || s.BudgetRatio != 0.15 || s.BudgetWindow != 2*time.Second ||
		!s.AbsenceAllowsSending {
		t.Errorf("settings %+v, error %v", s, err)
	}
	for text, window := range map[string]time.Duration{
		`{}`:                                   0,
		`{"rules": {"budgetWindow": 2000000}}`: 0,
		`{"rules": {"budgetFree": 0, "budgetWindow": 2000000}}`:     2 * time.Second,
		`{"rules": {"furtherRatio": -1, "budgetWindow": -5}}`:       0,
		`{"rules": {"furtherRatio": 7, "budgetFree": -3}}`:          0,
		`{"rules": {"furtherRatio": null, "budgetWindow": 100000}}`: 0,
	} {
		if s, _, err := ParseSettings([]byte(text)); err != nil || s.BudgetWindow != window || s.AbsenceAllowsSending {
			t.Errorf("%s: window %v, error %v", text, s.BudgetWindow, err)
		}
	}
	for _, field := range []string{"budgetFree", "furtherRatio", "budgetWindow", "removalNotBinding"} {
		s, warnings, err := ParseSettings([]byte(`{"rules": {"` + field + `": "two"}}`))
		if err != nil || len(warnings) != 1 || warnings[0] != "rules."+field+" is of a wrong type" || s.BudgetRatio != 0 {
			t.Errorf("%s of a wrong type: %q, error %v", field, warnings, err)
		}
	}
}

// Contradictory settings are reported in one line and used as stated. Complete settings, minimal ones and those with
// unknown names cause no report.
func TestContradictions(t *testing.T) {
	const classes = `"classes":[{"name":"read","effect":"idempotent","onTime":600000,"deadline":1500000}]`
	for set, warning := range map[string]string{
		classes: "",
		classes + `,"future":{"x":[1]},"stats":{"how":"piggyback","columns":["queue"]}`: "",
		`"classes":[{"name":"read","onTime":2000000,"deadline":1500000}]`:               "class read: the aim 2s is longer than the deadline 1.5s",
		`"classes":[{"name":"put","effect":"deduplicated"}]`:                            "class put: deduplicated, but without a time for which repeats are dropped",
		classes + `,"rules":{"coldFrom":1.5}`:                                           "a cold server has 1.5 of its capacity",
		classes + `,"balancers":2,"selfIndex":2`:                                        "router index 2 is out of range for 2 routers",
		classes + `,"failureDomains":["a"],"zone":1`:                                    "zone index 1 is out of range for 1 zones",
		classes + `,"familyInfo":{"mode":"aside"}`:                                      "routers fetch missing values, but there is no origin",
		classes + `,"failureDomains":["a","a"]`:                                         `the name of zone "a" is used twice`,
		classes + `,"kinds":["c"],"familyInfo":{"originKind":4}`:                        "the origin's kind 4 is out of range for 1 kinds",
	} {
		c, err := Parse([]byte(`{"listen":"a:2","discovery":"d:1","settings":{` + set + `}}`))
		if err != nil || c.Contradictions != warning {
			t.Errorf("%s: reported %q, %v", set, c.Contradictions, err)
		}
	}
	c, err := Parse([]byte(`{"settings":{` + classes + `,"rules":{"coldFrom":2},"balancers":1,"selfIndex":1}}`))
	if err != nil || !strings.Contains(c.Contradictions, "; ") || strings.Contains(c.Contradictions, "\n") {
		t.Errorf("two contradictions: %q, %v", c.Contradictions, err)
	}
}
