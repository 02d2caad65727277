package sim

import (
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/lab/model"
)

// Homes tells where a router that decides by policy sends the first request for a key, when all is calm and
// the list is as given. It asks a router of its own, through the interface that every router has; what comes of
// each request is an answer at once.
func Homes(day *model.Day, policy Policy, list []model.Member) func(key uint64) uint32 {
	return homes(day, policy, list, 0)
}

// ZoneHomes does the same for a router of each zone where they may differ; in a small fleet one stands for all.
func ZoneHomes(day *model.Day, policy Policy, list []model.Member) (all []func(key uint64) uint32) {
	for self := range min(day.Routers, day.Zones) {
		if self == 0 || connlimit.Kept(day.Routers, 0) == 0 {
			all = append(all, homes(day, policy, list, self))
		}
	}
	return all
}

func homes(day *model.Day, policy Policy, list []model.Member, self int) func(key uint64) uint32 {
	p := &probe{}
	now := Epoch
	r := policy(now, Settings(day, self), model.Stream(day.Seed, "probe", 0).Uint64(), p)
	servers := make([]hoptiller.Server, len(list))
	for i, m := range list {
		servers[i] = hoptiller.Server{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Phase: hoptiller.Ready, Weight: m.Weight}
	}
	r.List(now, hoptiller.ListFull, servers)
	class := 0
	for i, c := range day.Classes {
		if !c.Write {
			class = i
		}
	}
	id := uint32(0)
	return func(key uint64) uint32 {
		id++
		now += time.Millisecond
		p.server = 0
		r.Request(now, hoptiller.Request{ID: id, Class: class, Key: key, Remaining: day.Classes[class].Deadline.D()})
		if p.server != 0 {
			r.Outcome(now, hoptiller.Outcome{Request: id, Server: p.server, Status: hoptiller.OK, Latency: time.Millisecond, Closed: true})
		}
		return p.server
	}
}

// probe is the Actions of a router that is only asked where it would send.
type probe struct{ server uint32 }

func (p *probe) Send(_, server uint32, _ time.Duration) { p.server = server }
func (*probe) Cancel(uint32, int)                       {}
func (*probe) CloseIdle(uint32)                         {}
func (*probe) Refuse(uint32, time.Duration)             {}
func (*probe) Fail(uint32)                              {}
func (*probe) SetTimer(uint64, time.Duration)           {}
func (*probe) FetchList()                               {}
func (*probe) Watch(bool)                               {}
func (*probe) Log(string)                               {}
