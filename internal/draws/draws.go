// Package draws gives property tests a fixed seed, so that the same tree gives the same verdict every time. A test file
// that uses rapid imports this package for that effect alone.
//
// The flag -rapid.seed takes precedence over this seed. With -rapid.seed=0, which make fuzz sets, each run draws anew.
// Rapid writes a failure that it finds to testdata/rapid in the folder of the tested package, and every later run
// replays it from there.
package draws

import (
	"flag"

	_ "pgregory.net/rapid" // its flags must exist before they are set
)

// Seed is what all property tests draw from unless the command line says otherwise.
const Seed = "1"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
