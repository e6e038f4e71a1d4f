package split_test

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/split"
)

func elements(text string) (all []string, err error) {
	err = split.Elements([]byte(text), func(e []byte) error { all = append(all, string(e)); return nil })
	return all, err
}

// Guards against an element that hides the others of its array because a decoder refuses it.
func TestElementsAreDividedWhateverTheyHold(t *testing.T) {
	for _, odd := range []string{
		strings.Repeat("[", 500000) + strings.Repeat("]", 500000),
		strings.Repeat(`{"a":`, 200000) + "1" + strings.Repeat("}", 200000),
		"\"\x00\x01\xff\"", `"\u12"`, `"\q"`, `"a\\"`, `"\""`, "1e400", strings.Repeat("9", 900000), "nan", "-", `{"a"}`, `[,]`, `{"a":"]"}`,
	} {
		all, err := elements(" [1 ,\n" + odd + ",{\"b\":[2]} ] ")
		require.NoError(t, err, "%.40s", odd)
		require.Equal(t, []string{"1", odd, `{"b":[2]}`}, all)
	}
}

// Guards against a cut-off answer that is taken for a whole one.
func TestTextThatIsNoWholeArrayIsAnError(t *testing.T) {
	for _, text := range []string{
		"", " ", "7", "nul", "nulls", "{}", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", "[1] 2", `["a`, `["a\"]`, "[[1]", `[{"a":1]`, "\x00",
	} {
		_, err := elements(text)
		require.ErrorIs(t, err, split.ErrSyntax, "%q", text)
	}
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":}`, `{"a":1,}`, `{a:1}`, `{"a":1}}`, `{"a" 1}`} {
		require.ErrorIs(t, split.Members([]byte(text), func(string, []byte) error { return nil }), split.ErrSyntax, "%q", text)
	}
	require.NoError(t, split.Members([]byte(" null "), nil))
}

// Guards against memory that grows with the depth of a text that another writer chose.
func TestDeepTextNeedsConstantMemory(t *testing.T) {
	text := []byte("[" + strings.Repeat("[", 1<<22) + strings.Repeat("]", 1<<22) + "]")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.NoError(t, split.Elements(text, func([]byte) error { return nil }))
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<10))
}

// Guards against an error of the caller that is lost.
func TestErrorOfVisitIsReturned(t *testing.T) {
	stop := errors.New("stop")
	require.ErrorIs(t, split.Elements([]byte("[1,2]"), func([]byte) error { return stop }), stop)
}

// Guards against parts that differ from those that encoding/json finds, and against a panic or a
// loop for a text that it refuses.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{
		`[]`, `{}`, `null`, `[1,"a",[2],{"b":null}]`, `{"a":1,"a":[2],"\u0061b":"\"","é":true}`, ` [ 1 , 2 ] `, `["\\","\\\"]"]`, "{\"\xff\":1}",
		`[1`, `{"a"`, `["\`, `[]]`, `[nan,]`, `{"":{"":{}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		total := 0
		list := []json.RawMessage{}
		listErr := split.Elements(text, func(e []byte) error { total += len(e); list = append(list, e); return nil })
		require.LessOrEqual(t, total, len(text))
		members := make(map[string]json.RawMessage)
		membersErr := split.Members(text, func(name string, v []byte) error { members[name] = v; return nil })
		var wantList []json.RawMessage
		if json.Unmarshal(text, &wantList) == nil {
			require.NoError(t, listErr)
			require.Len(t, list, len(wantList))
			for n, w := range wantList {
				require.Equal(t, string(w), string(list[n]))
			}
		}
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(text, &wantMembers) == nil {
			require.NoError(t, membersErr)
			require.Len(t, members, len(wantMembers))
			for name, w := range wantMembers {
				require.Equal(t, string(w), string(members[name]))
			}
		}
	})
}
