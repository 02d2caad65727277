package testprog

import (
	"testing"
	"time"
)

// WaitTimeout bounds each wait of a test for an event that must happen. It is far longer than such an event takes on a loaded
// machine. It is far shorter than the time limit of go test, so that a test that waits in vain can report the event that
// is missing.
const WaitTimeout = 30 * time.Second

// Await returns the next value from a channel. If none arrives within WaitTimeout it fails the test with the name of the value.
func Await[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	select {
	case x := <-from:
		return x
	case <-timeout.C:
		t.Fatalf("no %s within %v", what, WaitTimeout)
		panic("unreachable")
	}
}

// Send sends a value to a channel. If nothing receives it within WaitTimeout it fails the test with the name of the value.
func Send[T any](t testing.TB, to chan<- T, x T, what string) {
	t.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	select {
	case to <- x:
	case <-timeout.C:
		t.Fatalf("nothing receives %s within %v", what, WaitTimeout)
	}
}

// Eventually waits until a condition holds. If it does not hold within WaitTimeout, Eventually fails the test with
// the name of the condition.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", WaitTimeout, what)
		}
	}
}
