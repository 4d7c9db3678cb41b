package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRegionsOfRouteAndOrganisationBothApply(t *testing.T) {
	route := &Route{Regions: []string{"north", "south"}}
	org := &Organisation{Regions: []string{"south", "west"}}
	both := ResidencyOf(route, org)
	for region, allowed := range map[string]bool{"north": false, "south": true, "west": false, "": false} {
		assert.Equal(t, allowed, both.Allows(region), region)
	}
	assert.True(t, ResidencyOf(route, nil).Allows("north"))
	assert.False(t, ResidencyOf(&Route{}, org).Allows("north"))
	assert.True(t, ResidencyOf(&Route{}, &Organisation{}).Allows(""))
	assert.False(t, ResidencyOf(&Route{}, nil).Restricted())
	assert.Equal(t, "north,south and south,west", both.String())
	disjoint := ResidencyOf(route, &Organisation{Regions: []string{"west"}})
	for _, region := range []string{"north", "south", "west", ""} {
		assert.False(t, disjoint.Allows(region), region)
	}
}

func TestRegionWithoutNameIsInvalid(t *testing.T) {
	config := func(route, org []string) *Config {
		return &Config{
			Routes: []Route{{Name: "r", Timeout: 1, Targets: []Target{{Service: "s", Weight: 1}}, Regions: route}}, Services: []Service{{Name: "s"}},
			Organisations: []Organisation{{Name: "o", Regions: org}},
		}
	}
	assert.NoError(t, config([]string{"north"}, []string{"south"}).Validate())
	assert.ErrorIs(t, config([]string{"north", ""}, nil).Validate(), ErrInvalid)
	assert.ErrorIs(t, config(nil, []string{""}).Validate(), ErrInvalid)
}
