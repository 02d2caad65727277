package standin

import (
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/sim"
)

// SettingsJSON is what sim.Settings tells a router of a day, in the platform's form. Times are in microseconds.
func SettingsJSON(day *model.Day, self int) map[string]any {
	set := sim.Settings(day, self)
	us := time.Duration.Microseconds
	var classes, kinds, zones []any
	for i, c := range set.Classes {
		effect := [...]string{hoptiller.Idempotent: "idempotent", hoptiller.Deduplicated: "deduplicated",
			hoptiller.AtMostOnce: "at_most_once"}[c.Effect]
		classes = append(classes, map[string]any{"name": day.Classes[i].Name, "effect": effect, "group": "all",
			"deadline": us(c.Deadline), "onTime": us(c.Aim), "keyTtl": us(c.KeyTTL), "worth": c.Worth, "lateValue": c.LateValue,
			"stream": c.Stream})
	}
	for _, k := range day.Kinds {
		kinds = append(kinds, k.Name)
	}
	for i := range day.Zones {
		zones = append(zones, zone(i))
	}
	return map[string]any{
		"selfIndex": set.Self, "balancers": set.Balancers, "zone": set.Zone, "classes": classes,
		"kinds": append(kinds, "origin"), "failureDomains": zones, "membershipMode": "on_request",
		"overShareWorth": set.OverShareWorth, "period": us(set.Tick),
		"familyInfo": map[string]any{"mode": "aside", "ordered": set.Ordered, "originKind": set.OriginKind},
		"bounds": map[string]any{"connIdle": us(day.Fleet.IdleFor.D()), "connectTimeout": us(set.ConnTimeout),
			"mayCancel": set.MayCancel, "mostTries": set.MaxAttempts, "maxRetryAfter": us(set.MaxRetryAfter),
			"mayTell": true, "retryAfter": set.RetryAfter, "secondCopies": set.SecondCopies, "streamsPerConn": 100},
		"fees": map[string]any{"connection": 0.04, "handshake": 0.04}, // the first site's: connections are shared
		"rules": map[string]any{"askWithin": us(set.AskWithin), "cold": us(set.Cold), "coldFrom": set.ColdFrom, "fall": us(set.Fall),
			"graceToAnswer": us(set.AnswerGrace), "overloadFactor": set.OverloadFactor, "stopSendingWithin": us(set.StopSendingWithin)},
	}
}
