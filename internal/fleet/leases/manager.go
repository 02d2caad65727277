package leases

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hoptiller/internal/fleet/permit"
)

// The owner of a lease renews its permit and announces the lease again with each renewal. If it has not done so for a while,
// another router takes over the permit: the first one after the owner that is alive, or the owner itself in its next
// incarnation. A renewal is due when two thirds of the permit's time remain.
const (
	takeOverBelow       = 5 * time.Second // remaining time below which others take a lease over
	overdueBelow        = 6 * time.Second // remaining time below which others pull from the owner, which may have renewed it
	renewalPullInterval = 60 * time.Millisecond
	takeOverDelay       = 100 * time.Millisecond // between the turns of two successive routers to take a lease over

	// epochStep is the step of the epoch when a drain or release begins or ends. It is also the step of the sequence numbers of a
	// permit's requests from one owner to the next.
	epochStep = 1 << 16
)

// Errors of operators' commands.
var (
	ErrNotFound = errors.New("no lease is known for this slot cache or release")
	ErrFull     = fmt.Errorf("%d leases are known already, which is the maximum", MaxLeases)
)

// AlreadyManagedError reports that a lease for the same slot cache or release exists or is requested already. Router is the
// number of the router that manages the lease.
type AlreadyManagedError struct{ Router int }

// Error implements error.
func (e *AlreadyManagedError) Error() string {
	return fmt.Sprintf("router %d keeps this already", e.Router)
}

// managedLease is a lease that this router owns, or whose permit it requests.
type managedLease struct {
	lease   Lease
	expires time.Duration // until when the last announcement is valid
	endsAt  time.Duration // when the drain or release ends by itself
}

// Manager manages the leases of one router: it acquires and renews their permits, and announces them. It is not safe for use by
// several goroutines at once.
type Manager struct {
	Store
	agent           *permit.Agent
	managed         map[Key]*managedLease
	lastRenewalPull time.Duration // when an owner was last asked for overdue renewals
}

// NewManager returns the manager of a router whose process starts now.
func NewManager(now time.Duration, agent *permit.Agent) *Manager {
	k := &Manager{Store: *NewStore(now, agent.Self, agent.RouterCount, agent.Random), agent: agent, managed: map[Key]*managedLease{}}
	agent.VisitTakenSlots = k.visitSlots
	return k
}

// visitSlots calls visit for each slot of the leases that this router knows.
func (k *Manager) visitSlots(visit func(s permit.Slot, holder uint64)) {
	for _, stored := range k.leases {
		for _, s := range stored.Slots {
			visit(s, stored.Permit)
		}
	}
}

// Acquire requests a permit with a slot in each of the groups. Once it is granted this router announces a lease with the body.
// The lease ends by itself after the duration. The error is an *AlreadyManagedError or ErrFull.
func (k *Manager) Acquire(now time.Duration, key Key, groups []uint16, body string, duration time.Duration) error {
	current, _, known := k.Get(now, key)
	switch {
	case k.managed[key] != nil:
		return &AlreadyManagedError{k.self}
	case known && !current.Ended:
		return &AlreadyManagedError{int(current.Owner)}
	case k.Full(now):
		return ErrFull
	}
	lease := Lease{Key: key, Epoch: nextEpoch(current.Epoch), Owner: uint16(k.self), Permit: k.agent.NewPermit(key.ID), Body: body}
	k.managed[key] = &managedLease{lease: lease, endsAt: now + duration}
	k.agent.AcquireTransferable(now, lease.Permit, groups)
	return nil
}

// nextEpoch returns the epoch of the next begin or end of a drain or release.
func nextEpoch(epoch uint32) uint32 { return epoch&^(epochStep-1) + epochStep }

// End ends a lease, whichever router owns it, or stops requesting its permit. It returns ErrNotFound if there is neither.
func (k *Manager) End(now time.Duration, key Key) error {
	current, _, active := k.Get(now, key)
	active = active && !current.Ended
	own := k.managed[key]
	if !active && own == nil {
		return ErrNotFound
	}
	if own != nil {
		k.agent.Abandon(own.lease.Permit)
		delete(k.managed, key)
	}
	if active { // announce the end for as long as other routers may believe older copies
		current.Epoch, current.Owner, current.Seq, current.Ended, current.EndsIn = nextEpoch(current.Epoch), uint16(k.self), 0, true, 0
		k.Announce(now, current, 2*permit.MaxLease)
	}
	return nil
}

// SetBody replaces the body of a lease that this router manages. It returns ErrNotFound if this router doesn't manage it.
func (k *Manager) SetBody(now time.Duration, key Key, body string) error {
	own := k.managed[key]
	if own == nil {
		return ErrNotFound
	}
	if own.lease.Body != body {
		own.lease.Body = body
		if own.expires > now {
			k.announceOwn(now, own)
		}
	}
	return nil
}

// announceOwn announces a lease that this router manages.
func (k *Manager) announceOwn(now time.Duration, own *managedLease) {
	own.lease.Seq++
	own.lease.EndsIn = own.endsAt - now
	k.Announce(now, own.lease, own.expires-now)
}

// Status returns the phase of the permit of a lease that this router manages, and the reason of the latest refusal while the
// permit is requested.
func (k *Manager) Status(now time.Duration, key Key) (phase permit.Phase, reason string) {
	own := k.managed[key]
	if own == nil {
		return permit.Idle, ""
	}
	phase, _, _, reason = k.agent.TransferableStatus(now, own.lease.Permit)
	return phase, reason
}

// Body returns the body of a lease that this router manages.
func (k *Manager) Body(key Key) (body string, ok bool) {
	own := k.managed[key]
	if own == nil {
		return "", false
	}
	return own.lease.Body, true
}

// EndsIn returns the time until a lease that this router manages ends by itself; 0 if this router doesn't manage it.
func (k *Manager) EndsIn(now time.Duration, key Key) time.Duration {
	own := k.managed[key]
	if own == nil {
		return 0
	}
	return own.endsAt - now
}

// ManagedKeys returns the keys of the leases that this router manages, including those whose permits are still requested.
func (k *Manager) ManagedKeys() (keys []Key) {
	for key := range k.managed {
		keys = append(keys, key)
	}
	return keys
}

// Tick renews, ends and takes over leases, and queues the messages that are due. It must be called after the agent's Tick.
func (k *Manager) Tick(now time.Duration) {
	k.Store.Tick(now)
	for key, own := range k.managed {
		k.maintain(now, key, own)
	}
	k.pullOverdue(now)
	k.takeOverDue(now)
}

// pullOverdue pulls from the owner of leases whose renewals should have arrived. While many leases are renewed, each answer
// holds only some of them, and a renewal that has not arrived here doesn't mean that the owner is gone.
func (k *Manager) pullOverdue(now time.Duration) {
	if now-k.lastRenewalPull < renewalPullInterval {
		return
	}
	var owners []uint16
	for key, stored := range k.leases {
		if k.managed[key] == nil && !stored.Ended && int(stored.Owner) != k.self && now < stored.expires &&
			stored.expires-now <= overdueBelow {
			owners = append(owners, stored.Owner)
		}
	}
	if len(owners) == 0 {
		return
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	k.lastRenewalPull = now
	k.sendPull(now, int(owners[k.random()%uint64(len(owners))]))
}

// maintain announces a lease of this router's after each renewal of its permit. It ends the lease when its time is over, and
// stops managing it if it is lost or another router has taken it over or ended it.
func (k *Manager) maintain(now time.Duration, key Key, own *managedLease) {
	current, _, known := k.Get(now, key)
	if known && current.NewerThan(&own.lease) && (current.Owner != own.lease.Owner || current.Epoch != own.lease.Epoch) {
		k.agent.Abandon(own.lease.Permit) // another router manages the lease, or it has ended
		delete(k.managed, key)
		return
	}
	if now >= own.endsAt {
		k.End(now, key)
		return
	}
	phase, remaining, slots, _ := k.agent.TransferableStatus(now, own.lease.Permit)
	adopted := own.lease.Epoch%epochStep > 0
	switch {
	case phase == permit.Ended, phase == permit.Requesting && adopted && !known: // no router believes the lease any more
		k.agent.Abandon(own.lease.Permit)
		delete(k.managed, key)
	case phase == permit.Holding && now+remaining > own.expires:
		own.expires, own.lease.Slots = now+remaining, slots
		k.announceOwn(now, own)
	}
}

// takeOverDue takes over the leases that their owners have not announced for a while and that it is this router's turn to take.
func (k *Manager) takeOverDue(now time.Duration) {
	var due []Key
	for key, stored := range k.leases {
		if k.managed[key] == nil && !stored.Ended && now < stored.expires && k.mayTakeOver(now, stored) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, Key.compare)
	for _, key := range due {
		lease, _, _ := k.Get(now, key)
		k.adopt(now, lease)
	}
}

// mayTakeOver reports whether it is this router's turn to take over a lease.
func (k *Manager) mayTakeOver(now time.Duration, stored *storedLease) bool {
	if stored.Epoch%epochStep == epochStep-1 { // one more would change the epoch to that of the next begin or end
		return false
	}
	// A distance of 0 means that the owner is an earlier incarnation of this router.
	distance := (k.self - int(stored.Owner) + k.routerCount) % k.routerCount
	return distance == 0 || stored.expires-now <= takeOverBelow-time.Duration(distance-1)*takeOverDelay
}

// adopt makes this router the owner of a lease and goes on with its permit.
func (k *Manager) adopt(now time.Duration, lease Lease) {
	endsAt := now + lease.EndsIn
	lease.Epoch++
	lease.Owner, lease.Seq = uint16(k.self), 0
	k.managed[lease.Key] = &managedLease{lease: lease, endsAt: endsAt}
	k.agent.Adopt(now, lease.Permit, lease.Slots, lease.Epoch%epochStep*epochStep)
}

// Extend lets a lease last for a duration from now and replaces its body. If another router owns the lease, this router takes
// it over. It returns ErrNotFound if there is no such lease.
func (k *Manager) Extend(now time.Duration, key Key, body string, duration time.Duration) error {
	own := k.managed[key]
	if own == nil {
		lease, _, known := k.Get(now, key)
		if !known || lease.Ended {
			return ErrNotFound
		}
		k.adopt(now, lease)
		own = k.managed[key]
	}
	own.endsAt = now + duration
	return k.SetBody(now, key, body)
}
