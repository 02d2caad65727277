package standin

import (
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/sim"
)

// SettingsJSON returns the settings of sim.Settings for a router of a day, in the platform's JSON format.
// Times are in microseconds.
func SettingsJSON(day *model.Day, selfIndex int) map[string]any {
	settings := sim.Settings(day, selfIndex)
	micros := time.Duration.Microseconds
	var classes, kinds, zones []any
	for i, c := range settings.Classes {
		effect := [...]string{hoptiller.Idempotent: "idempotent", hoptiller.Deduplicated: "deduplicated",
			hoptiller.AtMostOnce: "at_most_once"}[c.Effect]
		classes = append(classes, map[string]any{"name": day.Classes[i].Name, "effect": effect, "group": "all",
			"deadline": micros(c.Deadline), "onTime": micros(c.Aim), "keyTtl": micros(c.KeyTTL), "worth": c.Worth,
			"lateValue": c.LateValue,
			"stream":    c.Stream})
	}
	for _, k := range day.Kinds {
		kinds = append(kinds, k.Name)
	}
	for i := range day.Zones {
		zones = append(zones, zoneName(i))
	}
	return map[string]any{
		"selfIndex": settings.Self, "balancers": settings.Balancers, "zone": settings.Zone, "classes": classes,
		"kinds": append(kinds, "origin"), "failureDomains": zones, "membershipMode": "on_request",
		"overShareWorth": settings.OverShareWorth, "period": micros(settings.Tick),
		"familyInfo": map[string]any{"mode": "aside", "ordered": settings.Ordered, "originKind": settings.OriginKind},
		"bounds": map[string]any{"connIdle": micros(day.Fleet.IdleFor.D()), "connectTimeout": micros(settings.ConnTimeout),
			"mayCancel": settings.MayCancel, "mostTries": settings.MaxAttempts, "maxRetryAfter": micros(settings.MaxRetryAfter),
			"mayTell": true, "retryAfter": settings.RetryAfter, "secondCopies": settings.SecondCopies, "streamsPerConn": 100},
		"fees": map[string]any{"connection": 0.04, "handshake": 0.04}, // the fees of the first site, where connections are shared
		"rules": map[string]any{"askWithin": micros(settings.AskWithin), "cold": micros(settings.Cold), "coldFrom": settings.ColdFrom,
			"fall":          micros(settings.Fall),
			"graceToAnswer": micros(settings.AnswerGrace), "overloadFactor": settings.OverloadFactor,
			"stopSendingWithin": micros(settings.StopSendingWithin)},
	}
}
