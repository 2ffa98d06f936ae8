package limits

const (
	maxAnswerBytes = 16 << 20 // Of an answer whose request sets no limit on its tokens.
	// bytesPerToken is far more than a token's text takes, with what is kept beside it.
	bytesPerToken  = 256
	minAnswerBytes = 4 << 10
	pieceOverhead  = 64 // Bytes kept for each piece of text beside the text.
)

// Answer limits what a process keeps of the answer of a model. It grows with the tokens that the request allows: a server that sends more
// is in trouble. It is not safe for concurrent use. A nil Answer has no limit.
type Answer struct {
	limit int64
	kept  int64
}

// NewAnswer returns the limit for an answer of at most maxTokens; 0 means that the request does not limit them.
func NewAnswer(maxTokens int) *Answer {
	limit := int64(maxAnswerBytes)
	if maxTokens > 0 {
		limit = min(limit, minAnswerBytes+bytesPerToken*int64(maxTokens))
	}
	return &Answer{limit: limit}
}

// Keep counts a piece of the answer. The error is a *TooLargeError if more than allowed would be kept.
func (a *Answer) Keep(size int) error {
	if a == nil {
		return nil
	}
	if a.kept += int64(size) + pieceOverhead; a.kept > a.limit {
		return &TooLargeError{Part: "what is kept of an answer", Limit: a.limit}
	}
	return nil
}
