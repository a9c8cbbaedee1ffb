package tggossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
)

// newMesh returns the peers of each of count daemons of one data centre that all know each other.
func newMesh(count int) []*Peers {
	members := make([]tgframe.Member, count)
	for i := range members {
		members[i] = tgframe.Member{DataCentre: "x", Name: fmt.Sprintf("m%d", i), Status: tgframe.MemberAlive}
	}
	peers := make([]*Peers, count)
	for i, m := range members {
		peers[i] = NewPeers(m)
		others := append(append([]tgframe.Member(nil), members[:i]...), members[i+1:]...)
		peers[i].Update(others)
	}
	return peers
}

// Guards against all daemons reading the log or none, and against a gossip graph that is not connected.
func TestReadersAndNeighbours(t *testing.T) {
	for _, count := range []int{1, 2, 10, 1000} {
		peers := newMesh(count)
		readers := 0
		next := map[string][]tgframe.Member{}
		for _, p := range peers {
			if p.IsReader() {
				readers++
			}
			next[p.self.Name] = p.Neighbours()
			assert.Assert(t, len(p.Neighbours()) == min(neighbourRings, count-1))
		}
		assert.Equal(t, readers, min(ReadersPerDataCentre, count))
		seen, queue := map[string]bool{"m0": true}, []string{"m0"}
		for ; len(queue) > 0; queue = queue[1:] {
			for _, m := range next[queue[0]] {
				if !seen[m.Name] {
					seen[m.Name] = true
					queue = append(queue, m.Name)
				}
			}
		}
		assert.Equal(t, len(seen), count, "not every daemon can be reached over neighbours")
	}
}
