package emulator_test

import (
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/stretchr/testify/require"
)

// heapBytes returns the bytes that are in use after a garbage collection.
func heapBytes() int64 {
	var s runtime.MemStats
	for range 3 { // Pools give up what they hold in the second collection.
		runtime.GC()
	}
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// The engine kept the body of each request that it had received. Those of a crowd of callers
// filled the memory of a development fleet, of which the engines are a part.
func TestEngineDoesNotKeepLongBodies(t *testing.T) {
	const count, size, short = 16, 3_900_000, 4 << 10
	f := serve(t, emulator.EngineOptions{Plain: true})
	f.post(t, "/echo", strings.Repeat("y", short))
	before := heapBytes()
	long := strings.Repeat("x", size)
	for range count {
		require.True(t, f.post(t, "/echo", long).body == long)
	}
	var received []emulator.Received
	f.get(t, "/received", &received)
	require.Len(t, received, 1+count)
	require.Equal(t, strings.Repeat("y", short), received[0].Body)
	require.Equal(t, short, received[0].BodyBytes)
	require.Empty(t, received[1].Body)
	require.Equal(t, size, received[1].BodyBytes)
	require.Equal(t, strconv.FormatUint(xxhash.Sum64String(long), 16), received[1].BodyDigest)
	long = ""
	require.Less(t, heapBytes()-before, int64(count*size/2))
}
