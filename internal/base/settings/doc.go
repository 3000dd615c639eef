// Package settings owns the settings of the programs: flags and KNAPWEEDPIER_*
// environment variables, the checks made before anything is opened, and the
// files that are re-read while a daemon runs.
//
// Values are read as text first and checked together, so that one run names
// every fault.
package settings
