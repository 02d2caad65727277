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

// pool holds the servers that requests for one pool of the plan may use now, those of a fallback included.
type pool struct {
	members atomic.Pointer[map[uint32]bool] // set of server ids; never changed once stored
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

// updatePools computes the members of each pool of a plan. A pool with too few members of its own
// gets those of its fallback. Without a fallback it is empty. c.mu is held.
func (c *Controller) updatePools(p *plan.Plan) {
	ownMembers := map[string]map[uint32]bool{}
	for name, settings := range p.Pools {
		ownMembers[name] = map[uint32]bool{}
		for id, server := range c.servers {
			if server.Ready && matches(settings, &server) {
				ownMembers[name][id] = true
			}
		}
	}
	for name, settings := range p.Pools {
		members := ownMembers[name]
		for len(members) < settings.AtLeast && settings.Fallback != "" { // the plan's check excludes cycles
			settings = p.Pools[settings.Fallback]
			members = ownMembers[settings.Name]
		}
		if len(members) < settings.AtLeast {
			members = nil // too few servers to carry the load of the pool
		}
		c.pools[name].members.Store(&members)
	}
}

// matches reports whether a server fits the selectors of a pool. An empty selector fits all servers.
func matches(p *plan.Pool, server *Server) bool {
	fits := func(selector []int, value int) bool { return len(selector) == 0 || slices.Contains(selector, value) }
	return fits(p.Zones, server.Zone) && fits(p.Kinds, server.Kind) && fits(p.Cells, server.Cell) &&
		(len(p.Addrs) == 0 || slices.Contains(p.Addrs, server.Addr))
}
