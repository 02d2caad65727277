// Package leases spreads leases through the fleet: records that one router announces and all routers must know, such as that a
// slot cache is out of service or that a release runs. A lease expires by itself: no router needs to be notified that it has
// ended, and nothing of it is left ten seconds after the last announcement.
//
// Leases spread by gossip (Demers and others, "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987): a router
// that learns of a change announces it to a few others, and these pull the leases from it. Leases travel only in answers to
// pulls. The remaining time of a lease counts from when the pull was sent. However late an answer arrives, no router
// therefore believes a lease for longer than its owner holds the permit.
//
// The package does no I/O and reads no clock.
package leases

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// Kind is what a lease is for.
type Kind uint8

// The kinds.
const (
	KindCache   Kind = iota + 1 // a slot cache is out of service
	KindRelease                 // a release runs
	kindEnd                     // above all kinds
)

// Key identifies a lease.
type Key struct {
	Kind Kind
	ID   uint32 // of the slot cache, or of the release's permit
}

// compare orders keys by kind, then by ID.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.ID, other.ID))
}

// Lease is a record that its owner announces to all routers.
type Lease struct {
	Key
	// Epoch rises by 65,536 each time that the drain or release begins or ends, and by 1 each time that another router takes
	// the lease over.
	Epoch  uint32
	Owner  uint16 // the router that announces it
	Seq    uint32 // counts the owner's announcements of the lease
	Permit uint64
	Slots  []permit.Slot
	Ended  bool          // the drain or release has ended; older copies of the lease are invalid
	EndsIn time.Duration // time from now after which the drain or release ends by itself
	Body   string        // at most MaxBody bytes
}

// Limits of what a fleet stores.
const (
	MaxBody = 120 // bytes, so that the longest lease fits a datagram

	// MaxLeases is enough for 1,024 slot caches that are out of service and as many that were out of service until a moment ago.
	// It limits the memory that other routers' datagrams can use up at this router. Memory is used only for leases that exist.
	MaxLeases = 2048

	maxSlots = 3 // of one lease; a slot cache has two groups that limit it
)

// NewerThan reports whether a is newer than b: it has a later epoch, or the same epoch and a higher owner, or is a later
// announcement of the same owner.
func (a *Lease) NewerThan(b *Lease) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Seq, b.Seq)) > 0
}

// storedLease is a lease as one router stores it.
type storedLease struct {
	Lease
	expires  time.Duration // when this router stops believing the lease
	endsAt   time.Duration // when the drain or release ends by itself
	hash     uint64        // hashLease of the lease
	received time.Duration // when it was stored
	answers  int           // number of answers that have included the lease
	sentTo   routerSet     // routers to which an answer with it was sent
}

const (
	fanout         = 4 // routers to which one round announces a change
	announceRounds = 3 // rounds for each change: all but one in 100,000 routers hear at once, and the rest within pullInterval
	roundInterval  = 60 * time.Millisecond
	pullInterval   = time.Second      // between pulls from random routers, sent while leases are known and during startupPeriod
	startupPeriod  = 10 * time.Second // after the start, in which a router pulls even if it knows no lease
	pullTimeout    = 2 * time.Second  // after which an answer is ignored

	// maxPulls is how many pulls may be open at once. It limits the work of pulling, not the number of leases that can be
	// learned. Once half of maxPulls are open, pulls are spaced by minPullInterval, so that they are sent no faster than they
	// time out.
	maxPulls        = 64
	minPullInterval = pullTimeout / (maxPulls / 2)

	// maxAnswerDatagrams limits the datagrams of one answer. The lease of a slot cache takes a fifth of a datagram, so that an
	// answer has room for up to 160 drains. If there are more, those that the asking router has not been sent come first, and
	// the next answers go on from there.
	maxAnswerDatagrams = 32
)

// Datagram is an encoded message and the router that it is for.
type Datagram struct {
	To   int
	Body []byte
}

// Store holds the leases that one router knows. It is not safe for use by several goroutines at once.
type Store struct {
	self, routerCount int
	random            func() uint64
	started           time.Duration
	leases            map[Key]*storedLease
	checksum          uint64                   // XOR of the hashes of all leases: equal at two routers that know the same leases
	nextExpiry        time.Duration            // no lease expires before this
	roundsLeft        int                      // rounds of announcements that are still due
	nextRound         time.Duration            // when the next round is due
	nextPull          time.Duration            // when the next pull from a random router is due
	openPulls         map[uint32]time.Duration // when each pull that waits for an answer was sent, by the pull's number
	lastPull          time.Duration            // when pullFrom last sent a pull
	outgoing          []Datagram
	rejected          uint64 // number of datagrams that were rejected
}

// NewStore returns the store of a router whose process starts now.
func NewStore(now time.Duration, self, routerCount int, random func() uint64) *Store {
	return &Store{self: self, routerCount: routerCount, random: random, started: now, leases: map[Key]*storedLease{},
		openPulls: map[uint32]time.Duration{}}
}

// RejectedDatagrams returns the number of datagrams that were rejected.
func (s *Store) RejectedDatagrams() uint64 { return s.rejected }

// Get returns a lease that is valid now, and for how long it remains valid. This includes a lease whose drain or release has
// ended.
func (s *Store) Get(now time.Duration, key Key) (lease Lease, remaining time.Duration, ok bool) {
	stored := s.leases[key]
	if stored == nil || now >= stored.expires {
		return Lease{}, 0, false
	}
	lease = stored.Lease
	lease.EndsIn = stored.endsAt - now
	return lease, stored.expires - now, true
}

// All returns the leases that are valid now, in the order of their keys, without those whose drain or release has ended.
func (s *Store) All(now time.Duration) (list []Lease) {
	for key := range s.leases {
		if lease, _, ok := s.Get(now, key); ok && !lease.Ended {
			list = append(list, lease)
		}
	}
	slices.SortFunc(list, func(a, b Lease) int { return a.Key.compare(b.Key) })
	return list
}

// Full reports whether the store has no room for a lease with another key.
func (s *Store) Full(now time.Duration) bool {
	s.dropExpired(now)
	return len(s.leases) >= MaxLeases
}

// Announce stores a lease and announces it to the fleet. It is valid for the remaining time from now.
func (s *Store) Announce(now time.Duration, lease Lease, remaining time.Duration) {
	s.accept(now, lease, now+remaining)
}

// accept stores a lease and starts to announce it, unless it is expired, known or older than the stored one, or there is no
// room. It reports whether it stored the lease.
func (s *Store) accept(now time.Duration, lease Lease, expires time.Duration) bool {
	if expires <= now {
		return false
	}
	stored := s.leases[lease.Key]
	if stored != nil && now < stored.expires && !lease.NewerThan(&stored.Lease) {
		if !stored.Lease.NewerThan(&lease) {
			// Two answers had the same lease. Both are right, so the later time counts.
			stored.expires = max(stored.expires, expires)
		}
		return false
	}
	if stored == nil && s.Full(now) {
		return false
	}
	s.put(now, lease, expires)
	s.roundsLeft, s.nextRound = announceRounds, now
	return true
}

// put stores a lease. It replaces an older one with the same key.
func (s *Store) put(now time.Duration, lease Lease, expires time.Duration) {
	if replaced := s.leases[lease.Key]; replaced != nil {
		s.checksum ^= replaced.hash
	}
	if len(s.leases) == 0 || expires < s.nextExpiry {
		s.nextExpiry = expires
	}
	stored := &storedLease{Lease: lease, expires: expires, endsAt: now + lease.EndsIn, hash: hashLease(&lease), received: now}
	s.leases[lease.Key] = stored
	s.checksum ^= stored.hash
}

// dropExpired removes leases that have expired.
func (s *Store) dropExpired(now time.Duration) {
	if now < s.nextExpiry {
		return
	}
	first := true
	for key, stored := range s.leases {
		switch {
		case now >= stored.expires:
			delete(s.leases, key)
			s.checksum ^= stored.hash
		case first || stored.expires < s.nextExpiry:
			s.nextExpiry, first = stored.expires, false
		}
	}
}

// hashLease returns a hash of the fields that tell versions of a lease apart. The store's checksum is the XOR of these hashes.
func hashLease(lease *Lease) uint64 {
	var b [15]byte
	b[0] = byte(lease.Kind)
	binary.BigEndian.PutUint32(b[1:], lease.ID)
	binary.BigEndian.PutUint32(b[5:], lease.Epoch)
	binary.BigEndian.PutUint16(b[9:], lease.Owner)
	binary.BigEndian.PutUint32(b[11:], lease.Seq)
	return xxhash.Sum64(b[:])
}

// Tick removes expired leases and queues the announcements and pulls that are due.
func (s *Store) Tick(now time.Duration) {
	s.dropExpired(now)
	for number, sent := range s.openPulls {
		if now-sent > pullTimeout {
			delete(s.openPulls, number)
		}
	}
	if s.roundsLeft > 0 && now >= s.nextRound {
		s.roundsLeft--
		s.nextRound = now + roundInterval
		for range min(fanout, s.routerCount-1) {
			to := s.randomPeer()
			s.outgoing = append(s.outgoing, Datagram{to, appendAnnouncement(uint16(s.self), uint16(to), s.checksum)})
		}
	}
	if now >= s.nextPull && (len(s.leases) > 0 || now < s.started+startupPeriod) {
		s.nextPull = now + pullInterval
		s.pullFrom(now, s.randomPeer())
	}
}

// randomPeer returns the number of a random other router, or this router's own number if there is no other.
func (s *Store) randomPeer() int {
	return (s.self + 1 + int(s.random()%uint64(max(1, s.routerCount-1)))) % s.routerCount
}

// pullFrom sends a pull to another router, unless many pulls are open and the last one was sent less than minPullInterval ago.
func (s *Store) pullFrom(now time.Duration, router int) {
	many := len(s.openPulls) >= maxPulls/2
	if router == s.self || many && now-s.lastPull < minPullInterval {
		return
	}
	s.lastPull = now
	s.sendPull(now, router)
}

// sendPull sends a pull, unless maxPulls are open.
func (s *Store) sendPull(now time.Duration, router int) {
	if len(s.openPulls) >= maxPulls {
		return
	}
	number := uint32(s.random())
	s.openPulls[number] = now
	s.outgoing = append(s.outgoing, Datagram{router, appendPull(uint16(s.self), uint16(router), number, s.checksum)})
}

// Outgoing returns the datagrams that were queued since the last call.
func (s *Store) Outgoing() []Datagram {
	queued := s.outgoing
	s.outgoing = nil
	return queued
}

// Receive handles a datagram from a router.
func (s *Store) Receive(now time.Duration, from int, b []byte) {
	m, err := parse(b)
	if err != nil || int(m.from) != from || int(m.to) != s.self || from == s.self {
		s.rejected++
		return
	}
	s.dropExpired(now)
	switch m.kind {
	case kindAnnouncement:
		if m.checksum != s.checksum {
			s.pullFrom(now, from)
		}
	case kindPull:
		if m.checksum != s.checksum {
			s.answer(now, from, m.number)
		}
	case kindAnswer:
		sent, open := s.openPulls[m.number]
		if !open {
			return
		}
		for i := range m.leases {
			lease := &m.leases[i]
			if int(lease.Owner) < s.routerCount {
				s.accept(now, lease.Lease, sent+time.Duration(float64(lease.remaining)*(1-permit.MaxClockDrift)))
			}
		}
	}
}
