package valuemem

import "testing"

// BenchmarkAcquireInACrowd measures one acquisition while as many values are incomplete as a router with 64 MB has clients.
func BenchmarkAcquireInACrowd(b *testing.B) {
	const clients, capacity = 512, 16 << 20
	budget := New(capacity)
	for range clients - 1 {
		budget.NewClaim("other", capacity/4).TryAcquire(16 << 10)
	}
	for b.Loop() {
		claim := budget.NewClaim("this", capacity/4)
		claim.TryAcquire(16 << 10)
		claim.Release()
	}
}
