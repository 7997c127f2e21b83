package reducer

import (
	"encoding/hex"
	"encoding/json"
	"hash/fnv"

	"github.com/samphirewick/samphirewick/internal/converter"
	"github.com/samphirewick/samphirewick/internal/modeler"
)

// MaxDocumentsPerChange is the maximum number of documents in one configuration change.
const MaxDocumentsPerChange = 100

// applyDocuments applies all documents of a change, or none if one is refused.
func (t *transition) applyDocuments() *modeler.RefusalError {
	documents := t.command.Documents
	if refusal := checkChange(t.command); refusal != nil {
		return refusal
	}
	digest := changeDigest(documents)
	if recorded, ok := t.ConfigurationChanges.Get(t.command.ChangeID); ok {
		return t.repeatResult(recorded, digest)
	}
	for _, d := range documents {
		if refusal := t.applyDocument(d); refusal != nil {
			current, _ := t.Documents.Get(d.Key())
			t.keepRefusedAudit(t.newAuditRecord("apply", d.Key(), current.Version, current.Version, refusal.Error()))
			return refusal
		}
	}
	t.result.Accepted = len(documents)
	t.result.Revision = t.Revision
	t.ConfigurationChanges = t.ConfigurationChanges.Set(t.command.ChangeID, ChangeRecord{
		ID:     t.command.ChangeID,
		At:     t.at,
		Digest: digest,
		Result: t.result,
	})
	return nil
}

func checkChange(c Command) *modeler.RefusalError {
	if refusal := modeler.CheckName("changeId", c.ChangeID); refusal != nil {
		return refusal
	}
	if len(c.Documents) == 0 || len(c.Documents) > MaxDocumentsPerChange {
		return modeler.Refuse(modeler.CodeInvalid, "documents", "%d is not within 1 and %d",
			len(c.Documents), MaxDocumentsPerChange)
	}
	return nil
}

// repeatResult returns the recorded result of a change that was sent again. It
// refuses different documents under the same change ID.
func (t *transition) repeatResult(recorded ChangeRecord, digest string) *modeler.RefusalError {
	if recorded.Digest != digest {
		return modeler.Refuse(modeler.CodeConflict, "changeId", "%q named another change", recorded.ID)
	}
	t.result = recorded.Result
	return nil
}

func (t *transition) applyDocument(d modeler.Document) *modeler.RefusalError {
	if refusal := converter.CheckSchema(d.Schema); refusal != nil {
		return refusal
	}
	if refusal := modeler.CheckName("name", d.Name); refusal != nil {
		return refusal
	}
	current, _ := t.Documents.Get(d.Key())
	if d.Version != current.Version {
		return modeler.Refuse(modeler.CodeConflict, "version",
			"%s is at version %d%s, not %d", d.Key(), current.Version, t.lastChange(d.Key()), d.Version)
	}
	next := d.WithVersion(current.Version + 1)
	if refusal := t.setDocument(next); refusal != nil {
		return refusal
	}
	t.appendAudit(t.newAuditRecord("apply", d.Key(), current.Version, next.Version, "accepted"))
	t.result.Versions = append(t.result.Versions, next.Version)
	return nil
}

// lastChange describes the last accepted change of the document by its actor
// and change ID, for a conflict message. It is empty if the audit trail has none.
func (t *transition) lastChange(key string) string {
	for i := t.Audit.Len() - 1; i >= 0; i-- {
		record := t.Audit.Get(i)
		if record.Subject == key && record.ToVersion > record.FromVersion {
			return " by " + record.Actor + " in change " + record.ChangeID
		}
	}
	return ""
}

// changeDigest returns a digest by which a repeated change is recognised.
func changeDigest(documents []modeler.Document) string {
	sum := fnv.New128a()
	_ = json.NewEncoder(sum).Encode(documents)
	return hex.EncodeToString(sum.Sum(nil))
}
