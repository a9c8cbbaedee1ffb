package tgconfig

import (
	"reflect"
	"time"
)

const (
	maxRequestBytes     = 64 << 20    // the entry's HTTP server rejects larger bodies before it reads the settings
	minSnapshotInterval = time.Minute // the log is shared; a snapshot of the size expected in two years takes about 20 appends
)

func (v *validator) checkSettings() {
	s := v.cfg.Settings
	path := Path{tableSettings}
	settings := reflect.ValueOf(s)
	for i := range settings.NumField() {
		key := settings.Type().Field(i).Tag.Get("toml")
		switch value := settings.Field(i).Interface().(type) {
		case time.Duration:
			if value < 0 {
				v.addf(path.child(key), "must not be negative, not %s", value)
			}
		case int:
			v.checkAtLeast(path.child(key), value, 0)
		}
	}
	required := map[string]time.Duration{
		"claimTimeout": s.ClaimTimeout, "requestTimeout": s.RequestTimeout, "silenceTimeout": s.SilenceTimeout,
		"snapshotInterval": s.SnapshotInterval,
	}
	for key, value := range required {
		if value == 0 {
			v.addf(path.child(key), "must be more than 0")
		}
	}
	if s.ColdConcurrency == 0 {
		v.addf(path.child("coldConcurrency"), "must be at least 1, not 0")
	}
	if s.WarmConcurrency < s.ColdConcurrency {
		v.addf(path.child("warmConcurrency"), "must be at least coldConcurrency (%d), not %d", s.ColdConcurrency, s.WarmConcurrency)
	}
	if s.SnapshotInterval < minSnapshotInterval {
		v.addf(path.child("snapshotInterval"), "must be at least %s, not %s", minSnapshotInterval, s.SnapshotInterval)
	}
	if s.MaxRequestBytes > maxRequestBytes {
		v.addf(path.child("maxRequestBytes"), "must be at most %d, not %d", maxRequestBytes, s.MaxRequestBytes)
	}
	if !(s.RetryBudgetRatio >= 0 && s.RetryBudgetRatio <= 1) { // also rejects NaN
		v.addf(path.child("retryBudgetRatio"), "must be between 0 and 1, not %g", s.RetryBudgetRatio)
	}
}
