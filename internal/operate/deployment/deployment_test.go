package deployment_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/examples"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/operate/deployment"
)

func TestExampleDeploymentSizes(t *testing.T) {
	scenarios := []struct {
		testName                  string
		domains, entries, workers int
	}{
		{"hearthmark", 3, 8, 48},
		{"lumiquote", 4, 8, 48},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			d, err := deployment.Load(examples.Files, s.testName)
			is.NoErr(err)
			is.Equal(len(d.Domains), s.domains)
			is.Equal(len(d.Entries()), s.entries)
			is.Equal(len(d.Workers()), s.workers)
			workersPerDomain := map[string]int{}
			for _, w := range d.Workers() {
				workersPerDomain[w.Domain]++
			}
			is.Equal(len(workersPerDomain), s.domains)
			loaded, err := settings.Load("../../../examples/" + s.testName + "/entry.json")
			is.NoErr(err)
			is.NoErr(loaded.Validate())
		})
	}
}
