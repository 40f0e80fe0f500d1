// Package operatorauth authenticates operators by token and checks their roles.
package operatorauth

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"wheelgauge"
)

// Roles of operators.
const (
	RoleRead  = "read"
	RoleWrite = "write"
)

const bearerPrefix = "Bearer "

type operator struct {
	name      string
	role      string
	tokenHash [sha256.Size]byte
}

// Authenticator has the operators of a file, which it reads again when the file changes.
type Authenticator struct {
	path    string
	mu      sync.Mutex
	modTime time.Time
	list    []operator
}

// Load reads an INI file with one section for each operator: token and role.
func Load(path string) (*Authenticator, error) {
	t := &Authenticator{path: path}
	if err := t.refresh(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Authenticator) refresh() error {
	info, err := os.Stat(t.path)
	if err != nil {
		return fmt.Errorf("stat operators file: %w", err)
	}
	if info.ModTime().Equal(t.modTime) {
		return nil
	}
	file, err := ini.Load(t.path)
	if err != nil {
		return fmt.Errorf("read operators file: %w", err)
	}
	var list []operator
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		role := s.Key("role").String()
		token := s.Key("token").String()
		if token == "" || (role != RoleRead && role != RoleWrite) {
			return fmt.Errorf("%s: [%s]: expected a token and role = read or write", t.path, s.Name())
		}
		list = append(list, operator{s.Name(), role, sha256.Sum256([]byte(token))})
	}
	t.list, t.modTime = list, info.ModTime()
	return nil
}

// Authorize returns the name of the operator that the Authorization header identifies. It
// returns an error for an unknown token, or if write is set and the operator may only read.
func (t *Authenticator) Authorize(header string, write bool) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.refresh() // if the file cannot be read, as during its replacement, the earlier list stays in use
	sum := sha256.Sum256([]byte(strings.TrimPrefix(header, bearerPrefix)))
	for i := range t.list {
		o := &t.list[i]
		if subtle.ConstantTimeCompare(sum[:], o.tokenHash[:]) != 1 {
			continue
		}
		if write && o.role != RoleWrite {
			return "", wheelgauge.NewError(wheelgauge.ReasonForbidden, wheelgauge.OutcomeNotRun, http.StatusForbidden, "operator "+o.name+" may only read")
		}
		return o.name, nil
	}
	return "", wheelgauge.NewError(wheelgauge.ReasonUnauthorized, wheelgauge.OutcomeNotRun, http.StatusUnauthorized, "unknown token")
}
