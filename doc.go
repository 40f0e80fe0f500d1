// Package wheelgauge holds the contracts of a multi-region inference gateway:
// resources, typed messages, errors and the interfaces whose implementations
// live in the packages below this one.
//
// A request enters at a gateway on any entry host, is checked against the
// client's residency rule before its body is read, is admitted, routed to a
// backend server of the same region or forwarded once to another region, and
// its answer is relayed byte for byte.
package wheelgauge

// Version is the release of all programs of this module.
const Version = "0.1.0"
