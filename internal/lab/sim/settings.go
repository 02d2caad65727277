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
		ListOnRequest: true, FetchListWithin: day.Invariants.AskWithin.Std(), StopSendingWithin: day.Invariants.Drain.Std(),
		AnswerGrace: day.Invariants.Grace.Std(), OverloadFactor: day.Invariants.OverloadFactor, CollapseWindow: day.Invariants.CollapseDuration.Std(),
		MaxAttempts: day.Invariants.MaxAttempts, Hedging: day.Invariants.AllowsHedge, AllowsCancel: true, SendsRetryAfter: true,
		MaxRetryAfter: day.Clients.MaxRetryAfter.Std(), ConnectTimeout: day.Fleet.ConnectTimeout.Std(), TickInterval: day.EventInterval.Std(),
		ColdCapacity: 1,
	}
	for _, k := range day.Kinds {
		set.ColdCapacity = min(set.ColdCapacity, k.ColdCapacity)
		set.WarmUp = max(set.WarmUp, k.WarmUpDuration.Std())
	}
	for _, c := range day.Classes {
		class := hoptiller.Class{Aim: c.Aim.Std(), Deadline: c.Deadline.Std(), Worth: c.Worth, LateFraction: c.LateShare, DedupTTL: c.Window.Std()}
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
