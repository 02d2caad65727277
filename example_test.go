package hoptiller_test

import (
	"fmt"
	"time"

	"hoptiller"
)

// proxy stands for the program that embeds the package.
type proxy struct{}

func (proxy) Send(request, server uint32, timeout time.Duration) {
	fmt.Printf("send request %d to server %d, wait up to %v\n", request, server, timeout)
}
func (proxy) Cancel(uint32, int)               {}
func (proxy) Refuse(q uint32, _ time.Duration) { fmt.Printf("refuse request %d\n", q) }
func (proxy) Fail(q uint32)                    { fmt.Printf("fail request %d\n", q) }
func (proxy) SetTimer(uint64, time.Duration)   {}
func (proxy) FetchList()                       {}
func (proxy) CloseIdle(uint32)                 {}
func (proxy) Watch(bool)                       {}
func (proxy) Log(string)                       {}

// A request goes to its key's home server. If that can't be reached, it goes to the next-best server.
func Example() {
	settings := hoptiller.Settings{
		RouterCount:  2,
		MaxAttempts:  3,
		OriginKind:   -1,
		TickInterval: time.Millisecond,
		Classes: []hoptiller.Class{
			{Aim: 500 * time.Millisecond, Deadline: time.Second, Worth: 1, LateFraction: 0.5},
		},
	}
	now := time.Second
	router := hoptiller.New(now, settings, 1, proxy{})
	router.UpdateServers(now, hoptiller.ListFull, []hoptiller.Server{
		{ID: 10, Phase: hoptiller.Ready, Weight: 2},
		{ID: 11, Phase: hoptiller.Ready, Weight: 1},
		{ID: 12, Phase: hoptiller.Ready, Weight: 1},
	})
	router.Request(now, hoptiller.Request{ID: 1, Key: 42, Remaining: time.Second})
	router.Outcome(now, hoptiller.Outcome{Request: 1, Attempt: 0, Server: 10, Status: hoptiller.ConnectFailed})
	// Output:
	// send request 1 to server 10, wait up to 1s
	// send request 1 to server 12, wait up to 1s
}
