package hoster

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"go.uber.org/zap"
)

// BulkHost keeps and runs batch jobs.
type BulkHost struct{ *base }

// NewBulkHost starts a bulk host.
func NewBulkHost(s checker.MemberSettings, p Platform, l *zap.Logger) (*BulkHost, error) {
	h := &BulkHost{}
	started := make(chan struct{})
	defer close(started)
	b, err := newBase(s, p, l, cataloger.Member{Role: cataloger.Bulk},
		func() gossiper.Digest { <-started; return h.digest() }, func(gossiper.Digest) {})
	if err != nil {
		return nil, err
	}
	h.base = b
	return h, nil
}

// Stop ends the host gracefully.
func (h *BulkHost) Stop() { h.close() }
