package model

import (
	"fmt"
	"time"

	"hoptiller/internal/unit"
)

// Day describes a simulated day. Times are virtual. All random choices come from Seed.
type Day struct {
	Seed   uint64        `toml:"seed"`
	WarmUp unit.Duration `toml:"warm"` // warm-up before the measured time, not counted; the origin cannot collapse in it
	// FillCaches stores keys in the caches at the start, each where a router would request it. Large fleets do not
	// warm up within seconds.
	FillCaches bool          `toml:"fill"`
	Length     unit.Duration `toml:"length"`  // measured time
	Routers    int           `toml:"routers"` // distributed evenly over the zones
	Zones      int           `toml:"zones"`
	// RouterMemoryMB is the memory that each router's configuration states, in MB; 0: that of a usual router.
	RouterMemoryMB int `toml:"router_mb,omitempty"`

	EventInterval unit.Duration `toml:"round"` // minimum time between batches of a router's events; 0 handles each event at once

	Fleet      Fleet             `toml:"fleet"`
	Kinds      []Kind            `toml:"kind"`
	Origin     OriginSettings    `toml:"origin"`
	Discovery  DiscoverySettings `toml:"directory"`
	Net        Net               `toml:"net"`
	Load       Load              `toml:"load"`
	Classes    []Class           `toml:"class"`
	Clients    Clients           `toml:"clients"`
	Invariants InvariantLimits   `toml:"rules"`
	Faults     []Fault           `toml:"fault"`
}

// Fleet holds the settings that all slot caches have in common.
type Fleet struct {
	Caches            int           `toml:"caches"`
	Memory            int           `toml:"memory"`      // objects of mean size that one cache holds
	MissWork          float64       `toml:"miss_work"`   // cost of a miss, as a share of the work of the request
	Handshake         unit.Duration `toml:"handshake"`   // work of a new connection, in standard-core time
	ConnsPerCore      int           `toml:"conns_core"`  // connections that a cache accepts for each of its cores
	CallsPerConn      int           `toml:"share"`       // calls on a connection before a router opens another one
	MaxConnsPerRouter int           `toml:"most_conns"`  // connections from one router to a cache
	ConnectTimeout    unit.Duration `toml:"connect_for"` // how long a router waits for a connection to open
	IdleTimeout       unit.Duration `toml:"idle_for"`    // caches close connections that have been idle for this long
	// CloseIdleEarly makes routers close idle connections earlier if a cache cannot accept the connections of all
	// routers.
	CloseIdleEarly bool `toml:"reap"`
}

// Kind is one kind of machine.
type Kind struct {
	Name           string        `toml:"name"`
	Share          float64       `toml:"share"` // share of the fleet
	Cores          int           `toml:"cores"` // each works on one request at a time
	Speed          float64       `toml:"speed"` // speed of a core, relative to the standard core
	Spread         float64       `toml:"spread"`
	Queue          float64       `toml:"queue"`     // queue slots for each core
	ColdCapacity   float64       `toml:"cold_from"` // share of its full capacity that a new process has
	WarmUpDuration unit.Duration `toml:"cold_for"`  // time until a new process has its full capacity
	ErrorRate      float64       `toml:"error_rate"`
}

// OriginSettings describes the origin. Its capacity is Headroom times the fetches and writes that would remain
// if the memory of all caches worked as one cache.
type OriginSettings struct {
	Headroom  float64       `toml:"headroom"`
	Time      unit.Duration `toml:"time"` // mean time of a fetch
	WriteWork float64       `toml:"write"`
	// Queue is the length of the queue in time: more work is rejected, and work that has waited longer is
	// dropped.
	Queue            unit.Duration `toml:"queue"`
	ClosesOnOverload bool          `toml:"drops"`  // rejects by closing the connection
	SharesFetches    bool          `toml:"shared"` // a read joins a fetch of the same key that is in progress
	CollapseLoad     float64       `toml:"fall"`   // load at which the origin stops, as a multiple of its capacity
	CollapseDuration unit.Duration `toml:"fall_for"`
	Downtime         unit.Duration `toml:"down_for"`
	Conns            int           `toml:"conns"` // connections from one router
	// UnsizedShare is the share of the values that are sent without a length and end with their connection; on
	// sockets only.
	UnsizedShare float64 `toml:"unsized,omitempty"`
}

// DiscoverySettings describes server discovery.
type DiscoverySettings struct {
	NoticeDelay [2]unit.Duration `toml:"notice"` // range of the time from a planned change or a new process to its listing
	DeathDelay  [2]unit.Duration `toml:"silent"` // range of the time from the death of a process to its listing
	Spread      unit.Duration    `toml:"spread"` // maximum difference between the routers' updates
	Capacity    float64          `toml:"capacity"`
	Timeout     unit.Duration    `toml:"timeout"`
}

// Net describes the network. Delays are one-way.
type Net struct {
	Same              unit.Duration `toml:"same"`
	Cross             unit.Duration `toml:"cross"`
	Client            unit.Duration `toml:"client"`
	Jitter            float64       `toml:"jitter"`
	Loss              float64       `toml:"loss"`   // share of segments that are lost; each is sent again after RetransmitTimeout
	RetransmitTimeout unit.Duration `toml:"resend"` // minimum retransmission timeout of the sender
	Peer              unit.Duration `toml:"peer"`   // one-way delay of a message between routers
	PeerLoss          float64       `toml:"peer_loss"`
}

// Load describes the requests of the clients.
type Load struct {
	Level  float64       `toml:"level"` // mean load as a share of the fleet's capacity; 0 means no requests
	Shape  string        `toml:"shape"` // steady, wave or bursty
	Swing  float64       `toml:"swing"`
	Period unit.Duration `toml:"period"`
	Keys   int           `toml:"keys"` // number of keys per slot cache
	Zipf   float64       `toml:"zipf"`
	Offset float64       `toml:"offset"`
	Drift  float64       `toml:"drift"` // share of the keys that change their rank each second
	Sizes  float64       `toml:"sizes"` // sigma of the lognormal object sizes
	Bytes  int           `toml:"bytes"` // mean size of a value, on sockets
	// LongWriteShare is the share of the writes, on sockets, whose values are too long for a router to read at once.
	LongWriteShare float64 `toml:"long_writes,omitempty"`

	SizeWork float64 `toml:"size_work"` // share of a read's work that is proportional to the size of its object
	ZoneSkew float64 `toml:"zone_skew"`
	Tenants  int     `toml:"tenants"`
}

// Class is one class of request.
type Class struct {
	Name      string        `toml:"name"`
	Share     float64       `toml:"share"`
	Work      unit.Duration `toml:"work"` // mean, in standard-core time
	Aim       unit.Duration `toml:"aim"`
	Deadline  unit.Duration `toml:"deadline"`
	Worth     float64       `toml:"worth"`
	LateShare float64       `toml:"late"`   // share of the worth that an answer after the aim still earns
	Effect    string        `toml:"effect"` // safe, unsafe or keyed
	Window    unit.Duration `toml:"window"` // for keyed requests: how long the origin drops repeated ones
	Write     bool          `toml:"write"`
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries          int           `toml:"retries"`
	Try              [2]float64    `toml:"try"` // range of the share of the deadline after which a client cancels a try
	Backoff          unit.Duration `toml:"backoff"`
	HonourShare      float64       `toml:"honour"`    // share of clients that honour a retry delay
	MaxRetryAfter    unit.Duration `toml:"most_wait"` // longest retry delay that clients honour
	DeadRouterNotice unit.Duration `toml:"notice"`    // time until the load balancer stops using a dead router
	DisconnectShare  float64       `toml:"leave"`     // share of clients that disconnect before the answer, on sockets
}

// InvariantLimits holds the limits of the invariants.
type InvariantLimits struct {
	MaxAttempts      int           `toml:"attempts"`
	Drain            unit.Duration `toml:"drain"` // how long a router may send to a server after learning of its drain or end
	OverloadFactor   float64       `toml:"overload"`
	CollapseDuration unit.Duration `toml:"fall"`
	Grace            unit.Duration `toml:"grace"`
	AskWithin        unit.Duration `toml:"ask_within"`
	AllowsHedge      bool          `toml:"copies"` // whether two calls of a request may be in flight at once
	// TimeSlack is the time by which an attempt may overstate to its server the time that its client has left.
	TimeSlack unit.Duration `toml:"time_slack"`
}

// DefaultDay returns the default day, from which all other days are described by their differences: ten slot
// caches, three routers in three zones, about 200 requests per second.
func DefaultDay() Day {
	millis := func(n int) unit.Duration { return unit.Duration(time.Duration(n) * time.Millisecond) }
	return Day{
		Seed: 1, WarmUp: millis(20000), Length: millis(40000), Routers: 3, Zones: 3,
		Fleet: Fleet{Caches: 10, Memory: 50, MissWork: 0.1, Handshake: millis(34), ConnsPerCore: 14, CallsPerConn: 4, MaxConnsPerRouter: 16,
			ConnectTimeout: millis(250), IdleTimeout: millis(60000), CloseIdleEarly: true},
		Kinds: []Kind{
			{Name: "std-6c", Share: 0.53, Cores: 6, Speed: 0.97, Spread: 0.12, Queue: 1.6, ColdCapacity: 0.2, WarmUpDuration: millis(18000),
				ErrorRate: 0.0002},
			{Name: "small-5c", Share: 0.47, Cores: 5, Speed: 0.75, Spread: 0.1, Queue: 2.3, ColdCapacity: 0.15, WarmUpDuration: millis(22000),
				ErrorRate: 0.001},
		},
		Origin: OriginSettings{Headroom: 2.5, Time: millis(150), WriteWork: 1, Queue: millis(1500),
			CollapseLoad: 3, CollapseDuration: millis(3000), Downtime: millis(5000),
			Conns: 64},
		Discovery: DiscoverySettings{NoticeDelay: [2]unit.Duration{millis(1000), millis(4600)},
			DeathDelay: [2]unit.Duration{millis(4600), millis(11000)},
			Spread:     millis(120), Capacity: 4, Timeout: millis(3000)},
		Net: Net{Same: unit.Duration(200 * time.Microsecond), Cross: millis(8), Client: unit.Duration(700 * time.Microsecond),
			Jitter: 0.2, RetransmitTimeout: millis(200), Peer: millis(15), PeerLoss: 0.01},
		Load: Load{Level: 0.5, Shape: "wave", Swing: 0.25, Period: millis(20000), Keys: 60, Zipf: 1, Offset: 3, Drift: 0.005,
			Sizes: 0.6, Bytes: 200, SizeWork: 0.3, ZoneSkew: 0.3, Tenants: 1},
		Classes: []Class{
			{Name: "slot-view", Share: 0.963, Work: millis(130), Aim: millis(1200), Deadline: millis(4000), Worth: 1, Effect: "safe"},
			{Name: "book", Share: 0.024, Work: millis(200), Aim: millis(1500), Deadline: millis(5000), Worth: 3,
				Effect: "unsafe", Write: true},
			{Name: "cancel", Share: 0.013, Work: millis(200), Aim: millis(1000), Deadline: millis(2000), Worth: 2, Effect: "keyed",
				Window: millis(1500), Write: true},
		},
		Clients: Clients{Retries: 2, Try: [2]float64{0.53, 0.8}, Backoff: millis(200),
			HonourShare: 0.8, MaxRetryAfter: millis(2000), DeadRouterNotice: millis(2800)},
		Invariants: InvariantLimits{MaxAttempts: 5, Drain: millis(500), OverloadFactor: 2.5,
			CollapseDuration: millis(1500), Grace: millis(20), AskWithin: millis(10000)},
	}
}

// Validate returns an error that names the first setting with an impossible value.
func (d *Day) Validate() error {
	type bound struct {
		name     string
		value    float64
		min, max float64
	}
	bounds := []bound{
		{"warm", d.WarmUp.Seconds(), 0, 3600}, {"length", d.Length.Seconds(), 1, 86400},
		{"routers", float64(d.Routers), 1, 1000}, {"zones", float64(d.Zones), 1, 100},
		{"round", d.EventInterval.Seconds(), 0, 1},
		{"fleet.caches", float64(d.Fleet.Caches), 1, 20000}, {"fleet.memory", float64(d.Fleet.Memory), 1, 1e6},
		{"fleet.miss_work", d.Fleet.MissWork, 0, 1}, {"fleet.share", float64(d.Fleet.CallsPerConn), 1, 1000},
		{"fleet.conns_core", float64(d.Fleet.ConnsPerCore), 1, 1e4}, {"fleet.most_conns", float64(d.Fleet.MaxConnsPerRouter), 1, 1e4},
		{"fleet.connect_for", d.Fleet.ConnectTimeout.Seconds(), 0.001, 60}, {"fleet.idle_for", d.Fleet.IdleTimeout.Seconds(), 0.1, 86400},
		{"origin.unsized", d.Origin.UnsizedShare, 0, 1},
		{"origin.headroom", d.Origin.Headroom, 0.01, 1000}, {"origin.time", d.Origin.Time.Seconds(), 0.0001, 60},
		{"origin.write", d.Origin.WriteWork, 0.01, 100}, {"origin.conns", float64(d.Origin.Conns), 1, 1e4},
		{"origin.fall", d.Origin.CollapseLoad, 0, 1000},
		{"directory.capacity", d.Discovery.Capacity, 0.001, 1e6},
		{"net.jitter", d.Net.Jitter, 0, 1}, {"net.loss", d.Net.Loss, 0, 0.9}, {"net.peer_loss", d.Net.PeerLoss, 0, 1},
		{"load.level", d.Load.Level, 0, 10}, {"load.swing", d.Load.Swing, 0, 1}, {"load.keys", float64(d.Load.Keys), 1, 1e5},
		{"load.zipf", d.Load.Zipf, 0, 3}, {"load.offset", d.Load.Offset, 0, 1e6}, {"load.drift", d.Load.Drift, 0, 1},
		{"load.sizes", d.Load.Sizes, 0, 3}, {"load.bytes", float64(d.Load.Bytes), 1, 1 << 20},
		{"load.long_writes", d.Load.LongWriteShare, 0, 1}, {"router_mb", float64(d.RouterMemoryMB), 0, 1 << 20},
		{"load.size_work", d.Load.SizeWork, 0, 1}, {"load.zone_skew", d.Load.ZoneSkew, 0, 1},
		{"load.tenants", float64(d.Load.Tenants), 1, 1e5}, {"load.period", d.Load.Period.Seconds(), 0.1, 86400},
		{"clients.retries", float64(d.Clients.Retries), 0, 10}, {"clients.honour", d.Clients.HonourShare, 0, 1},
		{"clients.leave", d.Clients.DisconnectShare, 0, 1},
		{"clients.try", d.Clients.Try[0], 0.01, d.Clients.Try[1]}, {"clients.try", d.Clients.Try[1], 0.01, 1},
		{"rules.attempts", float64(d.Invariants.MaxAttempts), 1, 100}, {"rules.overload", d.Invariants.OverloadFactor, 0.1, 100},
		{"rules.fall", d.Invariants.CollapseDuration.Seconds(), 0.01, 60},
	}
	share := 0.0
	for i, k := range d.Kinds {
		prefix := fmt.Sprintf("kind %d: ", i+1)
		bounds = append(bounds, bound{prefix + "share", k.Share, 0, 1}, bound{prefix + "cores", float64(k.Cores), 1, 1024},
			bound{prefix + "speed", k.Speed, 0.001, 1000}, bound{prefix + "spread", k.Spread, 0, 0.9},
			bound{prefix + "queue", k.Queue, 0, 1000},
			bound{prefix + "cold_from", k.ColdCapacity, 0.001, 1}, bound{prefix + "error_rate", k.ErrorRate, 0, 1})
		share += k.Share
	}
	for i, c := range d.Classes {
		prefix := fmt.Sprintf("class %d: ", i+1)
		bounds = append(bounds, bound{prefix + "share", c.Share, 0, 1}, bound{prefix + "work", c.Work.Seconds(), 1e-6, 60},
			bound{prefix + "aim", c.Aim.Seconds(), 0.001, c.Deadline.Seconds()},
			bound{prefix + "worth", c.Worth, 0, 1000}, bound{prefix + "late", c.LateShare, 0, 1})
		if c.Effect != "safe" && c.Effect != "unsafe" && c.Effect != "keyed" {
			return fmt.Errorf("%seffect is %q: safe, unsafe or keyed is meant", prefix, c.Effect)
		}
	}
	for _, b := range bounds {
		if !(b.value >= b.min && b.value <= b.max) {
			return fmt.Errorf("%s is %g: %g to %g is possible", b.name, b.value, b.min, b.max)
		}
	}
	switch {
	case len(d.Kinds) == 0 || share <= 0:
		return fmt.Errorf("no kind of machine has a share in the fleet")
	case len(d.Classes) == 0:
		return fmt.Errorf("no class of request")
	case d.Load.Shape != "steady" && d.Load.Shape != "wave" && d.Load.Shape != "bursty":
		return fmt.Errorf("load.shape is %q: must be steady, wave or bursty", d.Load.Shape)
	case d.Discovery.NoticeDelay[0] > d.Discovery.NoticeDelay[1] || d.Discovery.DeathDelay[0] > d.Discovery.DeathDelay[1]:
		return fmt.Errorf("directory.notice and directory.silent are ranges: the first value must not exceed the second")
	}
	for i := range d.Faults {
		if err := d.Faults[i].validate(d); err != nil {
			return fmt.Errorf("fault %d: %w", i+1, err)
		}
	}
	return nil
}
