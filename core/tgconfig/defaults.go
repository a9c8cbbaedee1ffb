package tgconfig

import "time"

// DefaultSettings returns the settings that apply unless the configuration sets others.
func DefaultSettings() Settings {
	return Settings{
		ClaimTimeout:     2 * time.Second,
		ColdConcurrency:  2,
		DrainTimeout:     60 * time.Second,
		MaxQueued:        64,
		MaxRequestBytes:  4 << 20,
		RequestTimeout:   60 * time.Second,
		RetryBudgetRatio: 0.1,
		SilenceTimeout:   1200 * time.Millisecond,
		SnapshotInterval: 6 * time.Hour,
		WarmConcurrency:  16,
	}
}
