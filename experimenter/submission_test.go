package experimenter_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/experimenter"
)

// submitTo submits a job to a host that answers with these statuses in turn, and returns
// the keys and bodies that it received.
func submitTo(t *testing.T, statuses ...int) (received []string, answer string, err error) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(statuses[len(received)])
		received = append(received, r.Header.Get("Idempotency-Key")+" "+string(body))
		_, _ = io.WriteString(w, "answer")
	}))
	defer host.Close()
	b, err := experimenter.Submission{URL: host.URL, Token: "t", Key: "k", Items: []byte("items")}.Send(t.Context(), &fasthttp.Client{})
	return received, string(b), err
}

// An experiment ended when a host that was late refused a job as not accepted, though such a
// job is to be sent again.
func TestJobThatWasNotAcceptedIsSentAgainWithItsKey(t *testing.T) {
	received, answer, err := submitTo(t, 503, 503, 200)
	require.NoError(t, err)
	require.Equal(t, "answer", answer)
	require.Equal(t, []string{"k items", "k items", "k items"}, received)
}

func TestJobThatIsInvalidIsSentOnce(t *testing.T) {
	received, _, err := submitTo(t, 400)
	var status *experimenter.StatusError
	require.True(t, errors.As(err, &status))
	require.Equal(t, 400, status.Status)
	require.Len(t, received, 1)
}
