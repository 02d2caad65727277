package drill

import "testing"

// A soak's day on which a cold cache server was pushed over by routers that had been told of its start, once in seven plays.
func TestColdServerUnderHoldUps(t *testing.T) {
	f, err := Load("../../../lab/drills/known-red/cold-after-crash.toml")
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
