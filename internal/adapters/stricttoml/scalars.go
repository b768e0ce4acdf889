package stricttoml

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// StringType is the constraint for targets of string values.
type StringType interface{ ~string }

// IntegerType is the constraint for targets of integer values.
type IntegerType interface {
	~int | ~int64 | ~uint32 | ~uint64
}

// Range is an inclusive range of numbers.
type Range[T any] struct {
	Min T
	Max T
}

// String reads a non-empty string.
func String[T StringType](r *Reader, name string, target *T, presence Presence) {
	const allowed = "a non-empty string"
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	if v.kind != unstable.String || v.text == "" {
		r.reportWrongValue(name, v, allowed)
		return
	}
	*target = T(v.text)
}

// Secret reads a string as String does, but problems do not show its value.
func Secret[T StringType](r *Reader, name string, target *T, presence Presence) {
	const allowed = "a non-empty string"
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	if v.kind != unstable.String || v.text == "" {
		r.file.reportAt(v.line, r.path(name), "another value (not shown)", allowed)
		return
	}
	*target = T(v.text)
}

// OneOf reads a string that must be one of the choices.
func OneOf[T StringType](r *Reader, name string, target *T, presence Presence, choices ...T) {
	quoted := make([]string, len(choices))
	for i, c := range choices {
		quoted[i] = strconv.Quote(string(c))
	}
	allowed := strings.Join(quoted, " or ")
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	if v.kind != unstable.String || !slices.Contains(choices, T(v.text)) {
		r.reportWrongValue(name, v, allowed)
		return
	}
	*target = T(v.text)
}

// Strings reads an array of non-empty strings. Elements keep their index, even if
// some are reported as problems.
func Strings[T StringType](r *Reader, name string, target *[]T, presence Presence) {
	const allowed = "an array of strings"
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	if v.kind != unstable.Array {
		r.reportWrongValue(name, v, allowed)
		return
	}
	texts := make([]T, len(v.items))
	for i, item := range v.items {
		if item.kind != unstable.String || item.text == "" {
			r.reportWrongValue(indexedKey(name, i), item, "a non-empty string")
		}
		texts[i] = T(item.text)
	}
	*target = texts
}

// Bool reads a boolean.
func Bool(r *Reader, name string, target *bool, presence Presence) {
	v := r.lookup(name, presence, "true or false")
	if v == nil {
		return
	}
	if v.kind != unstable.Bool {
		r.reportWrongValue(name, v, "true or false")
		return
	}
	*target = v.text == "true"
}

// Integer reads an integer within the range.
func Integer[T IntegerType](r *Reader, name string, target *T, presence Presence, bounds Range[T]) {
	allowed := fmt.Sprintf("an integer from %d to %d", bounds.Min, bounds.Max)
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	number, ok := parseInteger(v)
	if !ok || number < 0 || uint64(number) < uint64(bounds.Min) || uint64(number) > uint64(bounds.Max) {
		r.reportWrongValue(name, v, allowed)
		return
	}
	*target = T(number)
}

// parseInteger returns the value of an integer. It relies on the parser to reject
// decimal integers with a leading zero, which strconv would read as octal.
func parseInteger(v *value) (int64, bool) {
	if v.kind != unstable.Integer {
		return 0, false
	}
	number, err := strconv.ParseInt(v.text, 0, 64)
	return number, err == nil
}

// Float reads a number within the range.
func Float(r *Reader, name string, target *float64, presence Presence, bounds Range[float64]) {
	allowed := fmt.Sprintf("a number from %g to %g", bounds.Min, bounds.Max)
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	number, ok := parseFloat(v)
	if !ok || !(number >= bounds.Min && number <= bounds.Max) {
		r.reportWrongValue(name, v, allowed)
		return
	}
	*target = number
}

func parseFloat(v *value) (float64, bool) {
	if integer, ok := parseInteger(v); ok {
		return float64(integer), true
	}
	if v.kind != unstable.Float {
		return 0, false
	}
	number, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	return number, err == nil
}

// Duration reads a duration with its unit, such as "250ms" or "1m30s".
func Duration(r *Reader, name string, target *time.Duration, presence Presence, bounds Range[time.Duration]) {
	allowed := fmt.Sprintf("a duration with its unit, such as \"250ms\" or \"30s\", from %s to %s", bounds.Min, bounds.Max)
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	duration, err := time.ParseDuration(v.text)
	if v.kind != unstable.String || err != nil || duration < bounds.Min || duration > bounds.Max {
		r.reportWrongValue(name, v, allowed)
		return
	}
	*target = duration
}

// Size reads a size in bytes, written as an integer with the unit B, KiB, MiB or
// GiB.
func Size(r *Reader, name string, target *int64, presence Presence, bounds Range[int64]) {
	allowed := fmt.Sprintf("a size with its unit (B, KiB, MiB or GiB), such as \"64KiB\", from %s to %s",
		formatSize(bounds.Min), formatSize(bounds.Max))
	v := r.lookup(name, presence, allowed)
	if v == nil {
		return
	}
	size, ok := parseSize(v.text)
	if v.kind != unstable.String || !ok || size < bounds.Min || size > bounds.Max {
		r.reportWrongValue(name, v, allowed)
		return
	}
	*target = size
}

// sizeUnit is a unit of sizes.
type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits lists the units, largest first. The suffix of the last one, B, is a
// suffix of all others, so it must be tried last.
var sizeUnits = []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

const maxSizeNumber = 1 << 30 // keeps the product with a unit within int64

func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 0 || number > maxSizeNumber {
			return 0, false
		}
		return number * unit.bytes, true
	}
	return 0, false
}

func formatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size%unit.bytes == 0 && size >= unit.bytes {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}
