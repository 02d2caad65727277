package notes

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// Version is the first byte of each datagram: another one than the view's and the permits', which share an address with these.
const Version = 3

// A datagram is version 1, kind 1, from 2, to 2; then, of a hint, the sender's sum 8; of a pull its number 4 and the sum 8; of a
// reply the number 4 and notes; and 4 bytes of a checksum. A note is kind 1, id 4, epoch 4, owner 2, n 4, permit 8, flags 1,
// left in ms 2, ends in s 4, slots 1 and each 3, length of the body 1, body. All numbers have the most significant byte first.
const (
	mostBytes  = 256
	headBytes  = 6
	checkBytes = 4
	noteBytes  = 32

	hint  = 1
	pull  = 2
	reply = 3

	flagOff = 1
)

var errBad = errors.New("no datagram of notes")

type wireNote struct {
	Note
	left time.Duration
}

type message struct {
	kind     byte
	from, to uint16
	number   uint32
	sum      uint64
	notes    []wireNote
}

func head(kind byte, from, to uint16) []byte {
	b := append(make([]byte, 0, mostBytes), Version, kind)
	b = binary.BigEndian.AppendUint16(b, from)
	return binary.BigEndian.AppendUint16(b, to)
}

func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, uint32(xxhash.Sum64(b))) }

func appendHint(from, to uint16, sum uint64) []byte {
	return seal(binary.BigEndian.AppendUint64(head(hint, from, to), sum))
}

func appendPull(from, to uint16, number uint32, sum uint64) []byte {
	return seal(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(head(pull, from, to), number), sum))
}

// appendReply begins a reply; notes and the checksum follow.
func appendReply(from, to uint16, number uint32) []byte {
	return binary.BigEndian.AppendUint32(head(reply, from, to), number)
}

func appendNote(b []byte, n *Note, left time.Duration) []byte {
	b = binary.BigEndian.AppendUint32(append(b, byte(n.Kind)), n.ID)
	b = binary.BigEndian.AppendUint32(b, n.Epoch)
	b = binary.BigEndian.AppendUint16(b, n.Owner)
	b = binary.BigEndian.AppendUint32(b, n.N)
	b = binary.BigEndian.AppendUint64(b, n.Permit)
	flags := byte(0)
	if n.Off {
		flags = flagOff
	}
	b = append(b, flags)
	b = binary.BigEndian.AppendUint16(b, uint16(max(0, min(left.Milliseconds(), 1<<16-1)))) // rounded down: believed no longer
	b = binary.BigEndian.AppendUint32(b, uint32(max(0, min(n.Ends/time.Second, 1<<32-1))))
	b = append(b, byte(len(n.Slots)))
	for _, s := range n.Slots {
		b = permit.AppendSlot(b, s)
	}
	return append(append(b, byte(len(n.Body))), n.Body...)
}

// parse reads a datagram. Whatever is wrong, nothing of it counts.
func parse(b []byte) (m message, err error) {
	if len(b) < headBytes+checkBytes || len(b) > mostBytes || b[0] != Version {
		return m, errBad
	}
	body := b[:len(b)-checkBytes]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(b[len(body):]) {
		return m, errBad
	}
	m.kind, m.from, m.to = body[1], binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
	body = body[headBytes:]
	switch {
	case m.kind == hint && len(body) == 8:
		m.sum = binary.BigEndian.Uint64(body)
	case m.kind == pull && len(body) == 12:
		m.number, m.sum = binary.BigEndian.Uint32(body), binary.BigEndian.Uint64(body[4:])
	case m.kind == reply && len(body) > 4:
		m.number = binary.BigEndian.Uint32(body)
		for body = body[4:]; len(body) > 0; {
			n, size := parseNote(body)
			if size == 0 {
				return message{}, errBad
			}
			m.notes = append(m.notes, n)
			body = body[size:]
		}
	default:
		return message{}, errBad
	}
	return m, nil
}

// parseNote reads one note; a size of 0 is none.
func parseNote(b []byte) (n wireNote, size int) {
	if len(b) < noteBytes || b[0] == 0 || Kind(b[0]) >= kinds || b[23] > flagOff || b[30] > mostSlots {
		return n, 0
	}
	n.Key = Key{Kind(b[0]), binary.BigEndian.Uint32(b[1:])}
	n.Epoch, n.Owner = binary.BigEndian.Uint32(b[5:]), binary.BigEndian.Uint16(b[9:])
	n.N, n.Permit = binary.BigEndian.Uint32(b[11:]), binary.BigEndian.Uint64(b[15:])
	n.Off = b[23] == flagOff
	n.left = time.Duration(binary.BigEndian.Uint16(b[24:])) * time.Millisecond
	n.Ends = time.Duration(binary.BigEndian.Uint32(b[26:])) * time.Second
	at := noteBytes - 1
	for range b[30] {
		if len(b) < at+permit.SlotBytes+1 { // and the length of the body
			return n, 0
		}
		n.Slots = append(n.Slots, permit.ReadSlot(b[at:]))
		at += permit.SlotBytes
	}
	length := int(b[at])
	if at++; length > MostBody || len(b) < at+length {
		return n, 0
	}
	n.Body = string(b[at : at+length])
	return n, at + length
}
