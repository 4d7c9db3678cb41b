package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Residency restricts the regions in which a request may be served. A route and an organisation
// may each have a list of regions; both lists apply. The zero value allows every region.
type Residency struct{ route, organisation []string }

// ResidencyOf returns the residency of an organisation's requests on a route; o may be nil.
func ResidencyOf(r *Route, o *Organisation) Residency {
	residency := Residency{route: r.Regions}
	if o != nil {
		residency.organisation = o.Regions
	}
	return residency
}

// Restricted reports whether any region is excluded.
func (r Residency) Restricted() bool { return len(r.route)+len(r.organisation) > 0 }

// Allows reports whether a request may be served in a region. The empty name is that of an unknown
// region, which only an unrestricted request may use.
func (r Residency) Allows(region string) bool {
	return allows(r.route, region) && allows(r.organisation, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || region != "" && slices.Contains(regions, region)
}

// String returns the lists in the order of their declaration; it is equal for equal residencies and
// empty for an unrestricted one.
func (r Residency) String() string {
	switch {
	case len(r.organisation) == 0:
		return strings.Join(r.route, ",")
	case len(r.route) == 0:
		return strings.Join(r.organisation, ",")
	}
	return strings.Join(r.route, ",") + " and " + strings.Join(r.organisation, ",")
}

// validateRegions checks the regions of a route or an organisation.
func validateRegions(what, name string, regions []string) error {
	if slices.Contains(regions, "") {
		return fmt.Errorf("%w: %s %q: a region has no name", ErrInvalid, what, name)
	}
	return nil
}
