// Package dialect joins what a dialect consists of: how callers, backend
// servers, operators and the list of servers speak to the routes mode.
package dialect

import (
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/native"
	"wheelgauge/platform"
)

// Names of dialects.
const (
	// Native is the product's own.
	Native = "native"
	// Platform is that of the users' platform.
	Platform = "platform"
)

// Dialect is one way to speak.
type Dialect struct {
	Headers    wheelgauge.HeaderNames
	Decode     wheelgauge.RouteDecoder
	ServerList func(address string) wheelgauge.ServerList
	// Control and Entry are the handlers of operators and of callers who ask
	// which hosts to use.
	Control func(o wheelgauge.Operations) fasthttp.RequestHandler
	Entry   func(o wheelgauge.Operations) fasthttp.RequestHandler
	// BodyBytes is the largest order of an operator.
	BodyBytes int
}

// Names lists the dialects.
func Names() []string { return []string{Native, Platform} }

// Named returns a dialect; any name but Platform is the product's own.
func Named(name string) Dialect {
	if name == Platform {
		return Dialect{
			Headers: platform.Headers(), Decode: platform.Decode, Control: platform.Control, Entry: platform.Directory,
			ServerList: func(address string) wheelgauge.ServerList { return platform.NewServerList(address) },
			BodyBytes:  platform.MostBodySize,
		}
	}
	return Dialect{
		Headers: native.Headers(), Decode: native.Decode, Control: native.Control, Entry: native.Entry,
		ServerList: func(address string) wheelgauge.ServerList { return native.NewServerList(address) },
		BodyBytes:  native.MostBodySize,
	}
}
