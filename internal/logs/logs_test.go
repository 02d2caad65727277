package logs

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/slogtest"
	"time"

	"github.com/tidwall/gjson"
)

// A flood of events of one kind is cut to its rate, the number of dropped events is logged, and other kinds are not affected.
func TestFlood(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, Options{"info", "text", 2})
	var now time.Duration
	l.sinceStart = func() time.Duration { return now }
	log := slog.New(l)
	for range 1000 {
		log.Warn("bad client", "addr", "127.0.0.1")
	}
	log.Info("server down")
	now += time.Second
	log.Warn("bad client", "addr", "127.0.0.2")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 || !strings.Contains(lines[2], "server down") || !strings.HasSuffix(lines[3], "addr=127.0.0.2 not_written=998") {
		t.Errorf("%s", &out)
	}
}

// The level and the format can be changed while loggers are in use.
func TestSet(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, Options{"warn", "text", 100})
	log := slog.New(l).With("router", "a")
	log.Info("nothing")
	l.SetOptions(Options{"debug", "json", 100})
	log.Debug("reload", "file", "x")
	if line := gjson.ParseBytes(out.Bytes()); line.Get("msg").String() != "reload" || line.Get("router").String() != "a" || line.Get("level").String() != "DEBUG" {
		t.Errorf("%s", &out)
	}
	for _, bad := range []Options{{"loud", "text", 1}, {"info", "xml", 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v passes Check", bad)
		}
	}
}

// Log fulfils the contract of slog.Handler.
func TestHandler(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, Options{"info", "json", 1e6})
	err := slogtest.TestHandler(l, func() []map[string]any {
		var all []map[string]any
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			all = append(all, gjson.Parse(line).Value().(map[string]any))
		}
		return all
	})
	if err != nil {
		t.Error(err)
	}
}
