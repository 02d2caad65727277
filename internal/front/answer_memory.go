package front

import "sync"

// meanWeight is the weight of all earlier answers to that of the newest one in the mean length of answers.
const meanWeight = 15

// answerMemory bounds the memory of answers that wait to be written because their clients read slowly. An open request counts as
// an answer of mean length until it has its answer. The zero value has no bound.
type answerMemory struct {
	limit int64 // bytes; 0: no bound

	mu   sync.Mutex
	held int64 // bytes of answers and of open requests
	mean int64 // mean length of the latest answers in bytes
}

// answerClaim is what one request counts for.
type answerClaim struct {
	memory *answerMemory
	size   int64
}

// hasRoom reports whether there is room for one more open request.
func (m *answerMemory) hasRoom() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit == 0 || m.held+m.mean <= m.limit
}

// claim counts a request that is opened. The claim must be released.
func (m *answerMemory) claim() *answerClaim {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += m.mean
	return &answerClaim{m, m.mean}
}

// settle counts the answer to the request in place of the mean. It reports whether the answer may be kept until it is written: open
// requests may get longer answers than there is room for.
func (c *answerClaim) settle(length int) (kept bool) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mean = (m.mean*meanWeight + int64(length) + meanWeight) / (meanWeight + 1)
	others := m.held - c.size
	if kept = m.limit == 0 || others+int64(length) <= 2*m.limit; !kept {
		length = 0
	}
	m.held, c.size = others+int64(length), int64(length)
	return kept
}

// release ends the claim. Further calls do nothing.
func (c *answerClaim) release() {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= c.size
	c.size = 0
}
