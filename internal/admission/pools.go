package admission

import (
	"slices"
	"sync/atomic"

	"hoptiller/internal/plan"
)

// Server is a member of the fleet that pools select from.
type Server struct {
	ID               uint32
	Zone, Kind, Cell int // indexes as in the settings
	Addr             string
	Ready            bool
}

// pool holds the servers that requests for a pool may use now, those of a fallback included.
type pool struct {
	members atomic.Pointer[map[uint32]bool]
}

// SetServers replaces the list of servers and updates the members of all pools.
func (c *Controller) SetServers(servers []Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.servers)
	for _, server := range servers {
		c.servers[server.ID] = server
	}
	c.updatePools(c.Plan())
}

// updatePools finds the members of each pool of a plan. A pool with too few members of its own gets
// those of its fallback; without one it is empty. c.mu is held.
func (c *Controller) updatePools(p *plan.Plan) {
	own := map[string]map[uint32]bool{}
	for name, stated := range p.Pools {
		own[name] = map[uint32]bool{}
		for id, server := range c.servers {
			if server.Ready && matches(stated, &server) {
				own[name][id] = true
			}
		}
	}
	for name, stated := range p.Pools {
		members := own[name]
		for len(members) < stated.AtLeast && stated.Fallback != "" { // the plan's check excludes cycles
			stated = p.Pools[stated.Fallback]
			members = own[stated.Name]
		}
		if len(members) < stated.AtLeast {
			members = nil // too few to carry all requests
		}
		c.pools[name].members.Store(&members)
	}
}

// matches reports whether a server fits the selectors of a pool. An empty selector fits all.
func matches(p *plan.Pool, server *Server) bool {
	fits := func(selector []int, value int) bool { return len(selector) == 0 || slices.Contains(selector, value) }
	return fits(p.Zones, server.Zone) && fits(p.Kinds, server.Kind) && fits(p.Cells, server.Cell) &&
		(len(p.Addrs) == 0 || slices.Contains(p.Addrs, server.Addr))
}
