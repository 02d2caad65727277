package main

import (
	"strings"
	"testing"
)

// TestInvalidSettingsAreConservative starts the program with settings of which a part is invalid. It must start, log one line
// about that, and retry no request unless it is certain that a retry is allowed.
func TestInvalidSettingsAreConservative(t *testing.T) {
	t.Parallel()
	read := settings[strings.Index(settings, `{"name":"read"`):strings.Index(settings, `{"name":"book"`)]
	for name, c := range map[string]struct{ from, to, says string }{
		"unknown effect": {`"idempotent"`, `"magic"`, `unknown effect`},
		"no effect":      {`"effect":"idempotent",`, ``, `unknown effect`},
		"stated twice":   {read, read + strings.Replace(read, "idempotent", "at_most_once", 1), `stated twice`},
		"no deadline":    {`"at_most_once","onTime":9000000,"deadline":9000000`, `"at_most_once","onTime":0`, `no deadline`},
		"huge figures":   {`"deadline":9000000,"worth":1}`, `"deadline":9e300,"worth":9e300}`, `is beyond`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startProgramWith(t, []string{"p1"}, "", c.from, c.to)
			play := func(text string) { w.runScenario(t, name, strings.Split(text, "\n")) }
			play(`
				program wait *settings in doubt*` + c.says + `*
				c1 send mg k1 v O01 Pc=book,d=9000
				p1 wait mg k1 *
				p1 close
				c1 expect SERVER_ERROR failed`)
			if c.says == "unknown effect" || c.says == "stated twice" {
				play(`
				c2 send mg k2 v O02 Pc=read,d=9000
				p1 wait mg k2 *
				p1 close
				c2 expect SERVER_ERROR failed`)
			}
		})
	}
}

// TestNoClasses checks that, if the settings have no classes, all requests belong to one class that must not run twice.
func TestNoClasses(t *testing.T) {
	t.Parallel()
	from := settings[strings.Index(settings, `[
	{"name":"read"`):strings.Index(settings, `,
	"familyInfo"`)]
	startProgramWith(t, []string{"p1"}, "", from, `[]`).runScenario(t, t.Name(), strings.Split(`
		program wait *settings in doubt*no classes*
		c1 send mg k1 v O01 Pc=slot-view,d=9000
		p1 expect mg k1 *
		p1 close
		c1 expect SERVER_ERROR failed
		c2 send mg k2 v O02 Pc=other
		p1 wait mg k2 *
		p1 send VA 1 O02\r\nx
		c2 expect VA 1 O02
		c2 expect x`, "\n"))
}
