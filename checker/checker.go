package checker

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Diagnostic is one problem in a settings file.
type Diagnostic struct {
	File string
	// Line counts from one. It is zero if the problem has no line, such as a missing
	// setting.
	Line    int
	Section string
	Key     string
	// Problem describes what was found, Allowed what would be valid.
	Problem string
	Allowed string
}

func (d Diagnostic) String() string {
	at := d.File
	if d.Line > 0 {
		at = fmt.Sprintf("%s:%d", d.File, d.Line)
	}
	s := fmt.Sprintf("%s: [%s] %s: %s", at, d.Section, d.Key, d.Problem)
	if d.Allowed != "" {
		s += "; " + d.Allowed
	}
	return s
}

// InvalidError holds all problems of an invalid settings file.
type InvalidError struct{ Diagnostics []Diagnostic }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the file at path. If the file can be read but is
// invalid, the error is an *InvalidError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse validates the contents of a settings file. Diagnostics report file as its
// name. The error is always an *InvalidError.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	err := parseSections(file, data, &s, func(v *validator) { v.checkDependencies(s) })
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parseSections parses data into target, a pointer to a struct of sections.
// checkDependencies validates settings that depend on one another; it is called
// after all fields of target are set. Diagnostics are sorted by line.
func parseSections(file string, data []byte, target any, checkDependencies func(v *validator)) error {
	parsed, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		return &InvalidError{Diagnostics: []Diagnostic{{File: file, Problem: err.Error()}}}
	}
	v := &validator{file: file, lines: indexLines(data), parsed: parsed, options: options(target)}
	v.reportMalformedLines()
	v.reportUnknownNames()
	for _, o := range v.options {
		v.apply(o)
	}
	checkDependencies(v)
	if len(v.diagnostics) > 0 {
		slices.SortStableFunc(v.diagnostics, func(a, b Diagnostic) int { return a.Line - b.Line })
		return &InvalidError{Diagnostics: v.diagnostics}
	}
	return nil
}

// Option is one setting as the reference page documents it.
type Option struct {
	Section, Key, Default, Check, Doc string
	// Required is true if the setting has no default.
	Required bool
	value    reflect.Value
}

// Options returns the options of Settings in the order of the struct.
func Options() []Option { return options(&Settings{}) }

// options returns the options of s, a pointer to a struct of sections. Each refers to
// the field of s that it sets.
func options(s any) []Option {
	var out []Option
	for f, section := range reflect.ValueOf(s).Elem().Fields() {
		for g, v := range section.Fields() {
			fallback, has := g.Tag.Lookup("default")
			out = append(out, Option{
				Section:  f.Tag.Get("section"),
				Key:      g.Tag.Get("key"),
				Default:  fallback,
				Check:    g.Tag.Get("check"),
				Doc:      g.Tag.Get("doc"),
				Required: !has,
				value:    v,
			})
		}
	}
	return out
}

// validator sets the options from one file and collects the file's problems.
type validator struct {
	file   string
	lines  lineIndex
	parsed *ini.File
	// options holds every setting that the file may contain.
	options     []Option
	diagnostics []Diagnostic
}

// report adds a diagnostic at the line of the setting.
func (v *validator) report(section, key, problem, allowed string) {
	line := v.lines.find(section, key)
	v.diagnostics = append(v.diagnostics, Diagnostic{File: v.file, Line: line, Section: section, Key: key, Problem: problem, Allowed: allowed})
}

// reportMalformedLines reports lines that are neither a section, a setting nor a
// comment, and settings that occur more than once.
func (v *validator) reportMalformedLines() {
	for _, l := range v.lines.malformed {
		v.diagnostics = append(v.diagnostics, Diagnostic{
			File: v.file, Line: l.number, Section: l.section, Key: l.text,
			Problem: l.problem, Allowed: "write key = value, once",
		})
	}
}

// reportUnknownNames reports sections and keys that no option has.
func (v *validator) reportUnknownNames() {
	known := make(map[string][]string)
	for _, o := range v.options {
		known[o.Section] = append(known[o.Section], o.Key)
	}
	sections := make([]string, 0, len(known))
	for s := range known {
		sections = append(sections, s)
	}
	slices.Sort(sections)
	for _, s := range v.parsed.Sections() {
		keys, ok := known[s.Name()]
		if !ok && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			v.report(s.Name(), "", "no such section", suggest(s.Name(), sections))
			continue
		}
		for _, k := range s.KeyStrings() {
			if ok && !slices.Contains(keys, k) {
				v.report(s.Name(), k, "no such setting", suggest(k, keys))
			}
		}
	}
}

// suggest returns a hint that contains the known name most similar to name.
func suggest(name string, known []string) string {
	best := slices.MinFunc(known, func(a, b string) int {
		return levenshtein.ComputeDistance(name, a) - levenshtein.ComputeDistance(name, b)
	})
	return fmt.Sprintf("did you mean %q?", best)
}

// apply stores the value of o from the file, or else its default, in the option's
// field and validates it.
func (v *validator) apply(o Option) {
	section, err := v.parsed.GetSection(o.Section)
	text, given := o.Default, false
	if err == nil && section.HasKey(o.Key) {
		text, given = section.Key(o.Key).String(), true
	}
	if !given && o.Required {
		v.report(o.Section, o.Key, "missing", describeRule(o.Check))
		return
	}
	if problem := parseValue(o.value, text); problem != "" {
		v.report(o.Section, o.Key, problem, describeRule(o.Check))
		return
	}
	if problem := checkRule(o.Check, text, o.value); problem != "" {
		v.report(o.Section, o.Key, problem, describeRule(o.Check))
	}
}

// checkDependencies validates settings that depend on one another.
func (v *validator) checkDependencies(s Settings) {
	pairs := [][3]string{
		{"caller-certificate", s.TLS.CallerCertificate, s.TLS.CallerKey},
		{"peer-certificate", s.TLS.PeerCertificate, s.TLS.PeerKey},
		{"peer-authority", s.TLS.PeerAuthority, s.TLS.PeerCertificate},
	}
	for _, p := range pairs {
		if (p[1] == "") != (p[2] == "") {
			v.report("tls", p[0], "given without its key or certificate", "give both or neither")
		}
	}
	if f := s.Control; f.Permission > 0 && f.Permission < 3*f.ConfirmInterval {
		v.report("control", "permission", "shorter than three confirm intervals", "one lost confirmation must not stop the host")
	}
}
