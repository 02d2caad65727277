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

// router is one of the fleet, hollow or a process.
type router interface {
	start(ctx context.Context) error
	crash() error // ends it, and nobody is told
	leave() error // has it end, and waits for that
	drain(on bool) error
	runs() bool
	end()
}

// fleet is all that a run has started.
type fleet struct {
	run       Run
	folder    string
	routers   []router // by number
	hollow    []*hollow
	processes []*process // in the order in which the mesh has them
	network   *network
	mesh      *faultproxy.Mesh
	discovery *discoveryServer
	caches    *caches
	want      []Expected // how each router is to be seen, by number
}

// phaseServing and phaseDraining are as a view's report has them.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// dayOf is the lab's usual day at the size of a run. It gives the settings that routers are told.
func (r Run) day() model.Day {
	day := model.Prairie()
	day.Routers, day.Zones, day.Fleet.Caches, day.Seed = r.Size, r.File.Zones, r.File.Caches, r.Seed
	day.Round = unit.Duration(0)
	return day
}

// numberOf is the number of the k-th process: they are spread over the fleet, and so over electors, zones and regions.
func (r Run) numberOf(k int) int { return k * r.Size / r.Real }

// newFleet prepares a fleet. Nothing of it runs yet but the stand-ins.
func newFleet(run Run, program string) (*fleet, error) {
	f := &fleet{run: run, routers: make([]router, run.Size), want: make([]Expected, run.Size)}
	for i := range f.want {
		f.want[i] = Expected{State: "unknown"}
	}
	if err := f.prepare(program); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) prepare(program string) error {
	day := f.run.day()
	var kinds []string
	for _, k := range day.Kinds {
		kinds = append(kinds, k.Name)
	}
	var servers []entry
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
	if f.mesh, err = faultproxy.NewMesh(f.run.Real, f.run.Seed); err != nil {
		return err
	}
	homes, real, err := f.homes()
	if err != nil {
		return err
	}
	f.network = newNetwork(f.run.File.Regions, homes, real)
	addrs := make([]string, len(homes))
	for i, home := range homes {
		addrs[i] = home.String()
	}
	return f.makeRouters(&day, program, addrs, real)
}

// homes are the addresses where routers listen for their peers, and which of the routers are processes.
func (f *fleet) homes() (homes []netip.AddrPort, real []bool, err error) {
	homes, real = make([]netip.AddrPort, f.run.Size), make([]bool, f.run.Size)
	for k := range f.run.Real {
		number := f.run.numberOf(k)
		real[number] = true
		if homes[number], err = netip.ParseAddrPort(f.mesh.RouterAddr(k)); err != nil {
			return nil, nil, err
		}
	}
	next := f.run.Real // the hosts before it are the mesh's
	for number := range homes {
		if real[number] {
			continue
		}
		text, err := loopback.Leave(loopback.Peers, next)
		if err != nil {
			return nil, nil, err
		}
		next++
		if homes[number], err = netip.ParseAddrPort(text); err != nil {
			return nil, nil, err
		}
	}
	return homes, real, nil
}

// makeRouters makes all routers, each with the configuration that the platform would give it.
func (f *fleet) makeRouters(day *model.Day, program string, homes []string, real []bool) error {
	process := 0
	for number := range f.routers {
		c := platformConfig{Discovery: f.discovery.addr, Seed: fmt.Sprintf("%016x", f.run.Seed<<16+uint64(number)),
			Settings: standin.SettingsJSON(day, number), PeerListen: homes[number], Peers: homes}
		if !real[number] {
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
	homes := c.Peers
	c.Peers = nil // told below, or each would hold the text of all of them
	text, err := c.text()
	if err != nil {
		return nil, err
	}
	told, err := config.Parse(text)
	if err != nil {
		return nil, err
	}
	told.Peers = homes
	return &hollow{number: number, config: told, network: f.network}, nil
}

func (f *fleet) newProcess(index, number int, c *platformConfig, program string) (*process, error) {
	c.Peers = slices.Clone(c.Peers)
	for k, addr := range f.mesh.PeerAddrs(index) { // other processes are reached through the mesh
		c.Peers[f.run.numberOf(k)] = addr
	}
	var err error
	if c.Listen, err = loopback.Leave(loopback.Serve, index); err != nil {
		return nil, err
	}
	if c.Admin, err = loopback.Leave(loopback.Admin, index); err != nil {
		return nil, err
	}
	text, err := c.text()
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(f.folder, fmt.Sprintf("router%d", number))
	return &process{number: number, program: program, folder: folder, config: text, admin: c.Admin}, nil
}

// close ends all that the run has started.
func (f *fleet) close() {
	var g errgroup.Group
	for _, r := range f.routers {
		if r != nil {
			g.Go(func() error { r.end(); return nil })
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

// each does something to routers, to all of them at once.
func (f *fleet) each(numbers []int, do func(r router) error) error {
	var g errgroup.Group
	for _, i := range numbers {
		g.Go(func() error { return do(f.routers[i]) })
	}
	return g.Wait()
}

// all are the numbers of all routers.
func (f *fleet) all() (numbers []int) {
	for i := range f.routers {
		numbers = append(numbers, i)
	}
	return numbers
}

// start starts routers. They are to be seen serving, in lives that begin now or later.
func (f *fleet) start(ctx context.Context, numbers []int) error {
	for _, i := range numbers {
		f.want[i] = Expected{State: "alive", Phase: phaseServing, Since: time.Now()}
	}
	return f.each(numbers, func(r router) error { return r.start(ctx) })
}

// crash ends routers without a word.
func (f *fleet) crash(numbers []int) error {
	for _, i := range numbers {
		f.want[i] = Expected{State: "dead"}
	}
	return f.each(numbers, router.crash)
}

// leave has routers end as they do on SIGTERM.
func (f *fleet) leave(numbers []int) error {
	for _, i := range numbers {
		f.want[i] = Expected{State: "left"}
	}
	return f.each(numbers, router.leave)
}

// drain asks the fleet that a router may be out, or has it serve again.
func (f *fleet) drain(number int, on bool) error {
	f.want[number].Phase = phaseServing
	if on {
		f.want[number].Phase = phaseDraining
	}
	return f.routers[number].drain(on)
}

// setCut cuts the regions from one another, or heals that.
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

// setLoss has a part of all datagrams lost.
func (f *fleet) setLoss(part float64) {
	f.network.setLoss(part)
	for i := range f.processes {
		for j := range f.processes {
			if i != j {
				f.mesh.SetFaults(i, j, faultproxy.DatagramFaults{Loss: part})
			}
		}
	}
}

// agreement is the watch of the routers that run now.
func (f *fleet) agreement() *agreement {
	a := &agreement{want: f.want}
	for _, h := range f.hollow {
		if h.runs() {
			a.hollow = append(a.hollow, h)
		}
	}
	for _, p := range f.processes {
		if p.runs() {
			a.process = append(a.process, p)
		}
	}
	a.said = make([]string, len(a.process))
	return a
}

// traffic is what a process has sent and received. Datagrams to another process that the mesh has lost are not in it.
func (f *fleet) traffic(index int) Traffic {
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

// hollowTraffic is that of all hollow routers together.
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

// ended tells which processes have ended by themselves.
func (f *fleet) ended() error {
	var all []string
	for _, p := range f.processes {
		if p.command != nil && !p.runs() {
			all = append(all, fmt.Sprintf("router %d has ended by itself: %s", p.number, p.log.String()))
		}
	}
	if len(all) > 0 {
		return errors.New(strings.Join(all, "; "))
	}
	return nil
}

// choose draws routers that run and that a test finds good, hollow ones before processes: the cost of a trouble is measured on processes.
func (f *fleet) choose(count int, chance *rand.Rand, good func(number int) bool) []int {
	var hollow, processes []int
	for _, i := range chance.Perm(f.run.Size) {
		switch {
		case !good(i) || !f.routers[i].runs():
		case f.network.real[i]:
			processes = append(processes, i)
		default:
			hollow = append(hollow, i)
		}
	}
	chosen := append(hollow, processes...)
	return chosen[:min(count, len(chosen))]
}
