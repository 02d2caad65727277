package config

import (
	"fmt"
	"time"

	"hoptiller"
)

// Defaults for times that are not stated and without which no request could be served.
const (
	defaultDeadline    = 3 * time.Second // the platform itself accepts no longer deadline
	defaultConnTimeout = time.Second
)

// applySafeDefaults fills in missing settings with the safest values and returns a warning for each of them.
func (c *Config) applySafeDefaults() (warnings []string) {
	warn := func(format string, args ...any) { warnings = append(warnings, fmt.Sprintf(format, args...)) }
	s := &c.Settings
	if len(s.Classes) == 0 {
		c.DefaultClassOnly, c.Classes = true, []string{"any"}
		s.Classes = []hoptiller.Class{{Effect: hoptiller.AtMostOnce, Deadline: defaultDeadline, Worth: 1, LateFraction: 1}}
		warn("no classes: no request is sent twice")
	}
	firstIndex := map[string]int{}
	for i := range s.Classes {
		class, name := &s.Classes[i], c.Classes[i]
		if name == "" {
			warn("class %d has no name: no request can select it", i)
		}
		if j, found := firstIndex[name]; !found {
			firstIndex[name] = i
		} else if *class != s.Classes[j] { // requests use the first class of a name
			s.Classes[j].Effect = hoptiller.AtMostOnce
			warn("class %q is stated twice: its requests are not sent twice", name)
		}
		if class.Deadline <= 0 {
			class.Deadline = max(class.Aim, defaultDeadline)
			warn("class %q has no deadline: %v", name, class.Deadline)
		}
	}
	for i, name := range c.Tenants {
		if name == "" {
			warn("account %d has no name: no customer can use its share", i)
		}
	}
	if s.ConnectTimeout <= 0 {
		s.ConnectTimeout = defaultConnTimeout
	}
	return warnings
}
