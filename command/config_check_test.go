package command_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/configcheck"
)

// configFile returns the path of a configuration in the platform's format.
func configFile(name string) string { return filepath.Join("..", "platform", "testdata", name) }

func TestConfigCheck(t *testing.T) {
	g := NewWithT(t)
	good, inForce, bad := configFile("config.json"), configFile("config-in-force.json"), configFile("config-faults.json")

	g.Expect(run(t, "config", "check", good).status).To(Equal(0))
	r := run(t, "config", "check", "--against", inForce, good)
	g.Expect(r.status).To(Equal(0), "a difference is no fault")
	g.Expect(r.out).To(Equal("difference: routes[0]: queue \"holds\" is new\n"))

	r = run(t, "--json", "config", "check", bad)
	g.Expect(r.status).To(Equal(1))
	var findings []configcheck.Finding
	r.decode(g, &findings)
	kinds := []configcheck.Kind{}
	for _, f := range findings {
		kinds = append(kinds, f.Kind)
	}
	g.Expect(kinds).To(Equal([]configcheck.Kind{configcheck.Error, configcheck.Unreachable, configcheck.Contradiction}))

	g.Expect(run(t, "config", "check", writeFile(t, "cut.json", `{"version":8,`)).status).To(Equal(2))
	g.Expect(run(t, "config", "check", "missing.json").status).To(Equal(2))
}
