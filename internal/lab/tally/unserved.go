package tally

import (
	"fmt"
	"strings"

	"hoptiller/internal/lab/model"
)

// Unserved is what was asked for and not served within its aim, by what became of the last try of each: parts of the worth asked for.
type Unserved struct {
	Late       float64 `json:"late"`       // answered after the aim
	Left       float64 `json:"left"`       // its client closed its connection early, of its own accord
	Refused    float64 `json:"refused"`    // by a router
	Failed     float64 `json:"failed"`     // by a router
	Lost       float64 `json:"lost"`       // its connection ended
	NoRouter   float64 `json:"no_router"`  // none was there
	Unanswered float64 `json:"unanswered"` // its time was up
	Unended    float64 `json:"unended"`    // the day was over
}

// add counts the worth of one that was not served, or served late.
func (u *Unserved) add(op *model.Op, worth float64) {
	switch {
	case op.Served > 0:
		u.Late += worth
	case op.Left:
		u.Left += worth
	default:
		*u.of(op.Last) += worth
	}
}

func (u *Unserved) of(how model.Ending) *float64 {
	switch how {
	case model.WasRefused:
		return &u.Refused
	case model.WasFailed:
		return &u.Failed
	case model.WasLost:
		return &u.Lost
	case model.FoundNoRoute:
		return &u.NoRouter
	case model.Unanswered:
		return &u.Unanswered
	}
	return &u.Unended
}

// over divides by what was asked for.
func (u Unserved) over(asked float64) Unserved {
	for _, part := range []*float64{&u.Late, &u.Left, &u.Refused, &u.Failed, &u.Lost, &u.NoRouter, &u.Unanswered, &u.Unended} {
		*part /= max(asked, 1e-9)
	}
	return u
}

// OfRouters is what routers refused, failed, answered late or not at all; not what clients gave up, nor what found no router.
func (u *Unserved) OfRouters() float64 { return u.Late + u.Refused + u.Failed + u.Lost + u.Unanswered }

// String names the parts of at least a thousandth.
func (u *Unserved) String() string {
	var parts []string
	add := func(name string, part float64) {
		if part >= 0.0005 {
			parts = append(parts, fmt.Sprintf("%s %.3f", name, part))
		}
	}
	add("late", u.Late)
	add("client left", u.Left)
	add("refused", u.Refused)
	add("failed", u.Failed)
	add("lost", u.Lost)
	add("no router", u.NoRouter)
	add("unanswered", u.Unanswered)
	add("unended", u.Unended)
	return strings.Join(parts, ", ")
}
