package identity

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// retryInterval is the time before a failed heartbeat is tried again. Three
// tries fit into the shortest renewal interval.
const retryInterval = 1500 * time.Millisecond

// Run registers and renews until ctx ends, Deregister is called or a newer
// registration exists. It returns *SupersededError in the last case and nil
// otherwise. A platform that is down does not end it.
func (h *RegistrationHolder) Run(ctx context.Context, logger *slog.Logger) error {
	for {
		err := h.Renew(ctx)
		var superseded *SupersededError
		if errors.As(err, &superseded) {
			return superseded
		}
		var left *NotRegisteredError
		if errors.As(err, &left) {
			return nil
		}
		delay := jittered(h.config.FleetSize().RenewInterval(), h.jitter())
		if err != nil && ctx.Err() == nil {
			logger.Warn("registration not renewed", "instance", h.config.Name, "error", err)
			delay = jittered(retryInterval, h.jitter())
		}
		if sleep.For(ctx, delay) != nil {
			return nil
		}
	}
}

// jittered returns between 85% and 100% of d, so that instances that started
// together do not call the platform together. unit is in [0, 1).
func jittered(d time.Duration, unit float64) time.Duration {
	return d - time.Duration(0.15*unit*float64(d))
}

// scanPage is the number of rows of one Scan call. Hosted table services return
// 1,000 at most; two pages carry the target fleet.
const scanPage = 250

// ScanRegistrations reads all registrations. Rows that cannot be parsed are left out. It
// returns the errors of the table and costs one read per row.
func ScanRegistrations(ctx context.Context, table tablestore.Table) ([]Registration, error) {
	var all []Registration
	after := ""
	for {
		rows, err := scanRows(ctx, table, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if r, err := DecodeRegistration(row); err == nil {
				all = append(all, r)
			}
		}
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func scanRows(ctx context.Context, table tablestore.Table, after string) ([]tablestore.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return table.Scan(call, RegistrationKeyPrefix, scanPage, after)
}

// PruneRegistrations removes the registration rows that have expired and returns their
// number. It costs one read per row and one row write per removed row. A removal
// whose row has changed is left out. It returns the errors of the table.
func PruneRegistrations(ctx context.Context, table tablestore.Table, changeID string, wall time.Time) (int, error) {
	after := ""
	removed := 0
	for {
		rows, err := scanRows(ctx, table, after)
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
		if len(rows) < scanPage {
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
