// Package encoded_test keeps the names that leave a process: fields of messages
// between processes, tags, and metrics. A changed name breaks the exchange between
// builds without failing any other test.
package encoded_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// messagePackages contain the types that net/rpc encodes with gob, by the names of
// their exported fields. Their constants are encoded as numbers, in the order of
// declaration.
var messagePackages = []string{"session", "structs"}

// skippedFolders hold no code of the processes.
var skippedFolders = []string{"test", "standin", "load", "journal", "docs", "target", "bin", ".git"}

// Names may be added. One that disappears from the golden file, or moves in the order
// of constants, needs a test that old and new builds work side by side.
func TestEncodedNamesAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	var names []string
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains(skippedFolders, rel) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := namesOf(path, filepath.ToSlash(filepath.Dir(rel)))
		names = append(names, found...)
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	slices.Sort(names)
	goldie.New(t).Assert(t, "names", []byte(strings.Join(names, "\n")+"\n"))
}

// namesOf returns the encoded names of one source file of the folder.
func namesOf(path, folder string) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		return nil, err
	}
	isMessage := slices.Contains(messagePackages, folder)
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.TypeSpec:
			if s, ok := n.Type.(*ast.StructType); ok {
				names = append(names, fieldNames(fset, folder, n.Name.Name, s, isMessage)...)
			}
		case *ast.GenDecl:
			if n.Tok == token.CONST && isMessage {
				names = append(names, constantNames(folder, n)...)
			}
		case *ast.CallExpr:
			names = append(names, metricNames(folder, n)...)
		}
		return true
	})
	return names, nil
}

// fieldNames returns the exported fields of a message with their types, and the tags of
// any struct.
func fieldNames(fset *token.FileSet, folder, typeName string, s *ast.StructType, isMessage bool) []string {
	var names []string
	for _, f := range s.Fields.List {
		var kind bytes.Buffer
		if err := printer.Fprint(&kind, fset, f.Type); err != nil {
			continue
		}
		for _, id := range f.Names {
			if isMessage && id.IsExported() {
				names = append(names, fmt.Sprintf("gob %s.%s.%s %s", folder, typeName, id.Name, strings.Join(strings.Fields(kind.String()), " ")))
			}
			if f.Tag == nil {
				continue
			}
			tag, err := strconv.Unquote(f.Tag.Value)
			if err != nil {
				continue
			}
			for _, key := range []string{"json", "toml"} {
				if value, ok := reflect.StructTag(tag).Lookup(key); ok {
					names = append(names, fmt.Sprintf("%s %s.%s %s", key, folder, typeName, value))
				}
			}
		}
	}
	return names
}

// constantNames returns the constants of a declaration that counts with iota.
func constantNames(folder string, d *ast.GenDecl) []string {
	var names []string
	counts := false
	for i, spec := range d.Specs {
		v := spec.(*ast.ValueSpec)
		for _, value := range v.Values {
			ast.Inspect(value, func(n ast.Node) bool {
				id, ok := n.(*ast.Ident)
				counts = counts || ok && id.Name == "iota"
				return true
			})
		}
		if counts {
			names = append(names, fmt.Sprintf("constant %s %d %s", folder, i, v.Names[0].Name))
		}
	}
	return names
}

// metricNames returns the literal name of a registered metric.
func metricNames(folder string, call *ast.CallExpr) []string {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !strings.HasPrefix(sel.Sel.Name, "NewRegistered") && sel.Sel.Name != "Register" && sel.Sel.Name != "Histogram" {
		return nil
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return nil
	}
	return []string{"metric " + folder + " " + literal.Value}
}
