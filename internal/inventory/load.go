package inventory

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"lynxgate.dev/lynxgate/internal/tomlfile"
)

// Declaration is an inventory read from files.
type Declaration struct {
	Inventory Inventory
	// SetsDrained holds the VMs whose declarations set the drained field.
	SetsDrained map[string]bool
}

// Load reads TOML files, and the *.toml files of folders, merges them and
// validates the result. Validation errors are returned as a tomlfile.Problems
// that lists all of them.
func Load(paths ...string) (Declaration, error) {
	return load(paths, Inventory.Validate)
}

// LoadPart is Load for files that refer to records declared elsewhere: it
// checks each record, but no references.
func LoadPart(paths ...string) (Declaration, error) {
	return load(paths, Inventory.ValidateRecords)
}

// location is the file of a record and its index in its table.
type location struct {
	doc   *tomlfile.Document
	index int
}

// merger collects the records of several files and the location of each.
type merger struct {
	declaration Declaration
	docs        []*tomlfile.Document
	locations   map[string][]location
}

func load(paths []string, validate func(Inventory) []Fault) (Declaration, error) {
	files, err := expandFolders(paths)
	if err != nil {
		return Declaration{}, err
	}
	m := merger{
		declaration: Declaration{SetsDrained: map[string]bool{}},
		locations:   map[string][]location{},
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return Declaration{}, fmt.Errorf("read inventory: %w", err)
		}
		m.add(file, data)
	}
	for _, fault := range validate(m.declaration.Inventory) {
		m.report(fault)
	}
	if problems := m.problems(); len(problems) > 0 {
		return Declaration{}, problems
	}
	return m.declaration, nil
}

func (m *merger) add(file string, data []byte) {
	doc := tomlfile.Parse(file, data)
	m.docs = append(m.docs, doc)
	var part Inventory
	doc.Decode(&part)
	inv := &m.declaration.Inventory
	mergeTable(m, doc, "zone", &inv.Zones, part.Zones)
	mergeTable(m, doc, "vm", &inv.VMs, part.VMs)
	mergeTable(m, doc, "service", &inv.Services, part.Services)
	mergeTable(m, doc, "organisation", &inv.Organisations, part.Organisations)
	mergeTable(m, doc, "model", &inv.Models, part.Models)
	mergeTable(m, doc, "rule", &inv.Rules, part.Rules)
	for i, vm := range part.VMs {
		if doc.Has(fmt.Sprintf("vm[%d].drained", i)) {
			m.declaration.SetsDrained[vm.Name] = true
		}
	}
}

func mergeTable[T any](m *merger, doc *tomlfile.Document, table string, whole *[]T, part []T) {
	for i, item := range part {
		*whole = append(*whole, item)
		m.locations[table] = append(m.locations[table], location{doc: doc, index: i})
	}
}

func (m *merger) report(fault Fault) {
	from := m.locations[fault.Table][fault.Index]
	key := fmt.Sprintf("%s[%d]", fault.Table, from.index)
	if fault.Field != "" {
		key += "." + fault.Field
	}
	from.doc.Report(key, "%s", fault.Message)
}

func (m *merger) problems() tomlfile.Problems {
	var all tomlfile.Problems
	for _, doc := range m.docs {
		all = append(all, doc.Problems()...)
	}
	return all
}

func expandFolders(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("read inventory: %w", err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		inside, err := filepath.Glob(filepath.Join(path, "*.toml"))
		if err != nil {
			return nil, fmt.Errorf("read inventory folder: %w", err)
		}
		if len(inside) == 0 {
			return nil, fmt.Errorf("read inventory: folder %s holds no *.toml file", path)
		}
		slices.Sort(inside)
		files = append(files, inside...)
	}
	return files, nil
}
