// Package house assigns each folder of the source tree to a layer. Its test
// fails if a package imports one of a higher layer. It must import only the
// standard library.
package house

import "strings"

// Folder is a folder of packages that form one part of a layer.
type Folder struct {
	Path  string // relative to the root of the repository
	Layer int    // 0 is the lowest; a package may import its own folder and lower layers
}

// Folders lists all folders. Folders of one layer don't import each other.
var Folders = []Folder{
	{"internal/base", 0},
	{"pkg/config", 1},
	{"pkg/sheet", 2},
	{"internal/control", 3},
	{"internal/flowpath", 4},
	{"internal/requestpath", 4},
	{"platform", 5},
	{"internal/operators", 6},
	{"pkg/agent", 7},
	{"pkg/balancer", 7},
	{"pkg/flowagent", 7},
	{"pkg/flowbalancer", 7},
	{"standin", 8},
	{"internal/embedded", 9},
	{"internal/testkit", 9},
	{"pkg/cli", 10},
	{"cmd", 11},
}

// Find returns the folder that contains a package, whose path is relative to
// the root of the repository.
func Find(packagePath string) (Folder, bool) {
	for _, f := range Folders {
		if packagePath == f.Path || strings.HasPrefix(packagePath, f.Path+"/") {
			return f, true
		}
	}
	return Folder{}, false
}
