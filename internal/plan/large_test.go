package plan

import (
	"fmt"
	"strings"
	"testing"
)

// Bounds must be accepted for fleets of 1,024 routers and slot caches. An invalid bound is refused with one finding
// that names the valid range.
func TestFleetBounds(t *testing.T) {
	for _, name := range []string{"out", "caches"} {
		for text, accepted := range map[string]bool{"1": true, "200": true, "201": true, "1024": true, "4096": true,
			"0": false, "4097": false, "-1": false, "99999999999999999999": false, "0%": false, "101%": false} {
			p, report := loadTexts(fmt.Sprintf("fleet {\n\t%s %s\n\t%s-zone 1\n}\n", name, text, name))
			if accepted && (p == nil || fmt.Sprint(max(p.Fleet.RoutersOut.Number, p.Fleet.CachesOut.Number)) != text) {
				t.Errorf("%s %s: %v", name, text, report)
			}
			if !accepted && (p != nil || len(report.Findings) != 1 || report.Findings[0].Pos.Line != 2) {
				t.Errorf("%s %s: %v", name, text, report)
			}
		}
	}
	_, report := loadTexts("fleet {\n\tout 4097\n}\n")
	if message := report.String(); !strings.Contains(message, "1 to 4096") {
		t.Errorf("refused with %s", message)
	}
}

// A pool may list 1,024 servers, and a release 1,024 routers, all of them in one wave.
func TestLargeLists(t *testing.T) {
	const many = 1024
	var pool, routers strings.Builder
	for i := range many {
		fmt.Fprintf(&pool, " \"127.0.%d.%d:7001\"", i/256, i%256)
		fmt.Fprintf(&routers, "router %d \"127.0.%d.%d:9190\"\n", i, i/256, i%256)
	}
	p, report := loadTexts("pool all {\n\taddress" + pool.String() + "\n\tat-least 1024\n}\nroute every {\n\tpool all\n}\n")
	if p == nil || len(p.Pools["all"].Addrs) != many {
		t.Errorf("%.300v", report)
	}
	text := func(wave int) string {
		return fmt.Sprintf("release x {\n\tprogram d1041006\n\treplace a\n\tback b\n\tstate s\n\tcanary 1\n\twave %d\n\tmost %d\n}\n", wave, wave) +
			routers.String()
	}
	load := func(text string) (*Release, *Report) {
		return LoadRelease("0", func(string) ([]byte, error) { return []byte(text), nil })
	}
	if r, report := load(text(many)); r == nil || len(r.RouterAddrs) != many || r.SecondWaveSize != many || r.MaxWaveSize != many {
		t.Errorf("%.300v", report)
	}
	if r, report := load(text(maxRouters + 1)); r != nil || len(report.Findings) != 2 {
		t.Errorf("%.300v", report)
	}
}
