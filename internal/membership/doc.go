// Package membership implements a gossip protocol for membership and failure detection in the style of SWIM. It tells
// the entries of a fleet which entries and backend servers are alive, the capacity and load of the backend servers, and
// which entry owns which journal. The number of probes per node does not grow with the fleet.
//
// The state of each entry is a set of facts, and only the entry itself writes them. The facts are kept in two versioned
// streams: the global stream is sent to all entries, the regional stream only to entries of the same region. In every
// round, an entry probes a few others, and the answers carry the facts that the prober lacks. If a probe is not answered,
// relays are asked to ping the target. A target that remains silent is suspected, and is declared dead once enough entries
// assert its death. A suspected entry refutes the suspicion by raising its refutation counter, which is the incarnation
// number of SWIM. Each backend server is watched by a few entries, chosen by rendezvous hashing. In a small fleet every
// entry probes every other one and watches every backend server.
//
// Each backend server has a sidecar, the process that answers the watchers. Names in this package that contain sidecar
// refer to the backend server.
//
// A Node does no I/O and reads no clock. The caller passes the current time and sends the packets that the Node returns.
package membership
