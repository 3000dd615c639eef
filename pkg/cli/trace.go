package cli

import (
	"os"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/trace"
)

// TraceCmd prints what the logs contain about one request. It needs no
// platform.
type TraceCmd struct {
	Request string   `arg:"" help:"Id of the request, or IP:PORT of its caller if it never reached a backend server."`
	Files   []string `arg:"" help:"Logs of the processes, JSON." type:"existingfile"`
}

// Run implements the command.
func (c *TraceCmd) Run(env *Env) error {
	var lines []trace.Line
	for _, name := range c.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	requestTrace, err := trace.BuildTimeline(c.Request, lines)
	if err != nil {
		return err
	}
	return requestTrace.Write(env.Out)
}

func readLog(name string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.ReportFailed, "open a log")
	}
	defer f.Close()
	return trace.Read(name, f)
}
