// Package settings defines the settings of the programs: flags and
// KNAPWEEDPIER_* environment variables, the checks made before a program opens
// sockets, and the key ring and certificate files that are re-read while a
// daemon runs.
//
// Values are read as text first and checked together, so that one run reports
// every fault. Of this module the package imports only packages below
// internal/base.
package settings
