// Package config reads the configuration of a router at its start.
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

const maxLimit = 1 << 20 // the largest accepted limit: megabytes, sockets, or calls on a connection

// Config is the configuration of a router.
type Config struct {
	Name                string
	Listen              string
	Discovery           string
	Admin               string // address at which operators call; empty: none
	SocketFD            string // file descriptor of the socket for client connections, if the platform holds it
	Seed                uint64
	MemoryMB            int64 // 0: no limit stated
	Sockets             int   // 0: no limit stated
	Known               discovery.Update
	Peers               []string // one address for each router of the tier, including its own; none: not stated
	PeerListen          string   // address for datagrams of other routers; empty: none
	PeerMessagesAllowed bool     // routers may send each other datagrams
	PeerPrice           float64  // price of these datagrams; a datagram with a price must be worth it
	ConnsPriced         bool     // connections or handshakes have a price
	Digest              uint32   // digest of the settings without the parts that differ between routers
	Warnings            string   // invalid parts of the text, each replaced by a safe value; empty: none
	DefaultClassOnly    bool     // no class is stated, so all requests belong to the one default class
	Contradictions      string   // contradictions within the settings; empty: none
	Assumptions         []string // assumptions about the fleet where the text states nothing

	Settings        hoptiller.Settings
	Classes         []string // names of the classes, in the order of the settings
	Tenants         []string // names of the tenants, in the order of the settings
	ReportColumns   []string // columns of the load reports that answers carry; none: answers carry no load report
	Zones, Kinds    []string
	ConnIdleTimeout time.Duration // time after which cache servers close an idle connection
	MaxCallsPerConn int           // number of calls that one connection carries at once
}

// Load reads the file that RELAY_CONFIG names. The other RELAY_ variables, where they are set, take precedence over
// the file.
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

// Parse reads a configuration from its JSON text.
func Parse(text []byte) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("not JSON")
	}
	root := gjson.ParseBytes(text)
	settings := root.Get("settings")
	if !settings.IsObject() {
		return nil, errors.New("no settings")
	}
	c := &Config{
		Name: root.Get("name").String(), Listen: root.Get("listen").String(),
		Discovery: root.Get("discovery").String(), Admin: root.Get("admin").String(),
		Zones: stringList(settings.Get("failureDomains")), Kinds: stringList(settings.Get("kinds")),
		Classes: objectNames(settings.Get("classes")), Tenants: objectNames(settings.Get("accounts")),
	}
	var err error
	if seed := root.Get("seed").String(); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q is not a hexadecimal number of 64 bits", seed)
		}
	}
	var warnings []string
	if c.Settings, warnings, err = ParseSettings([]byte(settings.Raw)); err != nil {
		return nil, err
	}
	if known := root.Get("known"); known.Exists() {
		if c.Known, err = discovery.ParseUpdate([]byte(known.Raw)); err != nil { // the discovery service provides the list later
			warnings, c.Known = append(warnings, fmt.Sprintf("known: %v", err)), discovery.Update{}
		}
	}
	limits := &reader{root: root}
	c.MemoryMB, c.Sockets = int64(max(0, limits.integer("limits.memory_mb", maxLimit))),
		max(0, limits.integer("limits.sockets", maxLimit))
	c.ConnIdleTimeout, c.MaxCallsPerConn = limits.time("settings.bounds.connIdle"),
		max(0, limits.integer("settings.bounds.streamsPerConn", maxLimit))
	c.Warnings = joinWarnings(append(append(warnings, limits.warnings...), c.applySafeDefaults()...))
	if settings.Get("stats.how").String() == "piggyback" {
		c.ReportColumns = stringList(settings.Get("stats.columns"))
	}
	c.Contradictions = c.findContradictions()
	c.Peers, c.PeerListen = stringList(root.Get("peers")), root.Get("peer_listen").String()
	c.PeerMessagesAllowed, c.PeerPrice = settings.Get("bounds.mayTell").Bool(), settings.Get("fees.peer").Float()
	c.ConnsPriced = settings.Get("fees.connection").Float() > 0 || settings.Get("fees.handshake").Float() > 0
	c.Digest = settingsDigest(settings)
	c.assumeFleetSize(c.PeerListen)
	return c, nil
}

// objectNames returns the names of a list's objects, in order. The name of an object without one is empty, so no
// request can select it.
func objectNames(list gjson.Result) (all []string) {
	for _, e := range list.Array() {
		all = append(all, e.Get("name").String())
	}
	return all
}

// joinWarnings joins warnings into one line. It keeps the first eight and counts the rest.
func joinWarnings(warnings []string) string {
	const maxShown = 8
	if n := len(warnings) - maxShown; n > 0 {
		warnings = append(warnings[:maxShown:maxShown], fmt.Sprintf("and %d more", n))
	}
	return strings.Join(warnings, "; ")
}

// assumeFleetSize sets the number of routers and records the assumptions behind it. Limits that apply to all routers
// together depend on that number. They are safe if the assumed number is too large, but not if it is too small.
func (c *Config) assumeFleetSize(ownAddr string) {
	stated := c.Settings.RouterCount
	c.Settings.RouterCount = max(stated, len(c.Peers), 1)
	switch {
	case len(c.Peers) == 0 && stated <= 0:
		c.Assumptions = append(c.Assumptions, "neither peers nor settings name other routers: assuming to be the only one")
	case len(c.Peers) == 0:
		c.Assumptions = append(c.Assumptions, fmt.Sprintf("no peers: taken for one of %d routers, as the settings say", stated))
	case len(c.Peers) != stated:
		c.Assumptions = append(c.Assumptions, fmt.Sprintf("%d peers, but the settings state %d routers: assuming to be one of %d",
			len(c.Peers), stated, c.Settings.RouterCount))
	case ownAddr != "" && !slices.Contains(c.Peers, ownAddr):
		c.Assumptions = append(c.Assumptions, fmt.Sprintf("own address %s is not among the %d peers: counted as one of them", ownAddr, stated))
	}
	for _, e := range c.Known.Entries {
		if e.Zone != "" && len(c.Zones) > 0 && !slices.Contains(c.Zones, e.Zone) {
			c.Assumptions = append(c.Assumptions, fmt.Sprintf("zone %q is not among the %d of the settings: taken for another one",
				e.Zone, len(c.Zones)))
			break
		}
	}
}

// settingsDigest returns a digest that is equal for all routers with the same settings.
func settingsDigest(settings gjson.Result) uint32 {
	hash := xxhash.New()
	settings.ForEach(func(name, value gjson.Result) bool {
		if name.Str != "selfIndex" && name.Str != "zone" { // these differ between routers
			hash.WriteString(name.Raw + value.Raw)
		}
		return true
	})
	return uint32(hash.Sum64())
}

func stringList(list gjson.Result) []string {
	var s []string
	for _, v := range list.Array() {
		s = append(s, v.String())
	}
	return s
}
