package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
)

type sample struct {
	Name string `toml:"name" validate:"required,name"`
	Addr string `toml:"addr" validate:"required,ipport"`
	Rate int    `toml:"rate" validate:"min=1,max=10"`
}

func TestParseReportsEveryProblem(t *testing.T) {
	g := NewWithT(t)
	s := sample{Rate: 5}
	err := settings.Parse("x.toml", "addr = 'localhost'\nrate = 11\ncolour = 'red'\n", &s)
	g.Expect(err).To(HaveOccurred())
	for _, want := range []string{"unknown key colour", "name = : missing", "addr = localhost: want an IP", "rate = 11: want at most 10"} {
		g.Expect(err.Error()).To(ContainSubstring(want))
	}
}

// The address is announced to other processes, so they must be able to dial it.
func TestParseRejectsUnspecifiedAddress(t *testing.T) {
	g := NewWithT(t)
	s := sample{Rate: 5}
	g.Expect(settings.Parse("x.toml", "name = 'a'\naddr = '0.0.0.0:80'\n", &s)).NotTo(Succeed())
}

func TestParseKeepsDefaults(t *testing.T) {
	g := NewWithT(t)
	s := sample{Rate: 5}
	g.Expect(settings.Parse("x.toml", "name = 'a'\naddr = '127.0.0.1:80'\n", &s)).To(Succeed())
	g.Expect(s.Rate).To(Equal(5))
}

func TestProblemsRedactTokens(t *testing.T) {
	g := NewWithT(t)
	type secret struct {
		Token string `toml:"publish_token" validate:"min=16"`
	}
	var s secret
	err := settings.Parse("x.toml", "publish_token = 'open-sesame'\n", &s)
	g.Expect(err).To(MatchError(ContainSubstring("publish_token = (hidden)")))
	g.Expect(err).NotTo(MatchError(ContainSubstring("open-sesame")))
}

// Settings that several roles share are embedded structs. An error must name the
// key as it is in the file, without the embedded struct.
func TestErrorsNameEmbeddedSettingsByFileKey(t *testing.T) {
	type Shared struct {
		Name string `toml:"name" validate:"required,name"`
	}
	type role struct {
		Shared
	}
	err := settings.Parse("file", "", &role{})
	NewWithT(t).Expect(err).To(MatchError("settings file: name = : missing"))
}
