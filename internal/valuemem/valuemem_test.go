package valuemem

import (
	"context"
	"errors"
	"sync"
	"testing"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
	"hoptiller/internal/testprog"
)

const unit = 10 // bytes that the tests acquire at once

// Whatever values take memory in whatever order, no more is held than there is, and never do all of them wait for one another:
// one can take more, or one is complete and will be released.
func TestClaimsNeverDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 10 * unit
		b := New(capacity)
		var claims []*Claim
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(claims) == 0 || rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				claims = append(claims, b.NewClaim("1", unit*rapid.Int64Range(1, capacity/unit).Draw(t, "limit")))
			}
			i := rapid.IntRange(0, len(claims)-1).Draw(t, "claim")
			switch c := claims[i]; {
			case c.held < c.limit:
				c.TryAcquire(unit)
			case rapid.Bool().Draw(t, "release"):
				c.Release()
				claims = append(claims[:i], claims[i+1:]...)
			}
			held, complete, progress := int64(0), false, len(claims) == 0
			for _, c := range claims {
				held += c.held
				complete = complete || c.held == c.limit
				progress = progress || c.held < c.limit && b.ledger.mayGrant(c, unit)
			}
			if held > capacity || held != b.Summary().Held {
				t.Fatalf("%d bytes held, %+v", held, b.Summary())
			}
			if !complete && !progress {
				t.Fatalf("all claims wait for one another: %+v", claims)
			}
		}
	})
}

// Many values that take memory piece by piece at the same time, several times as much as there is, all become complete.
func TestConcurrentClaimsBecomeComplete(t *testing.T) {
	const capacity, count = 10 * unit, 40
	b := New(capacity)
	var running sync.WaitGroup
	for range count {
		running.Go(func() {
			c := b.NewClaim("1", capacity/2)
			defer c.Release()
			for c.Held() < capacity/2 {
				if _, err := c.Acquire(t.Context(), unit); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	done := make(chan bool)
	go func() {
		running.Wait()
		close(done)
	}()
	testprog.Await(t, done, "end of all values")
	if s := b.Summary(); s.Held != 0 || s.Waiting != 0 || s.GivenUp != 0 {
		t.Errorf("%+v", s)
	}
}

// A short value takes what is free beside long ones that are incomplete; a long one waits where it could stay incomplete.
func TestShortValueTakesWhatIsFree(t *testing.T) {
	b := New(10 * unit)
	first, second, short := b.NewClaim("1", 10*unit), b.NewClaim("1", 10*unit), b.NewClaim("1", unit)
	for range 4 {
		if !first.TryAcquire(unit) {
			t.Fatal("the first value gets no memory")
		}
	}
	if second.TryAcquire(unit) {
		t.Error("two values that may need all memory hold a part each")
	}
	if !short.TryAcquire(unit) {
		t.Error("a short value gets no memory though there is some")
	}
	first.Complete()
	if !second.TryAcquire(unit) {
		t.Error("the second value gets no memory though the first is complete")
	}
}

// What a value releases goes to one that waits, and a wait that ends without memory takes none later.
func TestWaits(t *testing.T) {
	b := New(2 * unit)
	ends := make(chan Wait, 2)
	b.OnWaited = func(w Wait) { ends <- w }
	holder, patient, impatient := b.NewClaim("1", 2*unit), b.NewClaim("1", 2*unit), b.NewClaim("1", 2*unit)
	holder.TryAcquire(unit)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { _, err := impatient.Acquire(ctx, unit); ended <- err }()
	testprog.Eventually(t, "a value waits", func() bool { return b.Summary().Waiting == 1 })
	cancel()
	if err := testprog.Await(t, ended, "end of the wait"); !errors.Is(err, context.Canceled) {
		t.Errorf("the wait ended with %v", err)
	}
	go func() { _, err := patient.Acquire(t.Context(), unit); ended <- err }()
	testprog.Eventually(t, "a value waits", func() bool { return b.Summary().Waiting == 1 })
	holder.Release()
	holder.Release()
	if err := testprog.Await(t, ended, "end of the wait"); err != nil || patient.Held() != unit || impatient.Held() != 0 {
		t.Errorf("%v, %d and %d bytes held", err, patient.Held(), impatient.Held())
	}
	if s := b.Summary(); s.Held != unit || s.Waits != 2 || s.GivenUp != 1 {
		t.Errorf("%+v", s)
	}
	for _, acquired := range []bool{false, true} {
		if w := testprog.Await(t, ends, "report of a wait"); w.Acquired != acquired || w.Request != "1" || w.Limit != 2*unit {
			t.Errorf("%+v", w)
		}
	}
}
