package identity

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// renewRetryInterval is the time before a failed renewal is tried again. Three attempts
// fit into the shortest renewal interval.
const renewRetryInterval = 1500 * time.Millisecond

// Run registers the process and renews the registration until ctx is done, Deregister is
// called or a newer registration exists. It returns *SupersededError in the last case
// and nil otherwise. It continues while the platform is down.
func (h *RegistrationHolder) Run(ctx context.Context, logger *slog.Logger) error {
	for {
		err := h.Renew(ctx)
		var superseded *SupersededError
		if errors.As(err, &superseded) {
			return superseded
		}
		var deregistered *NotRegisteredError
		if errors.As(err, &deregistered) {
			return nil
		}
		delay := jittered(h.config.FleetSize().RenewInterval(), h.jitterFraction())
		if err != nil && ctx.Err() == nil {
			logger.Warn("could not renew registration", "instance", h.config.Name, "error", err)
			delay = jittered(renewRetryInterval, h.jitterFraction())
		}
		if sleep.For(ctx, delay) != nil {
			return nil
		}
	}
}

// jittered returns between 85% and 100% of d, so that instances that started at the same
// time do not call the platform at the same time. fraction is in [0, 1).
func jittered(d time.Duration, fraction float64) time.Duration {
	return d - time.Duration(0.15*fraction*float64(d))
}

// scanPageRows is the number of rows per Scan call of the table. Hosted table services
// return at most 1,000. Two pages are enough for the target fleet.
const scanPageRows = 250

// ScanRegistrations reads all registrations. It skips rows that cannot be decoded. It returns the
// errors of the table. Each row costs one read.
func ScanRegistrations(ctx context.Context, table tablestore.Table) ([]Registration, error) {
	var all []Registration
	after := ""
	for {
		rows, err := readScanPage(ctx, table, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if r, err := DecodeRegistration(row); err == nil {
				all = append(all, r)
			}
		}
		if len(rows) < scanPageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func readScanPage(ctx context.Context, table tablestore.Table, after string) ([]tablestore.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return table.Scan(call, RegistrationKeyPrefix, scanPageRows, after)
}

// PruneRegistrations removes the registration rows that are old enough, see PruneAfter, and returns
// their number. It skips rows that change in between or cannot be decoded. It returns
// the errors of the table. Each row costs one read, and each removed row one row write.
func PruneRegistrations(ctx context.Context, table tablestore.Table, changeID string, wall time.Time) (int, error) {
	after := ""
	removed := 0
	for {
		rows, err := readScanPage(ctx, table, after)
		if err != nil {
			return removed, err
		}
		for _, row := range rows {
			ok, err := pruneRow(ctx, table, changeID, row, wall)
			if err != nil {
				return removed, err
			}
			if ok {
				removed++
			}
		}
		if len(rows) < scanPageRows {
			return removed, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func pruneRow(ctx context.Context, table tablestore.Table, changeID string, row tablestore.Row, wall time.Time) (bool, error) {
	r, err := DecodeRegistration(row)
	if err != nil || !r.Prunable(wall) {
		return false, nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	remove := tablestore.Write{Key: row.Key, IfVersion: row.Version, Delete: true}
	_, err = table.Transact(call, changeID, []tablestore.Write{remove})
	if tablestore.IsConflict(err) {
		return false, nil
	}
	return err == nil, err
}
