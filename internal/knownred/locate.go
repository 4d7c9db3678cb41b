package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"unicode"
	"unicode/utf8"
)

// testPackage is a package of the project, as `go list -json` tells it.
type testPackage struct {
	ImportPath   string
	Dir          string
	Module       struct{ Path string }
	TestGoFiles  []string
	XTestGoFiles []string // of the external test package
}

// listPackages names all packages of the module in dir.
func listPackages(dir string) ([]*testPackage, error) {
	cmd := exec.Command("go", "list", "-json=ImportPath,Dir,Module,TestGoFiles,XTestGoFiles", "./...")
	cmd.Dir = dir
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w: %s", err, stderr.String())
	}
	var packages []*testPackage
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		p := &testPackage{}
		if err := decoder.Decode(p); errors.Is(err, io.EOF) {
			return packages, nil
		} else if err != nil {
			return nil, fmt.Errorf("output of go list: %w", err)
		}
		packages = append(packages, p)
	}
}

// locate finds the package of each listed test. It is an error, with the line,
// when there is no such test, or more than one: none may be passed over unseen.
func locate(listed []*listedTest, packages []*testPackage) error {
	places := map[string][]*testPackage{}
	for _, p := range packages {
		names, err := p.tests()
		if err != nil {
			return fmt.Errorf("tests of %s: %w", p.ImportPath, err)
		}
		for _, name := range names {
			places[name] = append(places[name], p)
		}
	}
	var faults []error
	seen := map[string]bool{}
	for _, test := range listed {
		err := test.locate(places[test.name])
		if err == nil && seen[test.String()] {
			err = fmt.Errorf("%s is listed twice", test)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s line %d: %w", listFile, test.line, err))
			continue
		}
		seen[test.String()] = true
	}
	return errors.Join(faults...)
}

// locate chooses among the packages with a test of that name.
func (t *listedTest) locate(places []*testPackage) error {
	var found []*testPackage
	for _, p := range places {
		if t.pkg == "" || p.isNamed(t.pkg) {
			found = append(found, p)
		}
	}
	switch len(found) {
	case 0:
		return fmt.Errorf("there is no test %s; take the line off the list, or mend the name", t)
	case 1:
		t.located = found[0]
		return nil
	}
	paths := make([]string, 0, len(found))
	for _, p := range found {
		paths = append(paths, p.ImportPath)
	}
	return fmt.Errorf("%s is the name of %d tests (in %s): name the package too, or rename one",
		t, len(found), strings.Join(paths, ", "))
}

// String names the test with its package, as far as that is known.
func (t *listedTest) String() string {
	switch {
	case t.located != nil:
		return t.located.ImportPath + " " + t.name
	case t.pkg != "":
		return t.pkg + " " + t.name
	}
	return t.name
}

// isNamed tells whether name means this package: its import path, or its folder
// seen from the root of the module.
func (p *testPackage) isNamed(name string) bool {
	folder := strings.TrimPrefix(strings.TrimPrefix(p.ImportPath, p.Module.Path), "/")
	return name == p.ImportPath || filepath.ToSlash(filepath.Clean(name)) == folder
}

// tests names the package's test functions. A name that stands in the package
// and in its external test package is told twice.
func (p *testPackage) tests() ([]string, error) {
	var names []string
	for _, files := range [][]string{p.TestGoFiles, p.XTestGoFiles} {
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(p.Dir, file), nil, parser.SkipObjectResolution)
			if err != nil {
				return nil, err
			}
			for _, declared := range parsed.Decls {
				if f, ok := declared.(*ast.FuncDecl); ok && isTest(f) {
					names = append(names, f.Name.Name)
				}
			}
		}
	}
	return names, nil
}

// isTest tells whether go test runs f: a function TestXxx(t *testing.T), in
// which Xxx does not begin with a lower case letter.
func isTest(f *ast.FuncDecl) bool {
	rest, ok := strings.CutPrefix(f.Name.Name, "Test")
	first, _ := utf8.DecodeRuneInString(rest)
	if !ok || f.Recv != nil || unicode.IsLower(first) {
		return false
	}
	parameters := f.Type.Params.List
	if len(parameters) != 1 || len(parameters[0].Names) > 1 {
		return false
	}
	pointer, ok := parameters[0].Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	named, ok := pointer.X.(*ast.SelectorExpr)
	return ok && named.Sel.Name == "T"
}
