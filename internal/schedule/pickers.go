package schedule

// CachedOrRandom picks the lowest score among the servers that have cached a prefix of the prompt and a few random ones.
// If all of these are rejected, it picks the lowest score of all servers.
type CachedOrRandom struct{ Choices int }

// Pick implements Picker.
func (p CachedOrRandom) Pick(c *Candidates, req *Request, random Random) (int, Reason) {
	best := selection{index: -1}
	for i := range req.Cached {
		if at := c.position(req.Cached[i].ServerID, req); at >= 0 {
			best.update(c, at, req)
		}
	}
	for range p.Choices {
		best.update(c, random.IntN(c.Len()), req)
	}
	if best.index >= 0 {
		return best.index, ReasonNone
	}
	return pickLowest(c, req, random)
}

// LowestScore picks the lowest score of all servers, starting at a random one so that equal scores are spread.
type LowestScore struct{}

// Pick implements Picker.
func (LowestScore) Pick(c *Candidates, req *Request, random Random) (int, Reason) {
	return pickLowest(c, req, random)
}

// RoundRobin picks the servers in turn, by the request's Sequence.
type RoundRobin struct{}

// Pick implements Picker.
func (RoundRobin) Pick(c *Candidates, req *Request, _ Random) (int, Reason) {
	reason := ReasonNone
	start := int(req.Sequence % uint64(c.Len()))
	for step := range c.Len() {
		i := (start + step) % c.Len()
		rejected := c.Reject(i, req)
		if rejected == ReasonNone {
			return i, ReasonNone
		}
		reason = max(reason, rejected)
	}
	return -1, reason
}

// selection is the best candidate so far.
type selection struct {
	index  int
	score  float64
	reason Reason
}

// update selects the candidate if no filter rejects it and its score is lower than that of the current selection.
func (s *selection) update(c *Candidates, i int, req *Request) {
	if i == s.index {
		return
	}
	if reason := c.Reject(i, req); reason != ReasonNone {
		s.reason = max(s.reason, reason)
		return
	}
	score := c.Score(i, req)
	if s.index < 0 || score < s.score {
		s.index = i
		s.score = score
	}
}

// pickLowest returns the candidate with the lowest score. The scan starts at a random one so that equal scores are spread.
func pickLowest(c *Candidates, req *Request, random Random) (int, Reason) {
	best := selection{index: -1}
	start := random.IntN(c.Len())
	for step := range c.Len() {
		best.update(c, (start+step)%c.Len(), req)
	}
	if best.index < 0 {
		return -1, best.reason
	}
	return best.index, ReasonNone
}

// position returns the position of the server among the candidates, or -1 if the server is unknown or runs another service.
func (c *Candidates) position(id string, req *Request) int {
	index, ok := c.snapshot.byID[id]
	if !ok || c.snapshot.servers[index].Service != req.Service {
		return -1
	}
	return c.snapshot.positions[index]
}
