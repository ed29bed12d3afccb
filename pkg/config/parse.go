package config

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of the input. The YAML parser is recursive, so the depth is checked on the
// tokens before the parser runs.
const (
	maxFileBytes   = 256 << 10
	maxFolderBytes = 4 << 20
	maxFiles       = 1000
	maxDepth       = 16
)

// unsupportedTokens maps the parts of YAML that are rejected to the message. The
// files don't need these parts, which would make the origin of a value unclear or
// its size unlimited.
var unsupportedTokens = map[token.Type]string{
	token.AnchorType:         "anchors are not supported",
	token.AliasType:          "aliases are not supported",
	token.TagType:            "tags are not supported",
	token.MergeKeyType:       "merge keys are not supported",
	token.DirectiveType:      "directives are not supported",
	token.MappingKeyType:     "complex keys are not supported",
	token.DocumentHeaderType: "a file holds one document, without a separator line",
	token.DocumentEndType:    "a file holds one document, without a separator line",
	token.LiteralType:        "block text is not supported",
	token.FoldedType:         "block text is not supported",
	token.InvalidType:        "the text is not valid YAML",
}

// fileParser converts one file to nodes and collects the problems it finds.
type fileParser struct {
	file     string
	problems Problems
}

// addProblem adds a problem at the position of the token, or at the start of the
// file if the token is nil.
func (p *fileParser) addProblem(t *token.Token, path []string, message string) {
	n := p.nodeAt(t)
	p.problems = append(p.problems, n.problem(path, message, ""))
}

// nodeAt returns a node without a value at the position of the token.
func (p *fileParser) nodeAt(t *token.Token) *node {
	n := &node{file: p.file, line: 1, column: 1}
	if t != nil && t.Position != nil {
		n.line, n.column = t.Position.Line, t.Position.Column
	}
	return n
}

// byteOrderMark is at the start of files that some editors on Windows write.
var byteOrderMark = []byte("\xef\xbb\xbf")

// parse returns the top-level map of the file, or nil if the file is empty or has a
// problem that prevents its conversion.
func (p *fileParser) parse(data []byte) *node {
	if len(data) > maxFileBytes {
		p.addProblem(nil, nil, fmt.Sprintf("the file has %d bytes, at most %d are allowed", len(data), maxFileBytes))
		return nil
	}
	if !utf8.Valid(data) {
		p.addProblem(nil, nil, "the file is not valid UTF-8")
		return nil
	}
	root, err := p.syntax(string(bytes.TrimPrefix(data, byteOrderMark)))
	if err != nil {
		var at yaml.Error
		if errors.As(err, &at) {
			p.addProblem(at.GetToken(), nil, "syntax: "+at.GetMessage())
		} else {
			p.addProblem(nil, nil, "syntax: "+err.Error())
		}
		return nil
	}
	if root == nil || len(p.problems) > 0 {
		return nil
	}
	n := p.convert(root, nil)
	if n == nil || n.kind == nodeNull {
		return nil
	}
	if n.kind != nodeMap {
		p.problems = append(p.problems, n.problem(nil, "the file holds "+nodeKindNames[n.kind]+", expected a map", ""))
		return nil
	}
	return n
}

// syntax runs the YAML parser. The parser is a third-party library that has
// panicked on malformed input, so a panic is reported as a syntax problem.
func (p *fileParser) syntax(text string) (body ast.Node, err error) {
	defer func() {
		if r := recover(); r != nil {
			body, err = nil, fmt.Errorf("the YAML parser failed: %v", r)
		}
	}()
	tokens := lexer.Tokenize(text)
	if !p.checkTokens(tokens) {
		return nil, nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, err
	}
	if len(f.Docs) == 0 {
		return nil, nil
	}
	return f.Docs[0].Body, nil
}

// checkTokens reports whether the tokens contain only supported parts of YAML and
// are not nested too deeply. Otherwise it adds a problem. Nesting results from flow
// brackets, from several list marks on one line and from indentation, which is
// limited by its number of columns.
func (p *fileParser) checkTokens(tokens token.Tokens) bool {
	flowDepth, listMarks, line := 0, 0, 0
	for _, t := range tokens {
		if m, ok := unsupportedTokens[t.Type]; ok {
			p.addProblem(t, nil, m)
			return false
		}
		if t.Position.Line != line {
			line, listMarks = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			flowDepth++
		case token.MappingEndType, token.SequenceEndType:
			flowDepth--
		case token.SequenceEntryType:
			listMarks++
		default:
		}
		if flowDepth > maxDepth || listMarks > maxDepth || t.Position.IndentNum > 8*maxDepth {
			p.addProblem(t, nil, fmt.Sprintf("values are nested deeper than %d levels", maxDepth))
			return false
		}
	}
	return true
}

// convert converts a YAML value to a node. It returns nil after adding a problem if
// the value is not supported.
func (p *fileParser) convert(a ast.Node, path []string) *node {
	if len(path) > maxDepth {
		p.addProblem(a.GetToken(), path, fmt.Sprintf("values are nested deeper than %d levels", maxDepth))
		return nil
	}
	n := p.nodeAt(a.GetToken())
	switch v := a.(type) {
	case *ast.MappingNode:
		n.kind = nodeMap
		p.convertMap(n, v.Values, path)
	case *ast.MappingValueNode:
		n.kind = nodeMap
		p.convertMap(n, []*ast.MappingValueNode{v}, path)
	case *ast.SequenceNode:
		n.kind = nodeList
		for i, e := range v.Values {
			if c := p.convert(e, append(path[:len(path):len(path)], fmt.Sprint(i))); c != nil {
				n.items = append(n.items, c)
			}
		}
	case *ast.NullNode:
		if a.GetToken().Type == token.ImplicitNullType {
			// If this were taken as null, a map whose entries are all commented
			// out would remove every entry of the earlier files.
			p.addProblem(a.GetToken(), path, "the value is empty; write null to remove the field")
			return nil
		}
		n.kind = nodeNull
	case *ast.StringNode:
		n.kind, n.text = nodeText, v.Value
	case *ast.IntegerNode, *ast.FloatNode:
		n.kind, n.text = nodeNumber, a.GetToken().Value
	case *ast.BoolNode:
		n.kind, n.text = nodeBool, a.GetToken().Value
	default:
		p.addProblem(a.GetToken(), path, "this kind of YAML value is not supported")
		return nil
	}
	return n
}

// convertMap converts the entries of a map. An entry whose value has a problem
// becomes a nodeInvalid.
func (p *fileParser) convertMap(n *node, values []*ast.MappingValueNode, path []string) {
	n.keys = make(map[string]*node, len(values))
	for _, v := range values {
		t := v.Key.GetToken()
		key := t.Value
		below := append(path[:len(path):len(path)], key)
		if first, ok := n.keys[key]; ok {
			p.addProblem(t, below, fmt.Sprintf("the key is set twice in this file, first on line %d", first.line))
			continue
		}
		c := p.convert(v.Value, below)
		if c == nil {
			c = &node{file: p.file, kind: nodeInvalid}
		}
		// Problems are reported at the key, where an operator looks first, even
		// if the value is a map that starts on a later line.
		c.line, c.column = t.Position.Line, t.Position.Column
		n.keys[key] = c
	}
}
