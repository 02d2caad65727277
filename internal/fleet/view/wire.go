package view

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MostBytes is the longest datagram that the platform's routers may send each other (PROTOCOL, "Between routers").
const MostBytes = 256

// A datagram is a head, sections and a checksum, all numbers with the most significant byte first:
//
//	version 1, kind 1, from 2, to 2, number of routers 2, seq 4, about 2,
//	start 6, count 2, flags 1 of the sender, sum 4 of its view;
//	sections: tag 1, items 1, the items; checksum 4, the low bits of XXH64 over all before it.
const (
	version = 1

	headBytes    = 27
	checkBytes   = 4
	sectionBytes = 2
	claimBytes   = 12
	detailBytes  = 21
	sightBytes   = 6

	ageUnit   = 50 * time.Millisecond  // of a suspicion
	sightUnit = 250 * time.Millisecond // of a sighting

	mostBits = 126 // bytes of a comparison, the number of its first member aside
)

type kind uint8

const (
	ping  kind = iota + 1
	ack        // of seq; about is who was asked for
	ask        // to ping about
	news       // wants no answer
	trade      // entries of which the receiver is to send back what it knows better
	kinds      // number of them
)

const (
	tagClaims kind = iota + 1
	tagDetails
	tagBits
	tagSights
)

type head struct {
	kind     kind
	from, to uint16
	of       uint16 // routers that the sender knows of by its configuration
	seq      uint32
	about    uint16
	inc      Incarnation // of the sender
	state    State
	phase    Phase
	sum      uint32
}

// detail is what a router has told of itself, passed on by whomever.
type detail struct {
	who   uint16
	start int64 // of the life that told it
	Details
}

// SightState is what a router saw of a slot cache.
type SightState uint8

// What is seen of slot caches.
const (
	SeenDown SightState = iota + 1 // it refuses connections
	SeenBack                       // it takes them again
)

// Sight is what some router saw of a slot cache before the list told it.
type Sight struct {
	Cache uint32 // the number in its id
	State SightState
	Age   time.Duration // since it was seen
}

// message is a datagram that was read.
type message struct {
	head
	claims  []claim
	details []detail
	bits    []byte // a comparison, or none
	sights  []Sight
}

var (
	errShort   = errors.New("too short")
	errLong    = errors.New("too long")
	errVersion = errors.New("of another version")
	errCheck   = errors.New("spoilt")
	errBad     = errors.New("not understood")
)

// itemBytes is the length of a section's items; 0: there is no such section.
func itemBytes(tag kind) int {
	switch tag {
	case tagClaims:
		return claimBytes
	case tagDetails:
		return detailBytes
	case tagBits:
		return 1
	case tagSights:
		return sightBytes
	}
	return 0
}

func checksum(b []byte) uint32 { return uint32(xxhash.Sum64(b)) }

func appendTime(b []byte, ms int64) []byte {
	return append(b, byte(ms>>40), byte(ms>>32), byte(ms>>24), byte(ms>>16), byte(ms>>8), byte(ms))
}

func readTime(b []byte) int64 {
	return int64(b[0])<<40 | int64(b[1])<<32 | int64(b[2])<<24 | int64(b[3])<<16 | int64(b[4])<<8 | int64(b[5])
}

func flags(s State, p Phase, accusers uint8) byte { return byte(s) | byte(p)<<2 | accusers<<4 }

func units(d, unit time.Duration) byte { return byte(min(max(0, d/unit), 255)) }

func appendHead(b []byte, h *head) []byte {
	b = append(b, version, byte(h.kind))
	b = binary.BigEndian.AppendUint16(b, h.from)
	b = binary.BigEndian.AppendUint16(b, h.to)
	b = binary.BigEndian.AppendUint16(b, h.of)
	b = binary.BigEndian.AppendUint32(b, h.seq)
	b = binary.BigEndian.AppendUint16(b, h.about)
	b = appendTime(b, h.inc.Start)
	b = binary.BigEndian.AppendUint16(b, h.inc.Count)
	b = append(b, flags(h.state, h.phase, 0))
	return binary.BigEndian.AppendUint32(b, h.sum)
}

func appendClaim(b []byte, c *claim) []byte {
	b = binary.BigEndian.AppendUint16(b, c.who)
	b = append(b, flags(c.state, c.phase, c.accusers))
	b = appendTime(b, c.inc.Start)
	b = binary.BigEndian.AppendUint16(b, c.inc.Count)
	return append(b, units(c.age, ageUnit))
}

func appendDetail(b []byte, d *detail) []byte {
	b = binary.BigEndian.AppendUint16(b, d.who)
	b = appendTime(b, d.start)
	b = binary.BigEndian.AppendUint16(b, d.Seq)
	b = binary.BigEndian.AppendUint32(b, d.Version)
	b = binary.BigEndian.AppendUint32(b, d.Settings)
	b = binary.BigEndian.AppendUint16(b, d.Rate)
	if d.Twice {
		return append(b, d.Zone<<1|1)
	}
	return append(b, d.Zone<<1)
}

func appendSight(b []byte, s *Sight) []byte {
	b = binary.BigEndian.AppendUint32(b, s.Cache)
	return append(b, byte(s.State), units(s.Age, sightUnit))
}

// seal adds the checksum, after which a datagram is whole.
func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, checksum(b)) }

// parse reads a datagram into m, whose room it uses again. Whatever is wrong, nothing of it counts.
func parse(b []byte, m *message) error {
	*m = message{claims: m.claims[:0], details: m.details[:0], bits: m.bits[:0], sights: m.sights[:0]}
	switch {
	case len(b) < headBytes+checkBytes:
		return errShort
	case len(b) > MostBytes:
		return errLong
	case b[0] != version:
		return errVersion
	case checksum(b[:len(b)-checkBytes]) != binary.BigEndian.Uint32(b[len(b)-checkBytes:]):
		return errCheck
	}
	m.kind = kind(b[1])
	m.from, m.to, m.of = binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint16(b[4:]), binary.BigEndian.Uint16(b[6:])
	m.seq, m.about = binary.BigEndian.Uint32(b[8:]), binary.BigEndian.Uint16(b[12:])
	m.inc = Incarnation{readTime(b[14:]), binary.BigEndian.Uint16(b[20:])}
	m.state, m.phase = State(b[22]&3), Phase(b[22]>>2&3)
	m.sum = binary.BigEndian.Uint32(b[23:])
	if m.kind < ping || m.kind >= kinds || b[22]>>4 != 0 || m.inc.Start == 0 || m.from >= m.of || m.state == Suspect || m.state == Dead {
		return errBad
	}
	for b = b[headBytes : len(b)-checkBytes]; len(b) > 0; {
		if len(b) < sectionBytes {
			return errBad
		}
		tag, n := kind(b[0]), int(b[1])
		b = b[sectionBytes:]
		size := itemBytes(tag)
		if size == 0 || n == 0 || len(b) < n*size || tag == tagBits && (n < 3 || n > mostBits+2 || len(m.bits) > 0) {
			return errBad
		}
		for range n {
			if !m.item(tag, b) {
				return errBad
			}
			b = b[size:]
		}
	}
	return nil
}

// item reads one item of a section.
func (m *message) item(tag kind, b []byte) bool {
	switch tag {
	case tagClaims:
		c := claim{who: binary.BigEndian.Uint16(b), state: State(b[2] & 3), phase: Phase(b[2] >> 2 & 3), accusers: b[2] >> 4,
			inc: Incarnation{readTime(b[3:]), binary.BigEndian.Uint16(b[9:])}, age: time.Duration(b[11]) * ageUnit}
		m.claims = append(m.claims, c)
		return c.state == Suspect && c.accusers > 0 || c.accusers == 0 && c.age == 0
	case tagDetails:
		d := detail{binary.BigEndian.Uint16(b), readTime(b[2:]), Details{binary.BigEndian.Uint16(b[8:]),
			binary.BigEndian.Uint32(b[10:]), binary.BigEndian.Uint32(b[14:]), binary.BigEndian.Uint16(b[18:]), b[20] >> 1, b[20]&1 == 1}}
		m.details = append(m.details, d)
		return d.Seq > 0 && d.start > 0
	case tagBits:
		m.bits = append(m.bits, b[0])
	case tagSights:
		s := Sight{binary.BigEndian.Uint32(b), SightState(b[4]), time.Duration(b[5]) * sightUnit}
		m.sights = append(m.sights, s)
		return s.State == SeenDown || s.State == SeenBack
	}
	return true
}
