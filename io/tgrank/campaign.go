package tgrank

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	joinInterval         = 300 * time.Millisecond
	electionTimeout      = 800 * time.Millisecond // without a beacon, before a daemon takes part in the election
	electionJitter       = 400 * time.Millisecond // by which the daemons differ in that
	electionTimeoutFast  = 350 * time.Millisecond // instead of candidateAfter while a change is under way, whose pass may be held
	electionPollInterval = 100 * time.Millisecond // between looks at how long the leader is silent
)

// campaign takes part in the election while this daemon leads or hears of no leader.
func (l *Leader) campaign(ctx context.Context, a *Agent) {
	// The member may still stand in the group from before a restart, with the token of that process. Only after it has
	// left is a new token sure to be higher.
	for ctx.Err() == nil {
		err := l.Election.Leave(l.VM)
		if err == nil {
			break
		}
		l.Log.Dependency("election", "leaveFailed", err)
		pause(ctx, joinInterval)
	}
	last, failing := int64(0), false
	spread := float64(xxhash.Sum64String(l.VM)%uint64(electionJitter)) / float64(electionJitter)
	for ctx.Err() == nil {
		if l.Token() == 0 && a.leaderSilence() < electionDelay(a.lastBeacon().FastReports, spread) {
			pause(ctx, electionPollInterval)
			continue
		}
		s, err := l.Election.Join(l.VM, last)
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
			failing, last = false, s.Token
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

// electionDelay returns how long a daemon hears of no leader before it takes part in the election; spread, from 0 to 1,
// is its place among the daemons.
func electionDelay(changing bool, spread float64) time.Duration {
	if changing {
		return electionTimeoutFast + time.Duration(spread*float64(electionJitter/2))
	}
	return electionTimeout + time.Duration(spread*float64(electionJitter))
}

// applyElectionStatus takes the standing that the store reported. A term keeps its token, and it ends only when another daemon leads
// with a higher one: the store may name a member that has given up, and then nobody would lead.
func (l *Leader) applyElectionStatus(s ElectionStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.IsLeader && l.token == 0 && s.Token > l.highestToken {
		l.token, l.highestToken = s.Token, s.Token
	}
}

// stepDown ends the own term because a rank has seen a higher token.
func (l *Leader) stepDown(term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == term {
		l.token = 0
	}
}
