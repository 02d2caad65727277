package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/config"
	"hoptiller/internal/lab/faultproxy"
	"hoptiller/internal/lab/loopback"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/standin"
	"hoptiller/internal/unit"
)

// router is one router of the fleet, either hollow or a process.
type router interface {
	start(ctx context.Context) error
	crash() error // ends the router without any message to the others
	leave() error // asks the router to end, as SIGTERM does, and waits until it has
	drain(on bool) error
	isRunning() bool
	stop()
}

// fleet holds everything that a run has started.
type fleet struct {
	run       Run
	folder    string
	routers   []router // by number
	hollow    []*hollow
	processes []*process // in the order of their numbers in the mesh
	network   *network
	mesh      *faultproxy.Mesh
	discovery *discoveryServer
	caches    *cacheListeners
	expected  []ExpectedMember // by router number: the state in which the others must see it
}

// phaseServing and phaseDraining are phases of a router as the report of a view names them.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// day returns the lab's usual day at the size of a run. The settings of the routers derive from it.
func (r Run) day() model.Day {
	day := model.DefaultDay()
	day.Routers, day.Zones, day.Fleet.Caches, day.Seed = r.Size, r.File.Zones, r.File.Caches, r.Seed
	day.EventInterval = unit.Duration(0)
	return day
}

// processNumber returns the router number of the k-th process. Processes are spread over the fleet, and with that over voters,
// zones and regions.
func (r Run) processNumber(k int) int { return k * r.Size / r.Processes }

// newFleet prepares a fleet. It starts the stand-ins but no router yet.
func newFleet(run Run, program string) (*fleet, error) {
	f := &fleet{run: run, routers: make([]router, run.Size), expected: make([]ExpectedMember, run.Size)}
	for i := range f.expected {
		f.expected[i] = ExpectedMember{State: "unknown"}
	}
	if err := f.prepare(program); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// prepare starts the stand-ins and the mesh and creates the routers.
func (f *fleet) prepare(program string) error {
	day := f.run.day()
	var kinds []string
	for _, k := range day.Kinds {
		kinds = append(kinds, k.Name)
	}
	var servers []serverEntry
	var err error
	if f.caches, servers, err = listenCaches(f.run.File.Caches, f.run.File.Zones, kinds, "origin"); err != nil {
		return err
	}
	if f.discovery, err = startDiscovery(servers); err != nil {
		return err
	}
	if f.folder, err = os.MkdirTemp("", "hopscale"); err != nil {
		return err
	}
	if f.mesh, err = faultproxy.NewMesh(f.run.Processes, f.run.Seed); err != nil {
		return err
	}
	peerAddrs, isProcess, err := f.peerAddrs()
	if err != nil {
		return err
	}
	f.network = newNetwork(f.run.File.Regions, peerAddrs, isProcess)
	addrs := make([]string, len(peerAddrs))
	for i, addr := range peerAddrs {
		addrs[i] = addr.String()
	}
	return f.createRouters(&day, program, addrs, isProcess)
}

// peerAddrs returns the addresses at which routers listen for their peers, and which of the routers are processes.
func (f *fleet) peerAddrs() (addrs []netip.AddrPort, isProcess []bool, err error) {
	addrs, isProcess = make([]netip.AddrPort, f.run.Size), make([]bool, f.run.Size)
	for k := range f.run.Processes {
		number := f.run.processNumber(k)
		isProcess[number] = true
		if addrs[number], err = netip.ParseAddrPort(f.mesh.RouterAddr(k)); err != nil {
			return nil, nil, err
		}
	}
	next := f.run.Processes // the mesh uses the hosts with lower numbers
	for number := range addrs {
		if isProcess[number] {
			continue
		}
		text, err := loopback.Reserve(loopback.Peers, next)
		if err != nil {
			return nil, nil, err
		}
		next++
		if addrs[number], err = netip.ParseAddrPort(text); err != nil {
			return nil, nil, err
		}
	}
	return addrs, isProcess, nil
}

// createRouters creates all routers, each with the configuration that the platform would give it.
func (f *fleet) createRouters(day *model.Day, program string, peerAddrs []string, isProcess []bool) error {
	process := 0
	for number := range f.routers {
		c := platformConfig{Discovery: f.discovery.addr, Seed: fmt.Sprintf("%016x", f.run.Seed<<16+uint64(number)),
			Settings: standin.SettingsJSON(day, number), PeerListen: peerAddrs[number], Peers: peerAddrs}
		if !isProcess[number] {
			h, err := f.newHollow(number, &c)
			if err != nil {
				return err
			}
			f.hollow = append(f.hollow, h)
			f.routers[number] = h
			continue
		}
		p, err := f.newProcess(process, number, &c, program)
		if err != nil {
			return err
		}
		f.processes = append(f.processes, p)
		f.routers[number] = p
		process++
	}
	return nil
}

func (f *fleet) newHollow(number int, c *platformConfig) (*hollow, error) {
	peerAddrs := c.Peers
	c.Peers = nil // set below, because otherwise each router would hold the text of all addresses
	text, err := c.encode()
	if err != nil {
		return nil, err
	}
	parsed, err := config.Parse(text)
	if err != nil {
		return nil, err
	}
	parsed.Peers = peerAddrs
	return &hollow{number: number, config: parsed, network: f.network}, nil
}

func (f *fleet) newProcess(index, number int, c *platformConfig, program string) (*process, error) {
	c.Peers = slices.Clone(c.Peers)
	for k, addr := range f.mesh.PeerAddrs(index) { // the mesh relays datagrams to other processes
		c.Peers[f.run.processNumber(k)] = addr
	}
	var err error
	if c.Listen, err = loopback.Reserve(loopback.Clients, index); err != nil {
		return nil, err
	}
	if c.Admin, err = loopback.Reserve(loopback.Admin, index); err != nil {
		return nil, err
	}
	text, err := c.encode()
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(f.folder, fmt.Sprintf("router%d", number))
	return &process{number: number, program: program, folder: folder, config: text, admin: c.Admin}, nil
}

// close ends everything that the run has started.
func (f *fleet) close() {
	var g errgroup.Group
	for _, r := range f.routers {
		if r != nil {
			g.Go(func() error { r.stop(); return nil })
		}
	}
	g.Wait()
	if f.mesh != nil {
		f.mesh.Close()
	}
	if f.discovery != nil {
		f.discovery.close()
	}
	if f.caches != nil {
		f.caches.close()
	}
	if f.folder != "" {
		os.RemoveAll(f.folder)
	}
}

// forEach calls do for all listed routers at the same time.
func (f *fleet) forEach(numbers []int, do func(r router) error) error {
	var g errgroup.Group
	for _, i := range numbers {
		g.Go(func() error { return do(f.routers[i]) })
	}
	return g.Wait()
}

// allNumbers returns the numbers of all routers.
func (f *fleet) allNumbers() (numbers []int) {
	for i := range f.routers {
		numbers = append(numbers, i)
	}
	return numbers
}

// start starts routers. The others must then see them serving, in incarnations that begin now or later.
func (f *fleet) start(ctx context.Context, numbers []int) error {
	for _, i := range numbers {
		f.expected[i] = ExpectedMember{State: "alive", Phase: phaseServing, Since: time.Now()}
	}
	return f.forEach(numbers, func(r router) error { return r.start(ctx) })
}

// crash ends routers without any message to the others.
func (f *fleet) crash(numbers []int) error {
	for _, i := range numbers {
		f.expected[i] = ExpectedMember{State: "dead"}
	}
	return f.forEach(numbers, router.crash)
}

// leave ends routers as SIGTERM does.
func (f *fleet) leave(numbers []int) error {
	for _, i := range numbers {
		f.expected[i] = ExpectedMember{State: "left"}
	}
	return f.forEach(numbers, router.leave)
}

// drain has a router request a permit to be out of service, or makes it serve again if on is false.
func (f *fleet) drain(number int, on bool) error {
	f.expected[number].Phase = phaseServing
	if on {
		f.expected[number].Phase = phaseDraining
	}
	return f.routers[number].drain(on)
}

// setCut cuts the regions off from one another, or reconnects them.
func (f *fleet) setCut(cut bool) {
	f.network.cut.Store(cut)
	for i, a := range f.processes {
		for j, b := range f.processes {
			if f.network.region(a.number) != f.network.region(b.number) {
				f.mesh.SetFaults(i, j, faultproxy.DatagramFaults{Blocked: cut})
			}
		}
	}
}

// setLoss sets the fraction of all datagrams that is lost.
func (f *fleet) setLoss(fraction float64) {
	f.network.setLoss(fraction)
	for i := range f.processes {
		for j := range f.processes {
			if i != j {
				f.mesh.SetFaults(i, j, faultproxy.DatagramFaults{Loss: fraction})
			}
		}
	}
}

// watchAgreement returns a watch of the routers that run now.
func (f *fleet) watchAgreement() *agreementWatch {
	a := &agreementWatch{expected: f.expected}
	for _, h := range f.hollow {
		if h.isRunning() {
			a.hollow = append(a.hollow, h)
		}
	}
	for _, p := range f.processes {
		if p.isRunning() {
			a.processes = append(a.processes, p)
		}
	}
	a.reportedSums = make([]string, len(a.processes))
	return a
}

// processTraffic returns the traffic of a process. Datagrams to another process that the mesh has dropped are not included.
func (f *fleet) processTraffic(index int) Traffic {
	t := f.network.traffic(f.processes[index].number)
	for other := range f.processes {
		if other == index {
			continue
		}
		datagrams, bytes := f.mesh.Forwarded(index, other)
		t.SentDatagrams += uint64(datagrams)
		t.SentBytes += uint64(bytes)
		datagrams, bytes = f.mesh.Forwarded(other, index)
		t.ReceivedDatagrams += uint64(datagrams)
		t.ReceivedBytes += uint64(bytes)
	}
	return t
}

// hollowTraffic returns the sum of the traffic of all hollow routers.
func (f *fleet) hollowTraffic() (sum Traffic) {
	for _, h := range f.hollow {
		t := f.network.traffic(h.number)
		sum.SentDatagrams += t.SentDatagrams
		sum.SentBytes += t.SentBytes
		sum.ReceivedDatagrams += t.ReceivedDatagrams
		sum.ReceivedBytes += t.ReceivedBytes
	}
	return sum
}

// unexpectedEnds returns an error that names the processes that have ended by themselves, or nil.
func (f *fleet) unexpectedEnds() error {
	var all []string
	for _, p := range f.processes {
		if p.command != nil && !p.isRunning() {
			all = append(all, fmt.Sprintf("router %d has ended by itself: %s", p.number, p.log.String()))
		}
	}
	if len(all) > 0 {
		return errors.New(strings.Join(all, "; "))
	}
	return nil
}

// chooseVictims draws up to count running routers that are eligible. It takes hollow routers before processes, because the cost
// of a fault is measured on the processes.
func (f *fleet) chooseVictims(count int, rng *rand.Rand, eligible func(number int) bool) []int {
	var hollow, processes []int
	for _, i := range rng.Perm(f.run.Size) {
		switch {
		case !eligible(i) || !f.routers[i].isRunning():
		case f.network.isProcess[i]:
			processes = append(processes, i)
		default:
			hollow = append(hollow, i)
		}
	}
	chosen := append(hollow, processes...)
	return chosen[:min(count, len(chosen))]
}
