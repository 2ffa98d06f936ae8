package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/membership"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// peer is this entry's view of another entry.
type peer struct {
	member ports.Member
	state  api.PeerExchange
	seenAt time.Time // Last exchange in either direction; zero before the first.
}

// peers tracks the state of the other entries by heartbeats.
type peers struct {
	client    *transport.Client
	log       *slog.Logger
	deadAfter time.Duration
	// localState returns this entry's own state.
	localState func() api.PeerExchange
	// onState is called with each state received from a peer or learned through the membership protocol. requestedAt is when
	// it was requested, or zero if it was not the answer to a request.
	onState func(state *api.PeerExchange, requestedAt time.Time)
	// protocol decides liveness and owners when there are many entries; see protocol.active.
	protocol      *protocol
	startProtocol sync.Once // Starts runProtocol.

	mu    sync.RWMutex // Guards peers.
	peers map[string]*peer
}

func newPeers(client *transport.Client, log *slog.Logger, deadAfter time.Duration) *peers {
	return &peers{client: client, log: log, deadAfter: deadAfter, protocol: newProtocol(), peers: make(map[string]*peer)}
}

// update applies the entry members of the membership list. A peer that has left the list is kept until it has been silent
// for deadAfter.
func (p *peers) update(members []ports.Member, selfID string) {
	if err := p.protocol.update(members, p.localState()); err != nil {
		p.log.Error("membership protocol cannot be started", "error", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]struct{})
	for _, m := range members {
		if m.Role != ports.RoleEntry || m.ID == selfID {
			continue
		}
		listed[m.ID] = struct{}{}
		if known := p.peers[m.ID]; known != nil {
			known.member = m
			continue
		}
		p.peers[m.ID] = &peer{member: m}
	}
	for id, known := range p.peers {
		_, ok := listed[id]
		if !ok && time.Since(known.seenAt) > p.deadAfter {
			delete(p.peers, id)
		}
	}
}

// sendHeartbeats sends one heartbeat to every peer concurrently. The returned WaitGroup is done when every request has been
// answered or has failed. While the membership protocol is active, it also sends the packets that are due in the protocol.
// While more entries are listed than exchange directly, it sends only those packets.
func (p *peers) sendHeartbeats(ctx context.Context, timeout time.Duration) *sync.WaitGroup {
	var group sync.WaitGroup
	if p.protocol.active() {
		p.startProtocol.Do(func() { go p.runProtocol(ctx, timeout) })
		p.sendPackets(ctx, &group, p.protocol.tick(p.localState()), timeout)
	}
	if !p.protocol.fullMesh() {
		return &group
	}
	for _, address := range p.addresses() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			request := p.localState()
			requestedAt := time.Now()
			var response api.PeerExchange
			if err := p.client.JSON(ctx, "POST", address, api.PathPeers, &request, &response); err != nil {
				p.log.Debug("peer heartbeat failed", "address", address, "error", err)
				return
			}
			p.recordState(&response, requestedAt)
		})
	}
	return &group
}

// protocolInterval is the time between two ticks of the membership protocol.
const protocolInterval = 100 * time.Millisecond

// runProtocol sends the packets that are due in the membership protocol and reports the changes it learns of, until ctx
// ends.
func (p *peers) runProtocol(ctx context.Context, timeout time.Duration) {
	ticker := time.NewTicker(protocolInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.protocol.active() {
			continue
		}
		var group sync.WaitGroup
		p.sendPackets(ctx, &group, p.protocol.tick(p.localState()), timeout)
		if changed := p.protocol.changedState(); changed != nil {
			p.onState(changed, time.Time{})
		}
	}
}

// sendPackets sends packets of the membership protocol concurrently. Each answer carries the peer's own state.
func (p *peers) sendPackets(ctx context.Context, group *sync.WaitGroup, packets []membership.Packet, timeout time.Duration) {
	for _, packet := range packets {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			request := api.PeerExchange{Packet: packet.Body}
			requestedAt := time.Now()
			var response api.PeerExchange
			if err := p.client.JSON(ctx, "POST", packet.Address, api.PathPeers, &request, &response); err != nil {
				p.log.Debug("membership packet not sent", "peer", packet.To, "address", packet.Address, "error", err)
				return
			}
			p.recordState(&response, requestedAt)
		})
	}
}

// handlePacket handles a packet of the membership protocol and sends the packets that answer it. It does not wait for their
// delivery.
func (p *peers) handlePacket(packet []byte) {
	answers, err := p.protocol.handlePacket(packet)
	if err != nil {
		p.log.Debug("membership packet refused", "error", err)
		return
	}
	var group sync.WaitGroup
	p.sendPackets(context.Background(), &group, answers, p.deadAfter)
}

// programCount returns the number of root programs of the organisation that live peers own.
func (p *peers) programCount(organisation string) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, known := range p.peers {
		if time.Since(known.seenAt) <= p.deadAfter {
			n += known.state.Programs[organisation]
		}
	}
	return n
}

// addresses returns the internal addresses of all listed peers.
func (p *peers) addresses() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]string, 0, len(p.peers))
	for _, known := range p.peers {
		out = append(out, known.member.Address)
	}
	return out
}

// ids returns the ids of all listed peers.
func (p *peers) ids() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Collect(maps.Keys(p.peers))
}

// recordState records a state received from a peer. requestedAt is when the request that it answers was sent, or zero if
// the peer sent it unasked. A message that carries a packet of the membership protocol is handled as that packet instead.
func (p *peers) recordState(state *api.PeerExchange, requestedAt time.Time) {
	if len(state.Packet) > 0 {
		p.handlePacket(state.Packet)
		return
	}
	p.mu.Lock()
	known := p.peers[state.Entry]
	if known == nil {
		known = &peer{member: ports.Member{ID: state.Entry, Role: ports.RoleEntry, Address: state.Address}}
		p.peers[state.Entry] = known
	}
	known.state = *state
	known.seenAt = time.Now()
	p.mu.Unlock()
	p.onState(state, requestedAt)
}

// alive reports whether the given incarnation of the peer was heard from within deadAfter, or is alive according to the
// membership protocol if that is active. An empty incarnation matches any.
func (p *peers) alive(id, incarnation string) bool {
	return p.recentlySeen(id, incarnation) || (p.protocol.active() && p.protocol.alive(id, incarnation))
}

// recentlySeen reports whether the given incarnation of the peer was heard from within deadAfter.
func (p *peers) recentlySeen(id, incarnation string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	known := p.peers[id]
	if known == nil || time.Since(known.seenAt) > p.deadAfter {
		return false
	}
	return incarnation == "" || known.state.Incarnation == incarnation
}

// candidates returns the ids of the peers that are alive and not leaving, and thus may own journals.
func (p *peers) candidates() []string {
	if p.protocol.active() {
		return p.protocol.candidates()
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for id, known := range p.peers {
		if time.Since(known.seenAt) <= p.deadAfter && !known.state.Leaving {
			out = append(out, id)
		}
	}
	return out
}

// owner returns the address and the fencing number of the live peer that owns the journal under the highest fencing
// number. The address is "" if none is known.
func (p *peers) owner(journal int) (address string, number uint64) {
	if p.protocol.active() {
		if address, number = p.protocol.owner(journal); address != "" {
			return address, number
		}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, known := range p.peers {
		if time.Since(known.seenAt) > p.deadAfter {
			continue
		}
		for _, f := range known.state.Fences {
			if f.Journal == journal && f.Number > number {
				address, number = known.state.Address, f.Number
			}
		}
	}
	return address, number
}

// hashString returns a 64-bit hash of a string.
func hashString(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousOwner returns the owner of the journal by rendezvous hashing: the id with the highest hash for the journal.
func rendezvousOwner(journal int, ids []string) string {
	best := ""
	var bestHash uint64
	var key [8]byte
	for _, id := range ids {
		for i := range key {
			key[i] = byte(journal >> (8 * i))
		}
		hash := xxhash.Sum64(append(key[:], id...))
		if best == "" || hash > bestHash || (hash == bestHash && id > best) {
			best, bestHash = id, hash
		}
	}
	return best
}
