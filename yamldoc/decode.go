package yamldoc

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes bounds the size of a document.
const MaxBytes = 1 << 20

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Source is a document that was parsed as YAML but not yet decoded.
type Source struct {
	file     string
	root     ast.Node // nil if the document could not be parsed; findings has the reason
	findings Findings
}

// Read parses a document as YAML. Its findings are included in the reports of Decode
// and DecodeLenient.
func Read(file string, data []byte) *Source {
	r := newReport(file)
	return &Source{file: file, root: r.parse(data), findings: r.findings}
}

// Decode fills the struct that out points to. The caller adds the findings of its own
// checks to the returned report and calls Err.
func (s *Source) Decode(out any) *Report { return s.decode(out, false) }

// DecodeLenient is like Decode but ignores fields that out does not have.
func (s *Source) DecodeLenient(out any) *Report { return s.decode(out, true) }

func (s *Source) decode(out any, lenient bool) *Report {
	r := newReport(s.file)
	r.lenient = lenient
	r.findings = slices.Clone(s.findings)
	if s.root != nil {
		r.decode(s.root, reflect.ValueOf(out).Elem(), "")
	}
	return r
}

// Decode parses a document and fills the struct that out points to.
func Decode(file string, data []byte, out any) *Report {
	return Read(file, data).Decode(out)
}

func (r *Report) parse(data []byte) ast.Node {
	if len(data) > MaxBytes {
		r.Addf("", "the document has %d bytes, the limit is %d", len(data), MaxBytes)
		return nil
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey()) // duplicate keys are reported as findings by mapping
	if err != nil {
		r.syntaxError(err)
		return nil
	}
	if len(file.Docs) > 1 {
		r.Addf("", "want one YAML document, have %d", len(file.Docs))
		return nil
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		r.Addf("", "the document is empty")
		return nil
	}
	return file.Docs[0].Body
}

func (r *Report) syntaxError(err error) {
	at := position{1, 1}
	message := err.Error()
	if t, ok := err.(interface{ GetToken() *token.Token }); ok && t.GetToken() != nil {
		at = positionOf(t.GetToken())
	}
	if m, ok := err.(interface{ GetMessage() string }); ok {
		message = m.GetMessage()
	}
	r.add(at, "", "not well-formed YAML: "+firstLine(message))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

func positionOf(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{t.Position.Line, t.Position.Column}
}

func (r *Report) decode(node ast.Node, v reflect.Value, path string) {
	node = unwrap(node)
	r.recordPosition(path, node)
	switch {
	case node.Type() == ast.NullType:
		return
	case node.Type() == ast.AliasType:
		r.addUndecodable(positionOf(node.GetToken()), path, "aliases are not supported, write the value out")
	case v.Type() == durationType:
		r.decodeDuration(node, v, path)
	case reflect.PointerTo(v.Type()).Implements(unmarshalerType):
		r.decodeText(node, v, path)
	default:
		r.decodeKind(node, v, path)
	}
}

func (r *Report) recordPosition(path string, node ast.Node) {
	if _, ok := r.positions[path]; !ok {
		r.positions[path] = positionOf(node.GetToken())
	}
}

func (r *Report) decodeKind(node ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.Pointer:
		target := reflect.New(v.Type().Elem())
		r.decode(node, target.Elem(), path)
		v.Set(target)
	case reflect.Struct:
		r.decodeStruct(node, v, path)
	case reflect.Map:
		r.decodeMap(node, v, path)
	case reflect.Slice:
		r.decodeSlice(node, v, path)
	default:
		r.decodeScalar(node, v, path)
	}
}

// unwrap strips anchors and tags, which have no value of their own.
func unwrap(node ast.Node) ast.Node {
	for {
		switch n := node.(type) {
		case *ast.AnchorNode:
			node = n.Value
		case *ast.TagNode:
			node = n.Value
		default:
			return node
		}
	}
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func (r *Report) mapping(node ast.Node, path string, each func(key string, at position, value ast.Node)) {
	values, ok := mappingEntries(node)
	if !ok {
		r.wrongType(node, path, "a mapping")
		return
	}
	seen := make(map[string]bool, len(values))
	for _, entry := range values {
		key := scalarText(entry.Key)
		at := positionOf(entry.Key.GetToken())
		if seen[key] {
			r.add(at, join(path, key), "is given twice")
			continue
		}
		seen[key] = true
		each(key, at, entry.Value)
	}
}

func (r *Report) decodeStruct(node ast.Node, v reflect.Value, path string) {
	fields := fieldsByTag(v)
	r.mapping(node, path, func(key string, at position, value ast.Node) {
		field, ok := fields[key]
		if !ok && r.lenient {
			return
		}
		if !ok {
			r.add(at, join(path, key), "unknown field")
			return
		}
		r.positions[join(path, key)] = at
		r.decode(value, field, join(path, key))
	})
}

func fieldsByTag(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func (r *Report) decodeMap(node ast.Node, v reflect.Value, path string) {
	out := reflect.MakeMap(v.Type())
	r.mapping(node, path, func(key string, at position, value ast.Node) {
		r.positions[join(path, key)] = at
		item := reflect.New(v.Type().Elem()).Elem()
		r.decode(value, item, join(path, key))
		out.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), item)
	})
	v.Set(out)
}

func (r *Report) decodeSlice(node ast.Node, v reflect.Value, path string) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		r.wrongType(node, path, "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, value := range seq.Values {
		r.decode(value, out.Index(i), join(path, strconv.Itoa(i)))
	}
	v.Set(out)
}

func scalarText(node ast.Node) string {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case ast.MapKeyNode:
		return n.GetToken().Value
	default:
		return n.GetToken().Value
	}
}

func (r *Report) decodeDuration(node ast.Node, v reflect.Value, path string) {
	d, err := time.ParseDuration(scalarText(node))
	if err != nil {
		r.wrongType(node, path, "a duration such as 500ms or 30s")
		return
	}
	v.SetInt(int64(d))
}

func (r *Report) decodeText(node ast.Node, v reflect.Value, path string) {
	err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(scalarText(node)))
	if err != nil {
		r.addUndecodable(positionOf(node.GetToken()), path, err.Error())
	}
}

func (r *Report) decodeScalar(node ast.Node, v reflect.Value, path string) {
	text := scalarText(node)
	switch v.Kind() {
	case reflect.String:
		if _, ok := node.(ast.ScalarNode); !ok {
			r.wrongType(node, path, "a string")
			return
		}
		v.SetString(text)
	case reflect.Bool:
		if node.Type() != ast.BoolType {
			r.wrongType(node, path, "true or false")
			return
		}
		v.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 10, 64)
		if err != nil {
			r.wrongType(node, path, "a whole number")
			return
		}
		v.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil {
			r.wrongType(node, path, "a number")
			return
		}
		v.SetFloat(f)
	default:
		r.add(positionOf(node.GetToken()), path, fmt.Sprintf("field of kind %s cannot be set", v.Kind()))
	}
}

func (r *Report) wrongType(node ast.Node, path, want string) {
	r.addUndecodable(positionOf(node.GetToken()), path, fmt.Sprintf("want %s, have %s", want, describe(node)))
}

func describe(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	default:
		return strconv.Quote(scalarText(node))
	}
}
