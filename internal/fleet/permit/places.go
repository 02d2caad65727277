package permit

// inOrder is how many places a seeker finds taken, each at the cost of a try, before it tries any other by chance. Where hundreds
// seek at once the lowest free one would cost the last of them hundreds of tries.
const inOrder = 4

// choose takes a place in each group: the lowest that nobody is known to hold. It gives none where a group is full. Places
// that others than the permit have taken, as far as was heard otherwise than from electors, may be free by now and come last.
func (a *Agent) choose(permit uint64, groups []uint16, held, taken map[Slot]uint64) (slots []Slot) {
	for _, group := range groups {
		s, ok := a.place(permit, group, held, taken)
		if !ok {
			return nil
		}
		slots = append(slots, s)
	}
	return slots
}

// chooseApart chooses for one of many permits that this router seeks, so that each of them takes another place at once.
func (a *Agent) chooseApart(permit uint64, groups []uint16, held map[Slot]uint64) []Slot {
	if a.taken == nil {
		a.taken = a.takenPlaces()
	}
	slots := a.choose(permit, groups, held, a.taken)
	for _, s := range slots {
		a.taken[s] = permit
	}
	return slots
}

func (a *Agent) place(permit uint64, group uint16, held, taken map[Slot]uint64) (s Slot, ok bool) {
	bound := a.bound(group)
	first := 0
	if len(held) > inOrder && bound > 0 {
		first = int(a.Chance() % uint64(bound))
	}
	for i := range bound {
		next := Slot{group, uint16((first + i) % bound)}
		if held[next] != 0 {
			continue
		}
		if by := taken[next]; by == 0 || by == permit {
			return next, true
		}
		if !ok {
			s, ok = next, true
		}
	}
	return s, ok
}

// takenPlaces are those that this router's seekers hold or ask for, that it has granted as an elector, and that it was told of.
func (a *Agent) takenPlaces() map[Slot]uint64 {
	taken := map[Slot]uint64{}
	if a.elector != nil {
		for s, l := range a.elector.leases {
			taken[s] = l.permit
		}
	}
	if a.Told != nil {
		a.Told(func(s Slot, permit uint64) { taken[s] = permit })
	}
	for permit, k := range a.others {
		if k.phase == Holding || k.phase == Asking && k.answered != nil {
			for _, s := range k.slots {
				taken[s] = permit
			}
		}
	}
	return taken
}
