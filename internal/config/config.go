// Package config reads what a router is told when it starts.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"hoptiller"
	"hoptiller/internal/discovery"
)

const mostLimit = 1 << 20 // megabytes, sockets, or calls on a connection

// Config is all that a router is told.
type Config struct {
	Name        string
	Listen      string
	Discovery   string
	Admin       string // where operators call; empty: nowhere
	SocketFD    string // the descriptor on which clients' connections come, if the platform holds it
	Seed        uint64
	MemoryMB    int64 // 0: no limit stated
	Sockets     int   // 0: no limit stated
	Known       discovery.Update
	Peers       []string // one address for each router of the tier, its own included; none: not told
	PeerListen  string   // where datagrams of other routers come; empty: nowhere
	MayTell     bool     // routers may send each other datagrams
	PeerFee     float64  // what these are priced at; a price must be earned
	ConnFees    bool     // connections or handshakes are priced
	Digest      uint32   // of the settings, the router's own number aside
	Doubts      string   // what of the text can't be right, and was taken for something careful; empty: nothing
	AnyClass    bool     // no class is stated: all requests are of the one that there is
	Contradicts string   // how the settings contradict themselves; empty: they don't
	Assumed     []string // what was taken for granted of the fleet, where the text does not say it

	Settings     hoptiller.Settings
	Classes      []string // names, in the order of the settings
	Tenants      []string // the same of the customers
	Reports      []string // names of what load reports in answers carry; none: they carry none
	Zones, Kinds []string
	ConnIdle     time.Duration // after which providers close a connection without use
	MostCalls    int           // that one connection carries at once
}

// Load reads the file that RELAY_CONFIG names; the other RELAY_ variables, as
// far as they are set, go before what it says.
func Load(env func(string) string) (*Config, error) {
	path := env("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{
		"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen, "RELAY_DISCOVERY": &c.Discovery, "RELAY_ADMIN": &c.Admin,
		"RELAY_SOCKET_FD": &c.SocketFD,
	} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s address: %w", name, err)
		}
	}
	return c, nil
}

// Parse reads a configuration's text.
func Parse(text []byte) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("not JSON")
	}
	root := gjson.ParseBytes(text)
	set := root.Get("settings")
	if !set.IsObject() {
		return nil, errors.New("no settings")
	}
	c := &Config{
		Name: root.Get("name").String(), Listen: root.Get("listen").String(),
		Discovery: root.Get("discovery").String(), Admin: root.Get("admin").String(),
		Zones: texts(set.Get("failureDomains")), Kinds: texts(set.Get("kinds")),
		Classes: names(set.Get("classes")), Tenants: names(set.Get("accounts")),
	}
	var err error
	if seed := root.Get("seed").String(); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q is no hexadecimal number of 64 bits", seed)
		}
	}
	var doubts []string
	if c.Settings, doubts, err = ParseSettings([]byte(set.Raw)); err != nil {
		return nil, err
	}
	if known := root.Get("known"); known.Exists() {
		if c.Known, err = discovery.ParseUpdate([]byte(known.Raw)); err != nil { // discovery will tell
			doubts, c.Known = append(doubts, fmt.Sprintf("known: %v", err)), discovery.Update{}
		}
	}
	bounds := &reader{root: root}
	c.MemoryMB, c.Sockets = int64(max(0, bounds.whole("limits.memory_mb", mostLimit))), max(0, bounds.whole("limits.sockets", mostLimit))
	c.ConnIdle, c.MostCalls = bounds.time("settings.bounds.connIdle"), max(0, bounds.whole("settings.bounds.streamsPerConn", mostLimit))
	c.Doubts = doubtful(append(append(doubts, bounds.doubts...), c.careful()...))
	if set.Get("stats.how").String() == "piggyback" {
		c.Reports = texts(set.Get("stats.columns"))
	}
	c.Contradicts = c.contradictions()
	c.Peers, c.PeerListen = texts(root.Get("peers")), root.Get("peer_listen").String()
	c.MayTell, c.PeerFee = set.Get("bounds.mayTell").Bool(), set.Get("fees.peer").Float()
	c.ConnFees = set.Get("fees.connection").Float() > 0 || set.Get("fees.handshake").Float() > 0
	c.Digest = digest(set)
	c.assume(c.PeerListen)
	return c, nil
}

// names are those of a list's objects, in order; one without a name has an empty one, which nobody can ask for.
func names(list gjson.Result) (all []string) {
	for _, e := range list.Array() {
		all = append(all, e.Get("name").String())
	}
	return all
}

// doubtful makes one line of what is in doubt.
func doubtful(doubts []string) string {
	const most = 8
	if n := len(doubts) - most; n > 0 {
		doubts = append(doubts[:most:most], fmt.Sprintf("and %d more", n))
	}
	return strings.Join(doubts, "; ")
}

// assume settles how large the fleet is: the bounds that hold for all routers together hang on that, and are safe
// where it is taken for too large, never where for too small.
func (c *Config) assume(own string) {
	told := c.Settings.Balancers
	c.Settings.Balancers = max(told, len(c.Peers), 1)
	switch {
	case len(c.Peers) == 0 && told <= 0:
		c.Assumed = append(c.Assumed, "neither peers nor settings tell of other routers: taken for the only one")
	case len(c.Peers) == 0:
		c.Assumed = append(c.Assumed, fmt.Sprintf("no peers: taken for one of %d routers, as the settings say", told))
	case len(c.Peers) != told:
		c.Assumed = append(c.Assumed, fmt.Sprintf("%d peers, and the settings tell of %d routers: taken for one of %d",
			len(c.Peers), told, c.Settings.Balancers))
	case own != "" && !slices.Contains(c.Peers, own):
		c.Assumed = append(c.Assumed, fmt.Sprintf("own address %s is not among the %d peers: counted as one of them", own, told))
	}
	for _, e := range c.Known.Entries {
		if e.Zone != "" && len(c.Zones) > 0 && !slices.Contains(c.Zones, e.Zone) {
			c.Assumed = append(c.Assumed, fmt.Sprintf("zone %q is not among the %d of the settings: taken for another one", e.Zone, len(c.Zones)))
			break
		}
	}
}

// digest is the same for all routers that were told the same settings.
func digest(set gjson.Result) uint32 {
	h := xxhash.New()
	set.ForEach(func(name, value gjson.Result) bool {
		if name.Str != "selfIndex" && name.Str != "zone" { // these are each router's own
			h.WriteString(name.Raw + value.Raw)
		}
		return true
	})
	return uint32(h.Sum64())
}

func texts(list gjson.Result) []string {
	var s []string
	for _, v := range list.Array() {
		s = append(s, v.String())
	}
	return s
}
