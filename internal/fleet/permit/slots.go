package permit

// maxOrderedTries is how many slots an acquirer finds taken, each at the cost of a round of requests, before it starts its
// search at a random slot. Where hundreds of acquirers compete, taking the lowest free slot would cost the last of them
// hundreds of rounds.
const maxOrderedTries = 4

// chooseSlots returns one slot in each group: the lowest that no permit is known to hold. It returns none if a group is full.
// Slots in taken, which other sources than voters report as held by other permits, may be free again and are the last choice.
func (a *Agent) chooseSlots(permit uint64, groups []uint16, held, taken map[Slot]uint64) (slots []Slot) {
	for _, group := range groups {
		s, ok := a.chooseSlot(permit, group, held, taken)
		if !ok {
			return nil
		}
		slots = append(slots, s)
	}
	return slots
}

// chooseDistinctSlots chooses slots for one of many permits that this router requests at the same time. It marks them as
// taken, so that each permit requests other slots.
func (a *Agent) chooseDistinctSlots(permit uint64, groups []uint16, held map[Slot]uint64) []Slot {
	if a.taken == nil {
		a.taken = a.takenSlots()
	}
	slots := a.chooseSlots(permit, groups, held, a.taken)
	for _, s := range slots {
		a.taken[s] = permit
	}
	return slots
}

// chooseSlot returns a slot of one group; ok is false if the group is full.
func (a *Agent) chooseSlot(permit uint64, group uint16, held, taken map[Slot]uint64) (s Slot, ok bool) {
	limit := a.groupLimit(group)
	first := 0
	if len(held) > maxOrderedTries && limit > 0 {
		first = int(a.Random() % uint64(limit))
	}
	for i := range limit {
		next := Slot{group, uint16((first + i) % limit)}
		if held[next] != 0 {
			continue
		}
		if holder := taken[next]; holder == 0 || holder == permit {
			return next, true
		}
		if !ok {
			s, ok = next, true
		}
	}
	return s, ok
}

// takenSlots returns the slots that this router's voter has granted, that VisitTakenSlots reports, and that this router's own
// acquirers hold or request, with their permits.
func (a *Agent) takenSlots() map[Slot]uint64 {
	taken := map[Slot]uint64{}
	if a.voter != nil {
		for s, l := range a.voter.leases {
			taken[s] = l.permit
		}
	}
	if a.VisitTakenSlots != nil {
		a.VisitTakenSlots(func(s Slot, permit uint64) { taken[s] = permit })
	}
	for permit, acquirer := range a.transferable {
		if acquirer.phase == Holding || acquirer.phase == Requesting && acquirer.answered != nil {
			for _, s := range acquirer.slots {
				taken[s] = permit
			}
		}
	}
	return taken
}
