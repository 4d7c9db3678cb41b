package tomlfile

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) decodeTable(key string, table map[string]any, target reflect.Value) {
	fields := fieldsByTag(target.Type())
	for _, name := range sortedNames(table) {
		full := joinKey(key, name)
		index, known := fields[name]
		if !known {
			d.Report(full, "unknown key; allowed here: %s", strings.Join(sortedNames(fields), ", "))
			continue
		}
		d.present[full] = true
		d.decodeValue(full, table[name], target.Field(index))
	}
}

func (d *Document) decodeValue(key string, value any, target reflect.Value) {
	if target.Type() == durationType {
		d.decodeDuration(key, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		element := reflect.New(target.Type().Elem())
		if !target.IsNil() {
			element.Elem().Set(target.Elem())
		}
		d.decodeValue(key, value, element.Elem())
		target.Set(element)
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.wrongType(key, "a table", value)
			return
		}
		d.decodeTable(key, table, target)
	case reflect.Slice:
		d.decodeSlice(key, value, target)
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			d.wrongType(key, "a string", value)
			return
		}
		target.SetString(text)
	case reflect.Bool:
		flag, ok := value.(bool)
		if !ok {
			d.wrongType(key, "true or false", value)
			return
		}
		target.SetBool(flag)
	case reflect.Int, reflect.Int64:
		number, ok := value.(int64)
		if !ok {
			d.wrongType(key, "an integer", value)
			return
		}
		target.SetInt(number)
	case reflect.Float64:
		d.decodeFloat(key, value, target)
	default:
		panic(fmt.Sprintf("tomlfile: key %s has a field of unsupported type %s", key, target.Type()))
	}
}

func (d *Document) decodeSlice(key string, value any, target reflect.Value) {
	items, ok := listItems(value)
	if !ok {
		d.wrongType(key, "a list", value)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), item, list.Index(i))
	}
	target.Set(list)
}

func (d *Document) decodeDuration(key string, value any, target reflect.Value) {
	const allowed = `a duration in quotes such as "500ms", "2s" or "1h30m"`
	text, ok := value.(string)
	if !ok {
		d.wrongType(key, allowed, value)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.Report(key, "%q is not %s", text, allowed)
		return
	}
	target.SetInt(int64(duration))
}

func (d *Document) decodeFloat(key string, value any, target reflect.Value) {
	switch number := value.(type) {
	case int64:
		target.SetFloat(float64(number))
	case float64:
		if math.IsNaN(number) || math.IsInf(number, 0) {
			d.Report(key, "must be a finite number")
			return
		}
		target.SetFloat(number)
	default:
		d.wrongType(key, "a number", value)
	}
}

func (d *Document) wrongType(key, want string, value any) {
	d.Report(key, "must be %s, not %s", want, typeName(value))
}

// listItems accepts both types that the TOML library uses for lists.
func listItems(value any) ([]any, bool) {
	switch list := value.(type) {
	case []any:
		return list, true
	case []map[string]any:
		items := make([]any, len(list))
		for i, table := range list {
			items[i] = table
		}
		return items, true
	default:
		return nil, false
	}
}

func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "a list"
	default:
		return "a date or time"
	}
}

func fieldsByTag(structType reflect.Type) map[string]int {
	fields := make(map[string]int, structType.NumField())
	for i := range structType.NumField() {
		tag := structType.Field(i).Tag.Get("toml")
		if tag != "" && tag != "-" {
			fields[tag] = i
		}
	}
	return fields
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
