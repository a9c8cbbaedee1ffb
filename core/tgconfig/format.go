package tgconfig

import (
	"encoding"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Lines returns c as sorted TOML lines "path = value"; Parse accepts them as a file.
func (c *Config) Lines() []string {
	var lines []string
	appendLines(&lines, nil, reflect.ValueOf(*c))
	slices.Sort(lines)
	return lines
}

func appendLines(lines *[]string, path Path, v reflect.Value) {
	if text, ok := formatValue(v); ok {
		*lines = append(*lines, path.String()+" = "+text)
		return
	}
	if v.Kind() == reflect.Map {
		it := v.MapRange()
		for it.Next() {
			appendLines(lines, path.child(it.Key().String()), it.Value())
		}
		return
	}
	for i := range v.NumField() {
		appendLines(lines, path.child(v.Type().Field(i).Tag.Get("toml")), v.Field(i))
	}
}

// Values returns c as nested maps that have the keys of the TOML files, for JSON output.
func (c *Config) Values() map[string]any {
	values, _ := plainValue(reflect.ValueOf(*c)).(map[string]any)
	return values
}

func plainValue(v reflect.Value) any {
	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case encoding.TextMarshaler:
		return value
	}
	switch v.Kind() {
	case reflect.Map:
		values := make(map[string]any, v.Len())
		it := v.MapRange()
		for it.Next() {
			values[it.Key().String()] = plainValue(it.Value())
		}
		return values
	case reflect.Slice:
		values := make([]any, v.Len())
		for i := range values {
			values[i] = plainValue(v.Index(i))
		}
		return values
	case reflect.Struct:
		values := make(map[string]any, v.NumField())
		for i := range v.NumField() {
			values[v.Type().Field(i).Tag.Get("toml")] = plainValue(v.Field(i))
		}
		return values
	default:
		return v.Interface()
	}
}

// formatValue returns v as a TOML value, or false if v is a table.
func formatValue(v reflect.Value) (string, bool) {
	switch value := v.Interface().(type) {
	case time.Duration:
		return strconv.Quote(value.String()), true
	case encoding.TextMarshaler:
		text, _ := value.MarshalText()
		return strconv.Quote(string(text)), true
	}
	switch v.Kind() {
	case reflect.Bool:
		return strconv.FormatBool(v.Bool()), true
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64), true
	case reflect.Int:
		return strconv.FormatInt(v.Int(), 10), true
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = formatItem(v.Index(i))
		}
		return "[" + strings.Join(items, ", ") + "]", true
	case reflect.String:
		return quote(v.String()), true
	default:
		return "", false
	}
}

func formatItem(v reflect.Value) string {
	if text, ok := formatValue(v); ok {
		return text
	}
	fields := make([]string, v.NumField())
	for i := range fields {
		fields[i] = v.Type().Field(i).Tag.Get("toml") + " = " + formatItem(v.Field(i))
	}
	return "{" + strings.Join(fields, ", ") + "}"
}

// quote returns s as a TOML basic string. strconv.Quote cannot be used, since TOML has no escape like Go's \x7f.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < 0x20 || r == 0x7f:
			b.WriteString(`\u`)
			hex := strconv.FormatInt(int64(r), 16)
			b.WriteString(strings.Repeat("0", 4-len(hex)) + hex)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
