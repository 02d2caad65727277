package hoptiller

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// sourceFile is one source file of the router program.
type sourceFile struct {
	path string
	file *ast.File
}

// routerSources returns the source files, without tests, from which the router is built according to deploy/balancer.toml.
func routerSources(t *testing.T) (sources []sourceFile) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(text), "\nnode = [")
	list, _, _ = strings.Cut(list, "]")
	for _, quoted := range append(strings.Split(list, ","), `"router.go"`, `"api.go"`) {
		root, err := strconv.Unquote(strings.TrimSpace(quoted))
		if err != nil {
			t.Fatalf("deploy/balancer.toml: node %s: %v", quoted, err)
		}
		err = filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			sources = append(sources, sourceFile{path, file})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(sources) < 50 {
		t.Fatalf("only %d sources", len(sources))
	}
	return sources
}

// Guards against what the benchmark environment forbids the router: starting other programs (except for the command that drives
// releases, which is another process), copies that the runtime makes by splice or sendfile, and Unix sockets. Delaying small
// writes is not allowed either.
func TestRouterAvoidsForbiddenCalls(t *testing.T) {
	const mayStart = "internal/fleet/rollout/"
	imports := map[string]bool{"os/exec": true, "plugin": true}
	calls := map[string]bool{"io.Copy": true, "io.CopyN": true, "io.CopyBuffer": true, "os.StartProcess": true, "syscall.ForkExec": true,
		"syscall.StartProcess": true}
	methods := map[string]bool{"ReadFrom": true, "SetNoDelay": true}
	for _, source := range routerSources(t) {
		ast.Inspect(source.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ImportSpec:
				if path, _ := strconv.Unquote(n.Path.Value); imports[path] && !strings.HasPrefix(source.path, mayStart) {
					t.Errorf("%s imports %s", source.path, path)
				}
			case *ast.SelectorExpr:
				from, _ := n.X.(*ast.Ident)
				if from != nil && calls[from.Name+"."+n.Sel.Name] || methods[n.Sel.Name] {
					t.Errorf("%s uses %s", source.path, n.Sel.Name)
				}
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); err == nil && strings.HasPrefix(text, "unix") {
					t.Errorf("%s names a network %q", source.path, text)
				}
			}
			return true
		})
	}
}

// Guards against fitting the router to one deployment: no name of a class, tenant or zone of the deployments in deploy/sites
// occurs in its sources.
func TestRouterNamesNoDeployment(t *testing.T) {
	sites, err := filepath.Glob("deploy/sites/*/*.toml")
	if err != nil || len(sites) == 0 {
		t.Fatalf("no deployments: %v", err)
	}
	names := map[string]string{}
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range regexp.MustCompile(`(?m)^name = "(.+)"$`).FindAllSubmatch(text, -1) {
			names[string(name[1])] = site
		}
	}
	if len(names) < 10 {
		t.Fatalf("only %d names in %q", len(names), sites)
	}
	for _, source := range routerSources(t) {
		ast.Inspect(source.file, func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, _ := strconv.Unquote(literal.Value); names[text] != "" {
					t.Errorf("%s has %q, as %s", source.path, text, names[text])
				}
			}
			return true
		})
	}
}
