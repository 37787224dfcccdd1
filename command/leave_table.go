package command

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/chestnuthollow/chestnuthollow/document"
)

var (
	leaveHeader = regexp.MustCompile(`(?m)^[ \t]*\[[ \t]*leave[ \t]*\][ \t]*(#.*)?$`)
	tableHeader = regexp.MustCompile(`(?m)^[ \t]*\[`)
)

// errLeaveTableFormat reports a leave table in a TOML layout that setLeaveKey cannot
// edit safely.
var errLeaveTableFormat = errors.New("the layout of the document's leave table is not supported here: edit it with service get and service apply")

// setLeaveKey sets one key of the leave table in a document's text and preserves
// all other text, including comments. It verifies that the new text parses to the
// old document with change applied and no other difference.
func setLeaveKey(text, key, value string, change func(*document.Leave)) (string, error) {
	want, err := document.Parse(text)
	if err != nil {
		return "", err
	}
	change(&want.Leave)
	edited := setLeaveKeyText(text, key, value)
	got, err := document.Parse(edited)
	if err != nil || !reflect.DeepEqual(got, want) {
		return "", errLeaveTableFormat
	}
	return edited, nil
}

func setLeaveKeyText(text, key, value string) string {
	line := fmt.Sprintf("%s = %s", key, value)
	header := leaveHeader.FindStringIndex(text)
	if header == nil {
		return strings.TrimRight(text, "\n") + "\n\n[leave]\n" + line + "\n"
	}
	before, table := text[:header[1]], text[header[1]:]
	after := ""
	if next := tableHeader.FindStringIndex(table); next != nil {
		table, after = table[:next[0]], table[next[0]:]
	}
	keyLine := regexp.MustCompile(`(?m)^[ \t]*` + key + `[ \t]*=[ \t]*(\[[^\]]*\]|[^\s#]+)`)
	if loc := keyLine.FindStringIndex(table); loc != nil {
		return before + table[:loc[0]] + line + table[loc[1]:] + after
	}
	return before + "\n" + line + table + after
}

func tomlBool(b bool) string { return strconv.FormatBool(b) }

func tomlStrings(list []string) string {
	quoted := make([]string, 0, len(list))
	for _, s := range list {
		quoted = append(quoted, strconv.Quote(s))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
