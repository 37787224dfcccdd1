package configcheck_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/configcheck"
	"github.com/chestnuthollow/chestnuthollow/routing"
)

func valid() configcheck.Config {
	queue := func(name, prefix string) configcheck.Queue {
		return configcheck.Queue{Place: "queue " + name, Timeout: 1500 * time.Millisecond, Queue: routing.Queue{
			Name: name, Host: "a.example", Prefix: prefix, Service: "booking", Attempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond,
		}}
	}
	return configcheck.Config{
		Version: 7, Services: []configcheck.Service{{Name: "booking", Place: "service booking"}},
		Queues: []configcheck.Queue{queue("all", "/"), queue("holds", "/holds/")},
	}
}

func TestValidConfigurationHasNoFindings(t *testing.T) {
	NewWithT(t).Expect(configcheck.Check(valid())).To(BeEmpty())
}

func TestFaultsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		kind  configcheck.Kind
		fault func(c *configcheck.Config)
	}{
		"no version":              {configcheck.Error, func(c *configcheck.Config) { c.Version = 0 }},
		"service twice":           {configcheck.Error, func(c *configcheck.Config) { c.Services = append(c.Services, c.Services[0]) }},
		"unknown service":         {configcheck.Error, func(c *configcheck.Config) { c.Queues[1].Service = "other" }},
		"name twice":              {configcheck.Error, func(c *configcheck.Config) { c.Queues[1].Name = "all" }},
		"no prefix":               {configcheck.Error, func(c *configcheck.Config) { c.Queues[1].Prefix = "" }},
		"negative priority":       {configcheck.Error, func(c *configcheck.Config) { c.Queues[1].Priority = -1 }},
		"same host and prefix":    {configcheck.Unreachable, func(c *configcheck.Config) { c.Queues[1].Host, c.Queues[1].Prefix = "A.Example", "/" }},
		"prefix without slash":    {configcheck.Unreachable, func(c *configcheck.Config) { c.Queues[1].Prefix = "holds/" }},
		"prefix with a query":     {configcheck.Unreachable, func(c *configcheck.Config) { c.Queues[1].Prefix = "/holds?" }},
		"host with a port":        {configcheck.Unreachable, func(c *configcheck.Config) { c.Queues[1].Host = "a.example:80" }},
		"no host":                 {configcheck.Unreachable, func(c *configcheck.Config) { c.Queues[1].Host = "" }},
		"no attempts":             {configcheck.Contradiction, func(c *configcheck.Config) { c.Queues[1].Attempts = 0 }},
		"stretch under one":       {configcheck.Contradiction, func(c *configcheck.Config) { c.Queues[1].Stretch = 0.8 }},
		"no objective":            {configcheck.Contradiction, func(c *configcheck.Config) { c.Queues[1].Stretch = 0 }},
		"target past the timeout": {configcheck.Contradiction, func(c *configcheck.Config) { c.Queues[1].TargetLatency = 2 * time.Second }},
		"timeout under zero":      {configcheck.Contradiction, func(c *configcheck.Config) { c.Queues[1].Timeout = -1 }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			config := valid()
			c.fault(&config)
			findings := configcheck.Check(config)
			g.Expect(findings).To(HaveLen(1))
			g.Expect(findings[0].Kind).To(Equal(c.kind))
		})
	}
}

func TestDifferencesFromVersionInForce(t *testing.T) {
	g := NewWithT(t)
	next := valid()
	next.Version = 7
	next.Queues[0].Attempts = 3
	next.Queues[1].Name = "bookings"
	g.Expect(configcheck.Differences(valid(), next)).To(Equal([]configcheck.Finding{
		{Kind: configcheck.Error, Place: "version", Reason: "got 7, want more than 7, the version in force"},
		{Kind: configcheck.Difference, Place: "queue all", Reason: `queue "all": attempts 3, was 2`},
		{Kind: configcheck.Difference, Place: "queue holds", Reason: `queue "bookings" is new`},
		{Kind: configcheck.Difference, Place: "queue holds", Reason: `queue "holds" is removed`},
	}))
}
