package tgconfig

import (
	"encoding"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"tanagergrade/core/tgcall"
)

// decoder sets Go values from a tree. It collects all problems, so that operators see them at once.
type decoder struct {
	problems []FileProblem
}

var (
	durationType    = reflect.TypeFor[time.Duration]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// setDefault sets the values of a new entity that apply unless the files set others.
func setDefault(v reflect.Value) {
	switch e := v.Addr().Interface().(type) {
	case *Account:
		e.Priority, e.Share = string(tgcall.Standard), 1
	case *DataCentre:
		e.State = Active
	case *Upstream:
		e.State = Active
	}
}

func (d *decoder) add(at Position, path Path, reason string) {
	d.problems = append(d.problems, FileProblem{Position: at, Problem: Problem{Path: path, Reason: reason}})
}

func (d *decoder) decode(t *tree, path Path, v reflect.Value) {
	switch {
	case v.Type() == durationType:
		d.decodeDuration(t, path, v)
	case v.Addr().Type().Implements(textUnmarshaler):
		d.decodeText(t, path, v)
	default:
		d.decodeKind(t, path, v)
	}
}

func (d *decoder) decodeKind(t *tree, path Path, v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool, reflect.Float64, reflect.Int, reflect.String:
		d.decodePlain(t, path, v)
	case reflect.Map:
		if d.expectKind(t, path, "a table", unstable.Table) {
			d.decodeMap(t, path, v)
		}
	case reflect.Slice:
		// An empty array becomes nil, so that it equals a missing array and the same value read from the log.
		if d.expectKind(t, path, "an array", unstable.Array) && len(t.items) > 0 {
			v.Set(reflect.MakeSlice(v.Type(), len(t.items), len(t.items)))
			for i, item := range t.items {
				d.decode(item, path.child(index(i)), v.Index(i))
			}
		}
	case reflect.Struct:
		if d.expectKind(t, path, "a table", unstable.Table) {
			d.decodeStruct(t, path, v)
		}
	default:
		panic("configuration model has a field of unsupported type " + v.Type().String())
	}
}

func (d *decoder) decodePlain(t *tree, path Path, v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if d.expectKind(t, path, "true or false", unstable.Bool) {
			v.SetBool(t.text == "true")
		}
	case reflect.Float64:
		if d.expectKind(t, path, "a number", unstable.Float, unstable.Integer) {
			f, err := strconv.ParseFloat(strings.ReplaceAll(t.text, "_", ""), 64)
			d.checkParsed(t, path, "a number", err)
			v.SetFloat(f)
		}
	case reflect.Int:
		if d.expectKind(t, path, "an integer", unstable.Integer) {
			i, err := strconv.ParseInt(t.text, 0, 64)
			d.checkParsed(t, path, "an integer", err)
			v.SetInt(i)
		}
	default:
		if d.expectKind(t, path, "a string", unstable.String) {
			v.SetString(t.text)
		}
	}
}

func (d *decoder) decodeDuration(t *tree, path Path, v reflect.Value) {
	const form = `a duration such as "2s" or "150ms"`
	if d.expectKind(t, path, form, unstable.String) {
		duration, err := time.ParseDuration(t.text)
		d.checkParsed(t, path, form, err)
		v.SetInt(int64(duration))
	}
}

func (d *decoder) decodeMap(t *tree, path Path, v reflect.Value) {
	v.Set(reflect.MakeMapWithSize(v.Type(), len(t.fields)))
	for _, key := range sortedKeys(t.fields) {
		element := reflect.New(v.Type().Elem()).Elem()
		setDefault(element)
		d.decode(t.fields[key], path.child(key), element)
		v.SetMapIndex(reflect.ValueOf(key), element)
	}
}

func (d *decoder) decodeStruct(t *tree, path Path, v reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("toml")] = v.Field(i)
	}
	for _, key := range sortedKeys(t.fields) {
		field, ok := fields[key]
		if !ok {
			d.add(t.fields[key].keyAt, path.child(key), "unknown key")
			continue
		}
		d.decode(t.fields[key], path.child(key), field)
	}
}

func (d *decoder) decodeText(t *tree, path Path, v reflect.Value) {
	const form = `an address such as "10.1.2.3:4000"`
	if d.expectKind(t, path, form, unstable.String) {
		u, _ := v.Addr().Interface().(encoding.TextUnmarshaler)
		d.checkParsed(t, path, form, u.UnmarshalText([]byte(t.text)))
	}
}

func (d *decoder) expectKind(t *tree, path Path, form string, kinds ...unstable.Kind) bool {
	if slices.Contains(kinds, t.kind) {
		return true
	}
	d.add(t.at, path, "must be "+form+", not a value of type "+strings.ToLower(t.kind.String()))
	return false
}

func (d *decoder) checkParsed(t *tree, path Path, form string, err error) {
	if err != nil {
		d.add(t.at, path, "must be "+form+", not "+strconv.Quote(t.text))
	}
}
