package inventory

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

const (
	// digestBytes is the length of a BLAKE3 or SHA-256 digest.
	digestBytes = 32
	// LeastUrgent is the highest priority number; 0 is the most urgent.
	LeastUrgent = 9
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// AllowedName describes the names that IsName accepts, for error messages.
const AllowedName = "letters, digits, '.', '_' and '-', at most 63, the first a letter or digit"

// IsName reports whether the text is a valid name of a record or a daemon.
func IsName(text string) bool { return namePattern.MatchString(text) }

// Fault is one validation error of an inventory.
type Fault struct {
	// Table and Index locate the record: Table is the TOML name of the list,
	// such as "rule", and Index its position in the list.
	Table string
	Index int
	// Key is the record's key in the key space.
	Key string
	// Field is the TOML name of the field; empty if the fault concerns the whole record.
	Field string
	// Message describes the fault and what is allowed.
	Message string
}

// String formats the fault with the key of its record.
func (f Fault) String() string {
	if f.Field == "" {
		return f.Key + ": " + f.Message
	}
	return f.Key + ": " + f.Field + ": " + f.Message
}

// Validate checks every record and every reference between records. The
// result depends on the inventory only and is in the order of the lists.
func (inv Inventory) Validate() []Fault {
	v := newValidator(inv)
	v.records()
	v.references()
	return v.faults
}

// ValidateRecords checks a part of an inventory: each record by itself, and
// duplicates, but no references.
func (inv Inventory) ValidateRecords() []Fault {
	v := newValidator(inv)
	v.records()
	return v.faults
}

type validator struct {
	inv      Inventory
	faults   []Fault
	zones    map[string]bool
	regions  map[string]bool
	services map[string]Service
	models   map[string]bool
}

func newValidator(inv Inventory) *validator {
	v := &validator{
		inv:      inv,
		zones:    map[string]bool{},
		regions:  map[string]bool{},
		services: map[string]Service{},
		models:   map[string]bool{},
	}
	for _, zone := range inv.Zones {
		v.zones[zone.Name] = true
		v.regions[zone.Region] = true
	}
	for _, service := range inv.Services {
		v.services[service.Name] = service
	}
	for _, model := range inv.Models {
		v.models[model.Ref()] = true
	}
	return v
}

// record identifies one record and adds its faults to the validator.
type record struct {
	v     *validator
	table string
	index int
	key   string
}

func (r record) fault(field, format string, args ...any) {
	r.v.faults = append(r.v.faults, Fault{
		Table: r.table, Index: r.index, Key: r.key, Field: field,
		Message: fmt.Sprintf(format, args...),
	})
}

// each calls check for every record of a list, and reports duplicates.
func each[T keyed](v *validator, table string, list []T, check func(record, T)) {
	seen := map[string]bool{}
	for i, item := range list {
		r := record{v: v, table: table, index: i, key: item.Key()}
		if seen[r.key] {
			r.fault("", "is declared twice")
		}
		seen[r.key] = true
		check(r, item)
	}
}

func (v *validator) records() {
	each(v, "zone", v.inv.Zones, checkZone)
	each(v, "vm", v.inv.VMs, checkVM)
	each(v, "service", v.inv.Services, checkService)
	owners := map[string]string{}
	each(v, "organisation", v.inv.Organisations, func(r record, o Organisation) {
		checkOrganisation(r, o)
		checkKeyOwners(r, o, owners)
	})
	each(v, "model", v.inv.Models, checkModel)
	each(v, "rule", v.inv.Rules, checkRule)
}

func checkZone(r record, z Zone) {
	r.name("name", z.Name)
	r.name("region", z.Region)
}

func checkVM(r record, vm VM) {
	r.name("name", vm.Name)
	r.name("zone", vm.Zone)
	r.notNegative("capacity", vm.Capacity)
}

func checkService(r record, s Service) {
	r.name("name", s.Name)
	r.priority("priority", s.Priority)
	switch s.Kind {
	case KindModel:
		r.name("model", s.Model)
	case KindPlain:
		if s.Model != "" {
			r.fault("model", `is only for kind = "model"`)
		}
	default:
		r.fault("kind", `%q is not allowed; allowed: "model", "plain"`, s.Kind)
	}
	seen := map[string]bool{}
	for i, path := range s.Paths {
		checkPath(r, fmt.Sprintf("path[%d].", i), path, seen)
	}
}

func checkPath(r record, field string, path PathRule, seen map[string]bool) {
	if !strings.HasPrefix(path.Prefix, "/") {
		r.fault(field+"prefix", `%q is not a path prefix; it must begin with "/"`, path.Prefix)
	}
	if seen[path.Prefix] {
		r.fault(field+"prefix", "%q is given twice", path.Prefix)
	}
	seen[path.Prefix] = true
	if path.AtMostOnce && path.Idempotent {
		r.fault(field+"idempotent", "contradicts at_most_once; set one of them")
	}
	if path.Priority != nil {
		r.priority(field+"priority", *path.Priority)
	}
}

func checkOrganisation(r record, o Organisation) {
	r.name("name", o.Name)
	r.notNegative("weight", o.Weight)
	r.notNegative("concurrency", o.Concurrency)
	if o.RequestsPerSecond < 0 {
		r.fault("requests_per_second", "must not be negative; 0 means no limit")
	}
	if o.TokensPerSecond < 0 {
		r.fault("tokens_per_second", "must not be negative; 0 means no limit")
	}
	for i, hash := range o.KeyHashes {
		r.digest(fmt.Sprintf("key_hashes[%d]", i), hash, "SHA-256 digest of an API key")
	}
}

// checkKeyOwners reports keys that are listed more than once, by the same or by
// another organisation.
func checkKeyOwners(r record, o Organisation, owners map[string]string) {
	for i, hash := range o.KeyHashes {
		field := fmt.Sprintf("key_hashes[%d]", i)
		if owner, taken := owners[hash]; taken {
			r.fault(field, "is a key of organisation %q too; a key belongs to one organisation, once", owner)
			continue
		}
		owners[hash] = o.Name
	}
}

func checkModel(r record, m ModelVersion) {
	r.name("model", m.Model)
	r.name("version", m.Version)
	r.digest("manifest", m.Manifest, "BLAKE3 digest of the manifest file")
	r.baseURL("origin", m.Origin)
	if m.Store != "" {
		r.baseURL("store", m.Store)
	}
}

func checkRule(r record, rule Rule) {
	r.name("name", rule.Name)
	r.name("service", rule.Service)
	r.name("version", rule.Version)
	r.notNegative("copies", rule.Copies)
	r.notNegative("min_live", rule.MinLive)
	if rule.MinLive > rule.Copies {
		r.fault("min_live", "is %d but copies is %d; min_live must not be above copies", rule.MinLive, rule.Copies)
	}
	switch rule.Prefer {
	case "", PreferTime, PreferOriginBytes:
	default:
		r.fault("prefer", `%q is not allowed; allowed: "time", "origin-bytes"`, rule.Prefer)
	}
}

func (v *validator) references() {
	for i, vm := range v.inv.VMs {
		r := record{v: v, table: "vm", index: i, key: vm.Key()}
		r.refer("zone", vm.Zone, "zone", v.zones)
	}
	for i, rule := range v.inv.Rules {
		v.ruleReferences(record{v: v, table: "rule", index: i, key: rule.Key()}, rule)
	}
}

func (v *validator) ruleReferences(r record, rule Rule) {
	for i, zone := range rule.Zones {
		r.refer(fmt.Sprintf("zones[%d]", i), zone, "zone", v.zones)
	}
	for i, region := range rule.Regions {
		r.refer(fmt.Sprintf("regions[%d]", i), region, "region", v.regions)
	}
	service, known := v.services[rule.Service]
	if !known {
		r.refer("service", rule.Service, "service", nil)
		return
	}
	if service.Kind != KindModel {
		r.fault("service", "%q is a plain service; rules place copies of model services", rule.Service)
		return
	}
	ref := ModelVersion{Model: service.Model, Version: rule.Version}.Ref()
	if rule.Version != "" && !v.models[ref] {
		r.fault("version", "model version %q is not declared", ref)
	}
}

func (r record) refer(field, name, what string, declared map[string]bool) {
	if name != "" && !declared[name] {
		r.fault(field, "%s %q is not declared", what, name)
	}
}

func (r record) name(field, value string) {
	if value == "" {
		r.fault(field, "is missing")
		return
	}
	if !IsName(value) {
		r.fault(field, "%q is not a name; allowed: %s", value, AllowedName)
	}
}

func (r record) notNegative(field string, value int) {
	if value < 0 {
		r.fault(field, "must not be negative")
	}
}

func (r record) priority(field string, value int) {
	if value < 0 || value > LeastUrgent {
		r.fault(field, "must be from 0 (most urgent) to %d", LeastUrgent)
	}
}

func (r record) digest(field, value, what string) {
	digest, err := hex.DecodeString(value)
	if err != nil || len(digest) != digestBytes || value != strings.ToLower(value) {
		r.fault(field, "must be the hex %s, 64 digits in lower case", what)
	}
}

func (r record) baseURL(field, value string) {
	base, err := url.Parse(value)
	if err != nil || base.Host == "" || !slices.Contains([]string{"http", "https"}, base.Scheme) {
		r.fault(field, "%q is not a base URL such as \"http://10.0.0.5:9000/models\"", value)
	}
}
