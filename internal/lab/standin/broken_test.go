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

	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
	"hoptiller/internal/testprog"
)

// brokenRouterEnv makes this test's program a router with the fault that it names.
const brokenRouterEnv = "STANDIN_BROKEN_ROUTER"

// The faults of broken routers.
const (
	honest      = "honest"       // none: reads are fetched from the origin with the time that is left, writes fail
	passesTime  = "passes-time"  // after a while, the client's own d is passed on
	tellsNoTime = "no-time"      // d is left out
	tellsWord   = "word"         // d is no number
	neverAnswer = "never-answer" // no answer comes
	closes      = "closes"       // the connection ends in the place of an answer
	refusesAll  = "refuses-all"  // router 0 refuses all, the others are honest
)

// workBefore is what a broken router does before its attempt, as the lookup in a slot cache that has nothing. It is far longer
// than what the checker allows for, on a busy machine too.
const workBefore = 800 * time.Millisecond

// brokenRouter fetches each read from the origin.
type brokenRouter struct {
	fault  string
	self   int64
	origin string
}

func runBrokenRouter(fault string) {
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		panic(err)
	}
	b := &brokenRouter{fault: fault, self: gjson.GetBytes(text, "settings.selfIndex").Int(),
		origin: gjson.GetBytes(text, `known.servers.#(kind=="origin").addr`).String()}
	l, err := net.Listen("tcp", gjson.GetBytes(text, "listen").String())
	if err != nil {
		panic(err)
	}
	testprog.Accept(l, b.serve)
	select {} // until it is killed
}

func (b *brokenRouter) serve(c net.Conn) {
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
		case b.fault == closes:
			return
		case b.fault == neverAnswer:
			io.Copy(io.Discard, c)
			return
		case b.fault == refusesAll && b.self == 0:
			io.WriteString(c, "SERVER_ERROR busy\r\n")
		case words[0] == "ms":
			io.WriteString(c, "SERVER_ERROR failed\r\n")
		default:
			io.WriteString(c, b.fetch(words[1], words[3][1:], words[4][1:]))
		}
		if words[0] == "ms" {
			r.ReadString('\n')
		}
	}
}

// fetch makes one attempt at the origin, and gives the answer to the client.
func (b *brokenRouter) fetch(key, id, facts string) string {
	read := time.Now()
	class, d, _ := strings.Cut(facts, ",d=")
	ms, _ := strconv.Atoi(d)
	time.Sleep(workBefore)
	switch b.fault {
	case tellsNoTime:
		facts = class
	case tellsWord:
		facts = class + ",d=soon"
	case honest, refusesAll:
		facts = fmt.Sprintf("%s,d=%d", class, max(1, ms-int(time.Since(read).Milliseconds())))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(ms)*time.Millisecond-time.Since(read))
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+b.origin+"/"+key, nil)
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Facts", facts)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return "SERVER_ERROR failed\r\n"
	}
	defer a.Body.Close()
	value, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		return "SERVER_ERROR failed\r\n"
	}
	return fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(value), id, value)
}

// Each rule that no simulated policy can break alone is broken by a router's program, and found to be.
func TestCheckerCatchesRouters(t *testing.T) {
	for fault, rule := range map[string]string{honest: "", passesTime: rules.TimeLeft, tellsNoTime: rules.TimeLeft,
		tellsWord: rules.TimeLeft, neverAnswer: rules.Unanswered, closes: rules.Unanswered, refusesAll: rules.Serving} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			day := model.Prairie()
			day.Warm, day.Length, day.Fleet.Caches, day.Load.Level = span(0.5), span(1), 2, 0.35
			if fault == refusesAll {
				day.Warm = span(5)
			}
			for i := range day.Classes {
				day.Classes[i].Aim, day.Classes[i].Deadline = span(1), span(3)
			}
			day.Clients.Retries = 0
			day.Origin.Headroom, day.Origin.Time = 100, span(0.02)
			r, err := Run(context.Background(), &day, Options{Router: os.Args[0],
				Variant: func(string) []string { return []string{brokenRouterEnv + "=" + fault} }})
			if err != nil {
				t.Fatal(err)
			}
			caught := slices.ContainsFunc(r.Violations, func(v rules.Violation) bool { return v.Rule == rule })
			others := slices.DeleteFunc(slices.Clone(r.Violations), func(v rules.Violation) bool { return v.Rule == rule })
			if caught != (rule != "") || len(others) > 0 {
				t.Errorf("%d of %d requests break rules: caught %v, others %v", r.Broken, r.Taken, caught, others)
			}
		})
	}
}

// A slot cache that is told more than is left is seen as the origin is, and one that is told what is left is not.
func TestCacheIsToldTooMuch(t *testing.T) {
	for _, left := range []time.Duration{time.Second, 10 * time.Millisecond} {
		t.Run(left.String(), func(t *testing.T) {
			t.Parallel()
			_, r := byHand(t, func(c Control) {
				e := (*Engine)(c.(*steward))
				e.Check.Taken(e.World.Now(), 0, uint32(e.nextID), 0, e.World.Now()+left) // the attempt tells a second
			})
			caught := slices.ContainsFunc(r.Violations, func(v rules.Violation) bool { return v.Rule == rules.TimeLeft })
			if caught != (left < time.Second) {
				t.Errorf("%v", r.Violations)
			}
		})
	}
}
