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

// probeLoop asks the health URL of each balancer. One failure takes a balancer
// out, one success takes it back.
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
	for _, e := range f.pool.probed() {
		wg.Go(func() { f.pool.setHealthy(e, healthy(client, e.health)) })
	}
	wg.Wait()
}

func healthy(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
