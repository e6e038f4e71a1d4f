package split

import "encoding/json"

// Decode decodes the elements of an array one by one, so that its result takes memory for at most limit
// elements, however many the text has. check, if not nil, returns an error for an element that is not wanted.
// Elements that can't be decoded, that check refuses or that are beyond the limit are left out, and counted
// in omitted. The error is ErrSyntax. An empty text, as of an absent member, has no elements.
//
// encoding/json takes memory for each element of a list before the list can be measured: {} has two bytes
// and may become a struct of some hundred.
func Decode[T any](text []byte, limit int, check func(T) error) (all []T, omitted int, err error) {
	if len(text) == 0 {
		return nil, 0, nil
	}
	err = Elements(text, func(element []byte) error {
		if len(all) >= limit {
			omitted++
			return nil
		}
		var v T
		if json.Unmarshal(element, &v) != nil || check != nil && check(v) != nil {
			omitted++
			return nil
		}
		all = append(all, v)
		return nil
	})
	return all, omitted, err
}
