package main

import (
	"errors"
	"fmt"
	"go/token"
	"io/fs"
	"os"
	"strings"
)

const (
	// listFile is at the root of the project.
	listFile = "KNOWN-RED.txt"
	// maxListed is how many tests the list may hold: a rule of CONTRIBUTING.md.
	maxListed = 4
	// lineForm is the form of a line, for errors.
	lineForm = `"test | cause | issue" or "package test | cause | issue"`
)

// listedTest is a line of the list. Package is empty when the line names none.
type listedTest struct {
	line    int // from 1
	text    string
	pkg     string
	name    string
	located *testPackage // the package it is in; set by locate
}

// readList reads the list at path. A file that is not there is an empty list.
// The error names every line that is at fault.
func readList(path string) ([]*listedTest, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the list of known red tests: %w", err)
	}
	return parseList(string(data))
}

func parseList(data string) ([]*listedTest, error) {
	var listed []*listedTest
	var faults []error
	number := 0
	for line := range strings.Lines(data) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, err := parseLine(line)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s line %d: %w", listFile, number, err))
			continue
		}
		test.line = number
		listed = append(listed, test)
	}
	if count := len(listed) + len(faults); count > maxListed {
		faults = append(faults, fmt.Errorf("%s lists %d tests, %d at most may be passed over", listFile, count, maxListed))
	}
	return listed, errors.Join(faults...)
}

// parseLine reads a line. What follows the issue (command, seed, what was seen)
// is free text.
func parseLine(line string) (*listedTest, error) {
	const testField, causeField, issueField, requiredFields = 0, 1, 2, 3
	fields := strings.Split(line, " | ")
	if len(fields) < requiredFields {
		return nil, fmt.Errorf("%q is not of the form %s", line, lineForm)
	}
	if strings.TrimSpace(fields[causeField]) == "" {
		return nil, fmt.Errorf("%q has no cause; want %s", line, lineForm)
	}
	if strings.TrimSpace(fields[issueField]) == "" {
		return nil, fmt.Errorf("%q has no issue; want %s", line, lineForm)
	}
	words := strings.Fields(fields[testField])
	if len(words) == 0 || len(words) > 2 || !token.IsIdentifier(words[len(words)-1]) {
		return nil, fmt.Errorf("%q does not begin with the name of a test function; want %s", line, lineForm)
	}
	test := &listedTest{text: line, name: words[len(words)-1]}
	if len(words) == 2 {
		test.pkg = words[0]
	}
	return test, nil
}
