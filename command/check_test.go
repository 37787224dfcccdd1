package command_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestCheck(t *testing.T) {
	g := NewWithT(t)
	good := writeFile(t, "good.toml", "service = \"booking\"\nowner = \"desk\"\n")
	bad := writeFile(t, "bad.toml", "service = \"booking\"\nowner = \"desk\"\ncolour = \"red\"\n")
	r := run(t, "check", good)
	g.Expect(r.status).To(Equal(0), r.errOut)
	r = run(t, "--json", "check", good, bad)
	g.Expect(r.status).To(Equal(2))
	g.Expect(r.errOut).To(ContainSubstring("colour"))
	var files []struct {
		File, Error string
		OK          bool
	}
	r.decode(g, &files)
	g.Expect(files[0].OK).To(BeTrue())
	g.Expect(files[1].Error).To(ContainSubstring("colour"))

	r = runIn(t, strings.NewReader("name = 'e'\n"), "check", "--kind", "entry", "-")
	g.Expect(r.status).To(Equal(2))
	g.Expect(r.errOut).To(ContainSubstring("log_url"))
	r = runIn(t, strings.NewReader("name = 'a'\n"), "check", "--kind", "agent", "-")
	g.Expect(r.errOut).To(ContainSubstring("backend_url"))
}
