package link

import (
	"fmt"
	"net/url"
	"strings"
)

// SetRequestTarget makes net/http send target, a path and query, unchanged as
// the request target of a request to u. It returns an error if that is not
// possible.
func SetRequestTarget(u *url.URL, target string) error {
	path, query, hasQuery := strings.Cut(target, "?")
	u.Opaque, u.Path, u.RawPath = "", "", ""
	u.RawQuery, u.ForceQuery = query, hasQuery
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path
	} else if decoded, err := url.PathUnescape(path); err == nil {
		// net/http would write an opaque part that begins with two slashes as an
		// absolute URL, whose first segment is a host.
		u.Path, u.RawPath = decoded, path
	}
	if u.RequestURI() != target {
		return fmt.Errorf("the request target %q cannot be sent unchanged", target)
	}
	return nil
}
