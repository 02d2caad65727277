// Package testprog builds a program of this module once for the tests of a
// package. Only tests may import it.
package testprog

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main is the body of a TestMain: it builds the program of package pkg, puts its path into binary, runs
// the tests, and removes the program.
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
