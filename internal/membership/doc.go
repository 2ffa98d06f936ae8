// Package membership tells the entries of a fleet which entries and backend servers are alive, what they can take, and
// who owns which journal, at a cost per node that does not grow with the fleet.
//
// Each entry is the only writer of its own facts, kept in two versioned streams: one read by its region, one by all.
// In every round an entry probes a few others; the answers carry the facts that the prober lacks. A probe that fails is
// repeated through relays; a target that stays silent is suspected, and dead once enough entries assert it. A suspected
// entry refutes by raising its incarnation number. Each backend server is watched by a few entries chosen by rendezvous
// hashing. While the fleet is small every entry probes every other and watches every backend server.
//
// A Node does no I/O and reads no clock: the caller passes the time and sends the packets that it returns.
package membership
