// Command 2 plays the review's case 2: long writes of other clients come slowly, and short of memory the router leaves a write
// unread that has arrived whole.
package main

import (
	"fmt"
	"os"
	"time"

	"hoptiller/review/standin"
)

const (
	memoryMB     = 32      // of the router; the pages have routers with 32 to 192 MB
	longValue    = 4 << 20 // bytes; the longest value that the pages allow
	longWriters  = 3
	slowDuration = 6 * time.Second // for one long value; peers take seconds to write
	fastDuration = 100 * time.Millisecond
	valueLength  = 70_000 // bytes of the values of the writes that are judged
	judgedWrites = 6
)

func main() {
	world, err := standin.New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(standin.ExitNotRun)
	}
	os.Exit(world.Finish(play(world)))
}

func play(world *standin.World) error {
	platform, err := standin.NewPlatform(world, standin.Servers{Caches: 4, SlotsPerCache: 6, OriginSlots: 8,
		ReadTime: 130 * time.Millisecond, WriteTime: 150 * time.Millisecond})
	if err != nil {
		return err
	}
	fleet, err := standin.NewFleet(world, platform, 1, memoryMB, false)
	if err != nil {
		return err
	}
	if err := fleet.StartAll(); err != nil {
		return err
	}
	cancel := &fleet.Classes[2]
	clients := &standin.Clients{World: world, Addr: fleet.Routers[0].Listen}
	others := &standin.Clients{World: world, Addr: fleet.Routers[0].Listen, NoAnswerOnly: true}
	go clients.Load(fleet.Classes, 20, 14*time.Second)
	time.Sleep(2 * time.Second)
	duration := fastDuration
	if world.Trouble {
		duration = slowDuration
	}
	for range longWriters {
		others.Write(cancel, longValue, 0, duration)
	}
	time.Sleep(time.Second)
	for range judgedWrites {
		clients.Send(cancel, valueLength)
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	others.Wait()
	clients.Report()
	return nil
}
