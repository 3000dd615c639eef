package config

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkView measures Config.View, which every process calls at each new
// generation and when a planned change becomes due.
func BenchmarkView(b *testing.B) {
	for _, services := range []int{10, 340} {
		for _, changes := range []int{100, 1200, 4000} {
			c := configOfSize(services, changes)
			b.Run(fmt.Sprintf("services=%d/changes=%d", services, changes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					v := c.View(start)
					v.DomainOut("shawi")
				}
			})
		}
	}
}

// configOfSize returns a configuration in which half of the changes are due at
// start.
func configOfSize(services, changes int) *Config {
	c := sampleConfig()
	c.Services = nil
	for i := range services {
		c.Services = append(c.Services, Service{
			Name:    fmt.Sprintf("service-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7001),
		})
	}
	for i := range changes {
		kind := []ChangeKind{Leave, Join}[i%2]
		at := start.Add(time.Duration(i-changes/2) * time.Minute)
		name := fmt.Sprintf("backend-%d", i*7%3300)
		c.Changes = append(c.Changes, PlannedChange{fmt.Sprint(i), kind, name, fmt.Sprintf("service-%d", i%services), at, 1})
	}
	return c
}
