package peers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FetchResult is the result of requesting one router's view of the fleet.
type FetchResult struct {
	Addr   string  `json:"asked"`           // address of the router's operators' interface
	Err    string  `json:"error,omitempty"` // why there is no view
	Report *Report `json:"view,omitempty"`
}

// Differences compares the views of several routers. It returns a line for each router about which the views differ, and a
// line for each program version or hash of settings that differs from that of the most routers.
func Differences(all []FetchResult) (lines []string) {
	routers := 0
	for _, a := range all {
		if a.Report != nil {
			routers = max(routers, len(a.Report.Members))
		}
	}
	for i := range routers {
		addrsByState := map[string][]string{}
		for _, a := range all {
			if a.Report == nil || a.Report.Self == i { // a router knows its own changes before all others
				continue
			}
			state := "not in the list"
			if i < len(a.Report.Members) {
				m := &a.Report.Members[i]
				if state = m.State; m.State != "unknown" {
					state += " " + m.Phase + " life " + m.Incarnation
				}
			}
			addrsByState[state] = append(addrsByState[state], a.Addr)
		}
		if len(addrsByState) < 2 {
			continue
		}
		var parts []string
		for state, addrs := range addrsByState {
			parts = append(parts, fmt.Sprintf("%s at %s", state, strings.Join(addrs, ", ")))
		}
		slices.Sort(parts)
		lines = append(lines, fmt.Sprintf("router %d: %s", i, strings.Join(parts, "; ")))
	}
	lines = append(lines, minorities(all, "program", func(m *Member) string { return m.VersionHash })...)
	return append(lines, minorities(all, "settings", func(m *Member) string { return m.SettingsHash })...)
}

// minorities returns a line for each value of a property that differs from the most frequent value, with the routers that
// have it. It uses the first view that could be fetched.
func minorities(all []FetchResult, name string, property func(m *Member) string) (lines []string) {
	first := slices.IndexFunc(all, func(a FetchResult) bool { return a.Report != nil })
	if first < 0 {
		return nil
	}
	routersByValue := map[string][]int{}
	for i := range all[first].Report.Members {
		m := &all[first].Report.Members[i]
		if value := property(m); value != "" && (m.State == "alive" || m.State == "suspect") {
			routersByValue[value] = append(routersByValue[value], m.Number)
		}
	}
	var values []string
	for value := range routersByValue {
		values = append(values, value)
	}
	slices.SortFunc(values, func(a, b string) int {
		return cmp.Or(len(routersByValue[b])-len(routersByValue[a]), strings.Compare(a, b))
	})
	for _, value := range values[min(1, len(values)):] {
		lines = append(lines, fmt.Sprintf("%s %s at %d routers, %s at %d: %s", name, values[0], len(routersByValue[values[0]]),
			value, len(routersByValue[value]), firstNumbers(routersByValue[value])))
	}
	return lines
}

// firstNumbers returns the text of the first numbers of a list.
func firstNumbers(list []int) string {
	const maxNumbers = 12
	text := strings.Trim(fmt.Sprint(list[:min(maxNumbers, len(list))]), "[]")
	if len(list) > maxNumbers {
		text += " ..."
	}
	return text
}
