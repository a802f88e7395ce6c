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

// MaxDocumentBytes bounds a document, since the key-value service holds values of up to a megabyte.
const MaxDocumentBytes = 1_000_000

// Decode decodes one document strictly and checks it; errors about its content are of type *FieldError.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, newFieldError("document", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("must have at most %d bytes", MaxDocumentBytes))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := checkFields(dec, reflect.TypeFor[Document](), ""); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, newFieldError("document", "more data", "must hold one JSON object")
	}
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, newFieldError("document", err.Error(), "must be JSON of the catalogue's form")
	}
	return d, d.Check()
}

// checkFields reads one JSON value and rejects unknown and repeated fields, which the
// standard decoder reports without their path or not at all.
func checkFields(dec *json.Decoder, t reflect.Type, path string) error {
	tok, err := dec.Token()
	if err != nil {
		return newFieldError(pathOrDocument(path), err.Error(), "must be JSON")
	}
	d, ok := tok.(json.Delim)
	if !ok {
		return checkScalar(tok, t, path)
	}
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if d == '[' {
		return checkListFields(dec, t, path)
	}
	return checkObjectFields(dec, t, path)
}

// checkScalar rejects a value that cannot be decoded into its field's type.
func checkScalar(tok json.Token, t reflect.Type, path string) error {
	data, err := json.Marshal(tok)
	if err != nil {
		return newFieldError(pathOrDocument(path), tok, "must be JSON")
	}
	err = json.Unmarshal(data, reflect.New(t).Interface())
	value := fmt.Sprint(tok)
	var f *FieldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &f):
		return newFieldError(path, f.Value, f.Rule)
	case t == reflect.TypeFor[netip.AddrPort]():
		return newFieldError(path, value, "must be an IP address and port, such as 10.0.0.1:9000")
	case t == reflect.TypeFor[time.Time]():
		return newFieldError(path, value, "must be a time, such as 2027-01-31T06:00:00Z")
	}
	return newFieldError(pathOrDocument(path), value, "must be "+jsonTypeName(t))
}

// jsonTypeName describes the JSON type that corresponds to a Go type.
func jsonTypeName(t reflect.Type) string {
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

func checkListFields(dec *json.Decoder, t reflect.Type, path string) error {
	if t.Kind() != reflect.Slice {
		return newFieldError(pathOrDocument(path), "[", "must not be a list")
	}
	for i := 0; dec.More(); i++ {
		if err := checkFields(dec, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

func checkObjectFields(dec *json.Decoder, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct || t.Implements(reflect.TypeFor[encoding.TextMarshaler]()) {
		return newFieldError(pathOrDocument(path), "{", "must not be an object")
	}
	fields, seen := jsonFields(t), map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return newFieldError(pathOrDocument(path), err.Error(), "must be JSON")
		}
		name := tok.(string)
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		fieldType, ok := fields[name]
		switch {
		case !ok:
			return newFieldError(fieldPath, name, "is not a field; the fields are "+strings.Join(sortedNames(fields), ", "))
		case seen[name]:
			return newFieldError(fieldPath, name, "must be given once")
		}
		seen[name] = true
		if err := checkFields(dec, fieldType, fieldPath); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	m := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			m[name] = t.Field(i).Type
		}
	}
	return m
}

func sortedNames(fields map[string]reflect.Type) []string {
	var list []string
	for n := range fields {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
