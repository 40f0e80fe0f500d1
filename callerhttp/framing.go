package callerhttp

import (
	"bytes"
	"errors"
)

var (
	errBareLine   = errors.New("a header line does not end in CR LF")
	errFolded     = errors.New("a header line is folded")
	errTwoLengths = errors.New("the body has two lengths")
	errCoding     = errors.New("the transfer coding is not chunked")
)

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	chunked          = []byte("chunked")
	lineEnd          = []byte("\r\n")
)

// checkFraming refuses header blocks that another reader could take for a
// request of another length. fasthttp has parsed the block already; what it
// forgives is refused here.
func checkFraming(block []byte) error {
	lengths, codings := 0, 0
	for len(block) > 0 {
		line, rest, found := bytes.Cut(block, []byte("\n"))
		if !found || len(line) == 0 || line[len(line)-1] != '\r' || bytes.IndexByte(line[:len(line)-1], '\r') >= 0 {
			return errBareLine
		}
		block = rest
		line = line[:len(line)-1]
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return errFolded
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), chunked) {
				return errCoding
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return errTwoLengths
	}
	return nil
}
