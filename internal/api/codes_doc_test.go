package api_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// codeComments returns the comment of each code declared in codes.go by the code's number.
func codeComments(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || spec.Comment == nil {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != "Code" {
			return true
		}
		out[spec.Values[0].(*ast.BasicLit).Value] = strings.TrimSpace(spec.Comment.Text())
		return true
	})
	return out
}

func TestErrorsPageListsEveryCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ERRORS.md")
	is.NoErr(err)
	codes := codeComments(t)
	is.True(len(codes) > 30) // guards against finding no declarations
	for number, comment := range codes {
		var n int
		_, err := fmt.Sscan(number, &n)
		is.NoErr(err)
		code := api.Code(n)
		row := fmt.Sprintf("| %d | %s | %s | %d | %s |", code, code.Family(), code.Ran(), code.HTTPStatus(), comment)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/ERRORS.md lacks the row %q", row)
		}
	}
	is.Equal(strings.Count(string(page), "\n| ")-1, len(codes)) // every row of the page belongs to a code
}

func TestFamilyDecidesResending(t *testing.T) {
	is := is.New(t)
	is.True(api.CodeUnavailable.SafeToResend())
	is.True(api.CodeOverloaded.SafeToResend())
	is.True(!api.CodeOutcomeUnknown.SafeToResend())
	is.True(!api.CodeBackendError.SafeToResend())
}
