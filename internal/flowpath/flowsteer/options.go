package flowsteer

// narrowLinkRate is the rate below which a link is narrow, 100 Mbit/s in bytes per second.
const narrowLinkRate = 12.5e6

// Options are the settings of a steerer.
type Options struct {
	LinkRate float64 // bytes per second that the balancer's link carries in each direction, 0 if unknown
}

// narrow reports whether repeated messages may saturate the balancer's link.
func (o Options) narrow() bool { return o.LinkRate > 0 && o.LinkRate < narrowLinkRate }
