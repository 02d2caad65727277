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
