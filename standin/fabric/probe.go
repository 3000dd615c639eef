package fabric

import (
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
)

// probeLoop polls the health URL of each balancer. One failed probe marks a
// balancer as unhealthy, one successful probe as healthy again.
func (f *Fabric) probeLoop() {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{Proxy: nil}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
			f.probeAll(client)
		}
	}
}

func (f *Fabric) probeAll(client *http.Client) {
	var wg sync.WaitGroup
	for _, e := range f.pool.probeTargets() {
		wg.Go(func() { f.pool.setHealthy(e, isHealthy(client, e.healthURL)) })
	}
	wg.Wait()
}

func isHealthy(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
