package sim

import (
	"time"

	"hoptiller"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/lab/model"
)

// Homes returns a function that maps a key to the ID of its home: the server to which a router with this policy
// sends the first request for the key when there are no faults and the server list is as given. It returns 0 if the
// router sends nothing. The function drives a router of its own through hoptiller.Events and answers each request
// after 1 ms.
func Homes(day *model.Day, policy Policy, list []model.Member) func(key uint64) uint32 {
	return homesOf(day, policy, list, 0)
}

// ZoneHomes returns the function of Homes for a router of each zone. In a fleet small enough to keep idle connections
// to each server, homes don't depend on the zone, and the function for zone 0 is the only one.
func ZoneHomes(day *model.Day, policy Policy, list []model.Member) (all []func(key uint64) uint32) {
	for self := range min(day.Routers, day.Zones) {
		if self == 0 || connlimit.MaxIdle(day.Routers, 0) == 0 {
			all = append(all, homesOf(day, policy, list, self))
		}
	}
	return all
}

func homesOf(day *model.Day, policy Policy, list []model.Member, self int) func(key uint64) uint32 {
	actions := &probe{}
	now := Epoch
	router := policy(now, Settings(day, self), model.NewRandom(day.Seed, "probe", 0).Uint64(), actions)
	servers := make([]hoptiller.Server, len(list))
	for i, member := range list {
		servers[i] = hoptiller.Server{ID: member.ID, Zone: member.Zone, Kind: member.Kind, Cell: member.Cell, Phase: hoptiller.Ready,
			Weight: member.Weight}
	}
	router.UpdateServers(now, hoptiller.ListFull, servers)
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
		actions.server = 0
		router.Request(now, hoptiller.Request{ID: id, Class: class, Key: key, Remaining: day.Classes[class].Deadline.Std()})
		if actions.server != 0 {
			router.Outcome(now, hoptiller.Outcome{Request: id, Server: actions.server, Status: hoptiller.OK,
				Latency: time.Millisecond, Closed: true})
		}
		return actions.server
	}
}

// probe is an implementation of hoptiller.Actions that records the server of the last Send and ignores all else.
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
