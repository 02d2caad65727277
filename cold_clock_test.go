package hoptiller

import (
	"testing"
	"time"
)

// progressAfterListing returns the warm-up progress of a server at a time after its start was listed. The router's clock was
// ahead of discovery's by clockAhead when the router began (negative: behind it).
func progressAfterListing(clockAhead, after time.Duration) float64 {
	const listedAt = 1000 * time.Hour // on the router's clock
	set := testSettings()
	r := New(listedAt-time.Minute, set, 1, newRecorder())
	r.UpdateServers(listedAt-time.Minute, ListFull, fleet(1, 1, 1))
	r.UpdateServers(listedAt, ListDelta, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: listedAt - clockAhead - time.Second}})
	r.now = listedAt + after
	return r.warmUpProgress(r.servers[2])
}

// A server that has just started is warm once the warm-up is over, even if the router's clock is an hour behind.
func TestStartWithClockBehind(t *testing.T) {
	set := testSettings()
	if progress := progressAfterListing(-time.Hour, 0); progress > 0.1 {
		t.Errorf("at once its warm-up progress is %.2f", progress)
	}
	if progress := progressAfterListing(-time.Hour, set.WarmUp); progress < 1 {
		t.Errorf("%v after its start was listed its warm-up progress is %.2f", set.WarmUp, progress)
	}
}

// A server that has just started is cold, even if the router's clock is an hour ahead.
func TestStartWithClockAhead(t *testing.T) {
	if progress := progressAfterListing(time.Hour, 0); progress > 0.1 {
		t.Errorf("at once its warm-up progress is %.2f", progress)
	}
}

// The list that a router begins with may be old. A server that has started since then is as warm as its listed start says.
func TestStartAfterCachedList(t *testing.T) {
	const now = 1000 * time.Hour
	set := testSettings()
	r := New(now, set, 1, newRecorder())
	r.UpdateServers(now, ListCached, fleet(1, 1, 1))
	r.UpdateServers(now+time.Second, ListFull, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: now - time.Hour}})
	if progress := r.warmUpProgress(r.servers[2]); progress < 1 {
		t.Errorf("its warm-up progress is %.2f an hour after its start", progress)
	}
}

// A start may be listed some seconds late, after other updates of the list. It still counts from its listed time.
func TestStartListedLate(t *testing.T) {
	const now = 1000 * time.Hour
	set := testSettings()
	r := New(now-time.Minute, set, 1, newRecorder())
	r.UpdateServers(now-time.Minute, ListFull, fleet(1, 1, 1))
	r.UpdateServers(now-time.Second, ListDelta, []Server{{ID: 1, Phase: Draining, Weight: 1}})
	r.UpdateServers(now, ListDelta, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: now - 5*time.Second}})
	if progress, want := r.warmUpProgress(r.servers[2]), 5/set.WarmUp.Seconds(); progress != want {
		t.Errorf("its warm-up progress is %.2f 5 s after its start, want %.2f", progress, want)
	}
}

// A server that crashes leaves the list and comes back as a new entry. It is cold, even if the router's clock is an hour ahead.
func TestCrashedServerWithClockAhead(t *testing.T) {
	const now = 1000 * time.Hour
	r := New(now-time.Minute, testSettings(), 1, newRecorder())
	r.UpdateServers(now-time.Minute, ListFull, fleet(1, 1, 1))
	r.UpdateServers(now-10*time.Second, ListDelta, []Server{{ID: 2, Phase: Removed}})
	r.UpdateServers(now, ListDelta, []Server{{ID: 2, Phase: Ready, Weight: 1, Started: now - time.Hour - time.Second}})
	if progress := r.warmUpProgress(r.servers[2]); progress > 0.1 {
		t.Errorf("at once its warm-up progress is %.2f", progress)
	}
}

// A server that was missing from the list for a while and comes back with the same start is as warm as that start says.
func TestServerReturnsToList(t *testing.T) {
	const now = 1000 * time.Hour
	list := fleet(1, 1, 1)
	list[1].Started = now - time.Hour
	r := New(now-time.Minute, testSettings(), 1, newRecorder())
	r.UpdateServers(now-time.Minute, ListFull, list)
	r.UpdateServers(now-10*time.Second, ListDelta, []Server{{ID: 2, Phase: Removed}})
	r.UpdateServers(now, ListDelta, list[1:2])
	if progress := r.warmUpProgress(r.servers[2]); progress < 1 {
		t.Errorf("its warm-up progress is %.2f", progress)
	}
}
