package limits_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/limits"
)

// Guards against an answer that is kept whatever its server sends, and against a proper one that is refused.
func TestAnswerIsLimitedByTheTokensOfItsRequest(t *testing.T) {
	for _, c := range []struct{ maxTokens, pieces, bytes, keeps int }{
		{maxTokens: 512, pieces: 512, bytes: 128, keeps: 512}, // the longest tokens of usual vocabularies
		{maxTokens: 1, pieces: 20, bytes: 100, keeps: 20},
		{maxTokens: 512, pieces: 5000, bytes: 5, keeps: 1958},
		{maxTokens: 512, pieces: 1, bytes: 1 << 20, keeps: 0},
		{maxTokens: 0, pieces: 17, bytes: 1 << 20, keeps: 15},
		{maxTokens: 10_000_000, pieces: 17, bytes: 1 << 20, keeps: 15},
	} {
		is := is.New(t)
		answer, kept := limits.NewAnswer(c.maxTokens), 0
		var err error
		for range c.pieces {
			if err = answer.Keep(c.bytes); err != nil {
				break
			}
			kept++
		}
		is.Equal(kept, c.keeps)
		var tooLarge *limits.TooLargeError
		is.Equal(errors.As(err, &tooLarge), kept < c.pieces)
	}
}
