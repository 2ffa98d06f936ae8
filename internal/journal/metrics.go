package journal

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of all journals of the process.
var (
	recordsCommitted = metrics.NewCounter("redwinggauge_journal_records_committed_total")
	recordsRefused   = metrics.NewCounter("redwinggauge_journal_records_refused_total")
	commitSeconds    = metrics.NewHistogram("redwinggauge_journal_commit_seconds") // From append to acknowledgement.
	writeAttempts    = metrics.NewCounter("redwinggauge_journal_write_attempts_total")
	writesUnanswered = metrics.NewCounter("redwinggauge_journal_writes_unanswered_total")
	chunksWritten    = metrics.NewCounter("redwinggauge_journal_chunks_written_total")
	chunksDeleted    = metrics.NewCounter("redwinggauge_journal_chunks_deleted_total")
	snapshotsFailed  = metrics.NewCounter("redwinggauge_journal_snapshots_failed_total")
	ownershipsLost   = metrics.NewCounter("redwinggauge_journal_ownerships_lost_total")
	recoverySeconds  = metrics.NewHistogram("redwinggauge_journal_recovery_seconds")
	recoverySlots    = metrics.NewCounter("redwinggauge_journal_recovery_slots_total")
)

// slotsCommitted counts committed slots by kind.
var slotsCommitted = map[slotKind]*metrics.Counter{
	kindOpen:     newSlotCounter(kindOpen),
	kindBatch:    newSlotCounter(kindBatch),
	kindSnapshot: newSlotCounter(kindSnapshot),
	kindClosed:   newSlotCounter(kindClosed),
}

func newSlotCounter(kind slotKind) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf("redwinggauge_journal_slots_committed_total{kind=%q}", kind))
}
