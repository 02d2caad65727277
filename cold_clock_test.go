package hoptiller

import (
	"testing"
	"time"
)

// warmthAfterNews is the part of its weight that a server counts with so long after its start was told. The router's clock was ahead of
// discovery's when the router began, or behind it.
func warmthAfterNews(ahead, after time.Duration) float64 {
	const news = 1000 * time.Hour // by the router's clock
	set := testSettings()
	r := New(news-time.Minute, set, 1, newRecorder())
	r.List(news-time.Minute, ListFull, fleet(1, 1, 1))
	r.List(news, ListDelta, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: news - ahead - time.Second}})
	r.now = news + after
	return r.fade(r.known[2])
}

// A server that has just started is warm when the stated warm-up is over, also by a clock that is an hour behind.
func TestStartByAClockBehind(t *testing.T) {
	set := testSettings()
	if part := warmthAfterNews(-time.Hour, 0); part > 0.1 {
		t.Errorf("at once it counts with %.2f of its weight", part)
	}
	if part := warmthAfterNews(-time.Hour, set.Cold); part < 1 {
		t.Errorf("%v after the news it counts with %.2f of its weight", set.Cold, part)
	}
}

// A server that has just started is cold, also by a clock that is an hour ahead.
func TestStartByAClockAhead(t *testing.T) {
	if part := warmthAfterNews(time.Hour, 0); part > 0.1 {
		t.Errorf("at once it counts with %.2f of its weight", part)
	}
}

// The list that a router begins with may be of long ago. A server that has started since then is as warm as its start says.
func TestStartSinceACachedList(t *testing.T) {
	const now = 1000 * time.Hour
	set := testSettings()
	r := New(now, set, 1, newRecorder())
	r.List(now, ListCached, fleet(1, 1, 1))
	r.List(now+time.Second, ListFull, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: now - time.Hour}})
	if part := r.fade(r.known[2]); part < 1 {
		t.Errorf("it counts with %.2f of its weight an hour after its start", part)
	}
}

// News of a start may be late by some seconds, while other news came. Its age counts all the same.
func TestStartThatIsToldLate(t *testing.T) {
	const now = 1000 * time.Hour
	set := testSettings()
	r := New(now-time.Minute, set, 1, newRecorder())
	r.List(now-time.Minute, ListFull, fleet(1, 1, 1))
	r.List(now-time.Second, ListDelta, []Server{{ID: 1, Phase: Draining, Weight: 1}})
	r.List(now, ListDelta, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: now - 5*time.Second}})
	if part, want := r.fade(r.known[2]), 5/set.Cold.Seconds(); part != want {
		t.Errorf("it counts with %.2f of its weight 5 s after its start, not with %.2f", part, want)
	}
}

// A server that crashes leaves the list and comes back as a new entry. It is cold, also by a clock that is an hour ahead.
func TestCrashedServerByAClockAhead(t *testing.T) {
	const now = 1000 * time.Hour
	r := New(now-time.Minute, testSettings(), 1, newRecorder())
	r.List(now-time.Minute, ListFull, fleet(1, 1, 1))
	r.List(now-10*time.Second, ListDelta, []Server{{ID: 2, Phase: Gone}})
	r.List(now, ListDelta, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: now - time.Hour - time.Second}})
	if part := r.fade(r.known[2]); part > 0.1 {
		t.Errorf("at once it counts with %.2f of its weight", part)
	}
}

// A server that was lost from the list for a while and comes back with the start that it had is as warm as that says.
func TestServerThatWasLostFromTheList(t *testing.T) {
	const now = 1000 * time.Hour
	list := fleet(1, 1, 1)
	list[1].Started = now - time.Hour
	r := New(now-time.Minute, testSettings(), 1, newRecorder())
	r.List(now-time.Minute, ListFull, list)
	r.List(now-10*time.Second, ListDelta, []Server{{ID: 2, Phase: Gone}})
	r.List(now, ListDelta, list[1:2])
	if part := r.fade(r.known[2]); part < 1 {
		t.Errorf("it counts with %.2f of its weight", part)
	}
}
