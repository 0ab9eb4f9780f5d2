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

// MaxFile is the size limit of a settings file in bytes. The settings of 500
// backend servers take about 60 kB.
const MaxFile = 1 << 20

// Fault is one error in a settings file.
type Fault struct {
	Line int    // counted from 1; 0 if the fault has no line
	Path string // dotted name of the setting, such as "service[0].slices"
	Text string
}

// String formats the fault as "line 12: lease.ttl: must be at least 50ms".
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

// Faults lists all errors in a file. Load and Parse return it wrapped with kind
// Malformed; use errors.As to get it.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file at path. The error has kind NotFound if the file
// cannot be read, TooLarge if it exceeds MaxFile, and Malformed if it is invalid.
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

// Parse decodes settings from src, fills in the defaults and checks the result.
func Parse(src []byte) (Config, error) {
	var c Config
	d := toml.NewDecoder(bytes.NewReader(src)).DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return Config{}, kinds.Wrap(kinds.Malformed, decodeFaults(err), "settings")
	}
	c = c.Fill()
	faults := append(checkRanges(c), c.check()...)
	if len(faults) == 0 {
		return c, nil
	}
	at := indexLines(src)
	for i := range faults {
		faults[i].Line = at.line(faults[i].Path)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return Config{}, kinds.Wrap(kinds.Malformed, faults, "settings")
}

// decodeFaults converts an error of the TOML decoder to faults with lines.
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

// newValidate returns a validator that names fields by their TOML keys.
func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	return v
}

// checkRanges applies the bounds in the struct tags.
func checkRanges(c Config) Faults {
	var bad validator.ValidationErrors
	if !errors.As(validate.Struct(c), &bad) {
		return nil
	}
	var all Faults
	for _, e := range bad {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		all = append(all, Fault{Path: path, Text: describeRange(e)})
	}
	return all
}

// describeRange returns the text of a bound that a setting violates.
func describeRange(e validator.FieldError) string {
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
