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

// peer is what this entry knows of another entry.
type peer struct {
	member ports.Member
	state  api.PeerExchange
	seenAt time.Time // Last exchange in either direction; zero before the first.
}

// peers keeps the view of the other entries by heartbeats.
type peers struct {
	client    *transport.Client
	log       *slog.Logger
	deadAfter time.Duration
	self      func() api.PeerExchange
	learned   func(state *api.PeerExchange, asked time.Time) // asked is zero for what a peer sent by itself.
	group     *group                                         // Decides beyond a few entries; see group.bounded.
	ticking   sync.Once

	mu    sync.RWMutex // Guards peers.
	peers map[string]*peer
}

func newPeers(client *transport.Client, log *slog.Logger, deadAfter time.Duration) *peers {
	return &peers{client: client, log: log, deadAfter: deadAfter, group: newGroup(), peers: make(map[string]*peer)}
}

// update takes the entry members of the list.
func (p *peers) update(members []ports.Member, selfID string) {
	if err := p.group.update(members, p.self()); err != nil {
		p.log.Error("the membership protocol does not run", "error", err)
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

// beat sends one heartbeat to every peer, side by side. The returned group ends with the last answer. Among many peers
// it sends what the membership protocol has due instead.
func (p *peers) beat(ctx context.Context, timeout time.Duration) *sync.WaitGroup {
	var group sync.WaitGroup
	if p.group.bounded() {
		p.ticking.Do(func() { go p.tick(ctx, timeout) })
		p.send(ctx, &group, p.group.tick(p.self()), timeout)
	}
	if !p.group.direct() {
		return &group
	}
	for _, address := range p.addresses() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			request := p.self()
			asked := time.Now()
			var response api.PeerExchange
			if err := p.client.JSON(ctx, "POST", address, api.PathPeers, &request, &response); err != nil {
				p.log.Debug("peer heartbeat failed", "address", address, "error", err)
				return
			}
			p.take(&response, asked)
		})
	}
	return &group
}

// groupTick is the time between two looks at what the membership protocol has due.
const groupTick = 100 * time.Millisecond

// tick runs the membership protocol until ctx ends.
func (p *peers) tick(ctx context.Context, timeout time.Duration) {
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.group.bounded() {
			continue
		}
		var group sync.WaitGroup
		p.send(ctx, &group, p.group.tick(p.self()), timeout)
		if news := p.group.news(); news != nil {
			p.learned(news, time.Time{})
		}
	}
}

// send sends packets side by side. The answers carry the peers' own states.
func (p *peers) send(ctx context.Context, group *sync.WaitGroup, packets []membership.Packet, timeout time.Duration) {
	for _, packet := range packets {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			request := api.PeerExchange{Packet: packet.Body}
			asked := time.Now()
			var response api.PeerExchange
			if err := p.client.JSON(ctx, "POST", packet.Address, api.PathPeers, &request, &response); err != nil {
				p.log.Debug("membership packet not sent", "peer", packet.To, "address", packet.Address, "error", err)
				return
			}
			p.take(&response, asked)
		})
	}
}

// receive takes a packet of the membership protocol and sends what answers it.
func (p *peers) receive(packet []byte) {
	answers, err := p.group.handle(packet)
	if err != nil {
		p.log.Debug("membership packet refused", "error", err)
		return
	}
	var group sync.WaitGroup
	p.send(context.Background(), &group, answers, p.deadAfter)
}

// programs returns how many root programs of the organisation live peers own.
func (p *peers) programs(organisation string) int {
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

// take notes a peer's state, sent, or answered to a question that was asked at the time.
func (p *peers) take(state *api.PeerExchange, asked time.Time) {
	if len(state.Packet) > 0 {
		p.receive(state.Packet)
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
	p.learned(state, asked)
}

// alive reports whether the incarnation of the peer was heard of lately. An empty incarnation stands for any.
func (p *peers) alive(id, incarnation string) bool {
	return p.heardLately(id, incarnation) || (p.group.bounded() && p.group.alive(id, incarnation))
}

func (p *peers) heardLately(id, incarnation string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	known := p.peers[id]
	if known == nil || time.Since(known.seenAt) > p.deadAfter {
		return false
	}
	return incarnation == "" || known.state.Incarnation == incarnation
}

// candidates returns the ids of live peers that may own journals.
func (p *peers) candidates() []string {
	if p.group.bounded() {
		return p.group.candidates()
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

// owner returns the address of the live peer that owns the journal under the highest fencing number.
func (p *peers) owner(journal int) (address string, number uint64) {
	if p.group.bounded() {
		if address, number = p.group.owner(journal); address != "" {
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

// hashOf hashes a name.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvous returns the id with the highest hash for the journal.
func rendezvous(journal int, ids []string) string {
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
