package wheelgauge

// Fingerprint names what a request asks: its tries, at any host, have the same one.
type Fingerprint string
