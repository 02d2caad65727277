package testprog

import (
	"testing"
	"time"
)

// Patience bounds every wait of a test for something that must come. It is far longer than what is waited for
// takes on a loaded machine, and far shorter than the test command's own limit, so that a test that waits in vain
// says for what.
const Patience = 30 * time.Second

// Await takes the next value that comes, or ends the test and says what did not.
func Await[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	late := time.NewTimer(Patience)
	defer late.Stop()
	select {
	case x := <-from:
		return x
	case <-late.C:
		t.Fatalf("no %s within %v", what, Patience)
		panic("unreachable")
	}
}

// Give hands a value to who takes it, or ends the test and says that nobody does.
func Give[T any](t testing.TB, to chan<- T, x T, what string) {
	t.Helper()
	late := time.NewTimer(Patience)
	defer late.Stop()
	select {
	case to <- x:
	case <-late.C:
		t.Fatalf("nobody takes %s within %v", what, Patience)
	}
}

// Until asks until something holds, or ends the test and says what does not.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for late := time.Now().Add(Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatalf("not within %v: %s", Patience, what)
		}
	}
}
