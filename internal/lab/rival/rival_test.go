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

func any(*server) bool { return true }

// Each policy deals keys out by weight, as its paper promises; those with homes move few keys when a server goes.
func TestSharesAndMoves(t *testing.T) {
	const n, keys = 20, 60000
	for _, test := range []struct {
		name   string
		c      chooser
		uneven float64 // most that a share is off its due
		moves  float64 // most keys that move beyond those of the server that goes; 0: it has no homes
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
			home[k] = test.c.pick(r, hash(uint64(k), 5), any)
			count[home[k]]++
		}
		for _, s := range all {
			if off := math.Abs(count[s]/keys/(s.Weight/weight) - 1); off > test.uneven {
				t.Errorf("%s: a share is %.2f off", test.name, off)
			}
		}
		if test.moves == 0 {
			continue
		}
		gone := all[7]
		test.c.rebuild(append(append([]*server{}, all[:7]...), all[8:]...))
		moved := 0
		for k := range home {
			if s := test.c.pick(r, hash(uint64(k), 5), any); s == gone {
				t.Fatalf("%s: a key goes to a server that has left", test.name)
			} else if s != home[k] && home[k] != gone {
				moved++
			}
		}
		if part := float64(moved) / keys; part > test.moves {
			t.Errorf("%s: %.3f of the keys move without need", test.name, part)
		}
	}
}

// With bounded loads no server has more than 1.25 times its part of what is out, rounded up.
func TestBound(t *testing.T) {
	all, r := servers(10), rand.New(rand.NewPCG(1, 1))
	c := &bounded{}
	c.rebuild(all)
	weight := 0.0
	for _, s := range all {
		weight += s.Weight
	}
	for n := 1; n <= 300; n++ {
		s := c.pick(r, 42, any) // one key alone
		s.out++
		if most := math.Ceil(boundedBy * float64(n) * s.Weight / weight); float64(s.out) > most {
			t.Fatalf("%d out of %d at one server, %v at the most", s.out, n, most)
		}
	}
}

// recorder keeps what a router asks for.
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

// The retries and the ejection are those that a user has; what must not run twice is never repeated.
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
		r.List(0, hoptiller.ListFull, list)
		end := func(id uint32, status hoptiller.Status) {
			r.Outcome(0, hoptiller.Outcome{Request: id, Attempt: len(act.sent) - 1, Server: act.sent[len(act.sent)-1], Status: status})
		}
		r.Request(0, hoptiller.Request{ID: 1, Key: 5, Remaining: 4 * time.Second})
		for range 3 {
			end(1, hoptiller.ServerError)
		}
		if len(act.sent) != 3 || act.refused != 1 || act.sent[0] == act.sent[1] {
			t.Errorf("%s: a read that always fails goes to %v, %d refusals", name, act.sent, act.refused)
		}
		*act = recorder{}
		r.Request(0, hoptiller.Request{ID: 2, Class: 1, Key: 5, Write: true, Remaining: 4 * time.Second})
		end(2, hoptiller.Reset)
		if len(act.sent) != 1 || act.sent[0] != 9 || act.failed != 1 {
			t.Errorf("%s: a booking that was reset goes to %v, %d failures", name, act.sent, act.failed)
		}
		bad := uint32(0)
		for id := uint32(10); id < 200; id++ { // one server always fails
			*act = recorder{}
			r.Request(0, hoptiller.Request{ID: id, Key: 5, Remaining: 4 * time.Second})
			if bad == 0 {
				bad = act.sent[0]
			}
			if id >= 150 && act.sent[0] == bad {
				t.Errorf("%s: a server that always fails is still asked", name)
				break
			}
			for n := 0; n < len(act.sent); n++ {
				status := hoptiller.OK
				if act.sent[n] == bad {
					status = hoptiller.ServerError
				}
				r.Outcome(0, hoptiller.Outcome{Request: id, Attempt: n, Server: act.sent[n], Status: status, Closed: status == hoptiller.OK})
			}
		}
	}
}
