// Command standin-backend runs one stand-in backend server on a loopback
// address. It prints "listening 127.0.0.1:PORT" and serves until SIGINT or
// SIGTERM.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/backend"
	"github.com/knapweedpier/knapweedpier/standin/program"
)

type settings struct {
	Listen       string        `default:"127.0.0.1:0" help:"Loopback address to listen on."`
	ID           string        `default:"backend-1" help:"ID of the backend server."`
	Service      string        `default:"comptoir" help:"Name of its service."`
	Slots        int           `default:"9" help:"Requests in progress when warm."`
	Connections  int           `default:"2000" help:"Open feeds."`
	ColdSlots    int           `default:"2" help:"Requests in progress right after a start."`
	WarmUp       time.Duration `default:"10s" help:"Time from cold to warm."`
	FeedPath     string        `default:"/feed" help:"Path of the feed."`
	FeedInterval time.Duration `default:"500ms" help:"Time between two lines of a feed."`
	WorkMean     time.Duration `default:"20ms" help:"Mean work time of a request."`
	Seed         uint64        `default:"1" help:"Seed of the work times."`
}

func main() { program.Main("standin-backend", run) }

func run(s settings) error {
	server := backend.New(backend.Options{
		ID: s.ID, Service: s.Service,
		Slots: s.Slots, Connections: s.Connections, ColdSlots: s.ColdSlots, WarmUp: s.WarmUp,
		FeedPath: s.FeedPath, FeedInterval: s.FeedInterval, WorkMean: s.WorkMean, Seed: s.Seed,
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	addr, err := server.Start(s.Listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", addr)
	<-stop
	return server.Close()
}
