package peers

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A roster is the list of members in a Digest. It hardly ever changes, but in a large deployment it would be most of what the
// hub sends. A member names the roster that it has by its hash, and the hub sends another one only if its own differs.

// RosterHash returns a hash of the members. It does not depend on their order.
func RosterHash(members []Member) uint64 {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	h := xxhash.New()
	var fixed [18]byte
	for _, m := range sorted {
		for _, s := range []string{m.ID, m.Incarnation, m.Address, m.FailureDomain} {
			_, _ = h.WriteString(s) // Never fails.
			_, _ = h.Write([]byte{0})
		}
		binary.LittleEndian.PutUint64(fixed[0:], math.Float64bits(m.Capacity))
		binary.LittleEndian.PutUint64(fixed[8:], uint64(m.StartMS))
		fixed[16], fixed[17] = boolByte(m.StoreFresh), boolByte(m.Leaving)
		_, _ = h.Write(fixed[:])
	}
	return h.Sum64()
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// SetRoster puts the members into the digest, unless the reporting member has the same roster.
func (d *Digest) SetRoster(members []Member, r Report) {
	d.Roster = RosterHash(members)
	if r.Roster != d.Roster {
		d.Members = members
	}
}

// Roster is the latest roster that a member has got. The zero value is empty. It is not safe for concurrent use.
type Roster struct {
	hash    uint64
	members []Member
}

// Hash returns the hash to name in the next Report.
func (r *Roster) Hash() uint64 { return r.hash }

// Update returns the members of the digest, which are those of the roster if the digest names it.
func (r *Roster) Update(d Digest) []Member {
	if len(d.Members) == 0 && d.Roster == r.hash {
		return r.members
	}
	r.hash, r.members = d.Roster, d.Members
	return r.members
}
