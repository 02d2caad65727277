package view

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDatagramBytes is the length of the longest datagram that the platform's routers may send each other (PROTOCOL, "Between
// routers").
const MaxDatagramBytes = 256

// A datagram consists of a head, sections and a checksum. All numbers have the most significant byte first. The fields and
// their lengths in bytes are:
//
//	head: version 1, kind 1, from 2, to 2, number of routers 2, seq 4, subject 2,
//	start 6, count 2 and flags 1 of the sender, checksum 4 of its view;
//	sections: tag 1, number of items 1, the items;
//	checksum 4, the low bits of XXH64 over everything before it.
const (
	version = 1

	headBytes        = 27
	checksumBytes    = 4
	sectionHeadBytes = 2
	claimBytes       = 12
	detailBytes      = 21
	observationBytes = 6

	// Claims and observations contain ages in these units.
	suspicionAgeUnit   = 50 * time.Millisecond
	observationAgeUnit = 250 * time.Millisecond

	maxComparisonBytes = 126 // without the two bytes for the number of the first member
)

// kind is the kind of a datagram or the tag of a section.
type kind uint8

const (
	kindPing        kind = iota + 1 // requests an ack; subject is the receiver, or the router that requested the ping
	kindAck                         // answers the ping or ping request with the same seq; subject is the router that was pinged
	kindPingRequest                 // requests a ping of subject
	kindUpdate                      // requests no answer
	kindExchange                    // the receiver is to send back those claims for which its own knowledge is newer
	kindCount                       // one more than the greatest kind
)

const (
	tagClaims kind = iota + 1
	tagDetails
	tagComparison
	tagObservations
)

// head is the head of a datagram.
type head struct {
	kind         kind
	from, to     uint16
	routerCount  uint16 // number of routers in the sender's configuration
	seq          uint32
	subject      uint16      // a router number, see the kinds
	inc          Incarnation // of the sender
	state        State
	phase        Phase
	viewChecksum uint32
}

// detail is what a router published about itself. Any router may pass it on.
type detail struct {
	router uint16
	start  int64 // start of the process that published the details, as in Incarnation.Start
	Details
}

// ObservedState is the state in which a router observed a slot cache.
type ObservedState uint8

// The observed states of a slot cache.
const (
	ObservedDown ObservedState = iota + 1 // it refuses connections
	ObservedUp                            // it accepts connections again
)

// Observation is what a router observed of a slot cache before the list of cache servers showed it.
type Observation struct {
	CacheID uint32 // the number in the slot cache's id
	State   ObservedState
	Age     time.Duration // time since the observation
}

// message is a decoded datagram.
type message struct {
	head
	claims       []claim
	details      []detail
	comparison   []byte // number of the first member in two bytes, then fingerprint bits; empty if there is none
	observations []Observation
}

var (
	errTooShort  = errors.New("too short")
	errTooLong   = errors.New("too long")
	errVersion   = errors.New("of another version")
	errChecksum  = errors.New("spoilt")
	errMalformed = errors.New("not understood")
)

// itemBytes returns the length of an item in a section, or 0 if there is no such section.
func itemBytes(tag kind) int {
	switch tag {
	case tagClaims:
		return claimBytes
	case tagDetails:
		return detailBytes
	case tagComparison:
		return 1
	case tagObservations:
		return observationBytes
	}
	return 0
}

func checksum(b []byte) uint32 { return uint32(xxhash.Sum64(b)) }

func appendTime(b []byte, ms int64) []byte {
	return append(b, byte(ms>>40), byte(ms>>32), byte(ms>>24), byte(ms>>16), byte(ms>>8), byte(ms))
}

func decodeTime(b []byte) int64 {
	return int64(b[0])<<40 | int64(b[1])<<32 | int64(b[2])<<24 | int64(b[3])<<16 | int64(b[4])<<8 | int64(b[5])
}

func encodeFlags(s State, p Phase, accusers uint8) byte { return byte(s) | byte(p)<<2 | accusers<<4 }

// encodeAge returns a duration in units, at most 255.
func encodeAge(d, unit time.Duration) byte { return byte(min(max(0, d/unit), 255)) }

func appendHead(b []byte, h *head) []byte {
	b = append(b, version, byte(h.kind))
	b = binary.BigEndian.AppendUint16(b, h.from)
	b = binary.BigEndian.AppendUint16(b, h.to)
	b = binary.BigEndian.AppendUint16(b, h.routerCount)
	b = binary.BigEndian.AppendUint32(b, h.seq)
	b = binary.BigEndian.AppendUint16(b, h.subject)
	b = appendTime(b, h.inc.Start)
	b = binary.BigEndian.AppendUint16(b, h.inc.Count)
	b = append(b, encodeFlags(h.state, h.phase, 0))
	return binary.BigEndian.AppendUint32(b, h.viewChecksum)
}

func appendClaim(b []byte, c *claim) []byte {
	b = binary.BigEndian.AppendUint16(b, c.router)
	b = append(b, encodeFlags(c.state, c.phase, c.accusers))
	b = appendTime(b, c.inc.Start)
	b = binary.BigEndian.AppendUint16(b, c.inc.Count)
	return append(b, encodeAge(c.suspicionAge, suspicionAgeUnit))
}

func appendDetail(b []byte, d *detail) []byte {
	b = binary.BigEndian.AppendUint16(b, d.router)
	b = appendTime(b, d.start)
	b = binary.BigEndian.AppendUint16(b, d.Seq)
	b = binary.BigEndian.AppendUint32(b, d.VersionHash)
	b = binary.BigEndian.AppendUint32(b, d.SettingsHash)
	b = binary.BigEndian.AppendUint16(b, d.RequestRate)
	if d.DuplicateNumber {
		return append(b, d.Zone<<1|1)
	}
	return append(b, d.Zone<<1)
}

func appendObservation(b []byte, o *Observation) []byte {
	b = binary.BigEndian.AppendUint32(b, o.CacheID)
	return append(b, byte(o.State), encodeAge(o.Age, observationAgeUnit))
}

// appendChecksum appends the checksum, which completes a datagram.
func appendChecksum(b []byte) []byte { return binary.BigEndian.AppendUint32(b, checksum(b)) }

// parse decodes a datagram into m and reuses the memory of m. After an error the contents of m must not be used.
func parse(b []byte, m *message) error {
	*m = message{claims: m.claims[:0], details: m.details[:0], comparison: m.comparison[:0], observations: m.observations[:0]}
	switch {
	case len(b) < headBytes+checksumBytes:
		return errTooShort
	case len(b) > MaxDatagramBytes:
		return errTooLong
	case b[0] != version:
		return errVersion
	case checksum(b[:len(b)-checksumBytes]) != binary.BigEndian.Uint32(b[len(b)-checksumBytes:]):
		return errChecksum
	}
	m.kind = kind(b[1])
	m.from, m.to, m.routerCount = binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint16(b[4:]), binary.BigEndian.Uint16(b[6:])
	m.seq, m.subject = binary.BigEndian.Uint32(b[8:]), binary.BigEndian.Uint16(b[12:])
	m.inc = Incarnation{decodeTime(b[14:]), binary.BigEndian.Uint16(b[20:])}
	m.state, m.phase = State(b[22]&3), Phase(b[22]>>2&3)
	m.viewChecksum = binary.BigEndian.Uint32(b[23:])
	if m.kind < kindPing || m.kind >= kindCount || b[22]>>4 != 0 || m.inc.Start == 0 || m.from >= m.routerCount ||
		m.state == Suspect || m.state == Dead {
		return errMalformed
	}
	for b = b[headBytes : len(b)-checksumBytes]; len(b) > 0; {
		if len(b) < sectionHeadBytes {
			return errMalformed
		}
		tag, n := kind(b[0]), int(b[1])
		b = b[sectionHeadBytes:]
		size := itemBytes(tag)
		if size == 0 || n == 0 || len(b) < n*size ||
			tag == tagComparison && (n < 3 || n > maxComparisonBytes+2 || len(m.comparison) > 0) {
			return errMalformed
		}
		for range n {
			if !m.parseItem(tag, b) {
				return errMalformed
			}
			b = b[size:]
		}
	}
	return nil
}

// parseItem decodes one item of a section and appends it to the message. It reports whether the item is well-formed.
func (m *message) parseItem(tag kind, b []byte) bool {
	switch tag {
	case tagClaims:
		c := claim{router: binary.BigEndian.Uint16(b), state: State(b[2] & 3), phase: Phase(b[2] >> 2 & 3), accusers: b[2] >> 4,
			inc: Incarnation{decodeTime(b[3:]), binary.BigEndian.Uint16(b[9:])}, suspicionAge: time.Duration(b[11]) * suspicionAgeUnit}
		m.claims = append(m.claims, c)
		return c.state == Suspect && c.accusers > 0 || c.accusers == 0 && c.suspicionAge == 0
	case tagDetails:
		d := detail{binary.BigEndian.Uint16(b), decodeTime(b[2:]), Details{binary.BigEndian.Uint16(b[8:]),
			binary.BigEndian.Uint32(b[10:]), binary.BigEndian.Uint32(b[14:]), binary.BigEndian.Uint16(b[18:]), b[20] >> 1, b[20]&1 == 1}}
		m.details = append(m.details, d)
		return d.Seq > 0 && d.start > 0
	case tagComparison:
		m.comparison = append(m.comparison, b[0])
	case tagObservations:
		o := Observation{binary.BigEndian.Uint32(b), ObservedState(b[4]), time.Duration(b[5]) * observationAgeUnit}
		m.observations = append(m.observations, o)
		return o.State == ObservedDown || o.State == ObservedUp
	}
	return true
}
