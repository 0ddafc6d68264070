package daemon

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/peer/peerhttp"
	"github.com/flamingomount/flamingomount/pkg/stage/isolate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// isolationSender asks other daemons about contents that may crash endpoints.
type isolationSender struct {
	live *liveControl
}

var _ isolate.Sender = (*isolationSender)(nil)

// Call sends one question and returns its answer.
func (s *isolationSender) Call(ctx context.Context, to types.VMID, question quarantine.OwnerRequest) (quarantine.Answer, error) {
	reply, err := s.live.client.Send(ctx, &peer.Message{From: s.live.self.Incarnation, To: to, Isolation: &question})
	if err != nil {
		return quarantine.Answer{}, err
	}
	if reply.IsolationAnswer == nil {
		return quarantine.Answer{}, eris.Errorf("%s gave no answer about a content", to)
	}
	return *reply.IsolationAnswer, nil
}

// isolationAnswerer answers questions about contents beside the control state
// and passes every other message on to it.
type isolationAnswerer struct {
	live *liveControl
	next peerhttp.Answerer
}

var _ peerhttp.Answerer = (*isolationAnswerer)(nil)

// Answer returns the answer to a message; nil when there is none.
func (a *isolationAnswerer) Answer(ctx context.Context, msg *peer.Message) *peer.Message {
	if msg.Isolation == nil {
		return a.next.Answer(ctx, msg)
	}
	answer := a.live.tracker.Handle(*msg.Isolation, a.live.now())
	return &peer.Message{From: a.live.self.Incarnation, To: msg.From.VM, IsolationAnswer: &answer}
}
