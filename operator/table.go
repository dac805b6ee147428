package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// writeTable writes header, in upper case, and rows to w in aligned columns. The cells
// of a row are separated by tabs.
func writeTable(w io.Writer, header string, rows []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, strings.ToUpper(header)); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintln(t, r); err != nil {
			return err
		}
	}
	return t.Flush()
}

// sortedByKey returns the values of m in the order of their keys.
func sortedByKey[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
