package hawthornfield_test

import (
	"errors"
	"fmt"

	"hawthornfield.org/hawthornfield"
)

func ExampleCompileRules() {
	rules, err := hawthornfield.ParseRules([]byte(`
[[rule]]
name = "urgent-receipts"
when = { method = ["POST"], path = "/receipts/{ground}" }
then = { service = "receipts", class = "urgent" }

[[rule]]
name = "never-reached"
when = { method = ["POST"], path = "/receipts/{ground}" }
then = { service = "receipts" }
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = hawthornfield.CompileRules(rules)
	fmt.Println(err)
	// Output: malformed: check rules: rule never-reached: can never match: the earlier rule urgent-receipts takes all its requests
}

func ExampleNewView() {
	t, err := hawthornfield.NewTable("scales", 16, "scale-a", "scale-b")
	if err != nil {
		fmt.Println(err)
		return
	}
	x := hawthornfield.SliceOf("ground-2/scale-7", 16)
	t, err = t.WithAssigned(hawthornfield.Move{Slice: x, To: "scale-b"})
	if err != nil {
		fmt.Println(err)
		return
	}
	owner, ok := hawthornfield.NewView(t).Owner("ground-2/scale-7")
	fmt.Println(owner.Server, ok)
	// Output: scale-b true
}

func ExampleKindOf() {
	err := fmt.Errorf("put seat: %w", hawthornfield.ErrConflict)
	fmt.Println(hawthornfield.KindOf(err), errors.Is(err, hawthornfield.ErrConflict))
	// Output: conflict true
}
