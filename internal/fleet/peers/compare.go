package peers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Asked is what came of asking one router for its view.
type Asked struct {
	Addr string  `json:"asked"`
	Err  string  `json:"error,omitempty"`
	View *Report `json:"view,omitempty"`
}

// Differences tells in one line each what several views say differently of a router, and which routers run another
// program or have other settings than most.
func Differences(all []Asked) (lines []string) {
	most := 0
	for _, a := range all {
		if a.View != nil {
			most = max(most, len(a.View.Members))
		}
	}
	for i := range most {
		said := map[string][]string{}
		for _, a := range all {
			if a.View == nil || a.View.Self == i { // what a router says of itself is ahead of all others
				continue
			}
			what := "not in the list"
			if i < len(a.View.Members) {
				m := &a.View.Members[i]
				if what = m.State; m.State != "unknown" {
					what += " " + m.Phase + " life " + m.Life
				}
			}
			said[what] = append(said[what], a.Addr)
		}
		if len(said) < 2 {
			continue
		}
		var parts []string
		for what, who := range said {
			parts = append(parts, fmt.Sprintf("%s at %s", what, strings.Join(who, ", ")))
		}
		slices.Sort(parts)
		lines = append(lines, fmt.Sprintf("router %d: %s", i, strings.Join(parts, "; ")))
	}
	lines = append(lines, odd(all, "program", func(m *Member) string { return m.Version })...)
	return append(lines, odd(all, "settings", func(m *Member) string { return m.Settings })...)
}

// odd names the routers whose figure is another than that of most, as the first view that was got has it.
func odd(all []Asked, name string, figure func(m *Member) string) (lines []string) {
	at := slices.IndexFunc(all, func(a Asked) bool { return a.View != nil })
	if at < 0 {
		return nil
	}
	by := map[string][]int{}
	for i := range all[at].View.Members {
		m := &all[at].View.Members[i]
		if f := figure(m); f != "" && (m.State == "alive" || m.State == "suspect") {
			by[f] = append(by[f], m.Number)
		}
	}
	var figures []string
	for f := range by {
		figures = append(figures, f)
	}
	slices.SortFunc(figures, func(a, b string) int {
		return cmp.Or(len(by[b])-len(by[a]), strings.Compare(a, b))
	})
	for _, f := range figures[min(1, len(figures)):] {
		lines = append(lines, fmt.Sprintf("%s %s at %d routers, %s at %d: %s", name, figures[0], len(by[figures[0]]), f, len(by[f]), few(by[f])))
	}
	return lines
}

// few names some routers.
func few(list []int) string {
	const most = 12
	text := strings.Trim(fmt.Sprint(list[:min(most, len(list))]), "[]")
	if len(list) > most {
		text += " ..."
	}
	return text
}
