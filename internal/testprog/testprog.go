// Package testprog helps tests: it builds a program of this module once for all tests of a package, waits for events and
// runs servers. Only tests may import it.
package testprog

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main is the body of a TestMain. It builds the program of package pkg, stores the path of the program in binary, runs the
// tests, removes the program and exits.
func Main(m *testing.M, pkg string, binary *string) {
	dir, err := os.MkdirTemp("", "testprog")
	if err == nil {
		*binary = filepath.Join(dir, "program")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", *binary, pkg).CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
