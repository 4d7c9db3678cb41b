package inventory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// validInventory returns a small inventory without faults.
func validInventory() Inventory {
	return Inventory{
		Zones:    []Zone{{Name: "stgo-a", Region: "santiago"}},
		VMs:      []VM{{Name: "vm-1", Zone: "stgo-a"}},
		Services: []Service{{Name: "copywriter", Kind: KindModel, Model: "draft"}, {Name: "layout", Kind: KindPlain}},
		Organisations: []Organisation{
			{Name: "studio-1", KeyHashes: []string{hashA}},
		},
		Models: []ModelVersion{{Model: "draft", Version: "v1", Manifest: hashA, Origin: "http://10.0.0.5:9000"}},
		Rules:  []Rule{{Name: "copy", Service: "copywriter", Version: "v1", Copies: 2, MinLive: 1}},
	}
}

func TestValidateReportsEachFault(t *testing.T) {
	require.Empty(t, validInventory().Validate())
	level := 12
	cases := map[string]struct {
		mutate func(*Inventory)
		want   []string
	}{
		"bad name":       {func(i *Inventory) { i.Zones[0].Name = "st go" }, []string{`zone/st go: name: "st go" is not a name; allowed: ` + AllowedName, `vm/vm-1: zone: zone "stgo-a" is not declared`}},
		"no region":      {func(i *Inventory) { i.Zones[0].Region = "" }, []string{"zone/stgo-a: region: is missing"}},
		"twice":          {func(i *Inventory) { i.VMs = append(i.VMs, i.VMs[0]) }, []string{"vm/vm-1: is declared twice"}},
		"unknown zone":   {func(i *Inventory) { i.VMs[0].Zone = "x" }, []string{`vm/vm-1: zone: zone "x" is not declared`}},
		"capacity":       {func(i *Inventory) { i.VMs[0].Capacity = -1 }, []string{"vm/vm-1: capacity: must not be negative"}},
		"kind":           {func(i *Inventory) { i.Services[1].Kind = "web" }, []string{`service/layout: kind: "web" is not allowed; allowed: "model", "plain"`}},
		"no model":       {func(i *Inventory) { i.Services[0].Model = "" }, []string{"service/copywriter: model: is missing", `rule/copy: version: model version "@v1" is not declared`}},
		"model on plain": {func(i *Inventory) { i.Services[1].Model = "m" }, []string{`service/layout: model: is only for kind = "model"`}},
		"priority":       {func(i *Inventory) { i.Services[1].Priority = -1 }, []string{"service/layout: priority: must be from 0 (most urgent) to 9"}},
		"path": {func(i *Inventory) {
			i.Services[1].Paths = []PathRule{{Prefix: "x", AtMostOnce: true, Idempotent: true, Priority: &level}}
		}, []string{`service/layout: path[0].prefix: "x" is not a path prefix; it must begin with "/"`, "service/layout: path[0].idempotent: contradicts at_most_once; set one of them", "service/layout: path[0].priority: must be from 0 (most urgent) to 9"}},
		"path twice": {func(i *Inventory) { i.Services[1].Paths = []PathRule{{Prefix: "/a"}, {Prefix: "/a"}} }, []string{`service/layout: path[1].prefix: "/a" is given twice`}},
		"key hash":   {func(i *Inventory) { i.Organisations[0].KeyHashes[0] = "secret" }, []string{"organisation/studio-1: key_hashes[0]: must be the hex SHA-256 digest of an API key, 64 digits in lower case"}},
		"key shared": {func(i *Inventory) {
			i.Organisations = append(i.Organisations, Organisation{Name: "studio-2", KeyHashes: []string{hashA}})
		}, []string{`organisation/studio-2: key_hashes[0]: is a key of organisation "studio-1" too; a key belongs to one organisation, once`}},
		"negative limits": {func(i *Inventory) { i.Organisations[0].RequestsPerSecond = -1; i.Organisations[0].TokensPerSecond = -1 }, []string{"organisation/studio-1: requests_per_second: must not be negative; 0 means no limit", "organisation/studio-1: tokens_per_second: must not be negative; 0 means no limit"}},
		"manifest":        {func(i *Inventory) { i.Models[0].Manifest = strings.ToUpper(hashA) }, []string{"model/draft@v1: manifest: must be the hex BLAKE3 digest of the manifest file, 64 digits in lower case"}},
		"origin":          {func(i *Inventory) { i.Models[0].Origin = "10.0.0.5:9000" }, []string{`model/draft@v1: origin: "10.0.0.5:9000" is not a base URL such as "http://10.0.0.5:9000/models"`}},
		"store":           {func(i *Inventory) { i.Models[0].Store = "ftp://h" }, []string{`model/draft@v1: store: "ftp://h" is not a base URL such as "http://10.0.0.5:9000/models"`}},
		"unknown service": {func(i *Inventory) { i.Rules[0].Service = "x" }, []string{`rule/copy: service: service "x" is not declared`}},
		"plain service":   {func(i *Inventory) { i.Rules[0].Service = "layout" }, []string{`rule/copy: service: "layout" is a plain service; rules place copies of model services`}},
		"unknown version": {func(i *Inventory) { i.Rules[0].Version = "v2" }, []string{`rule/copy: version: model version "draft@v2" is not declared`}},
		"min_live":        {func(i *Inventory) { i.Rules[0].MinLive = 3 }, []string{"rule/copy: min_live: is 3 but copies is 2; min_live must not be above copies"}},
		"prefer":          {func(i *Inventory) { i.Rules[0].Prefer = "cheap" }, []string{`rule/copy: prefer: "cheap" is not allowed; allowed: "time", "origin-bytes"`}},
		"zones, regions":  {func(i *Inventory) { i.Rules[0].Zones = []string{"stgo-a", "z"}; i.Rules[0].Regions = []string{"r"} }, []string{`rule/copy: zones[1]: zone "z" is not declared`, `rule/copy: regions[0]: region "r" is not declared`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inv := validInventory()
			c.mutate(&inv)
			require.Equal(t, c.want, faultTexts(inv.Validate()))
		})
	}
}

func TestValidateChange(t *testing.T) {
	current := validInventory().Records()
	current["member/vm-1"] = []byte(`{"vm":"vm-1"}`)
	cases := map[string]struct {
		changes []Change
		want    []string
	}{
		"accepted":        {[]Change{{Key: "rule/copy", Value: []byte(`{"name":"copy","service":"copywriter","version":"v1","copies":3}`)}}, nil},
		"empty":           {nil, []string{"the request holds no changes"}},
		"derived key":     {[]Change{{Key: "member/vm-1"}}, []string{"member/vm-1: not a declared key; allowed prefixes: zone/, vm/, service/, organisation/, model/, rule/"}},
		"bad JSON":        {[]Change{{Key: "zone/z", Value: []byte(`{"name":`)}}, []string{"zone/z: bad JSON: unexpected EOF"}},
		"empty value":     {[]Change{{Key: "zone/z", Value: []byte{}}}, []string{"zone/z: bad JSON: EOF"}},
		"two values":      {[]Change{{Key: "zone/z", Value: []byte(`{"name":"z","region":"r"} {}`)}}, []string{"zone/z: bad JSON: more than one value"}},
		"unknown field":   {[]Change{{Key: "zone/z", Value: []byte(`{"name":"z","country":"cl"}`)}}, []string{`zone/z: bad JSON: json: unknown field "country"`}},
		"other name":      {[]Change{{Key: "zone/z", Value: []byte(`{"name":"y","region":"r"}`)}}, []string{"zone/z: the record is named zone/y; key and name must agree"}},
		"same key twice":  {[]Change{{Key: "zone/z"}, {Key: "zone/z"}}, []string{"zone/z: is changed twice in one request"}},
		"whole is broken": {[]Change{{Key: "zone/stgo-a"}}, []string{`vm/vm-1: zone: zone "stgo-a" is not declared`}},
		"other weights":   {[]Change{{Key: "model/draft@v1", Value: []byte(`{"model":"draft","version":"v1","manifest":"` + hashB + `","origin":"http://10.0.0.5:9000"}`)}}, []string{"model/draft@v1: manifest: a version's weights can't be changed; declare another version"}},
		"other origin":    {[]Change{{Key: "model/draft@v1", Value: []byte(`{"model":"draft","version":"v1","manifest":"` + hashA + `","origin":"http://10.0.0.6:9000"}`)}}, nil},
		"service in use":  {[]Change{{Key: "service/copywriter"}}, []string{`rule/copy: service: service "copywriter" is not declared`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, ValidateChange(current, c.changes))
			require.Len(t, current, len(validInventory().Records())+1, "the current records are not modified")
		})
	}
}

// drawInventory draws an inventory with unique keys; it need not be valid.
func drawInventory(t *rapid.T, label string) Inventory {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	unique := func(kind string) []string {
		return rapid.SliceOfNDistinct(name, 0, 4, rapid.ID[string]).Draw(t, label+kind)
	}
	var inv Inventory
	for _, n := range unique("zones") {
		inv.Zones = append(inv.Zones, Zone{Name: n, Region: name.Draw(t, "region")})
	}
	for _, n := range unique("vms") {
		inv.VMs = append(inv.VMs, VM{Name: n, Zone: name.Draw(t, "zone"), Drained: rapid.Bool().Draw(t, "drained")})
	}
	for _, n := range unique("rules") {
		inv.Rules = append(inv.Rules, Rule{Name: n, Service: name.Draw(t, "service"), Copies: rapid.IntRange(0, 3).Draw(t, "copies")})
	}
	for _, n := range unique("models") {
		inv.Models = append(inv.Models, ModelVersion{Model: n, Version: name.Draw(t, "version")})
	}
	return inv
}

func TestDiffThenApplyGivesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawInventory(t, "before").Records()
		before["assign/a"] = []byte(`{}`)
		target := drawInventory(t, "target")
		changes := Diff(before, target.Records())
		after := ApplyChanges(before, changes)
		require.Contains(t, after, "assign/a", "derived keys are not changed")
		delete(after, "assign/a")
		require.Equal(t, target.Records(), after)
		require.Empty(t, Diff(after, target.Records()))
		back, err := FromRecords(after)
		require.NoError(t, err)
		require.Equal(t, target.Records(), back.Records())
		for _, change := range changes {
			require.NotEmpty(t, Describe(before[change.Key], change))
		}
	})
}

func TestDescribe(t *testing.T) {
	before := []byte(`{"name":"copy","copies":2}`)
	require.Equal(t, "- rule/copy", Describe(before, Change{Key: "rule/copy"}))
	require.Equal(t, `+ rule/copy {"name":"copy"}`, Describe(nil, Change{Key: "rule/copy", Value: []byte(`{"name":"copy"}`)}))
	require.Equal(t, `~ rule/copy: copies 2 -> 3, prefer unset -> "time"`,
		Describe(before, Change{Key: "rule/copy", Value: []byte(`{"prefer":"time","copies":3,"name":"copy"}`)}))
}

func TestLoadMergesFilesAndReportsEachFault(t *testing.T) {
	dir := t.TempDir()
	places := filepath.Join(dir, "a-places.toml")
	rules := filepath.Join(dir, "b-rules.toml")
	require.NoError(t, os.WriteFile(places, []byte(`[[zone]]
name = "stgo-a"
region = "santiago"
[[vm]]
name = "vm-1"
zone = "stgo-b"
drained = false
`), 0o600))
	require.NoError(t, os.WriteFile(rules, []byte(`[[zone]]
name = "stgo-a"
region = "santiago"
[[rule]]
name = "copy"
service = "copywriter"
copeis = 3
version = 1
`), 0o600))
	_, err := Load(dir)
	require.EqualError(t, err, places+`:6: vm[0].zone: zone "stgo-b" is not declared
`+rules+`:1: zone[0]: is declared twice
`+rules+`:6: rule[0].service: service "copywriter" is not declared
`+rules+`:7: rule[0].copeis: unknown key; allowed here: copies, min_live, name, prefer, regions, service, version, zones
`+rules+`:8: rule[0].version: must be a string, not an integer`)

	part, err := LoadPart(places)
	require.NoError(t, err, "references are not checked in a part")
	require.Equal(t, map[string]bool{"vm-1": true}, part.SetsDrained)
	_, err = Load(t.TempDir())
	require.ErrorContains(t, err, "holds no *.toml file")
}
