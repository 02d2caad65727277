package admission

import (
	"time"

	"hoptiller"
	"hoptiller/internal/limit"
	"hoptiller/internal/plan"
)

// Constraints holds what a plan says about the requests of one entry of its table: their limits
// and what the decision module may do with them. A request keeps its Constraints until it ends,
// even if another plan is loaded meanwhile.
type Constraints struct {
	entry      *plan.Entry
	controller *Controller
	limits     *routeLimits // nil if the route has no limits
	sharedGate *limit.Gate  // nil if no limit covers all routes
	pool       *pool        // nil if the route names no pool
	constrains bool         // the plan constrains what the module may do
}

var _ hoptiller.Constraints = (*Constraints)(nil)

const (
	unboundedConcurrency = 1 << 30
	unboundedTimeout     = time.Hour
	singleAttempt        = 1 // value of a policy's MaxInFlight that forbids hedging
)

// newConstraints returns the constraints of a table entry. It reuses the route's limits of the
// previous plan if there are any. c.mu is held.
func (c *Controller) newConstraints(entry *plan.Entry, previous map[string]*routeLimits) *Constraints {
	constraints := &Constraints{entry: entry, controller: c}
	if entry.Route == nil {
		return constraints
	}
	policy := entry.Route.Policy
	constraints.constrains = policy != nil || entry.Pool != nil
	if entry.Pool != nil {
		constraints.pool = c.pools[entry.Pool.Name]
	}
	if policy == nil || policy.Rate == 0 && policy.Concurrency.Max == 0 && !policy.BudgetStated {
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
	limits.budget.Ratio, limits.budget.MinPerSecond = policy.Budget, policy.BudgetMinRate
	bounds := concurrencyBounds(policy.Concurrency)
	if bounds.Max == 0 { // admitted requests are counted nevertheless, since the next plan may bound them
		bounds = limit.Concurrency{Min: unboundedConcurrency, Max: unboundedConcurrency}
	}
	limits.gate.Reconfigure(bounds, policy.MaxQueueLength, policy.MaxQueueTime)
	return limits
}

// Unlimited reports whether no limit applies. Admit would then return Admitted, and Finish need not be called.
func (c *Constraints) Unlimited() bool { return c.limits == nil && c.sharedGate == nil }

// ForModule returns the constraints that the module gets with a request, or nil if there are none.
func (c *Constraints) ForModule() hoptiller.Constraints {
	if !c.constrains {
		return nil
	}
	return c
}

// Allows reports whether a server belongs to the pool of the route.
func (c *Constraints) Allows(server uint32) bool {
	if c.pool == nil {
		return true
	}
	return (*c.pool.members.Load())[server]
}

// Timeout returns the longest time that one attempt may take.
func (c *Constraints) Timeout() time.Duration {
	if timeout := c.entry.Policy.Timeout; timeout > 0 {
		return timeout
	}
	return unboundedTimeout
}

// AllowsRetry reports whether the router may retry a request after the given number of attempts, of
// which the last one ended with the given status.
func (c *Constraints) AllowsRetry(attempts int, last hoptiller.Status) bool {
	policy := &c.entry.Policy
	switch last {
	case hoptiller.Cancelled, hoptiller.NotSent: // the router cancelled an attempt that got no answer in time
		last = hoptiller.Timeout
	case hoptiller.Unconfirmed:
		last = hoptiller.ServerError
	}
	return (policy.Attempts == 0 || attempts < policy.Attempts) && policy.RetryOn.Contains(last)
}

// TakeRetry takes a retry out of the route's retry budget and reports whether the budget had one.
func (c *Constraints) TakeRetry(now time.Duration) bool {
	if !c.entry.Policy.BudgetStated {
		return true
	}
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	return c.limits.budget.TakeRetry(now)
}

// AllowsHedge reports whether the router may hedge, i.e. have two attempts of one request in flight at once.
func (c *Constraints) AllowsHedge() bool { return c.entry.Policy.MaxInFlight != singleAttempt }

// Late reports whether an answer after duration misses the target latency of the request's class.
func (c *Constraints) Late(duration time.Duration) bool {
	classes := c.controller.Plan().Platform().Settings.Classes
	if c.entry.Class >= len(classes) {
		return false
	}
	aim := classes[c.entry.Class].Aim
	return aim > 0 && duration > aim
}
