package config

import (
	"strings"
	"testing"
	"time"

	"hoptiller"
)

// Missing or invalid settings are reported in one line, and no class gets the settings of another class.
func TestSafeDefaults(t *testing.T) {
	const read = `{"name":"read","effect":"idempotent","onTime":600000,"deadline":1500000}`
	for set, warning := range map[string]string{
		`"classes":[` + read + `]`: "",
		`"classes":[]`:             "no classes: no request is sent twice",
		`"classes":"none"`:         "classes is of a wrong type; no classes: no request is sent twice",
		``:                         "no classes: no request is sent twice",
		`"classes":[{"effect":"at_most_once","deadline":9},` + read + `]`:                          "class 0 has no name: no request can select it",
		`"classes":[` + read + `,{"name":"read","effect":"at_most_once","deadline":1500000}]`:      `class "read" is stated twice: its requests are not sent twice`,
		`"classes":[{"name":"read","effect":"idempotent"}]`:                                        `class "read" has no deadline: 3s`,
		`"classes":[{"name":"read","effect":"idempotent","deadline":-5,"onTime":7000000}]`:         `class "read" has no deadline: 7s`,
		`"classes":[` + read + `],"accounts":[{"allowancePerS":5},{"name":"b","allowancePerS":1}]`: "account 0 has no name: no customer can use its share",
		`"classes":[` + read + `],"bounds":{"streamsPerConn":1e300}`:                               "settings.bounds.streamsPerConn is beyond 1048576",
		`"classes":[{"name":"a"},{"name":"b"},{"name":"c"},{"name":"d"},{"name":"e"}]`:             "and 2 more",
	} {
		c, err := Parse([]byte(`{"listen":"a:2","discovery":"d:1","settings":{` + set + `}}`))
		if err != nil {
			t.Errorf("%s: %v", set, err)
			continue
		}
		if !strings.HasSuffix(c.Warnings, warning) || (warning == "") != (c.Warnings == "") || strings.Contains(c.Warnings, "\n") {
			t.Errorf("%s: got the warnings %q", set, c.Warnings)
		}
		if len(c.Classes) != len(c.Settings.Classes) || len(c.Tenants) != len(c.Settings.Tenants) || c.Settings.ConnectTimeout <= 0 {
			t.Errorf("%s: classes %q of %+v", set, c.Classes, c.Settings)
		}
		for i, class := range c.Settings.Classes {
			if class.Deadline <= 0 || class.Effect != hoptiller.AtMostOnce && c.Classes[i] != "read" {
				t.Errorf("%s: class %q is %+v", set, c.Classes[i], class)
			}
		}
	}
	for text, warning := range map[string]string{
		`"known":{"servers":[{}]}`:              "known: directory: a server has no id",
		`"limits":{"sockets":1e300}`:            "limits.sockets is beyond 1048576",
		`"limits":{"memory_mb":"much"}`:         "limits.memory_mb is of a wrong type",
		`"limits":{"memory_mb":-1,"sockets":0}`: "",
	} {
		c, err := Parse([]byte(`{` + text + `,"settings":{"classes":[` + read + `]}}`))
		if err != nil || c.Warnings != warning || c.MemoryMB < 0 || c.Sockets < 0 || len(c.Known.Entries) > 0 {
			t.Errorf("%s: %q, %v, %+v", text, c.Warnings, err, c)
		}
	}
}

// Stated times are capped, so that sums of them with the present time do not overflow.
func TestLargestTimes(t *testing.T) {
	c, err := Parse([]byte(`{"settings":{"classes":[{"name":"a","effect":"deduplicated","keyTtl":9e99,"deadline":9e99,"onTime":9e99}],
		"rules":{"cold":9e99,"fall":9e99}}}`))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(time.Now().UnixNano())
	if class := c.Settings.Classes[0]; now+3*class.DedupTTL < now || now+3*class.Deadline < now || class.DedupTTL != maxTime {
		t.Errorf("%+v", class)
	}
}
