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

// errLeaveTable says that a document's leave table is written in a way that
// setLeave does not change safely.
var errLeaveTable = errors.New("the document's leave table has to be edited by hand: service get, then service apply")

// setLeave sets one key of the leave table in a document's text and keeps the
// rest as it is, comments too. It checks that the new text means the old
// document with change made to it, and nothing else.
func setLeave(text, key, value string, change func(*document.Leave)) (string, error) {
	want, err := document.Parse(text)
	if err != nil {
		return "", err
	}
	change(&want.Leave)
	edited := setLeaveText(text, key, value)
	got, err := document.Parse(edited)
	if err != nil || !reflect.DeepEqual(got, want) {
		return "", errLeaveTable
	}
	return edited, nil
}

func setLeaveText(text, key, value string) string {
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
	old := regexp.MustCompile(`(?m)^[ \t]*` + key + `[ \t]*=[ \t]*(\[[^\]]*\]|[^\s#]+)`)
	if at := old.FindStringIndex(table); at != nil {
		return before + table[:at[0]] + line + table[at[1]:] + after
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
