package sim

import (
	"hoptiller"
	"hoptiller/internal/lab/model"
)

// Settings returns the settings with which router number self starts on a day.
func Settings(day *model.Day, self int) hoptiller.Settings {
	set := hoptiller.Settings{
		Self: self, Balancers: day.Routers, Zone: self % day.Zones, OverShareWorth: 0.1,
		Aside: true, OriginKind: len(day.Kinds), Ordered: true,
		ListOnRequest: true, AskWithin: day.Rules.AskWithin.D(), StopSendingWithin: day.Rules.Drain.D(),
		AnswerGrace: day.Rules.Grace.D(), OverloadFactor: day.Rules.Overload, Fall: day.Rules.Fall.D(),
		MaxAttempts: day.Rules.Attempts, SecondCopies: day.Rules.Copies, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: day.Clients.MostWait.D(), ConnTimeout: day.Fleet.ConnectFor.D(), Tick: day.Round.D(),
		ColdFrom: 1,
	}
	for _, k := range day.Kinds {
		set.ColdFrom = min(set.ColdFrom, k.ColdFrom)
		set.Cold = max(set.Cold, k.ColdFor.D())
	}
	for _, c := range day.Classes {
		class := hoptiller.Class{Aim: c.Aim.D(), Deadline: c.Deadline.D(), Worth: c.Worth, LateValue: c.Late, KeyTTL: c.Window.D()}
		switch c.Effect {
		case "unsafe":
			class.Effect = hoptiller.AtMostOnce
		case "keyed":
			class.Effect = hoptiller.Deduplicated
		}
		set.Classes = append(set.Classes, class)
	}
	return set
}
