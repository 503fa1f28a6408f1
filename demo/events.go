package demo

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry/fake"
)

// injectFailures follows the timetable of a run.
func (f *fleet) injectFailures(ctx context.Context, result *Result) (err error) {
	start := time.Now()
	sleepUntil := func(d time.Duration) error { return sleep(ctx, d-time.Since(start)) }
	if err = sleepUntil(stopAt); err != nil {
		return err
	}
	stopped := f.vms[stoppedVM]
	f.logProgress("%v: VM %s is stopped as planned", stopAt, stopped.id)
	if err = stopped.requestStop(); err != nil {
		return err
	}
	if err = sleepUntil(grayAt); err != nil {
		return err
	}
	gray := f.targets[0]
	f.logProgress("%v: target %s answers 20%% of its requests with errors", grayAt, gray.id)
	if err = f.post(ctx, gray.address, "/control/fault", `{"ErrorShare": 0.2}`); err != nil {
		return err
	}
	if result.DetectionSeconds, err = f.await(ctx, func() bool { return f.targetStage(ctx, gray.id) == "Ejected" }, detectionTimeout); err != nil {
		f.logProgress("the target was not ejected in time")
		result.Broken = append(result.Broken, "gray target not ejected")
	}
	if _, err = f.await(ctx, stopped.hasExited, restartDeadline-time.Since(start)); err != nil {
		return trace.Wrap(err, "VM %s did not stop", stopped.id)
	}
	f.logProgress("VM %s has ended by itself and is started again", stopped.id)
	if err = f.launchVM(stopped); err != nil {
		return err
	}
	if err = sleepUntil(killAt); err != nil {
		return err
	}
	f.logProgress("%v: VM %s is killed", killAt, f.vms[vmCount-1].id)
	f.vms[vmCount-1].kill()
	if err = sleepUntil(replaceAt); err != nil {
		return err
	}
	f.logProgress("%v: VM %s is replaced", replaceAt, f.vms[vmCount-1].id)
	if err = f.launchVM(f.vms[vmCount-1]); err != nil {
		return err
	}
	if err = sleepUntil(withdrawAt); err != nil {
		return err
	}
	return f.withdrawKeyAndFailPlatform(ctx, result, sleepUntil)
}

// withdrawKeyAndFailPlatform withdraws a key and then takes the platform away.
func (f *fleet) withdrawKeyAndFailPlatform(ctx context.Context, result *Result, sleepUntil func(time.Duration) error) (err error) {
	f.logProgress("%v: the key of %s is withdrawn", withdrawAt, withdrawnAccount)
	f.isKeyWithdrawn = true
	if err = f.publish(ctx); err != nil {
		return err
	}
	if result.WithdrawalSeconds, err = f.await(ctx, func() bool { return f.isKeyRefused(ctx) }, changeTimeout); err != nil {
		result.Broken = append(result.Broken, "withdrawn key still works")
	}
	var remaining float64
	if remaining, err = f.await(ctx, func() bool { return f.isInForce(ctx) }, changeTimeout); err != nil {
		result.Broken = append(result.Broken, "configuration not in force everywhere")
	}
	result.ForceSeconds = result.WithdrawalSeconds + remaining
	if err = sleepUntil(platformDownAt); err != nil {
		return err
	}
	f.logProgress("%v: the platform is taken away", platformDownAt)
	if err = f.post(ctx, f.platform.address, "/control/mode", string(fake.ModeDown)); err != nil {
		return err
	}
	return f.freezeVM(f.vms[frozenVM], sleepUntil)
}

// freezeVM suspends a VM for longer than its leases and grants live. It wakes
// with an old view and with requests that it had accepted.
func (f *fleet) freezeVM(v *vm, sleepUntil func(time.Duration) error) (err error) {
	if err = sleepUntil(freezeAt); err != nil {
		return err
	}
	f.logProgress("%v: VM %s is frozen", freezeAt, v.id)
	if err = v.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err = sleepUntil(resumeAt); err != nil {
		return err
	}
	f.logProgress("%v: VM %s wakes", resumeAt, v.id)
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
