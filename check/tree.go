package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxSize is the size in bytes up to which a VM takes a configuration from another one.
	maxSize = 8 << 20
	// maxDepth bounds the nesting of a configuration, which needs 4 levels. The check
	// calls itself for each level.
	maxDepth = 64
)

// Node is a JSON value with its place in the text.
type Node struct {
	Path   string
	Line   int
	Value  any      // string, json.Number, bool or nil; unset for objects and lists
	Fields []*Field // fields of an object, in the order of the text
	Items  []*Node  // items of a list
	Type   byte     // '{', '[', 's', 'n', 'b' or '0' for null
}

// Field is a field of an object.
type Field struct {
	Name  string
	Node  *Node
	Twice bool // a later field of the object has the same name
}

// Field returns the field of an object that is in force, or nil.
func (n *Node) Field(name string) *Node {
	for _, f := range slices.Backward(n.Fields) {
		if f.Name == name {
			return f.Node
		}
	}
	return nil
}

// Text returns the value of a string, and an empty string for other values.
func (n *Node) Text() string {
	if n == nil {
		return ""
	}
	s, _ := n.Value.(string)
	return s
}

// ParseJSON parses a JSON text. The error for a text that is too large, too deeply
// nested or malformed names the line.
func ParseJSON(raw []byte) (*Node, error) {
	if len(raw) > maxSize {
		return nil, errors.Newf("the text has %d bytes, want at most %d", len(raw), maxSize)
	}
	p := parser{raw: raw, decoder: json.NewDecoder(bytes.NewReader(raw)), line: 1}
	p.decoder.UseNumber()
	n, err := p.value("", 0)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the text ends too early")
	}
	if err == nil {
		if _, end := p.decoder.Token(); !errors.Is(end, io.EOF) {
			err = errors.New("the text goes on after its end")
		}
	}
	return n, errors.Wrapf(err, "line %d", p.lineAt(p.decoder.InputOffset()))
}

// parser builds the tree from the tokens of a text.
type parser struct {
	raw     []byte
	decoder *json.Decoder
	line    int   // line at offset
	offset  int64 // offset up to which lines were counted
}

// lineAt returns the line of an offset, which must not be less than in the call before.
func (p *parser) lineAt(offset int64) int {
	p.line += bytes.Count(p.raw[p.offset:offset], []byte{'\n'})
	p.offset = offset
	return p.line
}

// value parses the next value.
func (p *parser) value(path string, depth int) (*Node, error) {
	if depth > maxDepth {
		return nil, errors.Newf("%.60s: nested more than %d levels deep", path, maxDepth)
	}
	t, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	n := &Node{Path: path, Line: p.lineAt(p.decoder.InputOffset()), Value: t}
	switch t := t.(type) {
	case json.Delim:
		n.Value, n.Type = nil, byte(t)
		if t == '{' {
			err = p.fields(n, depth)
		} else {
			err = p.items(n, depth)
		}
		return n, err
	case string:
		n.Type = 's'
	case json.Number:
		n.Type = 'n'
	case bool:
		n.Type = 'b'
	case nil:
		n.Type = '0'
	}
	return n, nil
}

// fields parses the fields of an object up to its end.
func (p *parser) fields(n *Node, depth int) error {
	byName := make(map[string]*Field)
	for p.decoder.More() {
		t, err := p.decoder.Token()
		if err != nil {
			return err
		}
		f := &Field{Name: t.(string)} // the decoder returns an error for other names
		path := f.Name
		if n.Path != "" {
			path = n.Path + "." + f.Name
		}
		if f.Node, err = p.value(path, depth+1); err != nil {
			return err
		}
		if earlier := byName[f.Name]; earlier != nil {
			earlier.Twice = true
		}
		byName[f.Name] = f
		n.Fields = append(n.Fields, f)
	}
	_, err := p.decoder.Token()
	return err
}

// items parses the items of a list up to its end.
func (p *parser) items(n *Node, depth int) error {
	for i := 0; p.decoder.More(); i++ {
		item, err := p.value(n.Path+"["+strconv.Itoa(i)+"]", depth+1)
		if err != nil {
			return err
		}
		n.Items = append(n.Items, item)
	}
	_, err := p.decoder.Token()
	return err
}

// Shape describes the form of a value: its type, and those of its fields or items.
type Shape struct {
	Type   byte             // as in Node
	Fields map[string]Shape // of an object
	Item   *Shape           // of a list
}

// typeNames are the names of the types in messages.
var typeNames = map[byte]string{'{': "an object", '[': "a list", 's': "a string", 'n': "a number", 'b': "true or false", '0': "null"}

// Form returns what differs from a shape: unknown and doubled fields and other types.
func (n *Node) Form(s Shape) []Finding {
	if n.Type == '0' {
		return []Finding{{Warning, n.Path, n.Line, "null has no effect"}}
	}
	if n.Type != s.Type {
		return []Finding{{Error, n.Path, n.Line, fmt.Sprintf("got %s, want %s", typeNames[n.Type], typeNames[s.Type])}}
	}
	var list []Finding
	for _, f := range n.Fields {
		inner, known := s.Fields[f.Name]
		switch {
		case f.Twice:
			list = append(list, Finding{Error, f.Node.Path, f.Node.Line, "the field is given twice; the later one counts"})
		case !known:
			text := "the field is unknown and has no effect"
			for name := range s.Fields {
				if strings.EqualFold(name, f.Name) {
					text = "the field counts as " + name + ", want that spelling"
				}
			}
			list = append(list, Finding{Warning, f.Node.Path, f.Node.Line, text})
		default:
			list = append(list, f.Node.Form(inner)...)
		}
	}
	for _, item := range n.Items {
		if s.Item != nil {
			list = append(list, item.Form(*s.Item)...)
		}
	}
	return list
}
