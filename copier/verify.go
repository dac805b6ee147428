package copier

import (
	"context"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"go.uber.org/zap"
)

// verifyAll verifies the checksums of all final segments. The store marks a segment
// that fails as damaged, and the next round replaces it.
func (c *Copier) verifyAll(ctx context.Context) {
	infos, err := c.options.Store.List(segmenter.ListRequest{})
	if err != nil {
		c.options.Log.Error("failed to list segments", zap.Error(err))
		return
	}
	for _, i := range infos {
		if ctx.Err() != nil {
			return
		}
		verdict, err := c.options.Store.Verify(ctx, i.Name, c.options.VerifyBytesPerSecond)
		switch {
		case verdict == archiver.Damaged:
			c.options.Log.Error("segment fails its checksum", zap.String("segment", i.Name), zap.Error(err))
		case err != nil:
			c.options.Log.Error("segment was not verified", zap.String("segment", i.Name), zap.Error(err))
		}
	}
}
