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
	// ColdSource reads health checks of servers; nil if the protocol has none.
	ColdSource wheelgauge.ColdSource
	// Handlers for operators, and for callers that ask which hosts to use.
	OperatorHandler func(o wheelgauge.Operations) fasthttp.RequestHandler
	EntryHandler    func(o wheelgauge.Operations) fasthttp.RequestHandler
	// MaxBodyBytes bounds the body of an operator's request.
	MaxBodyBytes int
}

// Names lists the dialects.
func Names() []string { return []string{Native, Platform} }

// ByName returns a dialect by name. Any name other than Platform selects the native one.
func ByName(name string) Dialect {
	if name == Platform {
		return Dialect{
			Headers: platform.Headers(), Decode: platform.Decode, OperatorHandler: platform.OperatorHandler, EntryHandler: platform.EntryHandler,
			ServerList:   func(address string) wheelgauge.ServerList { return platform.NewServerList(address) },
			ColdSource:   platform.NewColdSource(),
			MaxBodyBytes: platform.MaxBodyBytes,
		}
	}
	return Dialect{
		Headers: native.Headers(), Decode: native.Decode, OperatorHandler: native.OperatorHandler, EntryHandler: native.EntryHandler,
		ServerList:   func(address string) wheelgauge.ServerList { return native.NewServerList(address) },
		MaxBodyBytes: native.MaxBodyBytes,
	}
}
