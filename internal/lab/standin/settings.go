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
			"deadline": micros(c.Deadline), "onTime": micros(c.Aim), "keyTtl": micros(c.DedupTTL), "worth": c.Worth,
			"lateValue": c.LateFraction,
			"stream":    c.Stream})
	}
	for _, k := range day.Kinds {
		kinds = append(kinds, k.Name)
	}
	for i := range day.Zones {
		zones = append(zones, zoneName(i))
	}
	return map[string]any{
		"selfIndex": settings.RouterIndex, "balancers": settings.RouterCount, "zone": settings.Zone, "classes": classes,
		"kinds": append(kinds, "origin"), "failureDomains": zones, "membershipMode": "on_request",
		"overShareWorth": settings.OverShareWorth, "period": micros(settings.TickInterval),
		"familyInfo": map[string]any{"mode": "aside", "ordered": settings.OrderedAnswers, "originKind": settings.OriginKind},
		"bounds": map[string]any{"connIdle": micros(day.Fleet.IdleTimeout.Std()), "connectTimeout": micros(settings.ConnectTimeout),
			"mayCancel": settings.AllowsCancel, "mostTries": settings.MaxAttempts, "maxRetryAfter": micros(settings.MaxRetryAfter),
			"mayTell": true, "retryAfter": settings.SendsRetryAfter, "secondCopies": settings.Hedging, "streamsPerConn": 100},
		"fees": map[string]any{"connection": 0.04, "handshake": 0.04}, // the fees of the first site, where connections are shared
		"rules": map[string]any{"askWithin": micros(settings.FetchListWithin), "cold": micros(settings.WarmUp), "coldFrom": settings.ColdCapacity,
			"fall":          micros(settings.CollapseWindow),
			"graceToAnswer": micros(settings.AnswerGrace), "overloadFactor": settings.OverloadFactor,
			"stopSendingWithin": micros(settings.StopSendingWithin)},
	}
}
