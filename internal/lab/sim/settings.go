package sim

import (
	"hoptiller"
	"hoptiller/internal/lab/model"
)

// Settings returns the settings with which router number self starts on a day.
func Settings(day *model.Day, self int) hoptiller.Settings {
	set := hoptiller.Settings{
		RouterIndex: self, RouterCount: day.Routers, Zone: self % day.Zones, OverShareWorth: 0.1,
		CacheAside: true, OriginKind: len(day.Kinds), OrderedAnswers: true,
		ListOnRequest: true, FetchListWithin: day.Rules.AskWithin.Std(), StopSendingWithin: day.Rules.Drain.Std(),
		AnswerGrace: day.Rules.Grace.Std(), OverloadFactor: day.Rules.Overload, CollapseWindow: day.Rules.Fall.Std(),
		MaxAttempts: day.Rules.Attempts, Hedging: day.Rules.Copies, AllowsCancel: true, SendsRetryAfter: true,
		MaxRetryAfter: day.Clients.MostWait.Std(), ConnectTimeout: day.Fleet.ConnectFor.Std(), TickInterval: day.Round.Std(),
		ColdCapacity: 1,
	}
	for _, k := range day.Kinds {
		set.ColdCapacity = min(set.ColdCapacity, k.ColdFrom)
		set.WarmUp = max(set.WarmUp, k.ColdFor.Std())
	}
	for _, c := range day.Classes {
		class := hoptiller.Class{Aim: c.Aim.Std(), Deadline: c.Deadline.Std(), Worth: c.Worth, LateFraction: c.Late, DedupTTL: c.Window.Std()}
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
