package leases

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// Version is the first byte of each datagram. It differs from those of the view's and the permits' datagrams, which use the
// same address.
const Version = 3

// A datagram begins with version 1, kind 1, from 2, to 2, where the figures are lengths in bytes. An announcement goes on
// with the checksum 8 of the sender's store; a pull with its number 4 and the store's checksum 8; an answer with the pull's
// number 4 and leases. A checksum of 4 bytes ends the datagram. A lease is kind 1, id 4, epoch 4, owner 2, seq 4, permit 8,
// flags 1, remaining time in ms 2, time until its end in s 4, number of slots 1 and each slot 3, length of the body 1, body.
// All numbers are big-endian.
const (
	maxDatagramBytes = 256
	headerBytes      = 6
	checksumBytes    = 4
	minLeaseBytes    = 32 // of a lease without slots and body

	kindAnnouncement = 1
	kindPull         = 2
	kindAnswer       = 3

	flagOff = 1 // the drain or release has ended
)

var errMalformed = errors.New("malformed lease datagram")

// wireLease is a lease in an answer, with the time for which it remains valid.
type wireLease struct {
	Lease
	remaining time.Duration
}

// message is a decoded datagram.
type message struct {
	kind     byte
	from, to uint16
	number   uint32 // of a pull, or of the pull that an answer is for
	checksum uint64 // of the sender's store, in announcements and pulls
	leases   []wireLease
}

// newDatagram returns a datagram's header.
func newDatagram(kind byte, from, to uint16) []byte {
	b := append(make([]byte, 0, maxDatagramBytes), Version, kind)
	b = binary.BigEndian.AppendUint16(b, from)
	return binary.BigEndian.AppendUint16(b, to)
}

// appendChecksum appends the checksum that ends a datagram.
func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(xxhash.Sum64(b)))
}

func appendAnnouncement(from, to uint16, checksum uint64) []byte {
	return appendChecksum(binary.BigEndian.AppendUint64(newDatagram(kindAnnouncement, from, to), checksum))
}

func appendPull(from, to uint16, number uint32, checksum uint64) []byte {
	return appendChecksum(binary.BigEndian.AppendUint64(
		binary.BigEndian.AppendUint32(newDatagram(kindPull, from, to), number), checksum))
}

// appendAnswer returns the beginning of an answer. The caller appends leases and the checksum.
func appendAnswer(from, to uint16, number uint32) []byte {
	return binary.BigEndian.AppendUint32(newDatagram(kindAnswer, from, to), number)
}

func appendLease(b []byte, lease *Lease, remaining time.Duration) []byte {
	b = binary.BigEndian.AppendUint32(append(b, byte(lease.Kind)), lease.ID)
	b = binary.BigEndian.AppendUint32(b, lease.Epoch)
	b = binary.BigEndian.AppendUint16(b, lease.Owner)
	b = binary.BigEndian.AppendUint32(b, lease.Seq)
	b = binary.BigEndian.AppendUint64(b, lease.Permit)
	flags := byte(0)
	if lease.Ended {
		flags = flagOff
	}
	b = append(b, flags)
	// Rounded down, so that no router believes the lease for too long.
	b = binary.BigEndian.AppendUint16(b, uint16(max(0, min(remaining.Milliseconds(), 1<<16-1))))
	b = binary.BigEndian.AppendUint32(b, uint32(max(0, min(lease.EndsIn/time.Second, 1<<32-1))))
	b = append(b, byte(len(lease.Slots)))
	for _, s := range lease.Slots {
		b = permit.AppendSlot(b, s)
	}
	return append(append(b, byte(len(lease.Body))), lease.Body...)
}

// parse decodes a datagram. It returns an error if any part of the datagram is invalid.
func parse(b []byte) (m message, err error) {
	if len(b) < headerBytes+checksumBytes || len(b) > maxDatagramBytes || b[0] != Version {
		return m, errMalformed
	}
	body := b[:len(b)-checksumBytes]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(b[len(body):]) {
		return m, errMalformed
	}
	m.kind, m.from, m.to = body[1], binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
	body = body[headerBytes:]
	switch {
	case m.kind == kindAnnouncement && len(body) == 8:
		m.checksum = binary.BigEndian.Uint64(body)
	case m.kind == kindPull && len(body) == 12:
		m.number, m.checksum = binary.BigEndian.Uint32(body), binary.BigEndian.Uint64(body[4:])
	case m.kind == kindAnswer && len(body) > 4:
		m.number = binary.BigEndian.Uint32(body)
		for body = body[4:]; len(body) > 0; {
			lease, size := parseLease(body)
			if size == 0 {
				return message{}, errMalformed
			}
			m.leases = append(m.leases, lease)
			body = body[size:]
		}
	default:
		return message{}, errMalformed
	}
	return m, nil
}

// parseLease decodes one lease and returns its length in bytes, or 0 if it is invalid.
func parseLease(b []byte) (lease wireLease, size int) {
	if len(b) < minLeaseBytes || b[0] == 0 || Kind(b[0]) >= kindEnd || b[23] > flagOff || b[30] > maxSlots {
		return lease, 0
	}
	lease.Key = Key{Kind(b[0]), binary.BigEndian.Uint32(b[1:])}
	lease.Epoch, lease.Owner = binary.BigEndian.Uint32(b[5:]), binary.BigEndian.Uint16(b[9:])
	lease.Seq, lease.Permit = binary.BigEndian.Uint32(b[11:]), binary.BigEndian.Uint64(b[15:])
	lease.Ended = b[23] == flagOff
	lease.remaining = time.Duration(binary.BigEndian.Uint16(b[24:])) * time.Millisecond
	lease.EndsIn = time.Duration(binary.BigEndian.Uint32(b[26:])) * time.Second
	at := minLeaseBytes - 1
	for range b[30] {
		if len(b) < at+permit.SlotBytes+1 { // the last byte is the length of the body
			return lease, 0
		}
		lease.Slots = append(lease.Slots, permit.ReadSlot(b[at:]))
		at += permit.SlotBytes
	}
	length := int(b[at])
	if at++; length > MaxBody || len(b) < at+length {
		return lease, 0
	}
	lease.Body = string(b[at : at+length])
	return lease, at + length
}
