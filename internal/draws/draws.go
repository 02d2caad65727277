// Package draws gives property tests a stated seed, so that the same tree gives the same verdict every time. A test
// file that uses rapid imports it for that effect alone. The flag still goes before: -rapid.seed=0 draws anew, which
// make fuzz does; what it finds rapid writes under the package's testdata/rapid, from where every later run plays it.
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
