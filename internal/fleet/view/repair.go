package view

import "time"

// These bound what a router sends in a period, however large its fleet is: what does not fit waits for the next period.
const (
	mostRepairs = 8  // datagrams of repair
	fullNews    = 18 // claims that a datagram has room for
	extraNews   = 3  // datagrams beside the probes where more is new
)

// differs tells whether another view is to be compared with this one. A single change settles by itself; it is worth a
// comparison where much changes, or where nothing does and the views still differ.
func (v *View) differs(m *message) bool {
	return m.sum != v.sum && int(m.of) == v.of &&
		(v.churn > mass || v.now-v.changed > settle || v.differing > 0 && v.now-v.differing > 2*settle)
}

const (
	churnKept = 0.8 // of the changes of one period in the next
	mass      = 16
	settle    = 1500 * time.Millisecond
)

// width is how many bits of each member's print a comparison has, so that it fits into a datagram beside claims. Of more than
// 1,008 members it has a part, another one each time.
func width(of int) int {
	for _, w := range []int{8, 4, 2} {
		if of*w <= mostBits*8 {
			return w
		}
	}
	return 1
}

// part are the bits of a member's print in the comparison of a number: others in each, so that what is overlooked in one is
// found in the next.
func part(print uint64, seq uint32, w int) byte {
	x := (print ^ uint64(seq)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return byte(x >> (64 - w))
}

// appendBits adds some bits of each member's print. Whoever has others knows something else of it.
func (v *View) appendBits(b []byte, seq uint32) []byte {
	w := width(v.of)
	n := min(v.of, mostBits*8/w)
	from := 0
	if n < v.of {
		from = v.intn(v.of)
	}
	b = append(b, byte(tagBits), byte(2+(n*w+7)/8), byte(from>>8), byte(from))
	at := len(b)
	b = append(b, make([]byte, (n*w+7)/8)...)
	for k := range n {
		x := part(v.members[(from+k)%v.of].print, seq, w)
		b[at+k*w/8] |= x << (k * w % 8)
	}
	return b
}

// repair sends a neighbour this router's claims of those members of whom it knows something else. It sends back what it
// knows better.
func (v *View) repair(to int, seq uint32, bits []byte) {
	from, bits := int(bits[0])<<8|int(bits[1]), bits[2:]
	w := width(v.of)
	n := min(v.of, len(bits)*8/w)
	begin := v.intn(n)
	var needs []int
	flush := func() {
		if len(needs) > 0 && v.repairs > 0 {
			v.repairs--
			v.write(trade, to, 0, 0, false, needs)
		}
		needs = needs[:0]
	}
	for i := range n {
		k := (begin + i) % n
		who := (from + k) % v.of
		if who == v.self || who == to || v.repairs == 0 { // the heads say these
			continue
		}
		if byte(bits[k*w/8]>>(k*w%8))&byte(1<<w-1) != part(v.members[who].print, seq, w) {
			if needs = append(needs, who); len(needs) == fullNews {
				flush()
			}
		}
	}
	flush()
}

// payDebts sends neighbours what they were found to know worse.
func (v *View) payDebts() {
	for len(v.news.debts) > 0 && v.repairs > 0 {
		to := v.news.debts[0].to
		var needs []int
		left := v.news.debts[:0]
		for _, d := range v.news.debts {
			if d.to == to && len(needs) < fullNews {
				needs = append(needs, int(d.who))
				continue
			}
			left = append(left, d)
		}
		v.news.debts = left
		v.repairs--
		v.write(news, int(to), 0, 0, false, needs)
	}
	v.news.debts = v.news.debts[:0]
}
