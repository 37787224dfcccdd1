package command

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestSetDrain(t *testing.T) {
	const head = "# ours\nservice = \"booking\"\nowner = \"desk\"\n"
	cases := []struct {
		name   string
		text   string
		agents []string
		leave  bool
		want   string
	}{
		{"no leave table", head, nil, true, head + "\n[leave]\ndrain = true\n"},
		{"key missing", head + "[leave] # when\ngrace = \"2s\"\n[policy]\n", nil, true,
			head + "[leave] # when\ndrain = true\ngrace = \"2s\"\n[policy]\n"},
		{"key present", head + "[leave]\ndrain = false # not yet\n\n[limits]\nslots = 4\n", nil, true,
			head + "[leave]\ndrain = true # not yet\n\n[limits]\nslots = 4\n"},
		{"undo", head + "[leave]\ndrain = true\n", nil, false, head + "[leave]\ndrain = false\n"},
		{"no change needed", head, nil, false, head},
		{"agents", head + "[leave]\nbackend_servers = [\n  \"a\", # old\n  \"b\",\n]\n", []string{"c"}, true,
			head + "[leave]\nbackend_servers = [\"a\", \"b\", \"c\"]\n"},
		{"undo for agents", head + "[leave]\nbackend_servers = [\"a\", \"b\"]\n", []string{"a"}, false,
			head + "[leave]\nbackend_servers = [\"b\"]\n"},
		{"agent already leaving", head + "[leave]\nbackend_servers = [\"a\"]\n", []string{"a"}, true,
			head + "[leave]\nbackend_servers = [\"a\"]\n"},
		{"unknown keys of a newer version", head + "newer = 1\n[leave]\nnewer = 2\n", nil, true,
			head + "newer = 1\n[leave]\ndrain = true\nnewer = 2\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := setDrain(tc.text, tc.agents, tc.leave)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(tc.want))
		})
	}
}

// TestSetDrainRefusesUnsupportedLayout uses layouts in which a
// line-based edit would change the wrong text.
func TestSetDrainRefusesUnsupportedLayout(t *testing.T) {
	for _, text := range []string{
		"service = \"booking\"\nowner = \"desk\"\nleave = {grace = \"2s\"}\n",
		"service = \"booking\"\nowner = \"desk\"\n[accept]\nkinds = [\"\"\"\n[leave]\n\"\"\"]\n",
	} {
		_, err := setDrain(text, nil, true)
		NewWithT(t).Expect(err).To(MatchError(errLeaveTableFormat), text)
	}
}
