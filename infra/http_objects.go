package infra

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/send"
)

// HTTPObjects is the client of the object API over HTTP. The version is sent as ETag,
// the condition of a write as If-Match, or as If-None-Match: * to create an object.
// The zero value with Addr set is ready to use; it must not be copied after first
// use.
type HTTPObjects struct {
	// Addr is the platform's address.
	Addr netip.AddrPort
	// ReadTimeout is the longest wait for a response, in addition to the wait time of
	// a watch; zero means send.DefaultReadTimeout.
	ReadTimeout time.Duration
	// OnInvalid, if set, is called for each response that is malformed or exceeds a bound; see send.Client.
	OnInvalid func(error)

	once   sync.Once
	client send.Client
}

var _ Objects = (*HTTPObjects)(nil)

// Get reads an object.
func (h *HTTPObjects) Get(ctx context.Context, name string) (Object, error) {
	return h.object(ctx, name, send.Request{Method: http.MethodGet, Target: objectTarget(name)})
}

// List returns the names that start with prefix, sorted.
func (h *HTTPObjects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := read(ctx, h.initClient(), "/objects?prefix="+url.QueryEscape(prefix), &names)
	return names, err
}

// Put writes the value if the object is at the given version, and returns the new
// version. Version zero creates the object.
func (h *HTTPObjects) Put(ctx context.Context, name string, value []byte, at Version) (Version, error) {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	if at == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", at.ETag())
	}
	r := send.Request{Method: http.MethodPut, Target: objectTarget(name), Header: header, Body: value}
	reply, _, err := do(ctx, h.initClient(), r)
	if err != nil {
		return 0, err
	}
	return responseVersion(r.Target, reply)
}

// Delete removes the object if it is at the given version.
func (h *HTTPObjects) Delete(ctx context.Context, name string, at Version) error {
	header := http.Header{"If-Match": {at.ETag()}}
	_, _, err := do(ctx, h.initClient(), send.Request{Method: http.MethodDelete, Target: objectTarget(name), Header: header})
	return err
}

// Watch returns the object once it is newer than the given version, or
// ErrUnchanged after the wait time.
func (h *HTTPObjects) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	readTimeout := h.ReadTimeout
	if readTimeout <= 0 {
		readTimeout = send.DefaultReadTimeout
	}
	return h.object(ctx, name, send.Request{
		Method: http.MethodGet, Target: objectTarget(name) + "?" + query.Encode(), ReadTimeout: wait + readTimeout,
	})
}

func (h *HTTPObjects) object(ctx context.Context, name string, r send.Request) (Object, error) {
	reply, value, err := do(ctx, h.initClient(), r)
	if err != nil {
		return Object{}, err
	}
	version, err := responseVersion(r.Target, reply)
	return Object{Name: name, Version: version, Value: value}, err
}

func (h *HTTPObjects) initClient() *send.Client {
	h.once.Do(func() { h.client.Addr, h.client.ReadTimeout, h.client.OnInvalid = h.Addr, h.ReadTimeout, h.OnInvalid })
	return &h.client
}

func objectTarget(name string) string {
	return (&url.URL{Path: "/objects/" + name}).EscapedPath()
}

// ETag returns the version as an HTTP entity tag: the number in quotes.
func (v Version) ETag() string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// ParseETag parses the output of Version.ETag.
func ParseETag(tag string) (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return Version(v), errors.Wrap(err, "infra: parse entity tag")
}

func responseVersion(call string, reply *send.Response) (Version, error) {
	v, err := ParseETag(reply.Header.Get("ETag"))
	if err != nil {
		return 0, &CallError{Call: call, Kind: ErrNoReply, Cause: err}
	}
	return v, nil
}
