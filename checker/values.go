package checker

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// parseValue parses text into v. It returns a description of the problem, or "" if
// text was valid. It panics if v has a type that settings cannot have.
func parseValue(v reflect.Value, text string) string {
	switch p := v.Addr().Interface().(type) {
	case *string:
		*p = text
	case *[]string:
		*p = splitList(text)
	case *map[string]string:
		m, problem := parseTable(text)
		if problem != "" {
			return problem
		}
		*p = m
	case *int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", text)
		}
		*p = n
	case *float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a number", text)
		}
		*p = n
	case *bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Sprintf("%q is neither true nor false", text)
		}
		*p = b
	case *timer.Millis:
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Sprintf("%q is not a duration", text)
		}
		*p = timer.FromDuration(d)
	default:
		panic(fmt.Sprintf("setting of type %T has no parser", p))
	}
	return ""
}

// splitList returns the elements of a comma-separated list without empty ones.
func splitList(text string) []string {
	var out []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

// parseTable parses a comma-separated list of KEY=VALUE, all of which are names. It returns a
// description of the problem, or "" if text was valid.
func parseTable(text string) (table map[string]string, problem string) {
	table = make(map[string]string)
	for _, entry := range splitList(text) {
		key, value, _ := strings.Cut(entry, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if !namePattern.MatchString(key) || !namePattern.MatchString(value) {
			return nil, fmt.Sprintf("%q is not NAME=NAME", entry)
		}
		if _, ok := table[key]; ok {
			return nil, fmt.Sprintf("%q is given twice", key)
		}
		table[key] = value
	}
	return table, ""
}

// checkRule checks a parsed value against the rule of its option. It returns a
// description of the problem, or "" if the value is allowed. A rule without a name
// of its own is a list of allowed values, separated by "|".
func checkRule(rule, text string, v reflect.Value) string {
	switch rule {
	case "any", "zones":
		return ""
	case "name":
		return problemUnless(namePattern.MatchString(text), text, "not a name")
	case "address":
		return problemUnless(isAddress(text), text, "not an address")
	case "optional-address":
		return problemUnless(text == "" || isAddress(text), text, "not an address")
	case "addresses":
		return problemUnless(!slices.ContainsFunc(splitList(text), func(a string) bool { return !isAddress(a) }), text, "not a list of addresses")
	case "positive":
		return problemUnless(isPositive(v), text, "not above zero")
	case "share":
		return problemUnless(v.Float() >= 0 && v.Float() <= 1, text, "not a share")
	case "file":
		return problemUnless(text == "" || isReadable(text), text, "not a file that can be read")
	case "sha256":
		b, err := hex.DecodeString(text)
		return problemUnless(text == "" || (err == nil && len(b) == 32), text, "not a SHA-256")
	}
	return problemUnless(slices.Contains(strings.Split(rule, "|"), text), text, "not one of the values")
}

// problemUnless returns "" if ok and otherwise a problem that quotes text.
func problemUnless(ok bool, text, problem string) string {
	if ok {
		return ""
	}
	return fmt.Sprintf("%q is %s", text, problem)
}

func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}

func isPositive(v reflect.Value) bool {
	if v.CanInt() {
		return v.Int() > 0
	}
	return v.Float() > 0
}

func isReadable(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	return f.Close() == nil
}

// describeRule describes the values that a rule allows.
func describeRule(rule string) string {
	switch rule {
	case "any":
		return ""
	case "name":
		return "lower-case letters, digits, '.' and '-', at most 63"
	case "address", "optional-address":
		return "an IP address and port such as 127.0.0.1:8480"
	case "addresses":
		return "IP addresses and ports, separated by commas"
	case "zones":
		return "pairs such as kolkata=asia, separated by commas; each name in lower-case letters, digits, '.' and '-'"
	case "positive":
		return "above zero, with a unit (ms, s, m, h) if it is a time"
	case "share":
		return "from 0 to 1"
	case "file":
		return "a file that can be read, or nothing"
	case "sha256":
		return "64 hexadecimal digits, or nothing"
	}
	return "one of " + strings.ReplaceAll(rule, "|", ", ")
}
