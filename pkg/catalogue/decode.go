package catalogue

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes bounds a document, since the key-value service holds values up to a megabyte.
const MaxDocumentBytes = 1_000_000

// Decode reads one document strictly and checks it; errors about its content are *FieldError.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fieldError("document", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("must have at most %d bytes", MaxDocumentBytes))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := strict(dec, reflect.TypeFor[Document](), ""); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fieldError("document", "more data", "must hold one JSON object")
	}
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fieldError("document", err.Error(), "must be JSON of the catalogue's form")
	}
	return d, d.Check()
}

// strict walks one JSON value and refuses unknown and repeated fields, which the
// standard decoder reports without their path or not at all.
func strict(dec *json.Decoder, t reflect.Type, path string) error {
	tok, err := dec.Token()
	if err != nil {
		return fieldError(orDocument(path), err.Error(), "must be JSON")
	}
	d, ok := tok.(json.Delim)
	if !ok {
		return scalar(tok, t, path)
	}
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if d == '[' {
		return strictList(dec, t, path)
	}
	return strictObject(dec, t, path)
}

// scalar refuses a value that its field's type does not take.
func scalar(tok json.Token, t reflect.Type, path string) error {
	data, err := json.Marshal(tok)
	if err != nil {
		return fieldError(orDocument(path), tok, "must be JSON")
	}
	err = json.Unmarshal(data, reflect.New(t).Interface())
	value := fmt.Sprint(tok)
	var f *FieldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &f):
		return fieldError(path, f.Value, f.Rule)
	case t == reflect.TypeFor[netip.AddrPort]():
		return fieldError(path, value, "must be an IP address and port, such as 10.0.0.1:9000")
	case t == reflect.TypeFor[time.Time]():
		return fieldError(path, value, "must be a time, such as 2027-01-31T06:00:00Z")
	}
	return fieldError(orDocument(path), value, "must be "+jsonName(t))
}

// jsonName names the JSON form of a Go type.
func jsonName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Pointer:
		return "an object"
	default:
		return "a number"
	}
}

func strictList(dec *json.Decoder, t reflect.Type, path string) error {
	if t.Kind() != reflect.Slice {
		return fieldError(orDocument(path), "[", "must not be a list")
	}
	for i := 0; dec.More(); i++ {
		if err := strict(dec, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

func strictObject(dec *json.Decoder, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct || t.Implements(reflect.TypeFor[encoding.TextMarshaler]()) {
		return fieldError(orDocument(path), "{", "must not be an object")
	}
	fields, seen := fieldsOf(t), map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return fieldError(orDocument(path), err.Error(), "must be JSON")
		}
		name := tok.(string)
		at := strings.TrimPrefix(path+"."+name, ".")
		ft, ok := fields[name]
		switch {
		case !ok:
			return fieldError(at, name, "is not a field; the fields are "+strings.Join(names(fields), ", "))
		case seen[name]:
			return fieldError(at, name, "must be given once")
		}
		seen[name] = true
		if err := strict(dec, ft, at); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	m := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			m[name] = t.Field(i).Type
		}
	}
	return m
}

func names(fields map[string]reflect.Type) []string {
	var list []string
	for n := range fields {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func orDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
