package permit

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version is the first byte of each datagram: another one than the view's, which share an address with these.
const Version = 2

// A datagram is version 1, kind 1, from 2, to 2, permit 8, seq 4; then, of an ask, its time in ms 4, number of slots 1 and each
// slot 3, or of a reply why 1, slot 3, holder 8; and 4 bytes of a checksum. All numbers have the most significant byte first.
const (
	headBytes  = 18
	checkBytes = 4
	mostSlots  = 16 // of one ask, which has one in each group that bounds the seeker: two

	kindAsk     = 1
	kindRelease = 2
	kindReply   = 3
)

var errBad = errors.New("no datagram of permits")

// Message is what was read: one of both is set.
type Message struct {
	From, To uint16
	Ask      *Ask
	Reply    *Reply
}

// SlotBytes is the length of a slot in a datagram: its group 2, and the low byte of its number 1. The high bits of the number
// stand in those bits of the group that no group uses, so that slots with numbers up to 255 read as ever.
const SlotBytes = 3

const (
	numberShift = 10
	numberBits  = 0x3c00 // of a group in a datagram
)

// MostPlaces is how many places a group can have: as many as a datagram tells apart, and more than a fleet of 1,024 routers or
// servers needs of which all may be out at once.
const MostPlaces = (numberBits>>numberShift + 1) << 8

// MostZones is how many zones have groups of their own, for the same reason. What is in a further one counts as in the last.
const MostZones = 1<<numberShift - 1

// AppendSlot writes a slot.
func AppendSlot(b []byte, s Slot) []byte {
	high := s.Number >> 8 << numberShift
	return append(binary.BigEndian.AppendUint16(b, s.Group|high), byte(s.Number))
}

// ReadSlot reads a slot of SlotBytes.
func ReadSlot(b []byte) Slot {
	group := binary.BigEndian.Uint16(b)
	high := group & numberBits >> numberShift << 8
	return Slot{Group: group &^ numberBits, Number: high | uint16(b[2])}
}

func head(kind byte, from, to uint16, permit uint64, seq uint32) []byte {
	b := append(make([]byte, 0, 96), Version, kind)
	b = binary.BigEndian.AppendUint16(b, from)
	b = binary.BigEndian.AppendUint16(b, to)
	b = binary.BigEndian.AppendUint64(b, permit)
	return binary.BigEndian.AppendUint32(b, seq)
}

func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, uint32(xxhash.Sum64(b))) }

// AppendAsk writes an ask of at most 16 slots.
func AppendAsk(from, to uint16, a *Ask) []byte {
	if a.Release {
		return seal(head(kindRelease, from, to, a.Permit, a.Seq))
	}
	b := head(kindAsk, from, to, a.Permit, a.Seq)
	b = binary.BigEndian.AppendUint32(b, uint32(a.For.Milliseconds()))
	b = append(b, byte(len(a.Slots)))
	for _, s := range a.Slots {
		b = AppendSlot(b, s)
	}
	return seal(b)
}

// AppendReply writes a reply.
func AppendReply(from, to uint16, r *Reply) []byte {
	b := append(head(kindReply, from, to, r.Permit, r.Seq), byte(r.Why))
	return seal(binary.BigEndian.AppendUint64(AppendSlot(b, r.Slot), r.Holder))
}

// Parse reads a datagram. Whatever is wrong, nothing of it counts.
func Parse(b []byte) (m Message, err error) {
	if len(b) < headBytes+checkBytes || b[0] != Version {
		return m, errBad
	}
	body := b[:len(b)-checkBytes]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(b[len(body):]) {
		return m, errBad
	}
	kind := body[1]
	m.From, m.To = binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
	permit, seq := binary.BigEndian.Uint64(body[6:]), binary.BigEndian.Uint32(body[14:])
	body = body[headBytes:]
	switch {
	case kind == kindRelease && len(body) == 0:
		m.Ask = &Ask{Permit: permit, Seq: seq, Release: true}
	case kind == kindAsk && len(body) >= 5 && body[4] > 0 && body[4] <= mostSlots && len(body) == 5+int(body[4])*SlotBytes:
		m.Ask = &Ask{Permit: permit, Seq: seq, For: time.Duration(binary.BigEndian.Uint32(body)) * time.Millisecond}
		for body = body[5:]; len(body) > 0; body = body[SlotBytes:] {
			m.Ask.Slots = append(m.Ask.Slots, ReadSlot(body))
		}
	case kind == kindReply && len(body) == 1+SlotBytes+8 && Why(body[0]) <= Refused:
		m.Reply = &Reply{Permit: permit, Seq: seq, Why: Why(body[0]), Slot: ReadSlot(body[1:]), Holder: binary.BigEndian.Uint64(body[4:])}
	default:
		return m, errBad
	}
	return m, nil
}
