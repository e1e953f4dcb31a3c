// Package malformedrows holds values that another writer, or a host of another release, may leave in a row.
// Tests feed them to decoders.
package malformedrows

import (
	"bytes"
	"fmt"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	// depth is the number of levels of nested values, more than any decoder accepts.
	depth = 100_000
	// length is the number of bytes of long texts, the most that a row holds.
	length = 256 << 10
)

// jsonValues are the malformed values of a JSON field.
func jsonValues() []string {
	return []string{
		strings.Repeat("[", depth) + strings.Repeat("]", depth),
		strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth),
		"1e400", "-1e400", "1e300", "-1e300", "1e18", "-1", "-0.5", "9223372036854775807", "-9223372036854775808", "18446744073709551616",
		`"NaN"`, `"-Infinity"`, `""`, `"` + strings.Repeat("x", length) + `"`, "null", "true", "[]", "[1,2]", "{}", `{"a":"b"}`,
	}
}

// cborValues are the malformed values of a CBOR item.
func cborValues() []any {
	nested := any(1)
	for range 30 {
		nested = []any{nested}
	}
	return []any{
		nested, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1e300, float32(math.MaxFloat32), int64(math.MaxInt64), int64(math.MinInt64), uint64(math.MaxUint64), 1e18, -1,
		"", "NaN", strings.Repeat("x", length),
		[]byte{0xff, 0x00},
		nil, true,
		[]any{},
		[]any{1, "a"},
		[]any{[]any{}},
		map[string]any{"a": 1},
	}
}

// Values returns values that no format of a row allows, by description.
func Values() map[string][]byte {
	return map[string][]byte{
		"empty":                 nil,
		"binary":                {0xff, 0xfe, 0x00, 0x01, 0x80},
		"text":                  []byte("not encoded"),
		"long text":             bytes.Repeat([]byte("x"), length),
		"nested JSON arrays":    bytes.Repeat([]byte("["), depth),
		"nested JSON objects":   []byte(jsonValues()[1]),
		"nested CBOR arrays":    append(bytes.Repeat([]byte{0x81}, depth), 0x01),
		"nested CBOR maps":      append(bytes.Repeat([]byte{0xa1, 0x01}, depth), 0x01),
		"nested CBOR tags":      append(bytes.Repeat([]byte{0xc1}, depth), 0x01),
		"huge CBOR array":       {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge CBOR map":         {0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge CBOR byte string": {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"unfinished JSON":       []byte(`{"a":`),
		"JSON array":            []byte("[]"),
		"JSON number":           []byte("1e400"),
		"JSON string":           []byte(`"text"`),
	}
}

// JSON returns the JSON object of the given members, each of them replaced in turn by each malformed value.
func JSON(members map[string]string) map[string][]byte {
	values := map[string][]byte{}
	for name := range members {
		for i, malformed := range jsonValues() {
			var fields []string
			for other, text := range members {
				if other == name {
					text = malformed
				}
				fields = append(fields, fmt.Sprintf("%q:%s", other, text))
			}
			values[fmt.Sprintf("%s: value %d %.20s", name, i, malformed)] = []byte("{" + strings.Join(fields, ",") + "}")
		}
	}
	return values
}

// CBOR returns the encoded CBOR map, each of its items replaced in turn by each malformed value: the members and,
// at any depth, the elements of their lists.
func CBOR(members map[int]any) (map[string][]byte, error) {
	values := map[string][]byte{}
	for key, member := range members {
		for i, replaced := range replacements(member) {
			changed := map[int]any{}
			for other, value := range members {
				changed[other] = value
			}
			changed[key] = replaced
			data, err := cbor.Marshal(changed)
			if err != nil {
				return nil, err
			}
			values[fmt.Sprintf("member %d: value %d", key, i)] = data
		}
	}
	return values, nil
}

// Elements returns the encoded CBOR array, each of its items replaced in turn by each malformed value.
func Elements(list []any) (map[string][]byte, error) {
	values := map[string][]byte{}
	for i, replaced := range replacements(list) {
		data, err := cbor.Marshal(replaced)
		if err != nil {
			return nil, err
		}
		values[fmt.Sprintf("value %d", i)] = data
	}
	return values, nil
}

// replacements returns the value with each of its items replaced by each malformed value, itself included.
func replacements(value any) []any {
	all := cborValues()
	list, isList := value.([]any)
	if !isList {
		return all
	}
	for i, element := range list {
		for _, replaced := range replacements(element) {
			changed := append([]any(nil), list...)
			changed[i] = replaced
			all = append(all, changed)
		}
	}
	return all
}
