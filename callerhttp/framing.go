package callerhttp

import (
	"bytes"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"
)

var (
	errLineEnd        = errors.New("header line does not end in CR LF")
	errFoldedLine     = errors.New("header line is folded")
	errSeveralLengths = errors.New("header gives more than one body length")
	errTransferCoding = errors.New("transfer coding is not chunked")
	errTargetHost     = errors.New("request target has no valid host")
)

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	chunked          = []byte("chunked")
	crlf             = []byte("\r\n")
)

// setOriginForm replaces a request target that is a whole URL by its path and query. Its host
// goes before the Host header (RFC 9112, 3.2.2).
func setOriginForm(h *fasthttp.RequestHeader) error {
	target := string(h.RequestURI())
	scheme, rest, found := strings.Cut(target, "://")
	if !found || strings.HasPrefix(target, "/") || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return nil
	}
	end := strings.IndexAny(rest, "/?#")
	if end < 0 {
		end = len(rest)
	}
	host, path := rest[:end], rest[end:]
	if host == "" || strings.Contains(host, "@") {
		return errTargetHost
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	h.SetHost(host)
	h.SetRequestURI(path)
	return nil
}

// checkFraming rejects header blocks from which another HTTP parser could read
// a different body length (request smuggling). fasthttp has already parsed the
// block; this rejects what fasthttp tolerates.
func checkFraming(block []byte) error {
	lengths, codings := 0, 0
	for len(block) > 0 {
		line, rest, found := bytes.Cut(block, []byte("\n"))
		if !found || len(line) == 0 || line[len(line)-1] != '\r' || bytes.IndexByte(line[:len(line)-1], '\r') >= 0 {
			return errLineEnd
		}
		block = rest
		line = line[:len(line)-1]
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return errFoldedLine
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), chunked) {
				return errTransferCoding
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return errSeveralLengths
	}
	return nil
}
