// Package notes keeps what one router says and the whole fleet is to know, for as long as it is said: that a slot cache is out,
// that a release runs. A note is a lease. Nobody has to be told that it is over, and nothing of it is left ten seconds after
// nobody says it any more.
//
// Notes spread by rumour (Demers and others, "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987): who learns
// something hints at it to a few, who pull it. A note is only ever pulled. Its time is counted from when it was asked for, so
// that, however late an answer is, nobody holds a note for longer than the one who says it holds its lease.
//
// It has neither I/O nor clock.
package notes

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// Kind is what a note is about.
type Kind uint8

// The kinds.
const (
	Cache   Kind = iota + 1 // a slot cache is out
	Release                 // a release runs
	kinds
)

// Key tells notes apart.
type Key struct {
	Kind Kind
	ID   uint32 // of the slot cache, or of the release's permit
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.ID, other.ID))
}

// Note is something that a router says to all.
type Note struct {
	Key
	Epoch  uint32 // 65,536 for each time that the thing begins or is over, and one for each time that another one takes it over
	Owner  uint16 // who says it
	N      uint32 // how often it has said it
	Permit uint64
	Slots  []permit.Slot
	Off    bool          // it is over, and older copies are not to be believed
	Ends   time.Duration // so long from now it ends by itself
	Body   string        // at most MostBody bytes
}

// Bounds of what a fleet keeps.
const (
	MostBody = 120 // bytes, so that a datagram holds the longest note

	// MostNotes is enough for 1,024 slot caches that are out and as many that were until a moment ago. It bounds the memory that
	// other routers' datagrams can take here; what is not told takes none.
	MostNotes = 2048

	mostSlots = 3 // groups that bound one thing: two for a slot cache
)

// Newer tells whether a says more than b: that of a later owner, or a later word of the same one.
func (a *Note) Newer(b *Note) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.N, b.N)) > 0
}

// held is a note as one router has it.
type held struct {
	Note
	until time.Duration // it is believed
	ends  time.Duration
	print uint64 // its part in the sum
	taken time.Duration
	sent  int       // in how many answers
	told  routerSet // routers to which an answer has been sent with it
}

const (
	fanout    = 4 // to how many a word is hinted at,
	rounds    = 3 // so often: all but one in 100,000 hear at once, and the rest within pullEvery
	roundTime = 60 * time.Millisecond
	pullEvery = time.Second      // while there are notes, and at the beginning
	beginning = 10 * time.Second // for which a router that has started asks, having heard of nothing
	pullTime  = 2 * time.Second  // after which an answer counts no more

	// mostPulls bounds the work of asking, not what can be known: so many are open at once, and once half of them are no more are
	// sent than end meanwhile.
	mostPulls = 64
	pullPause = pullTime / (mostPulls / 2)

	// mostReplies bounds the datagrams of one answer. A slot cache's note takes a fifth of one, so that up to 160 drains are told
	// whole; of more those come first that the asker has not been told, and the next answers go on from there.
	mostReplies = 32
)

// Datagram is one that is to be sent.
type Datagram struct {
	To   int
	Body []byte
}

// Store has the notes that one router knows. It is not safe for use by several goroutines at once.
type Store struct {
	self, of int
	chance   func() uint64
	begun    time.Duration
	notes    map[Key]*held
	sum      uint64        // the same for two that know the same
	expires  time.Duration // no note ends before this
	rounds   int           // that are still to be hinted at
	next     time.Duration
	pullAt   time.Duration
	pulls    map[uint32]time.Duration // open, by number: when they were sent
	pulled   time.Duration            // when the last of them was
	out      []Datagram
	bad      uint64
}

// NewStore makes the store of a router whose process has started now.
func NewStore(now time.Duration, self, of int, chance func() uint64) *Store {
	return &Store{self: self, of: of, chance: chance, begun: now, notes: map[Key]*held{}, pulls: map[uint32]time.Duration{}}
}

// Bad counts datagrams that were not taken.
func (s *Store) Bad() uint64 { return s.bad }

// Get gives a note that is believed now, one that is over included, and for how long.
func (s *Store) Get(now time.Duration, k Key) (n Note, left time.Duration, ok bool) {
	h := s.notes[k]
	if h == nil || now >= h.until {
		return Note{}, 0, false
	}
	n = h.Note
	n.Ends = h.ends - now
	return n, h.until - now, true
}

// All are the notes that are believed now, by key, those that are over left out.
func (s *Store) All(now time.Duration) (list []Note) {
	for k := range s.notes {
		if n, _, ok := s.Get(now, k); ok && !n.Off {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b Note) int { return a.Key.compare(b.Key) })
	return list
}

// Full tells whether there is no room for a note of another key.
func (s *Store) Full(now time.Duration) bool {
	s.forget(now)
	return len(s.notes) >= MostNotes
}

// Say has the fleet told a note, which lasts for a time from now.
func (s *Store) Say(now time.Duration, n Note, left time.Duration) {
	s.take(now, n, now+left)
}

// take takes a note, unless it is known or older, and tells whether it was new.
func (s *Store) take(now time.Duration, n Note, until time.Duration) bool {
	if until <= now {
		return false
	}
	h := s.notes[n.Key]
	if h != nil && now < h.until && !n.Newer(&h.Note) {
		if !h.Note.Newer(&n) {
			h.until = max(h.until, until) // each of two answers is right
		}
		return false
	}
	if h == nil && s.Full(now) {
		return false
	}
	s.put(now, n, until)
	s.rounds, s.next = rounds, now
	return true
}

// put keeps a note in the place of an older one, if there is one.
func (s *Store) put(now time.Duration, n Note, until time.Duration) {
	if before := s.notes[n.Key]; before != nil {
		s.sum ^= before.print
	}
	if len(s.notes) == 0 || until < s.expires {
		s.expires = until
	}
	h := &held{Note: n, until: until, ends: now + n.Ends, print: fingerprint(&n), taken: now}
	s.notes[n.Key] = h
	s.sum ^= h.print
}

// forget drops what has ended.
func (s *Store) forget(now time.Duration) {
	if now < s.expires {
		return
	}
	first := true
	for k, h := range s.notes {
		switch {
		case now >= h.until:
			delete(s.notes, k)
			s.sum ^= h.print
		case first || h.until < s.expires:
			s.expires, first = h.until, false
		}
	}
}

// fingerprint is what a note adds to the sum.
func fingerprint(n *Note) uint64 {
	var b [15]byte
	b[0] = byte(n.Kind)
	binary.BigEndian.PutUint32(b[1:], n.ID)
	binary.BigEndian.PutUint32(b[5:], n.Epoch)
	binary.BigEndian.PutUint16(b[9:], n.Owner)
	binary.BigEndian.PutUint32(b[11:], n.N)
	return xxhash.Sum64(b[:])
}

// Tick does what is due.
func (s *Store) Tick(now time.Duration) {
	s.forget(now)
	for n, at := range s.pulls {
		if now-at > pullTime {
			delete(s.pulls, n)
		}
	}
	if s.rounds > 0 && now >= s.next {
		s.rounds--
		s.next = now + roundTime
		for range min(fanout, s.of-1) {
			to := s.other()
			s.out = append(s.out, Datagram{to, appendHint(uint16(s.self), uint16(to), s.sum)})
		}
	}
	if now >= s.pullAt && (len(s.notes) > 0 || now < s.begun+beginning) {
		s.pullAt = now + pullEvery
		s.pull(now, s.other())
	}
}

func (s *Store) other() int { return (s.self + 1 + int(s.chance()%uint64(max(1, s.of-1)))) % s.of }

func (s *Store) pull(now time.Duration, from int) {
	many := len(s.pulls) >= mostPulls/2
	if from == s.self || many && now-s.pulled < pullPause {
		return
	}
	s.pulled = now
	s.ask(now, from)
}

// ask sends a pull, if not too many are open.
func (s *Store) ask(now time.Duration, from int) {
	if len(s.pulls) >= mostPulls {
		return
	}
	number := uint32(s.chance())
	s.pulls[number] = now
	s.out = append(s.out, Datagram{from, appendPull(uint16(s.self), uint16(from), number, s.sum)})
}

// Out gives what is to be sent since it was last asked.
func (s *Store) Out() []Datagram {
	o := s.out
	s.out = nil
	return o
}

// Receive takes a datagram from a router.
func (s *Store) Receive(now time.Duration, from int, b []byte) {
	m, err := parse(b)
	if err != nil || int(m.from) != from || int(m.to) != s.self || from == s.self {
		s.bad++
		return
	}
	s.forget(now)
	switch m.kind {
	case hint:
		if m.sum != s.sum {
			s.pull(now, from)
		}
	case pull:
		if m.sum != s.sum {
			s.answer(now, from, m.number)
		}
	case reply:
		at, open := s.pulls[m.number]
		if !open {
			return
		}
		for i := range m.notes {
			n := &m.notes[i]
			if int(n.Owner) < s.of {
				s.take(now, n.Note, at+time.Duration(float64(n.left)*(1-permit.Drift)))
			}
		}
	}
}
