//go:build !race

package fleet

// The load of a run with planned changes.
const (
	plannedLoad              = 0.15 // share of the capacity
	plannedCallersPerBackend = 20
)
