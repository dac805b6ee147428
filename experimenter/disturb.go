package experimenter

import (
	"context"
	"time"

	"github.com/jackdawgate/jackdawgate/emulator"
)

const (
	faultInterval   = 10 * time.Second
	firstFaultDelay = 2 * time.Second
	restartAfterMS  = 1000
	storeOutage     = 8 * time.Second
)

// sleep waits for d and reports whether the full time elapsed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	return sleepWithin(ctx, d, time.Now().Add(2*d))
}

// crashServers crashes one engine in each faultInterval, in turn, until ctx is done.
func crashServers(ctx context.Context, f *fleet) {
	wait := firstFaultDelay
	for i := 0; sleep(ctx, wait); i++ {
		f.engines[i%len(f.engines)].SetFaults(emulator.EngineFaults{Crash: true, RestartAfter: restartAfterMS})
		wait = faultInterval
	}
}

// killHost kills the last host.
func killHost(ctx context.Context, f *fleet) {
	if !sleep(ctx, firstFaultDelay) {
		return
	}
	// Errors that the parts of the killed host return when they stop are expected.
	_ = f.hosts[len(f.hosts)-1].kill()
}

// interruptStore makes the platform's store unavailable for storeOutage.
func interruptStore(ctx context.Context, f *fleet) {
	if !sleep(ctx, firstFaultDelay) {
		return
	}
	f.platform.SetFaults(emulator.PlatformFaults{Outage: true})
	sleep(ctx, storeOutage)
	f.platform.SetFaults(emulator.PlatformFaults{})
}
