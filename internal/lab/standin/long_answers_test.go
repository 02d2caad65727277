package standin

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	generator "hoptiller/internal/lab/load"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/testprog"
)

// TestLongAnswersUnderLoad checks that a load generator receives every long answer completely through a
// router, whether its server sends the length first or ends the answer by closing the connection.
func TestLongAnswersUnderLoad(t *testing.T) {
	for name, unsized := range map[string]float64{"all with length": 0, "half without length": 0.5, "all without length": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := model.DefaultDay()
			day.WarmUp, day.Length, day.Fleet.Caches, day.Routers, day.Load.Level = 0, toDuration(6), 4, 1, 0
			day.Load.Bytes, day.Origin.UnsizedShare = maxValueBytes, unsized
			for i := range day.Classes {
				day.Classes[i].Deadline = toDuration(2)
			}
			dir := t.TempDir()
			begun, ended := make(chan time.Time, 1), make(chan *scoring.Result, 1)
			go func() {
				result, err := Run(context.Background(), &day, Options{Dir: dir, Started: func(_ Control, at time.Time) { begun <- at }})
				if err != nil {
					t.Error(err)
				}
				ended <- result
			}()
			testprog.Await(t, begun, "the start of the day")
			reads := sendLoad(t, filepath.Join(dir, "router0", "config.json")).Classes[0]
			if reads.Served == 0 || reads.Lost > 0 || reads.Failed > 0 {
				t.Errorf("%+v", reads)
			}
			if result := testprog.Await(t, ended, "the end of the day"); result != nil && result.ViolationCount > 0 {
				t.Errorf("%d violations, first %v", result.ViolationCount, result.Violations[0])
			}
		})
	}
}

// sendLoad starts a router and sends load through it.
func sendLoad(t *testing.T, config string) *generator.Report {
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	process := exec.Command(routerProgram)
	process.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer process.Wait()
	defer process.Process.Kill()
	addr := gjson.GetBytes(text, "listen").String()
	testprog.Eventually(t, "the router listens", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	report, err := generator.Run(t.Context(), generator.Plan{Addrs: []string{addr}, Rate: 30, For: 3 * time.Second, Conns: 30,
		Keys: 60, Zipf: 1, Seed: 1,
		Classes: []generator.Class{{Name: "slot-view", Share: 1, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return report
}
