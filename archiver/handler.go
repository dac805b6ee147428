package archiver

import (
	"context"
	"errors"

	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"go.uber.org/zap"
)

// Register registers the handlers of the methods in package segmenter at r. Fetch
// reads from other holders through c.
func (s *Store) Register(r messenger.Registry, c messenger.Caller) {
	r.Handle(segmenter.MethodAppend, segmenter.NewHandler(func(_ context.Context, q segmenter.AppendRequest) (segmenter.Answer, error) {
		return infoAnswer(s.Append(q))
	}))
	r.Handle(segmenter.MethodSeal, segmenter.NewHandler(func(_ context.Context, q segmenter.SealRequest) (segmenter.Answer, error) {
		return infoAnswer(s.Seal(q))
	}))
	r.Handle(segmenter.MethodRead, segmenter.NewHandler(func(_ context.Context, q segmenter.ReadRequest) (segmenter.Answer, error) {
		p, err := s.Read(q)
		s.logCorrupt(err)
		return segmenter.Answer{Page: &p}, err
	}))
	r.Handle(segmenter.MethodList, segmenter.NewHandler(func(_ context.Context, q segmenter.ListRequest) (segmenter.Answer, error) {
		infos, err := s.List(q)
		return segmenter.Answer{Infos: infos}, err
	}))
	r.Handle(segmenter.MethodInfo, segmenter.NewHandler(func(_ context.Context, q segmenter.InfoRequest) (segmenter.Answer, error) {
		infos, err := s.Info(q.Names)
		return segmenter.Answer{Infos: infos}, err
	}))
	r.Handle(segmenter.MethodDelete, segmenter.NewHandler(func(_ context.Context, q segmenter.DeleteRequest) (segmenter.Answer, error) {
		return segmenter.Answer{}, s.Delete(q.Name)
	}))
	r.Handle(segmenter.MethodFetch, segmenter.NewHandler(func(ctx context.Context, q segmenter.FetchRequest) (segmenter.Answer, error) {
		return infoAnswer(s.Fetch(ctx, c, q))
	}))
}

// logCorrupt logs and counts a read that was refused because of a corrupt record.
func (s *Store) logCorrupt(err error) {
	var r *segmenter.RefusedError
	if errors.As(err, &r) && r.Code == segmenter.CodeCorrupt {
		add(s.metrics.damage, 1)
		s.options.Log.Error("corrupt record", zap.String("segment", r.Name), zap.Uint64("record", r.Sequence))
	}
}

// infoAnswer wraps the description of one segment in an answer.
func infoAnswer(i segmenter.Info, err error) (segmenter.Answer, error) {
	return segmenter.Answer{Infos: []segmenter.Info{i}}, err
}
