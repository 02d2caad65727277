package config

import (
	"fmt"
	"strings"

	"hoptiller"
)

// contradictions tells what can't be true together in the settings. The router serves all the same: it takes each
// figure by itself as it stands, and what is not stated as not stated.
func (c *Config) contradictions() string {
	s := &c.Settings
	var all []string
	say := func(wrong bool, format string, args ...any) {
		if wrong {
			all = append(all, fmt.Sprintf(format, args...))
		}
	}
	for i, class := range s.Classes {
		name := c.Classes[i]
		say(class.Deadline > 0 && class.Aim > class.Deadline, "class %s: answers are wanted within %v and given up after %v", name, class.Aim, class.Deadline)
		say(class.Effect == hoptiller.Deduplicated && class.KeyTTL <= 0, "class %s: repeats are dropped for no time", name)
		say(class.LateValue < 0 || class.LateValue > 1, "class %s: a late answer is worth %v of one in time", name, class.LateValue)
	}
	say(s.ColdFrom > 1, "a cold server has %v of its capacity", s.ColdFrom)
	say(s.Balancers > 0 && s.Self >= s.Balancers, "number %d of %d routers", s.Self, s.Balancers)
	say(len(c.Zones) > 0 && s.Zone >= len(c.Zones), "zone %d of %d", s.Zone, len(c.Zones))
	say(len(c.Kinds) > 0 && s.OriginKind >= len(c.Kinds), "the origin's kind is %d of %d", s.OriginKind, len(c.Kinds))
	say(s.Aside && s.OriginKind < 0, "routers fetch, and there is no origin")
	say(!s.RetryAfter && s.MaxRetryAfter > 0, "clients are told no wait, and honour %v", s.MaxRetryAfter)
	for what, names := range map[string][]string{"class": c.Classes, "account": c.Tenants, "zone": c.Zones} {
		seen := map[string]bool{}
		for _, name := range names {
			say(seen[name], "two of the name %s %q", what, name)
			seen[name] = true
		}
	}
	return strings.Join(all, "; ")
}
