package daemon

import (
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
)

// handleEffect implements control.EffectHandler. It runs on the control
// goroutine and doesn't block.
func (d *Daemon) handleEffect(e fleet.Effect) {
	switch e := e.(type) {
	case fleet.Load:
		go d.loadDocument(e)
	case fleet.MembersChanged:
		d.publisher.setMembers(e.Members)
	case fleet.TargetWeightsChanged:
		d.publisher.setTargets(e.Service, e.Targets)
	case fleet.TrustChanged:
		d.publish(func(s *entry.Snapshot) { s.TrustedUntil = d.toBootTime(e.Until) })
	case fleet.Superseded:
		d.logger.Error("superseded by a later run at this address",
			"Address", e.By.Address,
			"Incarnation", e.By.Incarnation)
		d.fail(errSuperseded)
	case fleet.LeaveCompleted:
		d.handedOverOnce.Do(func() { close(d.handedOver) })
	}
}

// loadDocument decodes a document on a goroutine of its own, publishes it to
// request handling and tells the control loop whether it was accepted.
func (d *Daemon) loadDocument(e fleet.Load) {
	doc, err := decodeDocument(e)
	if err != nil {
		d.loop.Post(fleet.Rejected{
			Number: e.Head.Number,
			Reason: err.Error(),
		})
		return
	}
	index := document.NewIndex(doc)
	d.publisher.setIndex(index)
	d.loop.Post(fleet.Loaded{
		Number: doc.Revision,
		Limits: documentLimits{
			index: index,
		},
		Services:   doc.Services,
		Floor:      doc.Policy.Floor,
		StrikeTerm: doc.Policy.StrikeTerm,
	})
	d.logger.Info("document in force",
		"Revision", doc.Revision)
}

// decodeDocument assembles a document from its head and parts, and validates
// it.
func decodeDocument(e fleet.Load) (document.Document, error) {
	parts := map[document.Section][][]byte{}
	for _, s := range e.Head.Sections {
		parts[document.Section(s.Section)] = partContents(s.Parts, e.Parts)
	}
	doc, err := document.Assemble(e.Head.Number, parts)
	if err != nil {
		return doc, wrap("document", err)
	}
	if problems := document.Validate(doc); len(problems) > 0 {
		return doc, &Error{
			Component: "document",
			cause:     problemError(problems[0].String()),
		}
	}
	return doc, nil
}

// problemError is a problem found by document.Validate, as an error.
type problemError string

// Error implements error.
func (e problemError) Error() string { return string(e) }

// partContents returns the parts with the given digests, in that order.
func partContents(digests []revision.Digest, parts map[revision.Digest][]byte) [][]byte {
	list := make([][]byte, 0, len(digests))
	for _, d := range digests {
		list = append(list, parts[d])
	}
	return list
}

// documentLimits implements quota.Limits on the rates of a document.
type documentLimits struct {
	index *document.Index
}

// Limit implements quota.Limits.
func (l documentLimits) Limit(organisation string) (quota.Limit, bool) {
	r, ok := l.index.Rate(organisation)
	return quota.Limit{
		PerSecond: r.PerSecond,
		Burst:     r.Burst,
	}, ok
}
