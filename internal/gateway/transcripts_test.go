package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/transcript"
)

// Guards against parts that stay in the key-value service, and against those that are removed while a take-up may need them.
func TestPartsOfTranscriptsExpire(t *testing.T) {
	is := is.New(t)
	transcripts := newTranscripts(t.Context(), nil, nil)
	for _, key := range []string{transcriptPrefix + "a", turnPrefix + "b", transcriptPrefix + "c"} {
		transcripts.learn(key)
	}
	is.Equal(len(transcripts.expire(time.Now().Add(transcript.Retention))), 0)
	later := time.Now().Add(retentionFactor*transcript.Retention + time.Second)
	is.Equal(transcripts.expire(later), []string{transcriptPrefix + "a", transcriptPrefix + "c"})
	is.Equal(len(transcripts.expire(later)), 0)
}
