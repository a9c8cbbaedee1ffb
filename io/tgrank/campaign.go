package tgrank

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	joinInterval         = 300 * time.Millisecond // between calls to the election
	electionTimeout      = 800 * time.Millisecond // a daemon takes part in the election after this time without a beacon
	electionJitter       = 400 * time.Millisecond // range over which the timeouts of the daemons are spread
	electionTimeoutFast  = 350 * time.Millisecond // instead of electionTimeout during a change, which may hold a pass
	electionPollInterval = 100 * time.Millisecond // between checks of the leader's silence
)

// campaign takes part in the election while this daemon leads or receives no beacon of a leader.
func (l *Leader) campaign(ctx context.Context, a *Agent) {
	// The election may still list this member from before a restart, with the token of the former process. Only after
	// the member has left is a new token certain to be higher.
	l.leaveElection(ctx)
	lastToken, failing := int64(0), false
	jitter := float64(xxhash.Sum64String(l.VM)%uint64(electionJitter)) / float64(electionJitter)
	for ctx.Err() == nil {
		if l.takeLeave() {
			l.leaveElection(ctx)
		}
		if l.Token() == 0 && a.leaderSilence() < electionDelay(a.lastBeacon().FastReports, jitter) {
			pause(ctx, electionPollInterval)
			continue
		}
		s, err := l.Election.Join(l.VM, lastToken)
		switch {
		case err != nil:
			if !failing {
				l.Log.Dependency("election", "lost", err)
			}
			failing = true
		default:
			if failing {
				l.Log.Dependency("election", "answers", nil)
			}
			failing, lastToken = false, s.Token
			l.applyElectionStatus(s)
		}
		pause(ctx, joinInterval)
	}
	if l.Token() == 0 {
		return
	}
	if err := l.Election.Leave(l.VM); err != nil {
		l.Log.Dependency("election", "leaveFailed", err)
	}
}

// leaveElection leaves the election, with a retry until the store has answered.
func (l *Leader) leaveElection(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.Election.Leave(l.VM)
		if err == nil {
			return
		}
		l.Log.Dependency("election", "leaveFailed", err)
		pause(ctx, joinInterval)
	}
}

// electionDelay returns for how long a daemon receives no beacon before it takes part in the election. jitter, from 0
// to 1, is the daemon's position in the spread of the timeouts.
func electionDelay(changing bool, jitter float64) time.Duration {
	if changing {
		return electionTimeoutFast + time.Duration(jitter*float64(electionJitter/2))
	}
	return electionTimeout + time.Duration(jitter*float64(electionJitter))
}

// applyElectionStatus begins a term if the store reports that this daemon leads. A term keeps its token, and it ends
// only when another daemon leads with a higher one: the store may name a member that has given up, and then nobody
// would lead.
func (l *Leader) applyElectionStatus(s ElectionStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.IsLeader && l.token == 0 && s.Token > l.highestToken {
		l.token, l.highestToken = s.Token, s.Token
	}
}

// stepDown ends a term of this daemon because a rank has seen a higher token.
func (l *Leader) stepDown(term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == term {
		l.token = 0
	}
}
