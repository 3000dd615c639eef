package fabric

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
)

// probeResult is the result of one probe of a balancer.
type probeResult uint8

const (
	probePassed     probeResult = iota // the health endpoint answered 200
	probeFailed                        // it answered with another status, or the connection was refused or lost
	probeUnanswered                    // it did not answer within probeTimeout
)

// probeLoop polls the health URL of each balancer. The last probe decides.
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
		wg.Go(func() { f.pool.recordProbe(e, probe(client, e.healthURL)) })
	}
	wg.Wait()
}

func probe(client *http.Client, url string) probeResult {
	resp, err := client.Get(url)
	if err != nil {
		return resultOfError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return probeFailed
	}
	return probePassed
}

func resultOfError(err error) probeResult {
	if netErr, ok := errors.AsType[net.Error](err); ok && netErr.Timeout() {
		return probeUnanswered
	}
	return probeFailed
}
