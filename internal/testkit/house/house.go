// Package house names the rooms of the source tree, from the lowest to the
// highest. Its test refuses imports from a lower room of a higher one.
package house

import "strings"

// Room is a folder whose packages belong together.
type Room struct {
	Folder string // from the root of the tree
	Floor  int    // a package may import its own floor and lower ones
}

// Rooms are all rooms. Rooms on one floor don't import each other.
var Rooms = []Room{
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

// Find returns the room of a package, given by its folder from the root.
func Find(folder string) (Room, bool) {
	for _, r := range Rooms {
		if folder == r.Folder || strings.HasPrefix(folder, r.Folder+"/") {
			return r, true
		}
	}
	return Room{}, false
}
