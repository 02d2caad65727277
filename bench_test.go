package hoptiller

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures Pick followed by Report of an answer, by number of servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 200, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := Settings{RouterCount: 3, CacheAside: true, OriginKind: 9, MaxAttempts: 5, AllowsCancel: true,
				Classes: []Class{{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}}}
			f := NewFacade(time.Hour, set, 1, func() {})
			var list []Server
			for i := range n {
				list = append(list, Server{ID: uint32(mix(uint64(i))), Phase: Ready, Weight: 1 + float64(i%3)})
			}
			f.UpdateServers(time.Hour, ListFull, list)
			b.ReportAllocs()
			now := time.Hour
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Microsecond
				id := f.ReserveID()
				step := f.Pick(now, Request{ID: id, Key: mix(uint64(i % 1000)), Remaining: 4 * time.Second})
				f.Report(now, AttemptID{id, step.Attempt}, step.Server, OK, 10*time.Millisecond)
				if i%100 == 0 {
					f.Tick(now)
				}
			}
		})
	}
}
