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

// readWhole reads a file that may be written meanwhile: what it gives was all there at one time.
func readWhole(name string) ([]byte, error) {
	return readSteady(func() (fs.File, error) { return os.Open(name) })
}

// readSteady reads until a file was the same before and after.
func readSteady(open func() (fs.File, error)) ([]byte, error) {
	for range 3 {
		text, steady, err := readOnce(open)
		if err != nil || steady {
			return text, err
		}
	}
	return nil, errors.New("it is being written")
}

func readOnce(open func() (fs.File, error)) (text []byte, steady bool, err error) {
	f, err := open()
	if err != nil {
		return nil, false, errors.Unwrap(err) // the finding says which file
	}
	defer f.Close()
	before, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	if !before.Mode().IsRegular() {
		return nil, false, errors.New("no regular file")
	}
	if text, err = io.ReadAll(io.LimitReader(f, opfile.MostBytes+1)); err != nil {
		return nil, false, err
	}
	after, err := f.Stat()
	return text, err == nil && after.ModTime().Equal(before.ModTime()) && after.Size() == before.Size(), nil
}

// loadPlan checks a file for a command; what is wrong goes to standard error.
func (p *platform) loadPlan(name string) (*plan.Plan, error) {
	c, err := p.load(nil)
	if err != nil {
		return nil, fmt.Errorf("files are checked against the platform's configuration: %w", err)
	}
	loaded, report := plan.Load(name, readWhole, facts(c))
	if loaded == nil {
		fmt.Fprint(os.Stderr, report)
		return nil, command.ErrFinding
	}
	return loaded, nil
}

type checkCmd struct {
	platform
	Files []string `arg:"" help:"Operator's files."`
}

func (c *checkCmd) Run() error {
	var all error
	for _, name := range c.Files {
		p, err := c.loadPlan(name)
		if err != nil && !errors.Is(err, command.ErrFinding) {
			return err
		}
		if err != nil {
			all = err
			continue
		}
		fmt.Printf("%s: %d routes, %d pools, %d policies\n", name, len(p.Routes), len(p.Pools), len(p.Policies))
	}
	return all
}

type fmtCmd struct {
	Files []string `arg:"" help:"Operator's files."`
	Write bool     `short:"w" help:"Write each file back instead of to standard output."`
	Diff  bool     `short:"d" help:"Tell which lines would change; exit code 3 if any would."`
}

func (c *fmtCmd) Run() error {
	var found error
	for _, name := range c.Files {
		text, err := readWhole(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		f, findings := opfile.Parse(name, text)
		if len(findings) > 0 {
			for _, x := range findings {
				fmt.Fprintln(os.Stderr, x)
			}
			found = command.ErrFinding // and the file is left as it is
			continue
		}
		out := f.Format()
		switch {
		case c.Diff:
			if lines := changed(string(text), string(out)); len(lines) > 0 {
				fmt.Printf("%s:\n%s\n", name, strings.Join(lines, "\n"))
				found = command.ErrFinding
			}
		case !c.Write:
			os.Stdout.Write(out)
		}
		if c.Write && !bytes.Equal(text, out) {
			if err := replace(name, out); err != nil {
				return err
			}
		}
	}
	return found
}

// replace puts a file in the place of another, which is there whole until then.
func replace(name string, text []byte) error {
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

// changed gives the lines between the first and the last that differ, the old ones before the new ones.
func changed(before, after string) []string {
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

type diffCmd struct {
	platform
	Before string `arg:"" help:"An operator's file."`
	After  string `arg:"" help:"Another one."`
}

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

type explainCmd struct {
	platform
	File   string `arg:"" help:"An operator's file."`
	Class  string `required:"" help:"Class of the request."`
	Key    string `help:"Its key."`
	Tenant string `help:"Its tenant, as the customer in its facts."`
	Client string `help:"Address of its client."`
}

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
	e, fields, why := p.Explain(class, c.Key, c.Tenant, client)
	if e.Route != nil {
		fmt.Println("route", e.Route.Name)
	} else {
		fmt.Println("no route")
	}
	for _, f := range fields {
		fmt.Printf("    %s: %s\n", f.Name, f.Value)
	}
	fmt.Println("because")
	for _, w := range why {
		fmt.Println("   ", w)
	}
	return nil
}
