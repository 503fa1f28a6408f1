package demo

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry/fake"
)

// injectFailures injects the failures of a run at their times.
func (f *fleet) injectFailures(ctx context.Context, result *Result) (err error) {
	start := time.Now()
	sleepUntil := func(d time.Duration) error { return sleep(ctx, d-time.Since(start)) }
	if err = sleepUntil(stopAt); err != nil {
		return err
	}
	stopped := f.vms[stoppedVM]
	f.logProgress("%v: starting the planned stop of VM %s", stopAt, stopped.id)
	if err = stopped.requestStop(); err != nil {
		return err
	}
	if err = sleepUntil(grayAt); err != nil {
		return err
	}
	gray := f.targets[0]
	f.logProgress("%v: target %s fails 20%% of its requests", grayAt, gray.id)
	if err = f.post(ctx, gray.address, "/control/fault", `{"ErrorShare": 0.2}`); err != nil {
		return err
	}
	if result.DetectionSeconds, err = f.await(ctx, func() bool { return f.targetStage(ctx, gray.id) == "Ejected" }, detectionTimeout); err != nil {
		f.logProgress("the gray target was not ejected in time")
		result.Broken = append(result.Broken, "gray target not ejected")
	}
	if _, err = f.await(ctx, stopped.hasExited, restartDeadline-time.Since(start)); err != nil {
		return trace.Wrap(err, "VM %s did not complete its planned stop", stopped.id)
	}
	f.logProgress("VM %s has completed its planned stop; restarting it", stopped.id)
	if err = f.launchVM(stopped); err != nil {
		return err
	}
	if err = sleepUntil(killAt); err != nil {
		return err
	}
	f.logProgress("%v: killing VM %s", killAt, f.vms[vmCount-1].id)
	f.vms[vmCount-1].kill()
	if err = sleepUntil(replaceAt); err != nil {
		return err
	}
	f.logProgress("%v: replacing VM %s", replaceAt, f.vms[vmCount-1].id)
	if err = f.launchVM(f.vms[vmCount-1]); err != nil {
		return err
	}
	if err = sleepUntil(withdrawAt); err != nil {
		return err
	}
	return f.withdrawKeyAndFailPlatform(ctx, result, sleepUntil)
}

// withdrawKeyAndFailPlatform withdraws a key and makes the platform unavailable.
func (f *fleet) withdrawKeyAndFailPlatform(ctx context.Context, result *Result, sleepUntil func(time.Duration) error) (err error) {
	f.logProgress("%v: withdrawing the key of %s", withdrawAt, withdrawnAccount)
	f.isKeyWithdrawn = true
	if err = f.publish(ctx); err != nil {
		return err
	}
	if result.WithdrawalSeconds, err = f.await(ctx, func() bool { return f.isKeyRefused(ctx) }, changeTimeout); err != nil {
		result.Broken = append(result.Broken, "withdrawn key still works")
	}
	var additionalSeconds float64
	if additionalSeconds, err = f.await(ctx, func() bool { return f.isInForce(ctx) }, changeTimeout); err != nil {
		result.Broken = append(result.Broken, "configuration not in force everywhere")
	}
	result.ForceSeconds = result.WithdrawalSeconds + additionalSeconds
	if err = sleepUntil(platformDownAt); err != nil {
		return err
	}
	f.logProgress("%v: making the platform unavailable", platformDownAt)
	if err = f.post(ctx, f.platform.address, "/control/mode", string(fake.ModeDown)); err != nil {
		return err
	}
	return f.freezeVM(f.vms[frozenVM], sleepUntil)
}

// freezeVM suspends a VM for longer than its lease and grant terms. It resumes
// with a stale view and with requests accepted before.
func (f *fleet) freezeVM(v *vm, sleepUntil func(time.Duration) error) (err error) {
	if err = sleepUntil(freezeAt); err != nil {
		return err
	}
	f.logProgress("%v: freezing VM %s", freezeAt, v.id)
	if err = v.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err = sleepUntil(resumeAt); err != nil {
		return err
	}
	f.logProgress("%v: resuming VM %s", resumeAt, v.id)
	return trace.ConvertSystemError(v.command.Process.Signal(syscall.SIGCONT))
}

// isKeyRefused reports whether every live VM refuses the withdrawn key.
func (f *fleet) isKeyRefused(ctx context.Context) bool {
	for _, vm := range f.vms {
		if vm.isKilled() {
			continue
		}
		if code := f.probe(ctx, vm.callers, withdrawnAccount); code != http.StatusUnauthorized {
			return false
		}
	}
	return true
}
