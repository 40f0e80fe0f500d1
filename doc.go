// Package wheelgauge defines the shared types of a multi-region inference gateway:
// resources, messages, errors, and the interfaces that the packages below it
// implement.
//
// A request enters at a gateway on any entry host. The gateway checks it against
// the client's residency rule before reading its body, admits it, and routes it
// to a backend server in the same region or forwards it once to another region.
// The response is relayed byte for byte.
package wheelgauge

// Version is the release version of all programs in this module.
const Version = "0.1.0"
