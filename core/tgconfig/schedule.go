package tgconfig

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// maxSnapshotLag is the number of offsets after which a snapshot is due regardless of its age. It bounds the records that
// a new daemon has to fold after it has loaded the snapshot.
const maxSnapshotLag = HistoryWindow / 4

// StoredSnapshot describes the newest complete snapshot in the log, as far as the log was read.
type StoredSnapshot struct {
	WrittenAt time.Time // by the clock of its writer; zero if there is none
	Covered   uint64    // State.Applied of its writer
}

// LatestSnapshot returns the description of the newest complete snapshot in the log.
func (s *State) LatestSnapshot() StoredSnapshot { return s.latestSnapshot }

// addSnapshotPart records that a part of a snapshot was read; the configuration does not change.
func (s *State) addSnapshotPart(r tgrecord.Record) {
	part, err := tgrecord.Decode[SnapshotPart](r)
	if err != nil {
		return
	}
	if s.parts[part.Snapshot] == nil {
		s.parts[part.Snapshot] = map[int]bool{}
	}
	s.parts[part.Snapshot][part.Index] = true // a set, since an append may be repeated
	if len(s.parts[part.Snapshot]) < part.Total {
		return
	}
	if part.Covered >= s.latestSnapshot.Covered {
		s.latestSnapshot = StoredSnapshot{WrittenAt: timeOfID(r.ID), Covered: part.Covered}
	}
	clear(s.parts) // the other, incomplete snapshots were abandoned by their writers or overtaken by this one
}

// timeOfID returns the time in a record ID, or zero if the ID is not a UUIDv7.
func timeOfID(id uuid.UUID) time.Time {
	if id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// SnapshotSchedule decides when a daemon writes a snapshot. Each daemon adds a jitter, so that usually the first one to
// be due writes the snapshot for all; two snapshots at once are harmless.
type SnapshotSchedule struct {
	jitter  float64 // fraction of the interval and of maxSnapshotLag that is added to them; 0 to 1
	started time.Time
}

// NewSnapshotSchedule returns the schedule of a daemon that starts now.
func NewSnapshotSchedule(now time.Time) SnapshotSchedule {
	return SnapshotSchedule{jitter: rand.Float64(), started: now} //nolint:gosec // jitter is no secret
}

// Due reports whether a snapshot of s should be written now.
func (p SnapshotSchedule) Due(s *State, now time.Time) bool {
	if s.applied == 0 || s.applied == s.latestSnapshot.Covered {
		return false
	}
	if lag := s.applied - s.latestSnapshot.Covered; float64(lag) > maxSnapshotLag*(1+p.jitter) {
		return true
	}
	last := s.latestSnapshot.WrittenAt
	if last.IsZero() {
		last = p.started
	}
	interval := s.cfg.Settings.SnapshotInterval
	return now.Sub(last) > interval+time.Duration(p.jitter*float64(interval))
}
