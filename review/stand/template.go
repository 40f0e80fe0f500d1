package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// fill fills the gaps of a template of the deploy file as the platform does: values, and parts
// that stand once for each entry or while a value is given.
func fill(text string, fields, entry any, key string, last bool) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, ok := strings.Cut(rest, "}}")
		if !ok {
			return "", fmt.Errorf("template: a gap does not end: %q", rest)
		}
		text = after
		switch {
		case name == ",":
			if !last {
				out.WriteString(",")
			}
		case name == "@":
			out.WriteString(key)
		case name == ".":
			fmt.Fprint(&out, entry)
		case strings.HasPrefix(name, "#"):
			part, following, ok := strings.Cut(text, "{{/"+name[1:]+"}}")
			if !ok {
				return "", fmt.Errorf("template: the part %s does not end", name)
			}
			text = following
			filled, err := fillPart(part, fields, look(fields, name[1:]))
			if err != nil {
				return "", err
			}
			out.WriteString(filled)
		default:
			out.WriteString(show(look(fields, name)))
		}
	}
}

// fillPart fills a part for each entry of a table, or once if the value is given.
func fillPart(part string, fields, value any) (string, error) {
	table, ok := value.(map[string]any)
	if !ok {
		if value == nil || value == false {
			return "", nil
		}
		return fill(part, fields, value, "", true)
	}
	var names []string
	for name := range table {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	for i, name := range names {
		filled, err := fill(part, fields, table[name], name, i == len(names)-1)
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
	return out.String(), nil
}

// look returns the value of a name with dots; nil if there is none.
func look(fields any, name string) any {
	for step := range strings.SplitSeq(name, ".") {
		switch v := fields.(type) {
		case map[string]any:
			fields = v[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i >= len(v) {
				return nil
			}
			fields = v[i]
		default:
			return nil
		}
	}
	return fields
}

// show renders a value; a missing one gives nothing.
func show(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}
