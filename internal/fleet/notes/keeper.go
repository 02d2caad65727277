package notes

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hoptiller/internal/fleet/permit"
)

// Whoever keeps a note renews its permit, and says the note anew with each renewal. When it has not been said for a while another
// router goes on with the permit: the first after the owner that is there, or the owner itself in its next life.
const (
	takeOverAt = 5 * time.Second // of its lease left; a renewal is due when two thirds are left
	overdueAt  = 6 * time.Second // of its lease left: its owner is asked whether it has been renewed
	askPause   = 60 * time.Millisecond
	inTurn     = 100 * time.Millisecond
	oneMore    = 1 << 16 // of epochs, and of a permit's asks
)

// Errors of what operators ask for.
var (
	ErrNone = errors.New("nothing of this is known")
	ErrFull = fmt.Errorf("%d are known already, and no more can be", MostNotes)
)

// ErrTaken says that a thing is kept already, and by whom.
type ErrTaken struct{ Router int }

// Error implements error.
func (e *ErrTaken) Error() string { return fmt.Sprintf("router %d keeps this already", e.Router) }

// kept is a note that this router keeps, or wants to.
type kept struct {
	note  Note
	until time.Duration // what was last said holds
	ends  time.Duration
}

// Keeper keeps notes by permits. It is not safe for use by several goroutines at once.
type Keeper struct {
	Store
	agent *permit.Agent
	kept  map[Key]*kept
	asked time.Duration // when an owner was last asked for a renewal
}

// NewKeeper makes the keeper of a router whose process has started now.
func NewKeeper(now time.Duration, agent *permit.Agent) *Keeper {
	k := &Keeper{Store: *NewStore(now, agent.Self, agent.Of, agent.Chance), agent: agent, kept: map[Key]*kept{}}
	agent.Told = k.places
	return k
}

// places visits the places by which things are out, as this router knows.
func (k *Keeper) places(visit func(s permit.Slot, by uint64)) {
	for _, h := range k.notes {
		for _, s := range h.Slots {
			visit(s, h.Permit)
		}
	}
}

// Ask has this router ask for a permit in groups, and say a note once it has it. It is over after a time by itself.
func (k *Keeper) Ask(now time.Duration, key Key, groups []uint16, body string, over time.Duration) error {
	before, _, told := k.Get(now, key)
	switch {
	case k.kept[key] != nil:
		return &ErrTaken{k.self}
	case told && !before.Off:
		return &ErrTaken{int(before.Owner)}
	case k.Full(now):
		return ErrFull
	}
	n := Note{Key: key, Epoch: next(before.Epoch), Owner: uint16(k.self), Permit: k.agent.NewPermit(key.ID), Body: body}
	k.kept[key] = &kept{note: n, ends: now + over}
	k.agent.Seek(now, n.Permit, groups)
	return nil
}

// next is the epoch of what begins, or is over.
func next(epoch uint32) uint32 { return epoch&^(oneMore-1) + oneMore }

// Undo says that a thing is over, whoever keeps it, or asks for it no more.
func (k *Keeper) Undo(now time.Duration, key Key) error {
	n, _, told := k.Get(now, key)
	told = told && !n.Off
	own := k.kept[key]
	if !told && own == nil {
		return ErrNone
	}
	if own != nil {
		k.agent.Forget(own.note.Permit)
		delete(k.kept, key)
	}
	if told { // for as long as older copies may be believed
		n.Epoch, n.Owner, n.N, n.Off, n.Ends = next(n.Epoch), uint16(k.self), 0, true, 0
		k.Say(now, n, 2*permit.MostLease)
	}
	return nil
}

// Change says other words in a note that this router keeps.
func (k *Keeper) Change(now time.Duration, key Key, body string) error {
	own := k.kept[key]
	if own == nil {
		return ErrNone
	}
	if own.note.Body != body {
		own.note.Body = body
		if own.until > now {
			k.say(now, own)
		}
	}
	return nil
}

func (k *Keeper) say(now time.Duration, own *kept) {
	own.note.N++
	own.note.Ends = own.ends - now
	k.Say(now, own.note, own.until-now)
}

// Stand is how a thing stands that this router keeps: asked for, or held, and why it was last refused.
func (k *Keeper) Stand(now time.Duration, key Key) (p permit.Phase, reason string) {
	own := k.kept[key]
	if own == nil {
		return permit.Idle, ""
	}
	p, _, _, reason = k.agent.Other(now, own.note.Permit)
	return p, reason
}

// Wanted gives the words of what this router keeps or asks for.
func (k *Keeper) Wanted(key Key) (body string, ok bool) {
	own := k.kept[key]
	if own == nil {
		return "", false
	}
	return own.note.Body, true
}

// Ends is how long what this router keeps or asks for lasts at the most.
func (k *Keeper) Ends(now time.Duration, key Key) time.Duration {
	own := k.kept[key]
	if own == nil {
		return 0
	}
	return own.ends - now
}

// Kept are the keys of what this router keeps or asks for.
func (k *Keeper) Kept() (keys []Key) {
	for key := range k.kept {
		keys = append(keys, key)
	}
	return keys
}

// Tick does what is due, once the agent has done so.
func (k *Keeper) Tick(now time.Duration) {
	k.Store.Tick(now)
	for key, own := range k.kept {
		k.keep(now, key, own)
	}
	k.askForRenewal(now)
	k.takeOverSome(now)
}

// askForRenewal asks an owner of notes whose renewals should have come by now. While many notes are renewed each answer holds but a
// part of them, and one that has missed here is no sign that its owner is gone.
func (k *Keeper) askForRenewal(now time.Duration) {
	if now-k.asked < askPause {
		return
	}
	var owners []uint16
	for key, h := range k.notes {
		if k.kept[key] == nil && !h.Off && int(h.Owner) != k.self && now < h.until && h.until-now <= overdueAt {
			owners = append(owners, h.Owner)
		}
	}
	if len(owners) == 0 {
		return
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	k.asked = now
	k.ask(now, int(owners[k.chance()%uint64(len(owners))]))
}

// keep goes on with a note of this router's.
func (k *Keeper) keep(now time.Duration, key Key, own *kept) {
	known, _, told := k.Get(now, key)
	if told && known.Newer(&own.note) && (known.Owner != own.note.Owner || known.Epoch != own.note.Epoch) {
		k.agent.Forget(own.note.Permit) // another one keeps it, or it is over
		delete(k.kept, key)
		return
	}
	if now >= own.ends {
		k.Undo(now, key)
		return
	}
	p, left, slots, _ := k.agent.Other(now, own.note.Permit)
	adopted := own.note.Epoch%oneMore > 0
	switch {
	case p == permit.Ended, p == permit.Asking && adopted && !told: // nobody believes it any more
		k.agent.Forget(own.note.Permit)
		delete(k.kept, key)
	case p == permit.Holding && now+left > own.until:
		own.until, own.note.Slots = now+left, slots
		k.say(now, own)
	}
}

// takeOverSome goes on with notes that their owners have not said for a while.
func (k *Keeper) takeOverSome(now time.Duration) {
	var due []Key
	for key, h := range k.notes {
		if k.kept[key] == nil && !h.Off && now < h.until && k.mayTakeOver(now, h) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, Key.compare)
	for _, key := range due {
		n, _, _ := k.Get(now, key)
		k.adopt(now, n)
	}
}

// mayTakeOver tells whether it is this router's turn to go on with a note.
func (k *Keeper) mayTakeOver(now time.Duration, h *held) bool {
	if h.Epoch%oneMore == oneMore-1 {
		return false
	}
	behind := (k.self - int(h.Owner) + k.of) % k.of // 0: a former life of this router
	return behind == 0 || h.until-now <= takeOverAt-time.Duration(behind-1)*inTurn
}

func (k *Keeper) adopt(now time.Duration, n Note) {
	ends := now + n.Ends
	n.Epoch++
	n.Owner, n.N = uint16(k.self), 0
	k.kept[n.Key] = &kept{note: n, ends: ends}
	k.agent.Adopt(now, n.Permit, n.Slots, n.Epoch%oneMore*oneMore)
}

// Renew puts off the end of a note, and says other words in it. It is kept here from now on, if another router has kept it.
func (k *Keeper) Renew(now time.Duration, key Key, body string, over time.Duration) error {
	own := k.kept[key]
	if own == nil {
		n, _, told := k.Get(now, key)
		if !told || n.Off {
			return ErrNone
		}
		k.adopt(now, n)
		own = k.kept[key]
	}
	own.ends = now + over
	return k.Change(now, key, body)
}
