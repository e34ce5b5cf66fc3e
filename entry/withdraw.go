package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/keys"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/problem"
)

// Schedule of a key withdrawal.
const (
	// maxWithdrawRounds bounds the rounds of announcements to the other instances. At
	// least two are needed to establish that there was a moment at which all instances
	// had the withdrawal.
	maxWithdrawRounds = 4
	// withdrawRoundInterval is the pause between two rounds.
	withdrawRoundInterval = 200 * time.Millisecond
	// maxStalenessWait is the longest remaining time of the staleness bound for which
	// the operator's request waits.
	maxStalenessWait = 10 * time.Second
)

// Withdraw implements operatorapi.Backend. It invalidates the key at this instance
// immediately and at the others by announcement. The response lists the instances
// where the withdrawal is in force and those that were not reached.
func (o *operatorBackend) Withdraw(ctx context.Context, req operatorapi.WithdrawRequest) (operatorapi.WithdrawResponse, error) {
	withdrawal, err := keys.NewWithdrawal(req.KeyID)
	if err != nil {
		return operatorapi.WithdrawResponse{}, problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "%v", err)
	}
	o.instance.log.Info("key withdrawn", "key_id", withdrawal.KeyID, "change", withdrawal.ChangeID)
	// The platform is written in the background, so that a slow or unavailable platform
	// does not delay the announcement to the other instances.
	recorded := make(chan error, 1)
	go func() {
		_, err := o.instance.keys.Withdraw(context.WithoutCancel(ctx), withdrawal)
		recorded <- err
	}()
	tracker := o.collectConfirmations(ctx, withdrawal, recorded)
	return o.withdrawResponse(ctx, withdrawal, tracker), nil
}

// collectConfirmations announces the withdrawal to all instances in rounds and collects
// their confirmations. It ends when the withdrawal is in force, when only the
// staleness bound remains to pass, or after maxWithdrawRounds.
func (o *operatorBackend) collectConfirmations(ctx context.Context, w keys.Withdrawal, recorded chan error) *keys.WithdrawalTracker {
	tracker := keys.NewWithdrawalTracker(o.listedInstanceNames())
	self := o.instance.membership.self
	for range maxWithdrawRounds {
		sentAt := time.Now()
		confirmations := o.instance.peers.Announce(ctx, &peerpb.Announcement{
			Sender:      o.instance.membership.sender(),
			Withdrawals: withdrawalsToProto([]keys.Withdrawal{w}),
		})
		receivedAt := time.Now()
		for _, c := range append(confirmations, &peerpb.Confirmation{Name: self.Name, BootId: self.BootID}) {
			tracker.RecordConfirmation(c.GetName(), c.GetBootId(), sentAt, receivedAt)
		}
		select {
		case err := <-recorded:
			o.recordPlatformResult(tracker, w, err)
		default:
		}
		report := tracker.Report(time.Now(), o.maxStalenessBound())
		if report.InForce || report.RemainingWait > 0 || sleep.For(ctx, withdrawRoundInterval) != nil {
			break
		}
	}
	return tracker
}

// recordPlatformResult records in tracker whether the platform stored the withdrawal.
func (o *operatorBackend) recordPlatformResult(tracker *keys.WithdrawalTracker, w keys.Withdrawal, err error) {
	if err == nil {
		tracker.RecordPlatform(time.Now())
		return
	}
	o.instance.log.Warn("recording the key withdrawal on the platform failed; it stays pending", "key_id", w.KeyID, "error", err)
}

// withdrawResponse returns the response to the operator. If only the staleness bound
// remains to pass before the withdrawal is in force, it waits for at most
// maxStalenessWait first.
func (o *operatorBackend) withdrawResponse(ctx context.Context, w keys.Withdrawal, tracker *keys.WithdrawalTracker) operatorapi.WithdrawResponse {
	report := tracker.Report(time.Now(), o.maxStalenessBound())
	if !report.InForce && report.RemainingWait > 0 && report.RemainingWait <= maxStalenessWait && sleep.For(ctx, report.RemainingWait) == nil {
		report = tracker.Report(time.Now(), o.maxStalenessBound())
	}
	resp := operatorapi.WithdrawResponse{KeyID: w.KeyID, Recorded: report.StoredOnPlatform, InForce: report.InForce}
	resp.Propagation.NotReached = report.NotReached
	notReached := make(map[string]bool, len(report.NotReached))
	for _, name := range report.NotReached {
		notReached[name] = true
	}
	for _, name := range o.listedInstanceNames() {
		if !notReached[name] {
			resp.Propagation.InForce = append(resp.Propagation.InForce, name)
		}
	}
	return resp
}

func (o *operatorBackend) listedInstanceNames() []string {
	var names []string
	for _, in := range o.instance.membership.listedInstances() {
		names = append(names, in.Name)
	}
	return names
}

// maxStalenessBound returns the largest bound on the age of key data of all routes, but
// at least config.DefaultKeyStaleness.
func (o *operatorBackend) maxStalenessBound() time.Duration {
	bound := config.DefaultKeyStaleness
	index := o.instance.config.currentIndex()
	if index == nil {
		return bound
	}
	for _, route := range index.Document().Routes {
		bound = max(bound, route.EffectiveKeyStaleness())
	}
	return bound
}

// applyLabels sets and removes the requested labels of one configuration object. It
// returns a *problem.Document if the object does not exist and a
// *config.ValidationError if the changed document is invalid.
func applyLabels(doc *config.Document, req operatorapi.LabelRequest) error {
	labels, err := labelsOf(doc, req)
	if err != nil {
		return err
	}
	if *labels == nil {
		*labels = make(map[string]string)
	}
	for name, value := range req.Set {
		(*labels)[name] = value
	}
	for _, name := range req.Unset {
		delete(*labels, name)
	}
	var invalid *config.ValidationError
	if err := config.Validate(doc); errors.As(err, &invalid) {
		return invalid
	}
	return nil
}
