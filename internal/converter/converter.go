// Package converter converts jobs and configuration documents between schema
// versions. It keeps unknown fields unchanged.
package converter

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

const (
	millicoresPerCore = 1000
	bytesPerMegabyte  = 1 << 20
)

// fields is a JSON object with undecoded values.
type fields map[string]json.RawMessage

// resourceNames lists the top-level resource fields of schema 1.
var resourceNames = []string{"cores", "memoryMB", "accelerators"}

// CheckSchema returns a refusal if the schema version is not supported.
func CheckSchema(schema int) *modeler.RefusalError {
	if schema >= modeler.OldestSchema && schema <= modeler.CurrentSchema {
		return nil
	}
	return modeler.Refuse(modeler.CodeUnsupported, "schema", "%d is not within %d and %d",
		schema, modeler.OldestSchema, modeler.CurrentSchema)
}

// Job converts the JSON of a job from one schema version to another.
func Job(raw json.RawMessage, from, to int) (json.RawMessage, *modeler.RefusalError) {
	return convert(raw, from, to, "", func(object fields, upgrade bool) *modeler.RefusalError {
		if upgrade {
			rename(object, "tasks", "count")
			return nestResources(object, "need", "")
		}
		rename(object, "count", "tasks")
		return flattenResources(object, "need")
	})
}

// Spec converts the JSON spec of a document from one schema version to another.
func Spec(kind modeler.DocumentKind, raw json.RawMessage, from, to int) (json.RawMessage, *modeler.RefusalError) {
	return convert(raw, from, to, "spec.", func(object fields, upgrade bool) *modeler.RefusalError {
		switch kind {
		case modeler.DocumentPool:
			return convertStrategy(object, upgrade)
		case modeler.DocumentPolicy:
			return convertQueueTime(object, upgrade)
		case modeler.DocumentGrant:
			if upgrade {
				return nestResources(object, "limit", "spec.")
			}
			return flattenResources(object, "limit")
		default:
			return modeler.Refuse(modeler.CodeInvalid, "kind", "%q is none of pool, policy, grant", kind)
		}
	})
}

func convert(
	raw json.RawMessage, from, to int, prefix string, change func(fields, bool) *modeler.RefusalError,
) (json.RawMessage, *modeler.RefusalError) {
	for _, schema := range []int{from, to} {
		if refusal := CheckSchema(schema); refusal != nil {
			return nil, refusal
		}
	}
	var object fields
	if err := json.Unmarshal(raw, &object); err != nil || object == nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, prefix+"body", "is not a JSON object")
	}
	if from == to {
		return raw, nil
	}
	if refusal := change(object, to > from); refusal != nil {
		return nil, refusal
	}
	converted, err := json.Marshal(object)
	if err != nil {
		return nil, modeler.Refuse(modeler.CodeInvalid, prefix+"body", "cannot be written: %v", err)
	}
	return converted, nil
}

// DecodeJob decodes and validates a job of any supported schema version. A
// missing or zero maximum of attempts becomes the default.
func DecodeJob(raw json.RawMessage, schema int) (modeler.JobSpec, *modeler.RefusalError) {
	current, refusal := Job(raw, schema, modeler.CurrentSchema)
	if refusal != nil {
		return modeler.JobSpec{}, refusal
	}
	var spec modeler.JobSpec
	if refusal := decode(current, &spec, ""); refusal != nil {
		return modeler.JobSpec{}, refusal
	}
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = modeler.DefaultMaxAttempts
	}
	return spec, spec.Validate()
}

// DecodePool decodes and validates a pool document of any supported schema version.
func DecodePool(document modeler.Document) (modeler.PoolSpec, *modeler.RefusalError) {
	spec := modeler.PoolSpec{Placement: modeler.PlacementBestFit}
	if refusal := decodeSpec(document, &spec); refusal != nil {
		return spec, refusal
	}
	return spec, spec.Validate()
}

// DecodePolicy decodes and validates a policy document of any supported schema
// version. Missing fields have the values of the default policy.
func DecodePolicy(document modeler.Document) (modeler.PolicySpec, *modeler.RefusalError) {
	spec := modeler.DefaultPolicy()
	if refusal := decodeSpec(document, &spec); refusal != nil {
		return spec, refusal
	}
	return spec, spec.Validate()
}

// DecodeGrant decodes and validates a grant document of any supported schema version.
func DecodeGrant(document modeler.Document) (modeler.GrantSpec, *modeler.RefusalError) {
	spec := modeler.GrantSpec{Weight: 1}
	if refusal := decodeSpec(document, &spec); refusal != nil {
		return spec, refusal
	}
	return spec, spec.Validate()
}

func decodeSpec(document modeler.Document, into any) *modeler.RefusalError {
	current, refusal := Spec(document.Kind, document.Spec, document.Schema, modeler.CurrentSchema)
	if refusal != nil {
		return refusal
	}
	return decode(current, into, "spec.")
}

func decode(raw json.RawMessage, into any, prefix string) *modeler.RefusalError {
	err := json.Unmarshal(raw, into)
	if err == nil {
		return nil
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return modeler.Refuse(modeler.CodeInvalid, prefix+typeError.Field, "is a %s", typeError.Value)
	}
	return modeler.Refuse(modeler.CodeInvalid, prefix+"body", "%v", err)
}

func rename(object fields, from, to string) {
	if value, ok := object[from]; ok {
		object[to] = value
		delete(object, from)
	}
}

// nestResources moves the resource fields of schema 1 into one object, as in schema 2.
func nestResources(object fields, into, prefix string) *modeler.RefusalError {
	amounts := make(map[string]float64, len(resourceNames))
	for _, name := range resourceNames {
		raw, ok := object[name]
		if !ok {
			continue
		}
		var amount float64
		if err := json.Unmarshal(raw, &amount); err != nil {
			return modeler.Refuse(modeler.CodeInvalid, prefix+name, "is not a number")
		}
		amounts[name] = amount
		delete(object, name)
	}
	object[into], _ = json.Marshal(modeler.Resources{
		Processors:   int64(math.Round(amounts["cores"] * millicoresPerCore)),
		Memory:       int64(math.Round(amounts["memoryMB"] * bytesPerMegabyte)),
		Accelerators: int64(amounts["accelerators"]),
	})
	return nil
}

// flattenResources replaces the resource object of schema 2 by the top-level
// fields of schema 1.
func flattenResources(object fields, from string) *modeler.RefusalError {
	var amount modeler.Resources
	if raw, ok := object[from]; ok {
		if err := json.Unmarshal(raw, &amount); err != nil {
			return modeler.Refuse(modeler.CodeInvalid, from, "is not an amount of resources")
		}
	}
	delete(object, from)
	object["cores"], _ = json.Marshal(float64(amount.Processors) / millicoresPerCore)
	object["memoryMB"], _ = json.Marshal(float64(amount.Memory) / bytesPerMegabyte)
	object["accelerators"], _ = json.Marshal(amount.Accelerators)
	return nil
}

// strategies maps the placement names of schema 1 to those of schema 2.
var strategies = []struct {
	old     string
	current modeler.Placement
}{
	{"pack", modeler.PlacementBestFit},
	{"spread", modeler.PlacementWorstFit},
}

func convertStrategy(object fields, upgrade bool) *modeler.RefusalError {
	from, to := "strategy", "placement"
	if !upgrade {
		from, to = to, from
	}
	raw, ok := object[from]
	if !ok {
		return nil
	}
	delete(object, from)
	for _, s := range strategies {
		old, _ := json.Marshal(s.old)
		current, _ := json.Marshal(s.current)
		if upgrade && bytes.Equal(raw, old) {
			object[to] = current
			return nil
		}
		if !upgrade && bytes.Equal(raw, current) {
			object[to] = old
			return nil
		}
	}
	return modeler.Refuse(modeler.CodeInvalid, "spec."+from, "%s is not known", raw)
}

func convertQueueTime(object fields, upgrade bool) *modeler.RefusalError {
	const millisPerSecond = 1000
	from, to, factor := "queueSeconds", "queueMillis", float64(millisPerSecond)
	if !upgrade {
		from, to, factor = to, from, 1/factor
	}
	raw, ok := object[from]
	if !ok {
		return nil
	}
	var amount float64
	if err := json.Unmarshal(raw, &amount); err != nil {
		return modeler.Refuse(modeler.CodeInvalid, "spec."+from, "is not a number")
	}
	delete(object, from)
	object[to], _ = json.Marshal(amount * factor)
	return nil
}
