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

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	// Line counts from one; zero when the fault has no line, such as a
	// setting that is missing.
	Line    int
	Section string
	Key     string
	// Problem says what was found, Allowed what would be right.
	Problem string
	Allowed string
}

func (f Fault) String() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	s := fmt.Sprintf("%s: [%s] %s: %s", at, f.Section, f.Key, f.Problem)
	if f.Allowed != "" {
		s += "; " + f.Allowed
	}
	return s
}

// FaultsError has every fault of a settings file.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file at path. Its error is a *FaultsError when the
// file could be read but is not right.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse checks the contents of a settings file; file names it in faults.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	err := parseInto(file, data, &s, func(c *check) { c.together(s) })
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parseInto reads data into target, a pointer to a struct of sections. together
// checks settings that depend on one another.
func parseInto(file string, data []byte, target any, together func(c *check)) error {
	parsed, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		return &FaultsError{Faults: []Fault{{File: file, Problem: err.Error()}}}
	}
	c := &check{file: file, lines: indexLines(data), parsed: parsed, options: options(target)}
	c.unreadable()
	c.unknown()
	for _, o := range c.options {
		c.set(o)
	}
	together(c)
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
		return &FaultsError{Faults: c.faults}
	}
	return nil
}

// Option is one setting as the reference page shows it.
type Option struct {
	Section, Key, Default, Check, Doc string
	// Required options have no default.
	Required bool
	value    reflect.Value
}

// Options lists all settings in the order of the struct.
func Options() []Option { return options(&Settings{}) }

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

// check collects the faults of one file.
type check struct {
	file   string
	lines  lineIndex
	parsed *ini.File
	// options are all that the file may set.
	options []Option
	faults  []Fault
}

func (c *check) add(section, key, problem, allowed string) {
	line := c.lines.find(section, key)
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Section: section, Key: key, Problem: problem, Allowed: allowed})
}

// unreadable reports lines that are neither a section, a setting nor a
// comment, and settings written twice.
func (c *check) unreadable() {
	for _, l := range c.lines.odd {
		c.faults = append(c.faults, Fault{
			File: c.file, Line: l.number, Section: l.section, Key: l.text,
			Problem: l.problem, Allowed: "write key = value, once",
		})
	}
}

// unknown reports sections and keys that no option has.
func (c *check) unknown() {
	known := make(map[string][]string)
	for _, o := range c.options {
		known[o.Section] = append(known[o.Section], o.Key)
	}
	sections := make([]string, 0, len(known))
	for s := range known {
		sections = append(sections, s)
	}
	slices.Sort(sections)
	for _, s := range c.parsed.Sections() {
		keys, ok := known[s.Name()]
		if !ok && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			c.add(s.Name(), "", "no such section", suggest(s.Name(), sections))
			continue
		}
		for _, k := range s.KeyStrings() {
			if ok && !slices.Contains(keys, k) {
				c.add(s.Name(), k, "no such setting", suggest(k, keys))
			}
		}
	}
}

// suggest names the nearest of the known names.
func suggest(name string, known []string) string {
	best := slices.MinFunc(known, func(a, b string) int {
		return levenshtein.ComputeDistance(name, a) - levenshtein.ComputeDistance(name, b)
	})
	return fmt.Sprintf("did you mean %q?", best)
}

// set puts the value of o, or its default, into its field.
func (c *check) set(o Option) {
	section, err := c.parsed.GetSection(o.Section)
	text, given := o.Default, false
	if err == nil && section.HasKey(o.Key) {
		text, given = section.Key(o.Key).String(), true
	}
	if !given && o.Required {
		c.add(o.Section, o.Key, "missing", describe(o.Check))
		return
	}
	if problem := assign(o.value, text); problem != "" {
		c.add(o.Section, o.Key, problem, describe(o.Check))
		return
	}
	if problem := verify(o.Check, text, o.value); problem != "" {
		c.add(o.Section, o.Key, problem, describe(o.Check))
	}
}

// together checks settings that depend on one another.
func (c *check) together(s Settings) {
	pairs := [][3]string{
		{"caller-certificate", s.TLS.CallerCertificate, s.TLS.CallerKey},
		{"peer-certificate", s.TLS.PeerCertificate, s.TLS.PeerKey},
		{"peer-authority", s.TLS.PeerAuthority, s.TLS.PeerCertificate},
	}
	for _, p := range pairs {
		if (p[1] == "") != (p[2] == "") {
			c.add("tls", p[0], "given without its key or certificate", "give both or neither")
		}
	}
	if f := s.Fleet; f.Permission > 0 && f.Permission < 3*f.ConfirmInterval {
		c.add("control", "permission", "shorter than three confirm intervals", "one lost confirmation must not stop the host")
	}
}
