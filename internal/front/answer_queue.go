package front

import "sync"

// answerQueue holds the answers that are still to be written to a client, in the order of their commands. Answers in a row that
// are the same line take the memory of one. It is safe for one goroutine that adds and one that takes.
type answerQueue struct {
	mu      sync.Mutex
	answers []pendingAnswer
	closed  bool
	changed chan struct{} // of capacity 1: receives a value after a change
}

// newAnswerQueue returns an empty answerQueue.
func newAnswerQueue() *answerQueue { return &answerQueue{changed: make(chan struct{}, 1)} }

// add adds an answer.
func (q *answerQueue) add(answer pendingAnswer) {
	q.mu.Lock()
	if last := len(q.answers) - 1; last >= 0 && answer.answer == nil && q.answers[last].answer == nil && q.answers[last].line == answer.line {
		q.answers[last].count += answer.count
	} else {
		q.answers = append(q.answers, answer)
	}
	q.mu.Unlock()
	q.signal()
}

// close states that no more answers are added.
func (q *answerQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}

// len returns the number of answers, where the same line in a row counts once.
func (q *answerQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.answers)
}

// take returns the next answer, and waits for it if there is none yet. It returns false when the queue is closed and empty.
func (q *answerQueue) take() (answer pendingAnswer, ok bool) {
	for {
		q.mu.Lock()
		if len(q.answers) > 0 {
			answer, q.answers[0] = q.answers[0], pendingAnswer{}
			if q.answers = q.answers[1:]; len(q.answers) == 0 {
				q.answers = nil
			}
			q.mu.Unlock()
			return answer, true
		}
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return answer, false
		}
		<-q.changed
	}
}

// signal wakes the goroutine that waits in take.
func (q *answerQueue) signal() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
