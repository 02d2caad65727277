package drill

import "testing"

// A soak's day on which a cold cache server was pushed over by routers that had been told of its start, once in seven plays.
func TestColdServerUnderHoldUps(t *testing.T) { playKnownRed(t, "cold-after-crash") }

// A soak's day on which two attempts of a request were out at once, in one of 19 plays.
func TestOneCallUnderHoldUps(t *testing.T) { playKnownRed(t, "one-call") }

// On the same day a cache server that comes back cold is pushed over before anybody is told of its start, mostly by routers that have just
// begun themselves.
func TestColdServerStandsBeforeItsNews(t *testing.T) { playKnownRed(t, "cold-server-stands") }

// A router whose ways to all caches stood still turns away all reads for seconds after they are free again.
func TestServesAgainAfterStalledWays(t *testing.T) { playKnownRed(t, "stalled-ways") }

// On a day that leaves the caches no room, routers leave more of what is asked unserved than a soak may.
func TestUnservedOnAFullDay(t *testing.T) { playKnownRed(t, "full-day") }

// A few requests with far more work than the mean push a cold cache server over, though all routers were told of its start long before.
func TestColdServerUnderHeavyRequests(t *testing.T) { playKnownRed(t, "cold-heavy-requests") }

// While caches hang and ways are reset two routers refuse, fail or answer late more than 2% of what they take, with no trouble that explains it.
func TestUnexplainedRefusals(t *testing.T) { playKnownRed(t, "unexplained-refusals") }

func playKnownRed(t *testing.T, name string) {
	f, err := Load("../../../lab/drills/known-red/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Play(t.Context(), f, Options{Router: router})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Broken() {
		t.Errorf("%s: %s", v.Claim.Kind, v.Why)
	}
}
