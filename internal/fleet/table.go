package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// Table is a configuration with indexes for lookups; it is immutable.
type Table struct {
	Config        *Config
	hosts         map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
}

// NewTable indexes a valid configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		Config:        c,
		hosts:         map[string][]*Route{},
		services:      map[string]*Service{},
		organisations: map[string]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			if key != "" { // requests without a key are nobody's
				t.organisations[key] = &c.Organisations[i]
			}
		}
	}
	return t
}

// Route returns the host's route whose prefix is the longest match of path, nil
// if none matches.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if it is not declared.
func (t *Table) Service(name string) *Service { return t.services[name] }

// OrganisationOf returns the organisation that holds a key, nil if none does.
func (t *Table) OrganisationOf(key string) *Organisation { return t.organisations[key] }

// NeedsKey reports whether a request on a route must carry the key of an organisation.
func (t *Table) NeedsKey(r *Route) bool { return !t.Config.Open && !r.Anonymous }

// Origin returns the origin of weights, nil if none is declared.
func (t *Table) Origin() *Origin {
	for i := range t.Config.Services {
		if o := t.Config.Services[i].Origin; o != nil {
			return o
		}
	}
	return nil
}
