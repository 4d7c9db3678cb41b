package main

import (
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

const (
	// packageTimeout ends a package whose tests hang. Those of platform start
	// processes one after the other and take nearly the 10 minutes that are go
	// test's default.
	packageTimeout = 15 * time.Minute
	// redTestTimeout ends a listed test that hangs, so that three of them can't
	// hold up CI for packageTimeout each.
	redTestTimeout = 2 * time.Minute
)

// suite is the tests of the module in dir. Not for concurrent use.
type suite struct {
	dir        string
	out        io.Writer // of go test, and of the list and its results
	redTimeout time.Duration
}

func newSuite(dir string, out io.Writer) *suite {
	return &suite{dir: dir, out: out, redTimeout: redTestTimeout}
}

// run runs all tests and tells whether those that are not listed passed. The
// error says why none could be run.
func (s *suite) run() (bool, error) {
	listed, err := readList(filepath.Join(s.dir, listFile))
	if err != nil {
		return false, err
	}
	if len(listed) == 0 {
		return s.goTest("./...")
	}
	packages, err := listPackages(s.dir)
	if err != nil {
		return false, err
	}
	if err := locate(listed, packages); err != nil {
		return false, err
	}
	fmt.Fprintln(s.out, "Known red tests (real faults, not yet mended), passed over:")
	for _, test := range listed {
		fmt.Fprintf(s.out, "  %s\n", test.text)
	}
	passed, err := s.runOthers(packages, listed)
	if err != nil {
		return false, err
	}
	return passed, s.runListed(listed)
}

// runOthers runs what is not listed: first the packages without a listed test,
// then each of the others without its listed tests.
func (s *suite) runOthers(packages []*testPackage, listed []*listedTest) (bool, error) {
	skipped := map[string][]string{}
	for _, test := range listed {
		skipped[test.located.ImportPath] = append(skipped[test.located.ImportPath], test.name)
	}
	var whole []string
	for _, p := range packages {
		if skipped[p.ImportPath] == nil {
			whole = append(whole, p.ImportPath)
		}
	}
	passed := true
	if len(whole) > 0 {
		ok, err := s.goTest(whole...)
		if err != nil {
			return false, err
		}
		passed = ok
	}
	for _, p := range packages {
		if skipped[p.ImportPath] == nil {
			continue
		}
		ok, err := s.goTest("-skip", exactly(skipped[p.ImportPath]...), p.ImportPath)
		if err != nil {
			return false, err
		}
		passed = passed && ok
	}
	return passed, nil
}

// runListed runs each listed test once and prints how it went.
func (s *suite) runListed(listed []*listedTest) error {
	for _, test := range listed {
		cmd := s.command("-v", "-timeout", s.redTimeout.String(), "-run", exactly(test.name), test.located.ImportPath)
		out, err := cmd.CombinedOutput()
		passed, err := verdict(err)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "Known red test %s: %s\n", test, redResult(test.name, passed, string(out)))
		// Indented, so that its lines can't be taken for those of the run that counts.
		for line := range strings.Lines(string(out)) {
			fmt.Fprintf(s.out, "    | %s\n", strings.TrimRight(line, "\n"))
		}
	}
	return nil
}

// redResult says how a listed test went, from the output of go test -v.
func redResult(name string, passed bool, out string) string {
	switch {
	case strings.Contains(out, "[build failed]"), strings.Contains(out, "[setup failed]"):
		return "not run: its package can't be built"
	case !passed:
		return "still red"
	case strings.Contains(out, "--- SKIP: "+name+" "):
		return "not run: it skips itself"
	}
	return "passes now: take it off the list (not for one pass of a test that fails only now and then)"
}

// goTest runs go test, shows its output and tells whether all passed.
func (s *suite) goTest(args ...string) (bool, error) {
	cmd := s.command(append([]string{"-timeout=" + packageTimeout.String()}, args...)...)
	cmd.Stdout, cmd.Stderr = s.out, s.out
	return verdict(cmd.Run())
}

// command takes no result from the cache: the process-level tests build the
// programs themselves, which go test can't see.
func (s *suite) command(args ...string) *exec.Cmd {
	cmd := exec.Command("go", append([]string{"test", "-count=1"}, args...)...)
	cmd.Dir = s.dir
	return cmd
}

// verdict takes apart go test that failed and go test that could not be run.
func verdict(err error) (bool, error) {
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		return false, fmt.Errorf("go test: %w", err)
	}
	return err == nil, nil
}

// exactly is the pattern, for go test -run and -skip, of the tests of those
// names: no others whose names they are part of.
func exactly(names ...string) string {
	quoted := make([]string, 0, len(names))
	for _, name := range names {
		quoted = append(quoted, regexp.QuoteMeta(name))
	}
	return "^(" + strings.Join(quoted, "|") + ")$"
}
