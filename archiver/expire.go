package archiver

import (
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Expire removes the segments that have expired at now, with their state, and returns
// their names. now is in Unix milliseconds.
func (s *Store) Expire(now timer.Millis) ([]string, error) {
	infos, err := s.List(segmenter.ListRequest{})
	if err != nil {
		return nil, err
	}
	var expired []string
	for _, i := range infos {
		if i.Expires == 0 || i.Expires > now {
			continue
		}
		if err := s.purge(i.Name); err != nil {
			return expired, err
		}
		expired = append(expired, i.Name)
	}
	return expired, nil
}

// purge removes a segment with its data and state files. The data file is removed
// first: after a crash in between, the state file remains and the segment expires
// again.
func (s *Store) purge(name string) error {
	g, err := s.find(name)
	if err != nil {
		return err
	}
	if err := g.close(); err != nil {
		return err
	}
	s.drop(name)
	if err := s.folder.Remove(s.folder.DataPath(name)); err != nil {
		return err
	}
	return s.folder.Remove(s.folder.StatePath(name))
}
