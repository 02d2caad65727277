package standin

import "hoptiller/internal/model"

// SettingsJSON is the settings of a router of a day in the platform's form. Times are in microseconds.
func SettingsJSON(day *model.Day, self int) map[string]any {
	var classes, kinds, zones []any
	effects := map[string]string{"safe": "idempotent", "unsafe": "at_most_once", "keyed": "deduplicated"}
	for _, c := range day.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": effects[c.Effect], "group": "all",
			"deadline": c.Deadline.D().Microseconds(), "onTime": c.Aim.D().Microseconds(), "keyTtl": c.Window.D().Microseconds(),
			"worth": c.Worth, "lateValue": 0.0, "stream": false})
	}
	coldFrom, cold := 1.0, int64(0)
	for _, k := range day.Kinds {
		kinds = append(kinds, k.Name)
		coldFrom, cold = min(coldFrom, k.ColdFrom), max(cold, k.ColdFor.D().Microseconds())
	}
	for i := range day.Zones {
		zones = append(zones, zone(i))
	}
	return map[string]any{
		"selfIndex": self, "balancers": day.Routers, "zone": self % day.Zones, "classes": classes,
		"kinds": append(kinds, "origin"), "failureDomains": zones, "membershipMode": "on_request", "overShareWorth": 0.1,
		"period":     day.Round.D().Microseconds(),
		"familyInfo": map[string]any{"mode": "aside", "ordered": true, "originKind": len(day.Kinds)},
		"bounds": map[string]any{"connIdle": day.Fleet.IdleFor.D().Microseconds(),
			"connectTimeout": day.Fleet.ConnectFor.D().Microseconds(), "mayCancel": true, "mostTries": day.Rules.Attempts,
			"maxRetryAfter": day.Clients.MostWait.D().Microseconds(), "retryAfter": true, "secondCopies": day.Rules.Copies,
			"streamsPerConn": 100},
		"rules": map[string]any{"askWithin": day.Rules.AskWithin.D().Microseconds(), "cold": cold, "coldFrom": coldFrom,
			"fall": day.Rules.Fall.D().Microseconds(), "graceToAnswer": day.Rules.Grace.D().Microseconds(),
			"overloadFactor": day.Rules.Overload, "stopSendingWithin": day.Rules.Drain.D().Microseconds()},
	}
}
