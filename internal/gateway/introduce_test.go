package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/peers"
)

// TestOwnRegistrationIsNoOtherMember guards against a member without an id, which is counted when shares are computed and becomes
// the hub when the others fail.
func TestOwnRegistrationIsNoOtherMember(t *testing.T) {
	is := is.New(t)
	g := newFollower(t, &stubHub{})
	before := g.group.Len()
	g.introduce(t.Context(), []peers.Member{{ID: "self"}, {ID: "gone", Address: "127.0.0.1:1"}})
	is.Equal(g.group.Len(), before+1)
}
