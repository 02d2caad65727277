package rival

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"hoptiller"
)

func servers(n int) (list []*server) {
	for i := range n {
		list = append(list, &server{Server: hoptiller.Server{ID: uint32(hash(uint64(i), 9)), Weight: 4 + 2*float64(i%2)}})
	}
	return list
}

func anyServer(*server) bool { return true }

// Each policy distributes keys by weight, as its paper states. Policies with a home for each key move few keys when a
// server is removed.
func TestKeyDistribution(t *testing.T) {
	const n, keys = 20, 60000
	for _, test := range []struct {
		name         string
		c            chooser
		maxDeviation float64 // maximum relative deviation of a server's share of the keys from its share of the weight
		maxMoved     float64 // maximum fraction of the keys that move although their server stays; 0: keys have no homes
	}{
		{"random", &random{}, 0.06, 0}, {"ring", &ring{}, 0.35, 0.001}, {"maglev", &maglev{}, 0.06, 0.05},
		{"rendezvous", &rendezvous{}, 0.06, 0.001}, {"bounded", &bounded{}, 0.35, 0.001}, {"p2c", &p2c{}, 0.12, 0},
	} {
		all, r := servers(n), rand.New(rand.NewPCG(1, 1))
		test.c.rebuild(all)
		home, count, weight := make([]*server, keys), map[*server]float64{}, 0.0
		for _, s := range all {
			weight += s.Weight
		}
		for k := range home {
			home[k] = test.c.pick(r, hash(uint64(k), 5), anyServer)
			count[home[k]]++
		}
		for _, s := range all {
			if deviation := math.Abs(count[s]/keys/(s.Weight/weight) - 1); deviation > test.maxDeviation {
				t.Errorf("%s: a server's share of the keys deviates by %.2f", test.name, deviation)
			}
		}
		if test.maxMoved == 0 {
			continue
		}
		removed := all[7]
		test.c.rebuild(append(append([]*server{}, all[:7]...), all[8:]...))
		moved := 0
		for k := range home {
			if s := test.c.pick(r, hash(uint64(k), 5), anyServer); s == removed {
				t.Fatalf("%s: a key goes to a server that was removed", test.name)
			} else if s != home[k] && home[k] != removed {
				moved++
			}
		}
		if share := float64(moved) / keys; share > test.maxMoved {
			t.Errorf("%s: %.3f of the keys move although their server stays", test.name, share)
		}
	}
}

// With bounded loads no server has more than 1.25 times its share of the calls in flight, rounded up.
func TestBoundedLoad(t *testing.T) {
	all, r := servers(10), rand.New(rand.NewPCG(1, 1))
	c := &bounded{}
	c.rebuild(all)
	weight := 0.0
	for _, s := range all {
		weight += s.Weight
	}
	for n := 1; n <= 300; n++ {
		s := c.pick(r, 42, anyServer) // all calls have the same key
		s.inFlight++
		if maxInFlight := math.Ceil(maxLoadFactor * float64(n) * s.Weight / weight); float64(s.inFlight) > maxInFlight {
			t.Fatalf("one server has %d of %d calls in flight, the maximum is %v", s.inFlight, n, maxInFlight)
		}
	}
}

// recorder implements hoptiller.Actions and records the calls and final answers of a router.
type recorder struct {
	sent            []uint32
	refused, failed int
}

func (r *recorder) Send(_, server uint32, _ time.Duration) { r.sent = append(r.sent, server) }
func (r *recorder) Cancel(uint32, int)                     {}
func (r *recorder) CloseIdle(uint32)                       {}
func (r *recorder) Refuse(uint32, time.Duration)           { r.refused++ }
func (r *recorder) Fail(uint32)                            { r.failed++ }
func (r *recorder) SetTimer(uint64, time.Duration)         {}
func (r *recorder) FetchList()                             {}
func (r *recorder) Watch(bool)                             {}
func (r *recorder) Log(string)                             {}

// Failed reads are retried up to the maximum number of attempts, and a server that always fails is ejected. A call that
// must not run twice is never retried.
func TestRetriesAndEjection(t *testing.T) {
	set := hoptiller.Settings{MaxAttempts: 3, OriginKind: 9, Classes: []hoptiller.Class{
		{Aim: time.Second, Deadline: 4 * time.Second}, {Aim: time.Second, Deadline: 4 * time.Second, Effect: hoptiller.AtMostOnce}}}
	for _, name := range Names() {
		act := &recorder{}
		r := New(name)(0, set, 1, act)
		list := []hoptiller.Server{{ID: 9, Kind: 9, Phase: hoptiller.Ready}}
		for id := range uint32(5) {
			list = append(list, hoptiller.Server{ID: 100 + id, Phase: hoptiller.Ready, Weight: 1})
		}
		r.UpdateServers(0, hoptiller.ListFull, list)
		end := func(id uint32, status hoptiller.Status) {
			r.Outcome(0, hoptiller.Outcome{Request: id, Attempt: len(act.sent) - 1, Server: act.sent[len(act.sent)-1], Status: status})
		}
		r.Request(0, hoptiller.Request{ID: 1, Key: 5, Remaining: 4 * time.Second})
		for range 3 {
			end(1, hoptiller.ServerError)
		}
		if len(act.sent) != 3 || act.refused != 1 || act.sent[0] == act.sent[1] {
			t.Errorf("%s: a read that always fails is sent to %v, %d refusals", name, act.sent, act.refused)
		}
		*act = recorder{}
		r.Request(0, hoptiller.Request{ID: 2, Class: 1, Key: 5, Write: true, Remaining: 4 * time.Second})
		end(2, hoptiller.Reset)
		if len(act.sent) != 1 || act.sent[0] != 9 || act.failed != 1 {
			t.Errorf("%s: a write that was reset is sent to %v, %d failures", name, act.sent, act.failed)
		}
		failing := uint32(0)
		for id := uint32(10); id < 200; id++ { // the server of the key always fails
			*act = recorder{}
			r.Request(0, hoptiller.Request{ID: id, Key: 5, Remaining: 4 * time.Second})
			if failing == 0 {
				failing = act.sent[0]
			}
			if id >= 150 && act.sent[0] == failing {
				t.Errorf("%s: a server that always fails is not ejected", name)
				break
			}
			for n := 0; n < len(act.sent); n++ {
				status := hoptiller.OK
				if act.sent[n] == failing {
					status = hoptiller.ServerError
				}
				r.Outcome(0, hoptiller.Outcome{Request: id, Attempt: n, Server: act.sent[n], Status: status, Closed: status == hoptiller.OK})
			}
		}
	}
}
