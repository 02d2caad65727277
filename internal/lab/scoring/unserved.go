package scoring

import (
	"fmt"
	"strings"

	"hoptiller/internal/lab/model"
)

// Unserved is what was asked for and not served within its aim, by how the last try ended. Values are shares
// of the worth asked for.
type Unserved struct {
	Late         float64 `json:"late"`       // answered after the aim
	Disconnected float64 `json:"left"`       // the client closed its connection early for reasons of its own
	Refused      float64 `json:"refused"`    // refused by a router
	Failed       float64 `json:"failed"`     // answered with a failure by a router
	Lost         float64 `json:"lost"`       // the connection was closed without an answer
	NoRouter     float64 `json:"no_router"`  // no router was reachable
	Unanswered   float64 `json:"unanswered"` // the time ran out
	Unended      float64 `json:"unended"`    // still in progress at the end of the day
}

// add counts the worth of an operation that was not served or was served late.
func (u *Unserved) add(op *model.Operation, worth float64) {
	switch {
	case op.AnsweredAt > 0:
		u.Late += worth
	case op.Disconnected:
		u.Disconnected += worth
	default:
		*u.shareFor(op.LastEnding) += worth
	}
}

func (u *Unserved) shareFor(ending model.TryEnding) *float64 {
	switch ending {
	case model.EndingRefused:
		return &u.Refused
	case model.EndingFailed:
		return &u.Failed
	case model.EndingLost:
		return &u.Lost
	case model.EndingNoRouter:
		return &u.NoRouter
	case model.EndingUnanswered:
		return &u.Unanswered
	}
	return &u.Unended
}

// dividedBy returns the values divided by the worth asked for.
func (u Unserved) dividedBy(asked float64) Unserved {
	for _, share := range []*float64{&u.Late, &u.Disconnected, &u.Refused, &u.Failed, &u.Lost, &u.NoRouter, &u.Unanswered, &u.Unended} {
		*share /= max(asked, 1e-9)
	}
	return u
}

// RouterShare returns the share that routers refused, failed, answered late or did not answer. It leaves out
// what clients cancelled and what reached no router.
func (u *Unserved) RouterShare() float64 {
	return u.Late + u.Refused + u.Failed + u.Lost + u.Unanswered
}

// String lists the shares of at least 0.0005, which round to a thousandth or more.
func (u *Unserved) String() string {
	var shares []string
	add := func(name string, share float64) {
		if share >= 0.0005 {
			shares = append(shares, fmt.Sprintf("%s %.3f", name, share))
		}
	}
	add("late", u.Late)
	add("client left", u.Disconnected)
	add("refused", u.Refused)
	add("failed", u.Failed)
	add("lost", u.Lost)
	add("no router", u.NoRouter)
	add("unanswered", u.Unanswered)
	add("unended", u.Unended)
	return strings.Join(shares, ", ")
}
