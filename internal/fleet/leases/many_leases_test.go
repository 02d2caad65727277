package leases

import (
	"errors"
	"testing"
	"time"

	"hoptiller/internal/fleet/permit"
)

// Several routers are asked to drain 1,024 slot caches. All routers learn of every drain, no lease is taken over from a
// router that is alive, and the number of datagrams stays bounded.
func TestManyLeases(t *testing.T) {
	const routers, caches, owners = 5, 1024, 3
	const limit, duration = 25 * time.Second, 8 * time.Second
	const maxRate = 1000 // datagrams with leases per second and router
	f := newFleet(routers, 1, permit.Bound{Number: caches}, caches)
	for i := range caches {
		must(t, f.drain(i%owners, uint32(100+i), time.Hour))
	}
	start := f.now
	for !f.allKnow(caches) {
		if f.now-start > limit {
			t.Fatalf("after %v router 0 knows of %d drains", limit, len(f.drainedAt(0)))
		}
		f.run(time.Second)
	}
	t.Logf("all routers know of all drains after %v", f.now-start)
	f.sent = 0
	if maxDrained := f.run(duration); maxDrained != caches || !f.allKnow(caches) {
		t.Errorf("%d slot caches are drained", maxDrained)
	}
	if rate := float64(f.sent) / duration.Seconds() / routers; rate > maxRate {
		t.Errorf("%.0f datagrams per second and router", rate)
	} else {
		t.Logf("%.0f datagrams per second and router", rate)
	}
	for i, r := range f.routers {
		for _, lease := range r.manager.All(f.clock(r)) {
			if lease.Epoch%epochStep != 0 {
				t.Fatalf("as router %d knows it, the lease of slot cache %d was taken over by router %d", i, lease.ID, lease.Owner)
			}
		}
	}
}

// allKnow reports whether every router believes that n slot caches are out of service.
func (f *fleet) allKnow(n int) bool {
	for i := range f.routers {
		if len(f.drainedAt(i)) != n {
			return false
		}
	}
	return true
}

// A store holds at most MaxLeases leases, whichever router announces them, and has room again when they have expired.
func TestStoreLimit(t *testing.T) {
	f := newFleet(2, 1, permit.Bound{Number: 1}, 1)
	s := &f.routers[0].manager.Store
	now := f.clock(f.routers[0])
	for i := range uint32(MaxLeases + 10) {
		s.Announce(now, Lease{Key: Key{KindCache, i}, Epoch: 1}, time.Second)
	}
	if n := len(s.All(now)); n != MaxLeases {
		t.Errorf("the store holds %d leases", n)
	}
	if err := f.drain(0, 1<<20, time.Hour); !errors.Is(err, ErrFull) {
		t.Errorf("request for one more lease: %v", err)
	}
	now += time.Second
	if s.dropExpired(now); len(s.leases) > 0 || s.checksum != 0 || s.Full(now) {
		t.Errorf("%d leases are left, with checksum %x", len(s.leases), s.checksum)
	}
}

// takenOver returns the leases that, as some router knows them, are owned by another router than the one that was asked for
// the drain.
func (f *fleet) takenOver() (all []Lease) {
	for _, r := range f.routers {
		for _, lease := range r.manager.All(f.clock(r)) {
			if lease.Epoch%epochStep != 0 {
				all = append(all, lease)
			}
		}
	}
	return all
}

// Renewals come faster than one answer can spread them. Still no lease is taken over from a router that is alive: whether one
// router or all of them own the leases, when datagrams are lost, and in a fleet in which two routers seldom pull from each
// other.
func TestRenewalsAreNotStarved(t *testing.T) {
	const caches, duration = 1024, 20 * time.Second
	for _, c := range []struct {
		name            string
		routers, owners int
		loss            float64
	}{
		{"one owner", 5, 1, 0},
		{"every router is an owner", 5, 5, 0},
		{"with datagrams lost", 5, 3, 0.05},
		{"among twenty", 20, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(c.routers, 1, permit.Bound{Number: caches}, caches)
			f.loss = c.loss
			for i := range caches {
				must(t, f.drain(i%c.owners, uint32(100+i), time.Hour))
			}
			f.run(duration)
			if !f.allKnow(caches) {
				t.Errorf("some router does not know of all drains after %v", duration)
			}
			if taken := f.takenOver(); len(taken) > 0 {
				t.Errorf("%d leases are taken over, that of slot cache %d by router %d", len(taken), taken[0].ID, taken[0].Owner)
			}
		})
	}
}
