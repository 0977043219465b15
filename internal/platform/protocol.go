package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Protocol encodes the calls of one variant of the object API and decodes their
// answers. It has no state. The client enforces budgets and timeouts and
// classifies calls without an answer.
type Protocol interface {
	Get(key string) Request
	Put(key string, value []byte, ifVersion uint64) (Request, error)
	Delete(key string, ifVersion uint64) Request
	// List requests the page that starts after the name after; the empty
	// string requests the first page.
	List(prefix, after string) Request
	Watch(prefix string, since uint64, wait time.Duration) Request
	// DecodeObject decodes the answer to Get or Put. The answer to Put may omit
	// the value.
	DecodeObject(key string, header http.Header, body []byte) (Object, error)
	// DecodePage decodes the answer to List, and DecodeChanges that to Watch.
	// Objects that cannot be decoded are left out and counted.
	DecodePage(prefix string, body []byte) (Page, error)
	DecodeChanges(prefix string, body []byte) (Page, error)
	// Era returns the era of the store that an answer states, see ParseEra.
	Era(header http.Header) uint64
	// StatusError returns the error for a status to which this variant gives a
	// meaning of its own, and nil for all others.
	StatusError(status int) error
}

// Request is one encoded call. URI is the path and query.
type Request struct {
	Method, URI string
	Header      http.Header
	Body        []byte
}

// Page is one page of a list. NextAfter is the name after which the next page
// starts; it is empty on the last page.
type Page struct {
	Objects   []Object
	Revision  uint64
	NextAfter string
	// Malformed is how many objects could not be decoded and were left out.
	Malformed int
}

// defaultProtocol is the variant described in docs/platform.md. Its lists have
// one page.
type defaultProtocol struct{}

// listedObject is one object of the answer to a list or watch.
type listedObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted"`
}

func objectURI(key string) string { return (&url.URL{Path: "/v1/objects/" + key}).EscapedPath() }

func (defaultProtocol) Get(key string) Request {
	return Request{Method: http.MethodGet, URI: objectURI(key)}
}

func (defaultProtocol) Put(key string, value []byte, ifVersion uint64) (Request, error) {
	condition := http.Header{"If-None-Match": {"*"}}
	if ifVersion != 0 {
		condition = ifMatch(ifVersion)
	}
	return Request{Method: http.MethodPut, URI: objectURI(key), Header: condition, Body: value}, nil
}

func (defaultProtocol) Delete(key string, ifVersion uint64) Request {
	return Request{Method: http.MethodDelete, URI: objectURI(key), Header: ifMatch(ifVersion)}
}

func (defaultProtocol) List(prefix, _ string) Request {
	return Request{Method: http.MethodGet, URI: "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()}
}

func (defaultProtocol) Watch(prefix string, since uint64, wait time.Duration) Request {
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(since, 10)}, "wait": {wait.String()}}
	return Request{Method: http.MethodGet, URI: "/v1/watch?" + query.Encode()}
}

func (defaultProtocol) DecodeObject(key string, header http.Header, body []byte) (Object, error) {
	tag := strings.Trim(header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("malformed ETag %q", tag)
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

func (p defaultProtocol) DecodePage(prefix string, body []byte) (Page, error) {
	return p.DecodeChanges(prefix, body)
}

func (defaultProtocol) DecodeChanges(_ string, body []byte) (Page, error) {
	list, page, err := DecodeList(body, "objects", "revision")
	if err != nil {
		return Page{}, err
	}
	for _, raw := range list {
		var o listedObject
		if err := DecodeElement(raw, &o); err != nil || o.Key == "" {
			page.Malformed++
			continue
		}
		page.Objects = append(page.Objects, Object(o))
	}
	return page, nil
}

// DecodeList splits the answer to a list or watch into its elements, which are
// the member elements of the answer. The page has the revision, which is the
// member revision, and no objects.
func DecodeList(body []byte, elements, revision string) ([]json.RawMessage, Page, error) {
	members, err := JSONMembers(body)
	if err != nil {
		return nil, Page{}, fmt.Errorf("malformed list or watch answer: %w", err)
	}
	var page Page
	if raw, ok := members[revision]; ok {
		if err := json.Unmarshal(raw, &page.Revision); err != nil {
			return nil, Page{}, fmt.Errorf("malformed revision of a list or watch answer: %w", err)
		}
	}
	raw, ok := members[elements]
	if !ok || string(raw) == "null" {
		return nil, page, nil
	}
	list, err := JSONElements(raw)
	if err != nil {
		return nil, Page{}, fmt.Errorf("malformed list or watch answer: %w", err)
	}
	return list, page, nil
}

// headerEra is the header of all answers with the era of the store.
const headerEra = "Platform-Era"

func (defaultProtocol) Era(header http.Header) uint64 { return ParseEra(header.Get(headerEra)) }

// ParseEra returns the Position.Era for the decimal number that an answer
// states; 0 if s is empty or malformed.
func ParseEra(s string) uint64 {
	era, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0
	}
	return era + 1
}

func (defaultProtocol) StatusError(status int) error {
	if status == http.StatusPreconditionFailed {
		return ErrConflict
	}
	return nil
}

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}
