package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// catalog indexes the configuration for the goroutines that serve requests. It
// is built once per revision and never changed afterwards.
type catalog struct {
	revision      uint64
	organisations map[string]inventory.Organisation
	// byKeyHash maps hex SHA-256 digests of API keys to organisations.
	byKeyHash map[string]string
	services  map[string]inventory.Service
	// byModel maps a model to the service that answers with it.
	byModel map[string]string
	regions map[string]string
}

func newCatalog(view *keyspace.View) *catalog {
	c := &catalog{
		revision:      view.Revision(),
		organisations: map[string]inventory.Organisation{},
		byKeyHash:     map[string]string{},
		services:      map[string]inventory.Service{},
		byModel:       map[string]string{},
		regions:       map[string]string{},
	}
	for _, org := range keyspace.List[inventory.Organisation](view, inventory.PrefixOrganisation) {
		c.organisations[org.Name] = org
		for _, hash := range org.KeyHashes {
			c.byKeyHash[strings.ToLower(hash)] = org.Name
		}
	}
	for _, service := range keyspace.List[inventory.Service](view, inventory.PrefixService) {
		c.services[service.Name] = service
		if service.Model != "" {
			c.byModel[service.Model] = service.Name
		}
	}
	for _, zone := range keyspace.List[inventory.Zone](view, inventory.PrefixZone) {
		c.regions[zone.Name] = zone.Region
	}
	return c
}

// organisation returns the organisation that an API key belongs to.
func (c *catalog) organisation(key string) (inventory.Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := c.byKeyHash[hex.EncodeToString(sum[:])]
	if !ok {
		return inventory.Organisation{}, false
	}
	return c.organisations[name], true
}

// modelService returns the service that a completion request names in its
// "model" field: a service's name or its model's.
func (c *catalog) modelService(name string) (inventory.Service, bool) {
	if service, ok := c.services[name]; ok {
		return service, service.Kind == inventory.KindModel
	}
	service, ok := c.services[c.byModel[name]]
	return service, ok
}

// pathRule returns the rule with the longest prefix that path begins with.
func pathRule(service inventory.Service, path string) inventory.PathRule {
	var best inventory.PathRule
	found := false
	for _, rule := range service.Paths {
		if !strings.HasPrefix(path, rule.Prefix) {
			continue
		}
		if !found || len(rule.Prefix) > len(best.Prefix) {
			best, found = rule, true
		}
	}
	return best
}
