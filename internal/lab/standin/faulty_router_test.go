package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/testprog"
)

// faultyRouterEnv is the environment variable that makes the test binary run as a router with the fault that
// it names.
const faultyRouterEnv = "STANDIN_BROKEN_ROUTER"

// The faults of faulty routers.
const (
	noFault           = "honest"       // no fault: reads are fetched from the origin with the remaining time, writes fail
	forwardsTime      = "passes-time"  // after a delay, the client's own d is forwarded unchanged
	omitsTime         = "no-time"      // d is left out
	invalidTime       = "word"         // d is not a number
	neverAnswers      = "never-answer" // no answer is sent
	closesConnection  = "closes"       // the connection is closed instead of an answer
	refusesEverything = "refuses-all"  // router 0 refuses everything, the others have no fault
)

// delayBeforeAttempt is the delay of a faulty router before its attempt, similar to a lookup in an empty slot
// cache. It is far longer than what the checker tolerates, even on a busy machine.
const delayBeforeAttempt = 800 * time.Millisecond

// faultyRouter is a router that fetches each read from the origin.
type faultyRouter struct {
	fault  string
	self   int64
	origin string
}

func runFaultyRouter(fault string) {
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		panic(err)
	}
	router := &faultyRouter{fault: fault, self: gjson.GetBytes(text, "settings.selfIndex").Int(),
		origin: gjson.GetBytes(text, `known.servers.#(kind=="origin").addr`).String()}
	l, err := net.Listen("tcp", gjson.GetBytes(text, "listen").String())
	if err != nil {
		panic(err)
	}
	testprog.Accept(l, router.serve)
	select {} // runs until the process is killed
}

func (f *faultyRouter) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case words[0] == "mn":
			io.WriteString(c, "MN\r\n")
			continue
		case f.fault == closesConnection:
			return
		case f.fault == neverAnswers:
			io.Copy(io.Discard, c)
			return
		case f.fault == refusesEverything && f.self == 0:
			io.WriteString(c, "SERVER_ERROR busy\r\n")
		case words[0] == "ms":
			io.WriteString(c, "SERVER_ERROR failed\r\n")
		default:
			io.WriteString(c, f.fetch(words[1], words[3][1:], words[4][1:]))
		}
		if words[0] == "ms" {
			r.ReadString('\n')
		}
	}
}

// fetch makes one attempt at the origin and returns the answer for the client.
func (f *faultyRouter) fetch(key, id, facts string) string {
	receivedAt := time.Now()
	class, remaining, _ := strings.Cut(facts, ",d=")
	millis, _ := strconv.Atoi(remaining)
	time.Sleep(delayBeforeAttempt)
	switch f.fault {
	case omitsTime:
		facts = class
	case invalidTime:
		facts = class + ",d=soon"
	case noFault, refusesEverything:
		facts = fmt.Sprintf("%s,d=%d", class, max(1, millis-int(time.Since(receivedAt).Milliseconds())))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(millis)*time.Millisecond-time.Since(receivedAt))
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.origin+"/"+key, nil)
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Facts", facts)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "SERVER_ERROR failed\r\n"
	}
	defer response.Body.Close()
	value, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return "SERVER_ERROR failed\r\n"
	}
	return fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(value), id, value)
}

// TestCheckerCatchesRouters checks that the checker detects violations by a real router program. It covers the
// invariants that no simulated policy can violate by itself.
func TestCheckerCatchesRouters(t *testing.T) {
	for fault, rule := range map[string]string{noFault: "", forwardsTime: invariants.TimeLeft, omitsTime: invariants.TimeLeft,
		invalidTime: invariants.TimeLeft, neverAnswers: invariants.Unanswered, closesConnection: invariants.Unanswered,
		refusesEverything: invariants.Serving} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			day := model.DefaultDay()
			day.WarmUp, day.Length, day.Fleet.Caches, day.Load.Level = toDuration(0.5), toDuration(1), 2, 0.35
			if fault == refusesEverything {
				day.WarmUp = toDuration(5)
			}
			for i := range day.Classes {
				day.Classes[i].Aim, day.Classes[i].Deadline = toDuration(1), toDuration(3)
			}
			day.Clients.Retries = 0
			day.Origin.Headroom, day.Origin.Time = 100, toDuration(0.02)
			result, err := Run(context.Background(), &day, Options{Router: os.Args[0],
				Variant: func(string) []string { return []string{faultyRouterEnv + "=" + fault} }})
			if err != nil {
				t.Fatal(err)
			}
			detected := slices.ContainsFunc(result.Violations, func(v invariants.Violation) bool { return v.Rule == rule })
			others := slices.DeleteFunc(slices.Clone(result.Violations), func(v invariants.Violation) bool { return v.Rule == rule })
			if detected != (rule != "") || len(others) > 0 {
				t.Errorf("%d violations in %d requests: detected %v, others %v", result.ViolationCount, result.RequestsTaken, detected, others)
			}
		})
	}
}

// TestTimeLeftAtCache checks that an attempt at a slot cache which states more than the remaining time is a
// violation, as it is at the origin, and that one which states the remaining time is not.
func TestTimeLeftAtCache(t *testing.T) {
	for _, remaining := range []time.Duration{time.Second, 10 * time.Millisecond} {
		t.Run(remaining.String(), func(t *testing.T) {
			t.Parallel()
			_, result := playByHand(t, func(c Control) {
				e := (*Engine)(c.(*routerControl))
				// The attempt states a second.
				e.Checker.RequestTaken(e.World.Now(), 0, uint32(e.nextID), 0, e.World.Now()+remaining)
			})
			detected := slices.ContainsFunc(result.Violations, func(v invariants.Violation) bool { return v.Rule == invariants.TimeLeft })
			if detected != (remaining < time.Second) {
				t.Errorf("%v", result.Violations)
			}
		})
	}
}
