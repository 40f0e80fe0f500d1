// Package settings reads INI files and validates them against a declared list of keys.
// Each error names the file, section, key and what was expected.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Type determines how a value is validated.
type Type int

// Types of values.
const (
	Text Type = iota
	Int
	Float
	Bool
	Duration
	Address
	List
	Choice
)

// Key declares one setting. Min and Max bound numbers, and durations in seconds; a key
// where both are 0 has no bounds.
type Key struct {
	Section  string
	Name     string
	Type     Type
	Default  string
	Required bool
	Min      float64
	Max      float64
	Choices  []string
	Help     string
}

// Values holds validated settings.
type Values struct {
	values map[string]string
	path   string
	keys   []Key
}

// KeyError reports a missing, invalid or unknown key of a settings file.
type KeyError struct {
	file    string
	section string
	key     string
	problem string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s", e.file, e.section, e.key, e.problem)
}

// Load reads path and validates it against keys. It returns all errors joined.
func Load(path string, keys []Key) (*Values, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data, keys)
}

// Parse validates the text of an INI file; path is used in errors and by Reload.
func Parse(path string, data []byte, keys []Key) (*Values, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	known := make(map[string]bool, len(keys))
	v := &Values{values: make(map[string]string, len(keys)), path: path, keys: keys}
	var errs []error
	for i := range keys {
		k := &keys[i]
		known[keyID(k.Section, k.Name)] = true
		text, problem := k.read(file)
		if problem != "" {
			errs = append(errs, &KeyError{path, k.Section, k.Name, problem})
			continue
		}
		v.values[keyID(k.Section, k.Name)] = text
	}
	errs = append(errs, unknownKeys(path, file, known)...)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return v, nil
}

// Reload returns the settings as the file has them now.
func (v *Values) Reload() (*Values, error) { return Load(v.path, v.keys) }

func unknownKeys(path string, file *ini.File, known map[string]bool) []error {
	var errs []error
	for _, s := range file.Sections() {
		for _, k := range s.Keys() {
			if !known[keyID(s.Name(), k.Name())] {
				errs = append(errs, &KeyError{path, s.Name(), k.Name(), "unknown key, see --help for all keys"})
			}
		}
	}
	return errs
}

func keyID(section, name string) string { return section + "\x00" + name }

func (k *Key) read(file *ini.File) (text, problem string) {
	section, err := file.GetSection(k.Section)
	if err != nil || !section.HasKey(k.Name) {
		if k.Required {
			return "", "missing, expected " + k.expected()
		}
		return k.Default, ""
	}
	text = strings.TrimSpace(section.Key(k.Name).String())
	if text == "" && !k.Required {
		return k.Default, ""
	}
	if !k.isValid(text) {
		return "", fmt.Sprintf("got %q, expected %s", text, k.expected())
	}
	return text, ""
}

func (k *Key) isValid(text string) bool {
	switch k.Type {
	case Int:
		n, err := strconv.ParseInt(text, 10, 64)
		return err == nil && k.inRange(float64(n))
	case Float:
		f, err := strconv.ParseFloat(text, 64)
		return err == nil && k.inRange(f)
	case Bool:
		_, err := strconv.ParseBool(text)
		return err == nil
	case Duration:
		d, err := time.ParseDuration(text)
		return err == nil && k.inRange(d.Seconds())
	case Address:
		_, err := netip.ParseAddrPort(text)
		return err == nil
	case Choice:
		for _, c := range k.Choices {
			if c == text {
				return true
			}
		}
		return false
	default:
		return text != ""
	}
}

func (k *Key) inRange(n float64) bool {
	if k.Min == 0 && k.Max == 0 {
		return true
	}
	return n >= k.Min && n <= k.Max
}

func (k *Key) expected() string {
	bounds := ""
	if k.Min != 0 || k.Max != 0 {
		bounds = fmt.Sprintf(" from %g to %g", k.Min, k.Max)
	}
	switch k.Type {
	case Int:
		return "a whole number" + bounds
	case Float:
		return "a number" + bounds
	case Bool:
		return "true or false"
	case Duration:
		return "a duration such as 500ms or 2s" + boundsSeconds(bounds)
	case Address:
		return "an address such as 10.0.0.1:8080"
	case List:
		return "values separated by commas"
	case Choice:
		return "one of " + strings.Join(k.Choices, ", ")
	default:
		return "a non-empty text"
	}
}

func boundsSeconds(bounds string) string {
	if bounds == "" {
		return ""
	}
	return "," + bounds + " seconds"
}

// Usage returns the list of keys for --help, one per line.
func Usage(keys []Key) string {
	var b strings.Builder
	section := ""
	for i := range keys {
		k := &keys[i]
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "  [%s]\n", section)
		}
		presence := "default " + strconv.Quote(k.Default)
		if k.Required {
			presence = "required"
		}
		fmt.Fprintf(&b, "  %-18s %s; %s (%s)\n", k.Name, k.Help, k.expected(), presence)
	}
	return b.String()
}

// Declared reports whether the setting is one of the program's keys.
func (v *Values) Declared(section, name string) bool {
	_, ok := v.values[keyID(section, name)]
	return ok
}

// Text returns the value of a setting as text; the default if it is not set.
func (v *Values) Text(section, name string) string { return v.values[keyID(section, name)] }

// Int returns the value of an Int setting.
func (v *Values) Int(section, name string) int {
	n, _ := strconv.Atoi(v.Text(section, name))
	return n
}

// Float returns the value of a Float setting.
func (v *Values) Float(section, name string) float64 {
	f, _ := strconv.ParseFloat(v.Text(section, name), 64)
	return f
}

// Bool returns the value of a Bool setting.
func (v *Values) Bool(section, name string) bool {
	b, _ := strconv.ParseBool(v.Text(section, name))
	return b
}

// Duration returns the value of a Duration setting.
func (v *Values) Duration(section, name string) time.Duration {
	d, _ := time.ParseDuration(v.Text(section, name))
	return d
}

// List returns the elements of a List setting, without empty ones.
func (v *Values) List(section, name string) []string {
	var out []string
	for element := range strings.SplitSeq(v.Text(section, name), ",") {
		if p := strings.TrimSpace(element); p != "" {
			out = append(out, p)
		}
	}
	return out
}
