package broker

import (
	"fmt"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"golang.org/x/net/http/httpguts"
)

const (
	maxItems = 200
	// maxItemTokens bounds the tokens of one item, so that those of all waiting jobs can be
	// added up.
	maxItemTokens = 1 << 40
)

// InvalidItemError reports that an item of a submitted job can't be accepted. Index is its
// index in the job.
type InvalidItemError struct {
	Index  int
	Reason string
}

func (e *InvalidItemError) Error() string { return fmt.Sprintf("item %d: %s", e.Index, e.Reason) }

// validate returns an *InvalidItemError for the first item that cannot be sent to a server as
// it is, or cannot be told from another one.
func validate(items []queuer.Item) error {
	names := make(map[string]bool, len(items))
	for i := range items {
		if reason := invalidReason(&items[i], names); reason != "" {
			return &InvalidItemError{Index: i, Reason: reason}
		}
		names[items[i].ID] = true
	}
	return nil
}

// invalidReason returns why an item is invalid, or "". earlier are the names of the items
// before it.
func invalidReason(i *queuer.Item, earlier map[string]bool) string {
	switch {
	case i.ID == "" || !httpguts.ValidHeaderFieldValue(i.ID):
		return "its name is empty or cannot stand in a header"
	case earlier[i.ID]:
		return "another item has its name"
	case !transporter.ValidTarget(i.Path):
		return "its path is not an absolute path"
	case i.Tokens < 0 || i.Tokens > maxItemTokens:
		return "its number of tokens is out of range"
	}
	for name, value := range i.Headers {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return fmt.Sprintf("its header %q is invalid", name)
		}
	}
	return ""
}
