package retry

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/split"
)

var errLongName = errors.New("retry: name in evidence is too long")

// UnmarshalJSON decodes evidence, which may come from any writer, within the bounds of each list.
// Omitted counts what it leaves out.
func (r *Record) UnmarshalJSON(text []byte) error {
	var w struct {
		Deaths     json.RawMessage `json:"deaths"`
		Survivals  json.RawMessage `json:"survivals"`
		SoundParts json.RawMessage `json:"sound_parts"`
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return errors.Wrap(err, "retry: decode evidence")
	}
	*r = Record{}
	var deaths []boundedDeath
	for _, err := range []error{
		decodeList(w.Deaths, MaxDeaths, &deaths, boundedDeath.checkNames, &r.Omitted),
		decodeList(w.Survivals, MaxSurvivals, &r.Survivals, Survival.checkName, &r.Omitted),
		decodeList(w.SoundParts, MaxSoundParts, &r.SoundParts, SoundPart.checkName, &r.Omitted),
	} {
		if err != nil {
			return errors.Wrap(err, "retry: decode evidence")
		}
	}
	for _, d := range deaths {
		r.Deaths = append(r.Deaths, d.Death)
		r.Omitted += d.omitted
	}
	return nil
}

// decodeList decodes a list, and adds the number of elements that it left out to omitted.
func decodeList[T any](text []byte, limit int, into *[]T, check func(T) error, omitted *int) error {
	all, n, err := split.Decode(text, limit, check)
	*into = all
	*omitted += n
	return err
}

// boundedDeath is a death that is decoded within the bounds of each list.
type boundedDeath struct {
	Death
	omitted int
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *boundedDeath) UnmarshalJSON(text []byte) error {
	var w struct {
		Upstream    domain.Host        `json:"upstream"`
		Incarnation domain.Incarnation `json:"incarnation"`
		Time        time.Time          `json:"time"`
		Running     json.RawMessage    `json:"running"`
		Prompts     json.RawMessage    `json:"prompts"`
		Established json.RawMessage    `json:"established"`
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return errors.Wrap(err, "retry: decode death")
	}
	d.Death = Death{Upstream: w.Upstream, Incarnation: w.Incarnation, Time: w.Time}
	var prompts []boundedPrompt
	for _, err := range []error{
		decodeList(w.Running, MaxRunning, &d.Running, nil, &d.omitted),
		decodeList(w.Prompts, MaxRunning, &prompts, nil, &d.omitted),
		decodeList(w.Established, MaxDeathParts, &d.Established, nil, &d.omitted),
	} {
		if err != nil {
			return errors.Wrap(err, "retry: decode death")
		}
	}
	parts := 0
	for _, p := range prompts {
		d.Prompts = append(d.Prompts, p.Prompt)
		d.omitted += p.omitted
		parts += len(p.Parts)
	}
	if parts > MaxDeathParts {
		kept := mergePrompts(d.Prompts)
		d.omitted += len(d.Prompts) - len(kept)
		d.Prompts = kept
	}
	return nil
}

// boundedPrompt is a prompt that is decoded within the bound of its parts.
type boundedPrompt struct {
	Prompt
	omitted int
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *boundedPrompt) UnmarshalJSON(text []byte) error {
	var w struct {
		Request Identity        `json:"request"`
		Age     time.Duration   `json:"age"`
		Parts   json.RawMessage `json:"parts"`
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return errors.Wrap(err, "retry: decode prompt")
	}
	p.Prompt = Prompt{Request: w.Request, Age: w.Age}
	return errors.Wrap(decodeList(w.Parts, MaxParts, &p.Parts, nil, &p.omitted), "retry: decode prompt")
}

func (d boundedDeath) checkNames() error {
	if !d.hasShortNames() {
		return errLongName
	}
	return nil
}

func (s Survival) checkName() error { return checkName(s.Identity) }

func (s SoundPart) checkName() error { return checkName(s.Part) }

func checkName[T ~string](name T) error {
	if len(name) > maxEvidenceName {
		return errLongName
	}
	return nil
}
