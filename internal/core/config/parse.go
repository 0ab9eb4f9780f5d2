package config

import (
	"bytes"
	"cmp"
	"errors"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// MaxFile is the largest settings file that is read, in bytes. 500 backend
// servers take about 60 kB.
const MaxFile = 1 << 20

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	Line int    // from one; zero when no line is to blame
	Path string // dotted name of the setting, such as "service[0].slices"
	Text string
}

// String renders the fault as "line 12: lease.ttl: must be at least 50ms".
func (f Fault) String() string {
	var parts []string
	if f.Line > 0 {
		parts = append(parts, "line "+strconv.Itoa(f.Line))
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	return strings.Join(append(parts, f.Text), ": ")
}

// Faults are all that is wrong in a file; Load and Parse return them wrapped
// with kind Malformed. Find them with errors.As.
type Faults []Fault

// Error renders one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file at path. Kind Absent when it cannot be read,
// Malformed when something in it is wrong.
func Load(path string) (Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, kinds.Wrap(kinds.NotFound, err, "settings")
	}
	if info.Size() > MaxFile {
		return Config{}, kinds.New(kinds.TooLarge, "settings "+path+": larger than 1 MiB")
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return Config{}, kinds.Wrap(kinds.NotFound, err, "settings")
	}
	cfg, err := Parse(src)
	return cfg, kinds.Wrap(kinds.Of(err), err, path)
}

// Parse reads settings from src, checks them and fills in the defaults.
func Parse(src []byte) (Config, error) {
	var c Config
	d := toml.NewDecoder(bytes.NewReader(src)).DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return Config{}, kinds.Wrap(kinds.Malformed, decodeFaults(err), "settings")
	}
	c = c.Fill()
	faults := append(ranges(c), c.check()...)
	if len(faults) == 0 {
		return c, nil
	}
	at := index(src)
	for i := range faults {
		faults[i].Line = at.line(faults[i].Path)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return Config{}, kinds.Wrap(kinds.Malformed, faults, "settings")
}

func decodeFaults(err error) Faults {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all Faults
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			all = append(all, Fault{Line: row, Path: strings.Join(strict.Errors[i].Key(), "."), Text: "unknown setting"})
		}
		return all
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		row, _ := one.Position()
		return Faults{{Line: row, Path: strings.Join(one.Key(), "."), Text: strings.TrimPrefix(one.Error(), "toml: ")}}
	}
	return Faults{{Text: err.Error()}}
}

var validate = newValidate()

func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	return v
}

// ranges applies the bounds that stand in the struct tags.
func ranges(c Config) Faults {
	var bad validator.ValidationErrors
	if !errors.As(validate.Struct(c), &bad) {
		return nil
	}
	var all Faults
	for _, e := range bad {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		all = append(all, Fault{Path: path, Text: say(e)})
	}
	return all
}

func say(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "must be set"
	case "min":
		return "must be at least " + e.Param()
	case "max":
		if e.Kind() == reflect.String {
			return "must have at most " + e.Param() + " characters"
		}
		return "must be at most " + e.Param()
	case "oneof":
		return "must be one of " + e.Param()
	}
	return "fails " + e.Tag() + " " + e.Param()
}
