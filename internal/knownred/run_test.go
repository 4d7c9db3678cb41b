package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// project is a small module of which the tests run go test. Its tests write a
// line to the file ran each time they run: folder, name, and "alone" when go test
// was asked for tests by name.
type project struct {
	t   *testing.T
	dir string
}

func newProject(t *testing.T) *project {
	p := &project{t: t, dir: t.TempDir()}
	p.write("go.mod", "module example.test/project\n\ngo 1.26.0\n")
	return p
}

func (p *project) write(name, content string) {
	path := filepath.Join(p.dir, name)
	require.NoError(p.t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(p.t, os.WriteFile(path, []byte(content), 0o644))
}

// tests writes a package of the folder with these tests: statements by name.
func (p *project) tests(folder string, tests map[string]string) {
	source := "package " + folder + "\n\nimport (\n\"flag\"\n\"os\"\n\"testing\"\n)\n" + `
func note(t *testing.T) {
	line := "` + folder + ` " + t.Name()
	if flag.Lookup("test.run").Value.String() != "" {
		line += " alone"
	}
	f, err := os.OpenFile("../ran", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.WriteString(line + "\n"); err != nil {
		t.Fatal(err)
	}
}
`
	for name, statements := range tests {
		source += "\nfunc " + name + "(t *testing.T) {\n\tnote(t)\n\t" + statements + "\n}\n"
	}
	p.write(folder+"/x_test.go", source)
}

// run runs the suite with this list.
func (p *project) run(list string) (passed bool, out string, err error) {
	p.write(listFile, list)
	var output bytes.Buffer
	s := newSuite(p.dir, &output)
	passed, err = s.run()
	return passed, output.String(), err
}

// ran tells how many times each test ran, by folder and name.
func (p *project) ran() map[string]int {
	counts := map[string]int{}
	data, err := os.ReadFile(filepath.Join(p.dir, "ran"))
	if os.IsNotExist(err) {
		return counts
	}
	require.NoError(p.t, err)
	for line := range strings.Lines(string(data)) {
		counts[strings.TrimSpace(line)]++
	}
	return counts
}

const fails = `t.Error("the fault is here")`

func TestOnlyTheListedTestIsPassedOver(t *testing.T) {
	p := newProject(t)
	p.tests("first", map[string]string{
		"TestFoo":       fails,
		"TestFooBar":    `t.Run("TestFoo", note)`,
		"TestOfTestFoo": "",
	})
	p.tests("second", map[string]string{"TestFoo": "", "TestFooBar": ""})
	passed, out, err := p.run("first TestFoo | lost wakeup | issue 7\n")
	require.NoError(t, err)
	assert.True(t, passed, out)
	assert.Equal(t, map[string]int{
		"first TestFoo alone":      1,
		"first TestFooBar":         1,
		"first TestFooBar/TestFoo": 1,
		"first TestOfTestFoo":      1,
		"second TestFoo":           1,
		"second TestFooBar":        1,
	}, p.ran())
	assert.Contains(t, out, "first TestFoo | lost wakeup | issue 7")
	assert.Contains(t, out, "Known red test example.test/project/first TestFoo: still red")
	assert.Contains(t, out, "the fault is here")
	assert.Regexp(t, `(?m)^ok +\texample.test/project/first\t`, out)
	assert.Regexp(t, `(?m)^ok +\texample.test/project/second\t`, out)
	assert.NotRegexp(t, `(?m)^(--- )?FAIL`, out, "lines of a listed test can't be taken for the verdict")
}

func TestFailuresThatAreNotListedCount(t *testing.T) {
	for name, list := range map[string]string{
		"no list":            "",
		"comment only":       "# nothing known\n",
		"other of the name":  "second TestFoo | cause | issue\n",
		"longer name":        "TestFooBar | cause | issue\n",
		"beside listed ones": "second TestFoo | cause | issue\nTestFooBar | cause | issue\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newProject(t)
			p.tests("first", map[string]string{"TestFoo": fails, "TestFooBar": ""})
			p.tests("second", map[string]string{"TestFoo": ""})
			passed, out, err := p.run(list)
			require.NoError(t, err)
			assert.False(t, passed)
			assert.Regexp(t, `(?m)^FAIL\texample.test/project/first\t`, out)
			assert.Equal(t, 1, p.ran()["first TestFoo"])
			assert.Zero(t, p.ran()["first TestFoo alone"])
		})
	}
}

func TestFailureInAPackageWithoutListedTestsCounts(t *testing.T) {
	p := newProject(t)
	p.tests("first", map[string]string{"TestFoo": fails})
	p.tests("second", map[string]string{"TestBar": fails})
	passed, _, err := p.run("TestBar | cause | issue\n")
	require.NoError(t, err)
	assert.False(t, passed)
}

func TestWithoutAListAllTestsRun(t *testing.T) {
	p := newProject(t)
	p.tests("first", map[string]string{"TestFoo": ""})
	var out bytes.Buffer
	passed, err := newSuite(p.dir, &out).run()
	require.NoError(t, err)
	assert.True(t, passed)
	assert.Equal(t, map[string]int{"first TestFoo": 1}, p.ran())
}

func TestListedTestsAreTriedByThemselves(t *testing.T) {
	p := newProject(t)
	p.tests("first", map[string]string{
		"TestMended":  "",
		"TestSkipped": `t.Skip("not here")`,
	})
	passed, out, err := p.run("TestMended | c | i\nTestSkipped | c | i\n")
	require.NoError(t, err)
	assert.True(t, passed, out)
	assert.Contains(t, out, "first TestMended: passes now: take it off the list")
	assert.Contains(t, out, "first TestSkipped: not run: it skips itself")
	assert.Equal(t, map[string]int{"first TestMended alone": 1, "first TestSkipped alone": 1}, p.ran())
}

func TestListedTestThatHangsIsEnded(t *testing.T) {
	p := newProject(t)
	p.tests("first", map[string]string{"TestHangs": "select {}"})
	p.write(listFile, "TestHangs | c | i\n")
	var out bytes.Buffer
	s := newSuite(p.dir, &out)
	s.redTimeout = time.Second
	passed, err := s.run()
	require.NoError(t, err)
	assert.True(t, passed, out.String())
	assert.Contains(t, out.String(), "first TestHangs: still red")
}

func TestPackageThatCanNotBeBuiltFails(t *testing.T) {
	p := newProject(t)
	p.tests("first", map[string]string{"TestFoo": "notDeclared()"})
	passed, out, err := p.run("TestFoo | cause | issue\n")
	require.NoError(t, err)
	assert.False(t, passed)
	assert.Contains(t, out, "first TestFoo: not run: its package can't be built")
}

func TestNothingRunsWithAListAtFault(t *testing.T) {
	for name, c := range map[string]struct{ list, fault string }{
		"malformed":         {"TestFoo | cause\n", "line 1: \"TestFoo | cause\" is not of the form"},
		"no such test":      {"\nTestFo | cause | issue\n", "line 2: there is no test TestFo"},
		"other package":     {"second TestBar | cause | issue\n", "there is no test second TestBar"},
		"no such package":   {"third TestFoo | cause | issue\n", "there is no test third TestFoo"},
		"no test function":  {"TestHelper | cause | issue\n", "there is no test TestHelper"},
		"set-up of a test":  {"TestMain | cause | issue\n", "there is no test TestMain"},
		"method":            {"TestMethod | cause | issue\n", "there is no test TestMethod"},
		"test of two names": {"TestFoo | cause | issue\n", "is the name of 2 tests"},
		"same line twice":   {"TestBar | a | b\nfirst TestBar | c | d\n", "line 2: example.test/project/first TestBar is listed twice"},
		"test of both packages of a folder": {"TestBoth | cause | issue\n",
			"is the name of 2 tests"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProject(t)
			p.tests("first", map[string]string{"TestFoo": "", "TestBar": "", "TestBoth": ""})
			p.tests("second", map[string]string{"TestFoo": ""})
			p.write("first/y_test.go", "package first_test\n\nimport (\n\"os\"\n\"testing\"\n)\n\n"+
				"func TestBoth(t *testing.T) {}\nfunc TestHelper(t *testing.T, n int) {}\n"+
				"type s struct{}\nfunc (s) TestMethod(t *testing.T) {}\n"+
				"func TestMain(m *testing.M) { os.Exit(m.Run()) }\n")
			_, _, err := p.run(c.list)
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.fault)
			assert.Empty(t, p.ran())
		})
	}
}

func TestPackagesAreNamedByPathOrFolder(t *testing.T) {
	p := &testPackage{ImportPath: "example.test/project/internal/first"}
	p.Module.Path = "example.test/project"
	for name, want := range map[string]bool{
		"example.test/project/internal/first": true,
		"internal/first":                      true,
		"./internal/first":                    true,
		"first":                               false,
		"internal/first/deeper":               false,
		"internal":                            false,
		".":                                   false,
	} {
		assert.Equal(t, want, p.isNamed(name), name)
	}
}
