package model

import (
	"fmt"
	"time"

	"hoptiller/internal/unit"
)

// Day says what a day is like. Times are virtual. All random choices come from Seed.
type Day struct {
	Seed    uint64        `toml:"seed"`
	Warm    unit.Duration `toml:"warm"`    // before the day proper, with an origin that never tires; not counted
	Fill    bool          `toml:"fill"`    // caches begin with what a router would have asked them for: large fleets are never warm in seconds
	Length  unit.Duration `toml:"length"`  // of what is counted
	Routers int           `toml:"routers"` // spread evenly over the zones
	Zones   int           `toml:"zones"`
	Round   unit.Duration `toml:"round"` // least time between rounds of a router's events; 0: each at once

	Fleet     Fleet     `toml:"fleet"`
	Kinds     []Kind    `toml:"kind"`
	Origin    OriginSet `toml:"origin"`
	Directory ListSet   `toml:"directory"`
	Net       Net       `toml:"net"`
	Load      Load      `toml:"load"`
	Classes   []Class   `toml:"class"`
	Clients   Clients   `toml:"clients"`
	Rules     Rules     `toml:"rules"`
	Faults    []Fault   `toml:"fault"`
}

// Fleet is what all slot caches have in common.
type Fleet struct {
	Caches     int           `toml:"caches"`
	Memory     int           `toml:"memory"`      // objects of mean size that one keeps
	MissWork   float64       `toml:"miss_work"`   // of a request's work, what it costs to find nothing
	Handshake  unit.Duration `toml:"handshake"`   // work of a new connection, in standard-core time
	ConnsCore  int           `toml:"conns_core"`  // connections accepted, for each core
	Share      int           `toml:"share"`       // calls on a connection before routers open another one
	MostConns  int           `toml:"most_conns"`  // connections from one router
	ConnectFor unit.Duration `toml:"connect_for"` // routers wait so long for a connection
	IdleFor    unit.Duration `toml:"idle_for"`    // caches close connections that were idle so long
	Reap       bool          `toml:"reap"`        // routers close theirs earlier where the tables don't hold those of all
}

// Kind is one kind of machine.
type Kind struct {
	Name      string        `toml:"name"`
	Share     float64       `toml:"share"` // of the fleet
	Cores     int           `toml:"cores"` // each works on one request
	Speed     float64       `toml:"speed"` // of a core, against the standard core
	Spread    float64       `toml:"spread"`
	Queue     float64       `toml:"queue"`     // waiting places for each core
	ColdFrom  float64       `toml:"cold_from"` // part of its capacity that a new process has
	ColdFor   unit.Duration `toml:"cold_for"`  // till it has all
	ErrorRate float64       `toml:"error_rate"`
}

// OriginSet is the origin. Its capacity is Headroom times the fetches and writes
// that are left when all memory works as one cache.
type OriginSet struct {
	Headroom float64       `toml:"headroom"`
	Time     unit.Duration `toml:"time"` // mean of a fetch
	Write    float64       `toml:"write"`
	Queue    unit.Duration `toml:"queue"`  // of work that waits; more is turned away, and what waits longer is given up
	Drops    bool          `toml:"drops"`  // by ending the connection
	Shared   bool          `toml:"shared"` // a read joins a fetch of its key that is out
	Fall     float64       `toml:"fall"`   // multiple of its capacity at which it stops
	FallFor  unit.Duration `toml:"fall_for"`
	DownFor  unit.Duration `toml:"down_for"`
	Conns    int           `toml:"conns"`             // from one router
	Unsized  float64       `toml:"unsized,omitempty"` // part of the values that have no length and end with their connection; on sockets only
}

// ListSet is the directory.
type ListSet struct {
	Notice   [2]unit.Duration `toml:"notice"` // from a planned change, or a new process, to its listing
	Silent   [2]unit.Duration `toml:"silent"` // from a death to its listing
	Spread   unit.Duration    `toml:"spread"` // between routers, at the most
	Capacity float64          `toml:"capacity"`
	Timeout  unit.Duration    `toml:"timeout"`
}

// Net is the network. Delays are one way.
type Net struct {
	Same     unit.Duration `toml:"same"`
	Cross    unit.Duration `toml:"cross"`
	Client   unit.Duration `toml:"client"`
	Jitter   float64       `toml:"jitter"`
	Loss     float64       `toml:"loss"`   // of segments, each of which comes Resend later
	Resend   unit.Duration `toml:"resend"` // the sender's least time-out
	Peer     unit.Duration `toml:"peer"`   // of a message between routers
	PeerLoss float64       `toml:"peer_loss"`
}

// Load is what clients ask for.
type Load struct {
	Level    float64       `toml:"level"` // of the fleet's capacity; 0: nobody asks
	Shape    string        `toml:"shape"` // steady, wave or bursty
	Swing    float64       `toml:"swing"`
	Period   unit.Duration `toml:"period"`
	Keys     int           `toml:"keys"` // for each slot cache
	Zipf     float64       `toml:"zipf"`
	Offset   float64       `toml:"offset"`
	Drift    float64       `toml:"drift"`     // of the keys that change places in a second
	Sizes    float64       `toml:"sizes"`     // sigma of objects' sizes
	Bytes    int           `toml:"bytes"`     // of a value on sockets, in the mean
	SizeWork float64       `toml:"size_work"` // part of a read's work that goes with the size of its object
	ZoneSkew float64       `toml:"zone_skew"`
	Tenants  int           `toml:"tenants"`
}

// Class is one class of request.
type Class struct {
	Name     string        `toml:"name"`
	Share    float64       `toml:"share"`
	Work     unit.Duration `toml:"work"` // mean, in standard-core time
	Aim      unit.Duration `toml:"aim"`
	Deadline unit.Duration `toml:"deadline"`
	Worth    float64       `toml:"worth"`
	Late     float64       `toml:"late"`   // part of the worth that an answer after the aim still earns
	Effect   string        `toml:"effect"` // safe, unsafe or keyed
	Window   unit.Duration `toml:"window"` // keyed: repeats are dropped so long
	Write    bool          `toml:"write"`
}

// Clients is how clients behave.
type Clients struct {
	Retries  int           `toml:"retries"`
	Try      [2]float64    `toml:"try"` // of the deadline, after which a try is given up
	Backoff  unit.Duration `toml:"backoff"`
	Honour   float64       `toml:"honour"`    // part that comes back when told to
	MostWait unit.Duration `toml:"most_wait"` // that is honoured
	Notice   unit.Duration `toml:"notice"`    // until the front sends nobody to a dead router
	Leave    float64       `toml:"leave"`     // part that closes its connection before the answer, on sockets
}

// Rules are the figures that must be kept.
type Rules struct {
	Attempts  int           `toml:"attempts"`
	Drain     unit.Duration `toml:"drain"` // after which a drain that was told binds
	Overload  float64       `toml:"overload"`
	Fall      unit.Duration `toml:"fall"`
	Grace     unit.Duration `toml:"grace"`
	AskWithin unit.Duration `toml:"ask_within"`
	Copies    bool          `toml:"copies"` // two calls of a request may be out at once
	// TimeSlack is by how much an attempt may tell its server more time than its client has left.
	TimeSlack unit.Duration `toml:"time_slack"`
}

// Prairie is the day that all others are told by their difference from: ten
// slot caches, three routers in three zones, about 200 requests a second.
func Prairie() Day {
	ms := func(n int) unit.Duration { return unit.Duration(time.Duration(n) * time.Millisecond) }
	return Day{
		Seed: 1, Warm: ms(20000), Length: ms(40000), Routers: 3, Zones: 3,
		Fleet: Fleet{Caches: 10, Memory: 50, MissWork: 0.1, Handshake: ms(34), ConnsCore: 14, Share: 4, MostConns: 16,
			ConnectFor: ms(250), IdleFor: ms(60000), Reap: true},
		Kinds: []Kind{
			{Name: "std-6c", Share: 0.53, Cores: 6, Speed: 0.97, Spread: 0.12, Queue: 1.6, ColdFrom: 0.2, ColdFor: ms(18000),
				ErrorRate: 0.0002},
			{Name: "small-5c", Share: 0.47, Cores: 5, Speed: 0.75, Spread: 0.1, Queue: 2.3, ColdFrom: 0.15, ColdFor: ms(22000),
				ErrorRate: 0.001},
		},
		Origin: OriginSet{Headroom: 2.5, Time: ms(150), Write: 1, Queue: ms(1500), Fall: 3, FallFor: ms(3000), DownFor: ms(5000),
			Conns: 64},
		Directory: ListSet{Notice: [2]unit.Duration{ms(1000), ms(4600)}, Silent: [2]unit.Duration{ms(4600), ms(11000)},
			Spread: ms(120), Capacity: 4, Timeout: ms(3000)},
		Net: Net{Same: unit.Duration(200 * time.Microsecond), Cross: ms(8), Client: unit.Duration(700 * time.Microsecond),
			Jitter: 0.2, Resend: ms(200), Peer: ms(15), PeerLoss: 0.01},
		Load: Load{Level: 0.5, Shape: "wave", Swing: 0.25, Period: ms(20000), Keys: 60, Zipf: 1, Offset: 3, Drift: 0.005,
			Sizes: 0.6, Bytes: 200, SizeWork: 0.3, ZoneSkew: 0.3, Tenants: 1},
		Classes: []Class{
			{Name: "slot-view", Share: 0.963, Work: ms(130), Aim: ms(1200), Deadline: ms(4000), Worth: 1, Effect: "safe"},
			{Name: "book", Share: 0.024, Work: ms(200), Aim: ms(1500), Deadline: ms(5000), Worth: 3, Effect: "unsafe", Write: true},
			{Name: "cancel", Share: 0.013, Work: ms(200), Aim: ms(1000), Deadline: ms(2000), Worth: 2, Effect: "keyed",
				Window: ms(1500), Write: true},
		},
		Clients: Clients{Retries: 2, Try: [2]float64{0.53, 0.8}, Backoff: ms(200), Honour: 0.8, MostWait: ms(2000), Notice: ms(2800)},
		Rules:   Rules{Attempts: 5, Drain: ms(500), Overload: 2.5, Fall: ms(1500), Grace: ms(20), AskWithin: ms(10000)},
	}
}

// Check tells what is impossible in a day, by the name of the figure.
func (d *Day) Check() error {
	type bound struct {
		name     string
		is       float64
		from, to float64
	}
	bounds := []bound{
		{"warm", d.Warm.Seconds(), 0, 3600}, {"length", d.Length.Seconds(), 1, 86400},
		{"routers", float64(d.Routers), 1, 1000}, {"zones", float64(d.Zones), 1, 100},
		{"round", d.Round.Seconds(), 0, 1},
		{"fleet.caches", float64(d.Fleet.Caches), 1, 20000}, {"fleet.memory", float64(d.Fleet.Memory), 1, 1e6},
		{"fleet.miss_work", d.Fleet.MissWork, 0, 1}, {"fleet.share", float64(d.Fleet.Share), 1, 1000},
		{"fleet.conns_core", float64(d.Fleet.ConnsCore), 1, 1e4}, {"fleet.most_conns", float64(d.Fleet.MostConns), 1, 1e4},
		{"fleet.connect_for", d.Fleet.ConnectFor.Seconds(), 0.001, 60}, {"fleet.idle_for", d.Fleet.IdleFor.Seconds(), 0.1, 86400},
		{"origin.unsized", d.Origin.Unsized, 0, 1},
		{"origin.headroom", d.Origin.Headroom, 0.01, 1000}, {"origin.time", d.Origin.Time.Seconds(), 0.0001, 60},
		{"origin.write", d.Origin.Write, 0.01, 100}, {"origin.conns", float64(d.Origin.Conns), 1, 1e4},
		{"origin.fall", d.Origin.Fall, 0, 1000},
		{"directory.capacity", d.Directory.Capacity, 0.001, 1e6},
		{"net.jitter", d.Net.Jitter, 0, 1}, {"net.loss", d.Net.Loss, 0, 0.9}, {"net.peer_loss", d.Net.PeerLoss, 0, 1},
		{"load.level", d.Load.Level, 0, 10}, {"load.swing", d.Load.Swing, 0, 1}, {"load.keys", float64(d.Load.Keys), 1, 1e5},
		{"load.zipf", d.Load.Zipf, 0, 3}, {"load.offset", d.Load.Offset, 0, 1e6}, {"load.drift", d.Load.Drift, 0, 1},
		{"load.sizes", d.Load.Sizes, 0, 3}, {"load.bytes", float64(d.Load.Bytes), 1, 1 << 20}, {"load.size_work", d.Load.SizeWork, 0, 1}, {"load.zone_skew", d.Load.ZoneSkew, 0, 1},
		{"load.tenants", float64(d.Load.Tenants), 1, 1e5}, {"load.period", d.Load.Period.Seconds(), 0.1, 86400},
		{"clients.retries", float64(d.Clients.Retries), 0, 10}, {"clients.honour", d.Clients.Honour, 0, 1}, {"clients.leave", d.Clients.Leave, 0, 1},
		{"clients.try", d.Clients.Try[0], 0.01, d.Clients.Try[1]}, {"clients.try", d.Clients.Try[1], 0.01, 1},
		{"rules.attempts", float64(d.Rules.Attempts), 1, 100}, {"rules.overload", d.Rules.Overload, 0.1, 100},
		{"rules.fall", d.Rules.Fall.Seconds(), 0.01, 60},
	}
	share := 0.0
	for i, k := range d.Kinds {
		at := fmt.Sprintf("kind %d: ", i+1)
		bounds = append(bounds, bound{at + "share", k.Share, 0, 1}, bound{at + "cores", float64(k.Cores), 1, 1024},
			bound{at + "speed", k.Speed, 0.001, 1000}, bound{at + "spread", k.Spread, 0, 0.9}, bound{at + "queue", k.Queue, 0, 1000},
			bound{at + "cold_from", k.ColdFrom, 0.001, 1}, bound{at + "error_rate", k.ErrorRate, 0, 1})
		share += k.Share
	}
	for i, c := range d.Classes {
		at := fmt.Sprintf("class %d: ", i+1)
		bounds = append(bounds, bound{at + "share", c.Share, 0, 1}, bound{at + "work", c.Work.Seconds(), 1e-6, 60},
			bound{at + "aim", c.Aim.Seconds(), 0.001, c.Deadline.Seconds()}, bound{at + "worth", c.Worth, 0, 1000}, bound{at + "late", c.Late, 0, 1})
		if c.Effect != "safe" && c.Effect != "unsafe" && c.Effect != "keyed" {
			return fmt.Errorf("%seffect is %q: safe, unsafe or keyed is meant", at, c.Effect)
		}
	}
	for _, b := range bounds {
		if !(b.is >= b.from && b.is <= b.to) {
			return fmt.Errorf("%s is %g: %g to %g is possible", b.name, b.is, b.from, b.to)
		}
	}
	switch {
	case len(d.Kinds) == 0 || share <= 0:
		return fmt.Errorf("no kind of machine has a share in the fleet")
	case len(d.Classes) == 0:
		return fmt.Errorf("no class of request")
	case d.Load.Shape != "steady" && d.Load.Shape != "wave" && d.Load.Shape != "bursty":
		return fmt.Errorf("load.shape is %q: steady, wave or bursty is meant", d.Load.Shape)
	case d.Directory.Notice[0] > d.Directory.Notice[1] || d.Directory.Silent[0] > d.Directory.Silent[1]:
		return fmt.Errorf("directory.notice and directory.silent are ranges: the first may not be the larger")
	}
	for i := range d.Faults {
		if err := d.Faults[i].check(d); err != nil {
			return fmt.Errorf("fault %d: %w", i+1, err)
		}
	}
	return nil
}
