package admission

import (
	"time"

	"hoptiller"
	"hoptiller/internal/limit"
	"hoptiller/internal/plan"
)

// Constraints is what a plan says about the requests of one entry of its table: their limits and
// what the decision module may do with them. A request keeps its Constraints until it ends,
// whatever plan is loaded meanwhile.
type Constraints struct {
	entry      *plan.Entry
	controller *Controller
	limits     *routeLimits // nil if the route has no limits
	sharedGate *limit.Gate  // nil if no limit covers all routes
	pool       *pool        // nil if the route names no pool
	narrows    bool
}

var _ hoptiller.Narrowing = (*Constraints)(nil)

const (
	unboundedConcurrency = 1 << 30
	unboundedTimeout     = time.Hour
	singleAttempt        = 1 // value of a policy's copies that forbids concurrent attempts
)

// newConstraints makes the constraints of a table entry. It takes the route's limits from those of
// the previous plan if they are there. c.mu is held.
func (c *Controller) newConstraints(entry *plan.Entry, previous map[string]*routeLimits) *Constraints {
	constraints := &Constraints{entry: entry, controller: c}
	if entry.Route == nil {
		return constraints
	}
	policy := entry.Route.Policy
	constraints.narrows = policy != nil || entry.Pool != nil
	if entry.Pool != nil {
		constraints.pool = c.pools[entry.Pool.Name]
	}
	if policy == nil || policy.Rate == 0 && policy.Concurrency.Most == 0 && !policy.BudgetSaid {
		return constraints
	}
	if c.limits[entry.Route.Name] == nil {
		c.limits[entry.Route.Name] = newRouteLimits(entry.Route.Name, policy, previous)
	}
	constraints.limits = c.limits[entry.Route.Name]
	return constraints
}

// newRouteLimits returns the limits of a route with the settings of its policy.
func newRouteLimits(route string, policy *plan.Policy, previous map[string]*routeLimits) *routeLimits {
	limits := previous[route]
	if limits == nil {
		suffix := " of route " + route
		limits = &routeLimits{
			rateName:        "rate" + suffix,
			concurrencyName: "concurrency" + suffix,
			queueName:       "queue" + suffix,
		}
	}
	limits.bucket.Rate, limits.bucket.Burst = policy.Rate, policy.Burst
	limits.budget.Part, limits.budget.Least = policy.Budget, policy.BudgetLeast
	bounds := concurrency(policy.Concurrency)
	if bounds.Most == 0 { // admitted requests are counted all the same: the next plan may bound them
		bounds = limit.Concurrency{Least: unboundedConcurrency, Most: unboundedConcurrency}
	}
	limits.gate.Adopt(bounds, policy.Queue, policy.QueueFor)
	return limits
}

// Unlimited reports that no limit applies: Admit would return Go, and Finish need not be called.
func (b *Constraints) Unlimited() bool { return b.limits == nil && b.sharedGate == nil }

// Narrowing returns what the module is given with a request; nil if nothing is narrowed.
func (b *Constraints) Narrowing() hoptiller.Narrowing {
	if !b.narrows {
		return nil
	}
	return b
}

// Allows reports whether a server belongs to the pool of the route.
func (b *Constraints) Allows(server uint32) bool {
	if b.pool == nil {
		return true
	}
	return (*b.pool.members.Load())[server]
}

// Timeout returns the longest time that one attempt may take.
func (b *Constraints) Timeout() time.Duration {
	if timeout := b.entry.Policy.Timeout; timeout > 0 {
		return timeout
	}
	return unboundedTimeout
}

// Repeats reports whether another attempt may follow after so many, of which the last ended with
// the given status.
func (b *Constraints) Repeats(attempts int, last hoptiller.Status) bool {
	policy := &b.entry.Policy
	if last == hoptiller.Cancelled || last == hoptiller.Moot { // withdrawn because it was silent
		last = hoptiller.Timeout
	}
	return (policy.Attempts == 0 || attempts < policy.Attempts) && policy.Repeat.Has(last)
}

// Spend takes a retry out of the route's retry budget and reports whether there was one left.
func (b *Constraints) Spend(now time.Duration) bool {
	if !b.entry.Policy.BudgetSaid {
		return true
	}
	b.controller.mu.Lock()
	defer b.controller.mu.Unlock()
	return b.limits.budget.Repeat(now)
}

// Copies reports whether two attempts of one request may be out at once.
func (b *Constraints) Copies() bool { return b.entry.Policy.Copies != singleAttempt }

// Late reports whether an answer after so long misses the target latency of the request's class.
func (b *Constraints) Late(took time.Duration) bool {
	classes := b.controller.Plan().Platform().Settings.Classes
	if b.entry.Class >= len(classes) {
		return false
	}
	aim := classes[b.entry.Class].Aim
	return aim > 0 && took > aim
}
