package permit

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version is the first byte of each datagram. It differs from that of the view's datagrams, which use the same address.
const Version = 2

// A datagram begins with version 1, kind 1, from 2, to 2, permit 8, seq 4, where the figures are lengths in bytes. A request
// goes on with its duration in ms 4, number of slots 1 and each slot 3; a reply with its reason 1, slot 3, holder 8. A
// checksum of 4 bytes ends the datagram. All numbers are big-endian.
const (
	headerBytes     = 18
	checksumBytes   = 4
	maxRequestSlots = 16 // a request needs one slot in each group that limits its holder: two

	kindRequest = 1
	kindRelease = 2
	kindReply   = 3
)

var errMalformed = errors.New("malformed permit datagram")

// Message is a decoded datagram. Either Request or Reply is set.
type Message struct {
	From, To uint16
	Request  *Request
	Reply    *Reply
}

// SlotBytes is the length of a slot in a datagram: 2 bytes for its group and 1 for the low byte of its number. The high bits
// of the number are in bits of the group that no group number uses, so that slots with numbers up to 255 are encoded as they
// were before larger numbers existed.
const SlotBytes = 3

const (
	numberShift = 10
	numberMask  = 0x3c00 // bits of an encoded group that hold the high bits of the slot's number
)

// MaxSlots is the largest number of slots that a group can have: as many as a datagram can tell apart. It is more than a
// fleet of 1,024 routers or servers needs if all of them may be out of service at once.
const MaxSlots = (numberMask>>numberShift + 1) << 8

// MaxZones is the number of zones that have groups of their own, which the encoding limits too. Members of any further zone
// count in the group of the last.
const MaxZones = 1<<numberShift - 1

// AppendSlot appends an encoded slot.
func AppendSlot(b []byte, s Slot) []byte {
	high := s.Number >> 8 << numberShift
	return append(binary.BigEndian.AppendUint16(b, s.Group|high), byte(s.Number))
}

// ReadSlot decodes a slot from the first SlotBytes of b.
func ReadSlot(b []byte) Slot {
	group := binary.BigEndian.Uint16(b)
	high := group & numberMask >> numberShift << 8
	return Slot{Group: group &^ numberMask, Number: high | uint16(b[2])}
}

// newDatagram returns a datagram's header.
func newDatagram(kind byte, from, to uint16, permit uint64, seq uint32) []byte {
	b := append(make([]byte, 0, 96), Version, kind)
	b = binary.BigEndian.AppendUint16(b, from)
	b = binary.BigEndian.AppendUint16(b, to)
	b = binary.BigEndian.AppendUint64(b, permit)
	return binary.BigEndian.AppendUint32(b, seq)
}

// appendChecksum appends the checksum that ends a datagram.
func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(xxhash.Sum64(b)))
}

// AppendRequest returns the datagram of a request of at most 16 slots, or of a release.
func AppendRequest(from, to uint16, request *Request) []byte {
	if request.Release {
		return appendChecksum(newDatagram(kindRelease, from, to, request.Permit, request.Seq))
	}
	b := newDatagram(kindRequest, from, to, request.Permit, request.Seq)
	b = binary.BigEndian.AppendUint32(b, uint32(request.Duration.Milliseconds()))
	b = append(b, byte(len(request.Slots)))
	for _, s := range request.Slots {
		b = AppendSlot(b, s)
	}
	return appendChecksum(b)
}

// AppendReply returns the datagram of a reply.
func AppendReply(from, to uint16, reply *Reply) []byte {
	b := append(newDatagram(kindReply, from, to, reply.Permit, reply.Seq), byte(reply.Reason))
	return appendChecksum(binary.BigEndian.AppendUint64(AppendSlot(b, reply.Slot), reply.Holder))
}

// Parse decodes a datagram. It returns an error, and neither a request nor a reply, if any part of the datagram is invalid.
func Parse(b []byte) (m Message, err error) {
	if len(b) < headerBytes+checksumBytes || b[0] != Version {
		return m, errMalformed
	}
	body := b[:len(b)-checksumBytes]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(b[len(body):]) {
		return m, errMalformed
	}
	kind := body[1]
	m.From, m.To = binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
	permit, seq := binary.BigEndian.Uint64(body[6:]), binary.BigEndian.Uint32(body[14:])
	body = body[headerBytes:]
	switch {
	case kind == kindRelease && len(body) == 0:
		m.Request = &Request{Permit: permit, Seq: seq, Release: true}
	case kind == kindRequest && len(body) >= 5 && body[4] > 0 && body[4] <= maxRequestSlots && len(body) == 5+int(body[4])*SlotBytes:
		m.Request = &Request{Permit: permit, Seq: seq, Duration: time.Duration(binary.BigEndian.Uint32(body)) * time.Millisecond}
		for body = body[5:]; len(body) > 0; body = body[SlotBytes:] {
			m.Request.Slots = append(m.Request.Slots, ReadSlot(body))
		}
	case kind == kindReply && len(body) == 1+SlotBytes+8 && Reason(body[0]) <= Invalid:
		m.Reply = &Reply{Permit: permit, Seq: seq, Reason: Reason(body[0]), Slot: ReadSlot(body[1:]),
			Holder: binary.BigEndian.Uint64(body[4:])}
	default:
		return m, errMalformed
	}
	return m, nil
}
