// Package dialect selects the protocol variant that callers, backend servers,
// operators and the server list use in the routes mode.
package dialect

import (
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/native"
	"wheelgauge/platform"
)

// Names of dialects.
const (
	// Native is the product's own dialect.
	Native = "native"
	// Platform is the dialect of the users' platform.
	Platform = "platform"
)

// Dialect bundles the header names, formats and handlers of one protocol variant.
type Dialect struct {
	Headers    wheelgauge.HeaderNames
	Decode     wheelgauge.RouteDecoder
	ServerList func(address string) wheelgauge.ServerList
	// Handlers for operators, and for callers that ask which hosts to use.
	Control func(o wheelgauge.Operations) fasthttp.RequestHandler
	Entry   func(o wheelgauge.Operations) fasthttp.RequestHandler
	// BodyBytes bounds the body of an operator's request.
	BodyBytes int
}

// Names lists the dialects.
func Names() []string { return []string{Native, Platform} }

// Named returns a dialect by name. Any name other than Platform selects the native one.
func Named(name string) Dialect {
	if name == Platform {
		return Dialect{
			Headers: platform.Headers(), Decode: platform.Decode, Control: platform.OperatorHandler, Entry: platform.EntryHandler,
			ServerList: func(address string) wheelgauge.ServerList { return platform.NewServerList(address) },
			BodyBytes:  platform.MaxBodyBytes,
		}
	}
	return Dialect{
		Headers: native.Headers(), Decode: native.Decode, Control: native.Control, Entry: native.EntryHandler,
		ServerList: func(address string) wheelgauge.ServerList { return native.NewServerList(address) },
		BodyBytes:  native.MaxBodyBytes,
	}
}
