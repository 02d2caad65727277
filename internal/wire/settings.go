package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"hoptiller"
)

type conf struct {
	Accounts []struct {
		AllowancePerS float64 `json:"allowancePerS"`
	} `json:"accounts"`
	Balancers int `json:"balancers"`
	Bounds    struct {
		ConnectTimeout int64 `json:"connectTimeout"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		MayCancel      bool  `json:"mayCancel"`
		MostTries      int   `json:"mostTries"`
		RetryAfter     bool  `json:"retryAfter"`
		SecondCopies   bool  `json:"secondCopies"`
	} `json:"bounds"`
	Classes    []classConf `json:"classes"`
	FamilyInfo *struct {
		Mode       string `json:"mode"`
		Ordered    bool   `json:"ordered"`
		OriginKind *int   `json:"originKind"`
	} `json:"familyInfo"`
	MembershipMode string  `json:"membershipMode"`
	OverShareWorth float64 `json:"overShareWorth"`
	Period         int64   `json:"period"`
	Rules          struct {
		AskWithin         int64    `json:"askWithin"`
		BudgetFree        *float64 `json:"budgetFree"`
		BudgetWindow      int64    `json:"budgetWindow"`
		Cold              int64    `json:"cold"`
		ColdFrom          float64  `json:"coldFrom"`
		Fall              int64    `json:"fall"`
		FurtherRatio      *float64 `json:"furtherRatio"`
		GraceToAnswer     int64    `json:"graceToAnswer"`
		OverloadFactor    float64  `json:"overloadFactor"`
		RemovalNotBinding bool     `json:"removalNotBinding"`
		StopSendingWithin int64    `json:"stopSendingWithin"`
	} `json:"rules"`
	ScoringMix struct {
		TailPart float64 `json:"tailPart"`
	} `json:"scoringMix"`
	SelfIndex int `json:"selfIndex"`
	Zone      int `json:"zone"`
}

type classConf struct {
	Deadline  int64   `json:"deadline"`
	Effect    string  `json:"effect"`
	Group     string  `json:"group"`
	KeyTTL    int64   `json:"keyTtl"`
	LateValue float64 `json:"lateValue"`
	OnTime    int64   `json:"onTime"`
	Stream    bool    `json:"stream"`
	Worth     float64 `json:"worth"`
}

// ParseSettings reads an instance's settings. Unknown keys are passed over.
func ParseSettings(text []byte) (hoptiller.Settings, error) {
	var c conf
	if err := json.Unmarshal(text, &c); err != nil {
		return hoptiller.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := hoptiller.Settings{
		Self: c.SelfIndex, Balancers: c.Balancers, Zone: c.Zone,
		OverShareWorth: c.OverShareWorth, TailPart: c.ScoringMix.TailPart, OriginKind: -1,
		ListOnRequest:     c.MembershipMode == "on_request",
		AskWithin:         us(c.Rules.AskWithin),
		StopSendingWithin: us(c.Rules.StopSendingWithin),
		AnswerGrace:       us(c.Rules.GraceToAnswer),
		ColdFrom:          c.Rules.ColdFrom, Cold: us(c.Rules.Cold),
		OverloadFactor: c.Rules.OverloadFactor, Fall: us(c.Rules.Fall),
		RemovalNotBinding: c.Rules.RemovalNotBinding,
		MaxAttempts:       c.Bounds.MostTries, SecondCopies: c.Bounds.SecondCopies,
		MayCancel: c.Bounds.MayCancel, RetryAfter: c.Bounds.RetryAfter,
		MaxRetryAfter: us(c.Bounds.MaxRetryAfter), ConnTimeout: us(c.Bounds.ConnectTimeout),
		Tick: us(c.Period),
	}
	if free, ratio := c.Rules.BudgetFree, c.Rules.FurtherRatio; free != nil || ratio != nil {
		s.BudgetFree, s.BudgetRatio, s.BudgetWindow = value(free), value(ratio), us(c.Rules.BudgetWindow)
	}
	if f := c.FamilyInfo; f != nil {
		s.Aside, s.Ordered = f.Mode == "aside", f.Ordered
		if f.OriginKind != nil {
			s.OriginKind = *f.OriginKind
		}
	}
	for _, a := range c.Accounts {
		s.Tenants = append(s.Tenants, hoptiller.Tenant{Allowance: a.AllowancePerS})
	}
	for i, k := range c.Classes {
		class, err := k.class()
		if err != nil {
			return hoptiller.Settings{}, fmt.Errorf("settings: class %d: %w", i, err)
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

func (k classConf) class() (hoptiller.Class, error) {
	c := hoptiller.Class{
		Aim: us(k.OnTime), Deadline: us(k.Deadline), Worth: k.Worth, LateValue: k.LateValue,
		KeyTTL: us(k.KeyTTL), Stream: k.Stream,
	}
	switch k.Effect {
	case "idempotent":
		c.Effect = hoptiller.Idempotent
	case "deduplicated":
		c.Effect = hoptiller.Deduplicated
	case "at_most_once", "":
		c.Effect = hoptiller.AtMostOnce
	default:
		return c, fmt.Errorf("unknown effect %q", k.Effect)
	}
	switch k.Group {
	case "all", "":
		c.Group = hoptiller.GroupAll
	case "zone":
		c.Group = hoptiller.GroupZone
	case "cell":
		c.Group = hoptiller.GroupCell
	default:
		return c, fmt.Errorf("unknown group %q", k.Group)
	}
	return c, nil
}

func value(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}

func us(n int64) time.Duration {
	if n < 0 {
		return 0
	}
	return micros(uint64(n))
}
