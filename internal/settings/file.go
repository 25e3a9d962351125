package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// FileError is one error of a settings file.
type FileError struct {
	// Line is the line in the file, from 1; 0 if unknown.
	Line int
	ValidationError
}

// Error returns the line and the reason.
func (e FileError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.ValidationError.Error())
}

const fileExpected = `a mapping with the keys "services" and "teams"`

// ParseFile reads a settings file: YAML whose nested mappings form the paths of the
// tree, as in
//
//	teams:
//	  lakeshore:
//	    priority: 1
//
// It returns a change for each value in file order, without base, change id and
// author, and every error found. A file with errors must not be published.
func ParseFile(data []byte) ([]structs.SettingChange, []FileError) {
	if len(data) > MaxFileBytes {
		return nil, []FileError{fileError(0, "", "file too large", fmt.Sprintf("at most %d bytes", MaxFileBytes))}
	}
	root, err := parseYAML(data)
	if err != nil {
		return nil, []FileError{*err}
	}
	parser := fileParser{lines: make(map[string]int)}
	parser.readRoot(root)
	parser.checkTree()
	return parser.changes, parser.errors
}

// parseYAML returns the root mapping of a file with a single document.
func parseYAML(data []byte) (*yaml.Node, *FileError) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		text := err.Error()
		if errors.Is(err, io.EOF) {
			text = "empty file"
		}
		fileErr := fileError(yamlErrorLine(text), "", text, fileExpected)
		return nil, &fileErr
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		fileErr := fileError(second.Line, "", "more than one document", "one YAML document")
		return nil, &fileErr
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		fileErr := fileError(document.Line, "", "no mapping", fileExpected)
		return nil, &fileErr
	}
	return document.Content[0], nil
}

// yamlErrorLine extracts the line number from an error message of the YAML library.
func yamlErrorLine(text string) int {
	var line int
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d", &line)
	}
	return line
}

func fileError(line int, path, detail, expected string) FileError {
	return FileError{Line: line, ValidationError: ValidationError{Path: path, Detail: detail, Expected: expected}}
}

// fileParser collects the changes and errors of one file.
type fileParser struct {
	changes []structs.SettingChange
	errors  []FileError
	// lines maps each path to its line.
	lines map[string]int
}

func (p *fileParser) addError(line int, path, detail, expected string) {
	p.errors = append(p.errors, fileError(line, path, detail, expected))
}

// readRoot reads the root mapping.
func (p *fileParser) readRoot(root *yaml.Node) {
	p.eachKey(root, "", func(key string, line int, value *yaml.Node) {
		if key != servicesArea && key != teamsArea {
			p.addError(line, key, fmt.Sprintf("unknown key %q", key), fileExpected)
			return
		}
		if value.Kind != yaml.MappingNode {
			p.addError(value.Line, key, "no mapping", "a mapping")
			return
		}
		p.readMapping(value, key)
	})
}

// eachKey calls visit once for each valid key of a mapping.
func (p *fileParser) eachKey(node *yaml.Node, path string, visit func(key string, line int, value *yaml.Node)) {
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := joinPath(path, key.Value)
		switch {
		case key.Kind != yaml.ScalarNode || !validSegment(key.Value):
			p.addError(key.Line, truncate(at), "malformed key", "a-z, 0-9, '.', '_', '-', starting with a letter or digit")
		case seen[key.Value]:
			p.addError(key.Line, at, "the key stands twice", "one value for each key")
		default:
			seen[key.Value] = true
			visit(key.Value, key.Line, value)
		}
	}
}

// readMapping reads a mapping below the areas. A nested mapping is a deeper path,
// except for a credential, whose value is the mapping.
func (p *fileParser) readMapping(node *yaml.Node, path string) {
	const maxDepth = MaxTeamDepth + 4
	if strings.Count(path, "/") > maxDepth {
		p.addError(node.Line, truncate(path), "nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return
	}
	p.eachKey(node, path, func(key string, line int, value *yaml.Node) {
		at := joinPath(path, key)
		loc, err := parsePath(at)
		isCredential := err == nil && loc.Credential != ""
		if value.Kind == yaml.MappingNode && !isCredential {
			p.readMapping(value, at)
			return
		}
		p.readValue(at, line, value)
	})
}

// readValue reads and checks one value.
func (p *fileParser) readValue(path string, line int, node *yaml.Node) {
	data, ok := yamlToJSON(node)
	if !ok {
		p.addError(line, path, "unusable value", "a number, a string, true or false, without anchors")
		return
	}
	canonical, err := canonicalValue(path, data)
	if err != nil {
		p.errors = append(p.errors, FileError{Line: line, ValidationError: *err})
		return
	}
	p.lines[path] = line
	p.changes = append(p.changes, structs.SettingChange{Path: path, Value: canonical})
}

// checkTree checks the constraints across values, as if the file were published to an
// empty tree.
func (p *fileParser) checkTree() {
	if len(p.changes) == 0 {
		return
	}
	empty := NewTree()
	if err := empty.checkSize(p.changes); err != nil {
		p.errors = append(p.errors, FileError{ValidationError: *err})
	}
	for _, err := range empty.checkKinds(p.changes) {
		p.errors = append(p.errors, FileError{Line: p.lines[err.Path], ValidationError: *err})
	}
}

// yamlToJSON returns the JSON of a scalar or of a mapping of scalars.
func yamlToJSON(node *yaml.Node) ([]byte, bool) {
	switch node.Kind {
	case yaml.ScalarNode:
		return yamlScalar(node)
	case yaml.MappingNode:
		object := make(map[string]json.RawMessage)
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i].Value
			data, ok := yamlScalar(node.Content[i+1])
			if _, twice := object[key]; !ok || twice {
				return nil, false
			}
			object[key] = data
		}
		data, err := json.Marshal(object)
		return data, err == nil
	}
	return nil, false
}

func yamlScalar(node *yaml.Node) ([]byte, bool) {
	if node.Kind != yaml.ScalarNode || node.Anchor != "" {
		return nil, false
	}
	var value any
	if err := node.Decode(&value); err != nil || value == nil {
		return nil, false
	}
	switch value.(type) {
	case int, int64, uint64, float64, bool, string:
		data, err := json.Marshal(value)
		return data, err == nil
	}
	return nil, false
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "/" + key
}
