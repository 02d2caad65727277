package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hoptiller/internal/command"
	"hoptiller/internal/opfile"
	"hoptiller/internal/plan"
)

// readConsistent reads a file that may be written at the same time. The content that it returns was the complete file at one
// moment.
func readConsistent(name string) ([]byte, error) {
	return readUntilUnchanged(func() (fs.File, error) { return os.Open(name) })
}

// readUntilUnchanged reads a file up to three times, until its size and modification time are the same before and after.
func readUntilUnchanged(open func() (fs.File, error)) ([]byte, error) {
	for range 3 {
		text, unchanged, err := readOnce(open)
		if err != nil || unchanged {
			return text, err
		}
	}
	return nil, errors.New("the file changes while it is read")
}

// readOnce reads a file. unchanged reports whether its size and modification time were the same before and after.
func readOnce(open func() (fs.File, error)) (text []byte, unchanged bool, err error) {
	f, err := open()
	if err != nil {
		return nil, false, errors.Unwrap(err) // without the file name, which the finding states
	}
	defer f.Close()
	before, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	if !before.Mode().IsRegular() {
		return nil, false, errors.New("no regular file")
	}
	if text, err = io.ReadAll(io.LimitReader(f, opfile.MaxBytes+1)); err != nil {
		return nil, false, err
	}
	after, err := f.Stat()
	return text, err == nil && after.ModTime().Equal(before.ModTime()) && after.Size() == before.Size(), nil
}

// loadPlan loads an operator's file for a command. It prints what is wrong with the file to standard error and then returns
// command.ErrFinding.
func (p *platformFlags) loadPlan(name string) (*plan.Plan, error) {
	c, err := p.load(nil)
	if err != nil {
		return nil, fmt.Errorf("the platform's configuration, which files are checked against: %w", err)
	}
	loaded, report := plan.Load(name, readConsistent, planPlatform(c))
	if loaded == nil {
		fmt.Fprint(os.Stderr, report)
		return nil, command.ErrFinding
	}
	return loaded, nil
}

// checkCmd checks operator's files.
type checkCmd struct {
	platformFlags
	Files []string `arg:"" help:"Operator's files."`
}

// Run checks all files and prints a line for each correct one.
func (c *checkCmd) Run() error {
	var result error
	for _, name := range c.Files {
		p, err := c.loadPlan(name)
		if err != nil && !errors.Is(err, command.ErrFinding) {
			return err
		}
		if err != nil {
			result = err
			continue
		}
		fmt.Printf("%s: %d routes, %d pools, %d policies\n", name, len(p.Routes), len(p.Pools), len(p.Policies))
	}
	return result
}

// fmtCmd formats operator's files.
type fmtCmd struct {
	Files []string `arg:"" help:"Operator's files."`
	Write bool     `short:"w" help:"Write each file back instead of to standard output."`
	Diff  bool     `short:"d" help:"Tell which lines would change; exit code 3 if any would."`
}

// Run formats all files. A file that has errors is not changed, and the error is command.ErrFinding.
func (c *fmtCmd) Run() error {
	var result error
	for _, name := range c.Files {
		text, err := readConsistent(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		f, findings := opfile.Parse(name, text)
		if len(findings) > 0 {
			for _, x := range findings {
				fmt.Fprintln(os.Stderr, x)
			}
			result = command.ErrFinding // the file stays unchanged
			continue
		}
		formatted := f.Format()
		switch {
		case c.Diff:
			if lines := changedLines(string(text), string(formatted)); len(lines) > 0 {
				fmt.Printf("%s:\n%s\n", name, strings.Join(lines, "\n"))
				result = command.ErrFinding
			}
		case !c.Write:
			os.Stdout.Write(formatted)
		}
		if c.Write && !bytes.Equal(text, formatted) {
			if err := replaceFile(name, formatted); err != nil {
				return err
			}
		}
	}
	return result
}

// replaceFile replaces the content of a file atomically and keeps its mode.
func replaceFile(name string, text []byte) error {
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(name), ".hoptiller-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	err = errors.Join(err, f.Chmod(info.Mode().Perm()), f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}

// changedLines returns the lines from the first to the last difference of two texts: the old ones with "- ", then the new ones
// with "+ ".
func changedLines(before, after string) []string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var lines []string
	for _, l := range a {
		lines = append(lines, "- "+l)
	}
	for _, l := range b {
		lines = append(lines, "+ "+l)
	}
	return lines
}

// diffCmd compares the effects of two operator's files.
type diffCmd struct {
	platformFlags
	Before string `arg:"" help:"An operator's file."`
	After  string `arg:"" help:"Another one."`
}

// Run prints the changes. The error is command.ErrFinding if there are any.
func (c *diffCmd) Run() error {
	before, err := c.loadPlan(c.Before)
	if err != nil {
		return err
	}
	after, err := c.loadPlan(c.After)
	if err != nil {
		return err
	}
	changes := plan.Diff(before, after)
	for _, change := range changes {
		fmt.Print(change)
	}
	if len(changes) > 0 {
		return command.ErrFinding
	}
	return nil
}

// explainCmd shows what an operator's file does with a request.
type explainCmd struct {
	platformFlags
	File   string `arg:"" help:"An operator's file."`
	Class  string `required:"" help:"Class of the request."`
	Key    string `help:"Its key."`
	Tenant string `help:"Its tenant, as the customer in its facts."`
	Client string `help:"Address of its client."`
}

// Run prints the route of the request, its settings and the reasons for the choice.
func (c *explainCmd) Run() error {
	p, err := c.loadPlan(c.File)
	if err != nil {
		return err
	}
	class := slices.Index(p.Platform().Classes, c.Class)
	if class < 0 {
		return fmt.Errorf("there is no class %q: %s", c.Class, strings.Join(p.Platform().Classes, ", "))
	}
	var client netip.Addr
	if c.Client != "" {
		if client, err = netip.ParseAddr(c.Client); err != nil {
			return err
		}
	}
	explanation, fields, reasons := p.Explain(class, c.Key, c.Tenant, client)
	if explanation.Route != nil {
		fmt.Println("route", explanation.Route.Name)
	} else {
		fmt.Println("no route")
	}
	for _, f := range fields {
		fmt.Printf("    %s: %s\n", f.Name, f.Value)
	}
	fmt.Println("because")
	for _, w := range reasons {
		fmt.Println("   ", w)
	}
	return nil
}
