// Package operator implements the operators' access to the configuration
// document in the store: it reads sections, replaces one or more of them, lists
// earlier revisions, and fetches the status of instances.
//
// The document consists of one head, which references the parts of all
// sections by digest. An edit first writes the new parts, which no reader sees
// yet, and then replaces the head by compare-and-swap. Three things can
// interfere:
//
//   - Another operator replaces the head first. If only other sections changed,
//     the edit is rebased onto the new head, the whole document is validated
//     again, and the swap is retried. If the same section changed, the edit
//     fails with a LostRace error that names the winning revision.
//   - The answer to the swap is lost. The head is read again: the nonce in the
//     head or in the history tells whether the edit was applied. As long as the
//     old head is in place, the same swap is retried, which can't take effect
//     twice.
//   - The store becomes unreachable. Before the swap, nothing has changed.
//     After it, the outcome is unknown and the error is ErrUndecided.
//
// A head is copied to the history before it is replaced. Parts that are
// referenced only by heads dropped from the history are removed. A writer
// claims the parts that it needs, so that no other writer removes them in the
// meantime.
//
// # Usage
//
//	e := operator.New(client, operator.Author("rates-team"))
//	snapshot, err := e.Read(ctx)
//	result, err := e.Set(ctx, operator.Change{
//		Sections: []document.Section{document.Rates},
//		Document: edited,
//		Base:     snapshot.Head.Number,
//	})
package operator
