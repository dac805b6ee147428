package exchanger

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxGetBodyBytes bounds the body that Get reads.
const maxGetBodyBytes = 1 << 20

// TooLongError reports that the body of an answer exceeds the limit of Get.
type TooLongError struct{}

func (*TooLongError) Error() string {
	return fmt.Sprintf("answer longer than %d bytes", maxGetBodyBytes)
}

// Get reads a small resource, such as a load report, and returns its status and
// body. It returns a *TooLongError if the body exceeds 1 MiB. Its connection is
// kept in a pool of its own, by which CheckConnections can later determine whether
// the server has crashed. If the server refuses the request, Get returns the status
// without a body.
func (x *Exchanger) Get(ctx context.Context, id, address, path string) (int, []byte, error) {
	var s getSink
	c := Call{ID: id, Address: address, Method: fasthttp.MethodGet, Path: path, forGet: true}
	switch r := x.Exchange(ctx, &c, &s).(type) {
	case Complete:
		return r.Status, s.body, nil
	case NotSent:
		return 0, nil, r.Err
	case Refused:
		return r.Status, nil, nil
	case Broken:
		return 0, nil, r.Err
	case Stopped:
		return 0, nil, r.Err
	}
	return 0, nil, eris.New("unknown result")
}

// getSink collects the body of an answer to Get.
type getSink struct{ body []byte }

func (s *getSink) Head(int, []requester.Header) error { return nil }

func (s *getSink) Body(piece []byte, _ int64) error {
	if len(s.body)+len(piece) > maxGetBodyBytes {
		return &TooLongError{}
	}
	s.body = append(s.body, piece...)
	return nil
}
