package config

import (
	"fmt"
	"strings"

	"hoptiller"
)

// findContradictions describes the settings that cannot all hold, or returns an empty text. The router serves
// requests anyway: it uses each value as it is stated, and treats an unstated value as unstated.
func (c *Config) findContradictions() string {
	set := &c.Settings
	var found []string
	report := func(contradicts bool, format string, args ...any) {
		if contradicts {
			found = append(found, fmt.Sprintf(format, args...))
		}
	}
	for i, class := range set.Classes {
		name := c.Classes[i]
		report(class.Deadline > 0 && class.Aim > class.Deadline,
			"class %s: the aim %v is longer than the deadline %v", name, class.Aim, class.Deadline)
		report(class.Effect == hoptiller.Deduplicated && class.DedupTTL <= 0,
			"class %s: deduplicated, but without a time for which repeats are dropped", name)
		report(class.LateFraction < 0 || class.LateFraction > 1, "class %s: a late answer is worth %v of an answer in time",
			name, class.LateFraction)
	}
	report(set.ColdCapacity > 1, "a cold server has %v of its capacity", set.ColdCapacity)
	report(set.RouterCount > 0 && set.RouterIndex >= set.RouterCount, "router index %d is out of range for %d routers", set.RouterIndex, set.RouterCount)
	report(len(c.Zones) > 0 && set.Zone >= len(c.Zones), "zone index %d is out of range for %d zones", set.Zone, len(c.Zones))
	report(len(c.Kinds) > 0 && set.OriginKind >= len(c.Kinds), "the origin's kind %d is out of range for %d kinds",
		set.OriginKind, len(c.Kinds))
	report(set.CacheAside && set.OriginKind < 0, "routers fetch missing values, but there is no origin")
	report(!set.SendsRetryAfter && set.MaxRetryAfter > 0, "clients get no retry delay, but honour up to %v", set.MaxRetryAfter)
	for what, list := range map[string][]string{"class": c.Classes, "account": c.Tenants, "zone": c.Zones} {
		known := map[string]bool{}
		for _, name := range list {
			report(known[name], "the name of %s %q is used twice", what, name)
			known[name] = true
		}
	}
	return strings.Join(found, "; ")
}
