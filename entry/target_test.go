package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// Guards against a call whose path reaches its upstream decoded, so that an escaped slash or question
// mark changes what is asked for.
func TestCallPathGoesOnByteForByte(t *testing.T) {
	for target, want := range map[string]string{
		"/services/cards/": "/", "/services/cards//": "//", "/services/cards/a/../b": "/a/../b", "/services/cards/a%2Fb%3Fc": "/a%2Fb%3Fc",
		"/services/cards/100%25?a=%2F&b": "/100%25?a=%2F&b", "/services/cards/?": "/?", "/services/cards//host/x?y=//z": "//host/x?y=//z", "/services/c%61rds/a:b": "/a:b",
	} {
		service, path, found := cutService(target)
		require.Empty(t, found, target)
		require.Equal(t, domain.Service("cards"), service, target)
		require.Equal(t, want, path, target)
	}
	for _, target := range []string{"/services/cards", "/services/cards?a=/b", "/services//x", "/services/%zz/x", "http://site.example/services/cards/x", "*", "/x"} {
		_, _, found := cutService(target)
		require.NotEmpty(t, found, target)
	}
}
