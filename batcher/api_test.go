package batcher_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestFilesBelongToTheirWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		text := inputLine("a") + "\r\n" + strings.TrimSpace(inputLine("b"))
		f, err := c.hosts[0].batcher.PutFile(t.Context(), submitter.PutFileRequest{
			Workspace: workspace, Name: "in.jsonl", Purpose: submitter.PurposeBatch, Content: strings.NewReader(text),
		})
		require.NoError(t, err)
		require.Equal(t, int64(len(text)), f.Bytes)
		var got strings.Builder
		require.NoError(t, c.hosts[1].batcher.FileContent(t.Context(), workspace, f.ID, &got))
		require.Equal(t, text, got.String())
		var missing *submitter.NotFoundError
		_, err = c.hosts[1].batcher.FileInfo(t.Context(), "office", f.ID)
		require.ErrorAs(t, err, &missing)
		_, err = c.hosts[1].batcher.SubmitFromFile(t.Context(), submitter.FileSubmitRequest{
			Workspace: "office", FileID: f.ID, Endpoint: "/v1/chat/completions",
		})
		require.ErrorAs(t, err, &missing)
		j, err := c.hosts[2].batcher.SubmitFromFile(t.Context(), submitter.FileSubmitRequest{
			Workspace: workspace, FileID: f.ID, Endpoint: "/v1/chat/completions",
		})
		require.NoError(t, err)
		ended := c.waitEnded(j.ID, time.Hour)
		require.Equal(t, int64(2), ended.Counts.Done)
		info, err := c.anyBatcher().FileInfo(t.Context(), workspace, ended.OutputFileID)
		require.NoError(t, err)
		got.Reset()
		require.NoError(t, c.anyBatcher().FileContent(t.Context(), workspace, ended.OutputFileID, &got))
		require.Equal(t, info.Bytes, int64(got.Len()))
		require.ErrorAs(t, c.anyBatcher().FileContent(t.Context(), "office", ended.OutputFileID, &got), &missing)

		require.NoError(t, c.anyBatcher().DeleteFile(t.Context(), workspace, f.ID))
		page, err := c.anyBatcher().ListFiles(t.Context(), workspace, submitter.PageRequest{})
		require.NoError(t, err)
		require.Empty(t, page.Files)
	})
}

func TestResultsAreDeletedAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(o *batcher.Options) { o.Retention = 2 * 3600 * timer.Second })
		defer c.close()
		j := c.waitEnded(c.submit("k", itemNames("i", 20)).ID, time.Hour)
		time.Sleep(115 * time.Minute)
		done, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone)
		require.NoError(t, err)
		require.Len(t, done, 20)
		time.Sleep(25 * time.Hour)
		require.Empty(t, c.holdersOf("results/"), "results take disk after their retention")
		var missing *submitter.NotFoundError
		_, err = c.anyBatcher().Status(t.Context(), workspace, j.ID)
		require.ErrorAs(t, err, &missing, "the manifest is left in the store")
	})
}

func TestStatusShowsCountsRateAndExpectedEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(o *batcher.Options) { o.MaxWindow = 10 })
		defer c.close()
		c.do = answerAfter(time.Second)
		begin := timer.Wall()
		j := c.submit("k", itemNames("i", 600)) // at 10 a second it takes a minute
		time.Sleep(20500 * time.Millisecond)
		for _, h := range c.hosts {
			st, err := h.batcher.Status(t.Context(), workspace, j.ID)
			require.NoError(t, err)
			require.True(t, st.CountsKnown)
			require.Equal(t, int64(10), st.Counts.Running)
			require.InDelta(t, 190, st.Counts.Done, 20)
			require.InDelta(t, 10, st.ItemsPerSecond, 2)
			require.InDelta(t, 60_000, int64(st.ExpectedEnd-begin), 10_000)
		}
		require.InDelta(t, 61_000, int64(c.waitEnded(j.ID, time.Hour).Ended-begin), 3_000)
	})
}

func TestListPagesNewestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		var want []string
		for _, k := range []string{"a", "b", "c", "d", "e"} {
			want = append([]string{c.submit(k, itemNames(k, 2)).ID}, want...)
			time.Sleep(time.Second)
		}
		var got []string
		for p := (submitter.PageRequest{Limit: 2}); ; p.After = got[len(got)-1] {
			page, err := c.anyBatcher().List(t.Context(), workspace, p)
			require.NoError(t, err)
			for _, j := range page.Jobs {
				got = append(got, j.ID)
			}
			if !page.More {
				break
			}
		}
		require.Equal(t, want, got)
		page, err := c.anyBatcher().List(t.Context(), "office", submitter.PageRequest{})
		require.NoError(t, err)
		require.Empty(t, page.Jobs)
		var missing *submitter.NotFoundError
		_, err = c.anyBatcher().List(t.Context(), "office", submitter.PageRequest{After: want[0]})
		require.ErrorAs(t, err, &missing)
	})
}
