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

// Withdrawal schedule.
const (
	// withdrawRounds bounds how often the other instances are asked. Two are
	// needed to know that they hold a withdrawal at the same moment.
	withdrawRounds = 4
	// withdrawPause is the time between two rounds.
	withdrawPause = 200 * time.Millisecond
	// withdrawMaxWait bounds the wait for the staleness bound to pass.
	withdrawMaxWait = 10 * time.Second
)

// Withdraw implements operatorapi.Backend. The key is invalid here at once; the
// answer says where else.
func (o *operator) Withdraw(ctx context.Context, req operatorapi.WithdrawRequest) (operatorapi.WithdrawResponse, error) {
	withdrawal, err := keys.NewWithdrawal(req.KeyID)
	if err != nil {
		return operatorapi.WithdrawResponse{}, problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.RanNo, "%v", err)
	}
	o.entry.log.Info("key withdrawn", "key_id", withdrawal.KeyID, "change", withdrawal.ChangeID)
	// The other instances must not wait for a platform that is slow or down.
	recorded := make(chan error, 1)
	go func() {
		_, err := o.entry.keys.Withdraw(context.WithoutCancel(ctx), withdrawal)
		recorded <- err
	}()
	tally := o.collect(ctx, withdrawal, recorded)
	return o.report(ctx, withdrawal, tally), nil
}

// collect announces the withdrawal until it is in force or no further
// confirmation can be expected.
func (o *operator) collect(ctx context.Context, w keys.Withdrawal, recorded chan error) *keys.WithdrawalTracker {
	tally := keys.NewWithdrawalTracker(o.listedNames())
	self := o.entry.members.self
	for range withdrawRounds {
		asked := time.Now()
		confirmed := o.entry.peers.Announce(ctx, &peerpb.Announcement{
			Sender:      o.entry.members.sender(),
			Withdrawals: withdrawalsToProto([]keys.Withdrawal{w}),
		})
		received := time.Now()
		for _, c := range append(confirmed, &peerpb.Confirmation{Name: self.Name, BootId: self.BootID}) {
			tally.RecordConfirmation(c.GetName(), c.GetBootId(), asked, received)
		}
		select {
		case err := <-recorded:
			o.noteRecorded(tally, w, err)
		default:
		}
		report := tally.Report(time.Now(), o.widestBound())
		if report.InForce || report.RemainingWait > 0 || sleep.For(ctx, withdrawPause) != nil {
			break
		}
	}
	return tally
}

func (o *operator) noteRecorded(tally *keys.WithdrawalTracker, w keys.Withdrawal, err error) {
	if err == nil {
		tally.RecordPlatform(time.Now())
		return
	}
	o.entry.log.Warn("withdrawal is not recorded by the platform yet", "key_id", w.KeyID, "error", err)
}

// report waits for the staleness bound if that is all that is missing.
func (o *operator) report(ctx context.Context, w keys.Withdrawal, tally *keys.WithdrawalTracker) operatorapi.WithdrawResponse {
	report := tally.Report(time.Now(), o.widestBound())
	if !report.InForce && report.RemainingWait > 0 && report.RemainingWait <= withdrawMaxWait && sleep.For(ctx, report.RemainingWait) == nil {
		report = tally.Report(time.Now(), o.widestBound())
	}
	resp := operatorapi.WithdrawResponse{KeyID: w.KeyID, Recorded: report.StoredOnPlatform, InForce: report.InForce}
	resp.Reach.NotReached = report.NotReached
	missing := make(map[string]bool, len(report.NotReached))
	for _, name := range report.NotReached {
		missing[name] = true
	}
	for _, name := range o.listedNames() {
		if !missing[name] {
			resp.Reach.InForce = append(resp.Reach.InForce, name)
		}
	}
	return resp
}

func (o *operator) listedNames() []string {
	var names []string
	for _, in := range o.entry.members.listed() {
		names = append(names, in.Name)
	}
	return names
}

// widestBound returns the largest staleness bound of any route.
func (o *operator) widestBound() time.Duration {
	bound := config.DefaultKeyStaleness
	index := o.entry.config.index()
	if index == nil {
		return bound
	}
	for _, route := range index.Document().Routes {
		bound = max(bound, route.StalenessBound())
	}
	return bound
}

// applyLabels changes the labels of one object in a document.
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
