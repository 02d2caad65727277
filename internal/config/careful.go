package config

import (
	"fmt"
	"time"

	"hoptiller"
)

// What stands in for a time that is not stated and without which nothing could be served.
const (
	deadlineUnstated = 3 * time.Second // the platform itself counts none as longer
	connectUnstated  = time.Second
)

// careful puts what is safest in the place of what is missing, and tells what that is.
func (c *Config) careful() (doubts []string) {
	say := func(format string, args ...any) { doubts = append(doubts, fmt.Sprintf(format, args...)) }
	s := &c.Settings
	if len(s.Classes) == 0 {
		c.AnyClass, c.Classes = true, []string{"any"}
		s.Classes = []hoptiller.Class{{Effect: hoptiller.AtMostOnce, Deadline: deadlineUnstated, Worth: 1, LateValue: 1}}
		say("no classes: no request is sent twice")
	}
	first := map[string]int{}
	for i := range s.Classes {
		class, name := &s.Classes[i], c.Classes[i]
		if name == "" {
			say("class %d has no name: nobody can ask for it", i)
		}
		if j, there := first[name]; !there {
			first[name] = i
		} else if *class != s.Classes[j] { // the first is the one that is used
			s.Classes[j].Effect = hoptiller.AtMostOnce
			say("class %q is stated twice: its requests are not sent twice", name)
		}
		if class.Deadline <= 0 {
			class.Deadline = max(class.Aim, deadlineUnstated)
			say("class %q has no deadline: %v", name, class.Deadline)
		}
	}
	for i, name := range c.Tenants {
		if name == "" {
			say("account %d has no name: nobody has its share", i)
		}
	}
	if s.ConnTimeout <= 0 {
		s.ConnTimeout = connectUnstated
	}
	return doubts
}
