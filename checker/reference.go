package checker

import (
	"fmt"
	"strings"
)

// Reference returns the text of docs/SETTINGS.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nOne INI file per host. `jackdawgate settings check FILE` checks it.\n")
	writeOptions(&b, Options())
	b.WriteString("\n# Settings of a host on a platform's store\n\nOne INI file per host, for `jackdawgated`; on the platform it is made from `deploy/host.ini`.\n")
	writeOptions(&b, MemberOptions())
	return b.String()
}

// writeOptions writes one table for each section of list.
func writeOptions(b *strings.Builder, list []Option) {
	section := ""
	for _, o := range list {
		if o.Section != section {
			section = o.Section
			fmt.Fprintf(b, "\n## [%s]\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n", section)
		}
		fallback := "`" + o.Default + "`"
		switch {
		case o.Required:
			fallback = "required"
		case o.Default == "":
			fallback = "empty"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", o.Key, fallback, describeRule(o.Check), o.Doc)
	}
}
