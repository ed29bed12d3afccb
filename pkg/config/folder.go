package config

import (
	"fmt"
	"io"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// File is one file of the operators' folder, with its name and content.
type File struct {
	Name string
	Data []byte
}

// ReadFolder reads the files *.yaml and *.yml at the top level of a folder, in the
// order of their names. It ignores other files and names that begin with a dot. It
// returns an error if there is no such file or the folder is too large.
func ReadFolder(folder fs.FS) ([]File, error) {
	names, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	var files []File
	total := 0
	for _, e := range names {
		n := e.Name()
		if e.IsDir() || strings.HasPrefix(n, ".") || path.Ext(n) != ".yaml" && path.Ext(n) != ".yml" {
			continue
		}
		data, err := readLimited(folder, n)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", n, err)
		}
		total += len(data)
		if len(files) == maxFiles || total > maxFolderBytes {
			return nil, fmt.Errorf("read %s: the folder has more than %d files or %d bytes", n, maxFiles, maxFolderBytes)
		}
		files = append(files, File{Name: n, Data: data})
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("read folder: it holds no file *.yaml or *.yml")
	}
	return files, nil
}

// readLimited reads at most one byte more than a file may have, which is enough for
// Load to report that the file is too large.
func readLimited(folder fs.FS, name string) ([]byte, error) {
	f, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

// Load parses, merges and validates the files. The error has the type Problems and
// contains every problem found. Missing fields and conflicts between several
// values are checked only if all files could be parsed as YAML.
func Load(files []File) (Document, error) {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	root := &node{kind: nodeMap, keys: map[string]*node{}, line: 1, column: 1}
	var problems Problems
	readable := true
	for _, f := range files {
		p := fileParser{file: f.Name}
		top := p.parse(f.Data)
		problems = append(problems, p.problems...)
		if top == nil {
			readable = readable && len(p.problems) == 0
			continue
		}
		var c checker
		c.check(&schema, top, nil)
		problems = append(problems, c.problems...)
		root = merge(root, top)
	}
	if readable {
		var c checker
		c.checkRequired(&schema, root, nil)
		c.checkCrossField(root)
		problems = append(problems, c.problems...)
	}
	if len(problems) > 0 {
		return Document{}, problems.sorted().truncated()
	}
	tree, _ := root.tree().(map[string]any)
	d, err := newDocument(tree)
	if err != nil {
		return Document{}, Problems{{File: "folder", Message: err.Error()}}
	}
	d.origins = origins(root, nil, nil)
	return d, nil
}
