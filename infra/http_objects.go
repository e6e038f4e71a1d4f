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

// HTTPObjects is the object API over HTTP. The version travels as ETag, the
// condition as If-Match, or If-None-Match: * to create. The zero value with a
// Base is ready to use; it must not be copied after its first use.
type HTTPObjects struct {
	// Base is the platform's address.
	Base netip.AddrPort
	// ReadTimeout is how long an answer may take beyond a watch's wait; zero is
	// send.DefaultReadTimeout.
	ReadTimeout time.Duration

	once   sync.Once
	client send.Client
}

var _ Objects = (*HTTPObjects)(nil)

// Get reads an object.
func (h *HTTPObjects) Get(ctx context.Context, name string) (Object, error) {
	return h.object(ctx, name, send.Request{Method: http.MethodGet, Target: objectTarget(name)})
}

// List gives the names that start with prefix, sorted.
func (h *HTTPObjects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := read(ctx, h.open(), "/objects?prefix="+url.QueryEscape(prefix), &names)
	return names, err
}

// Put writes the value if the object is at the given version.
func (h *HTTPObjects) Put(ctx context.Context, name string, value []byte, at Version) (Version, error) {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	if at == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", at.ETag())
	}
	r := send.Request{Method: http.MethodPut, Target: objectTarget(name), Header: header, Body: value}
	reply, _, err := ask(ctx, h.open(), r)
	if err != nil {
		return 0, err
	}
	return versionOf(r.Target, reply)
}

// Delete removes the object if it is at the given version.
func (h *HTTPObjects) Delete(ctx context.Context, name string, at Version) error {
	header := http.Header{"If-Match": {at.ETag()}}
	_, _, err := ask(ctx, h.open(), send.Request{Method: http.MethodDelete, Target: objectTarget(name), Header: header})
	return err
}

// Watch waits for a version after the given one.
func (h *HTTPObjects) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	silence := h.ReadTimeout
	if silence <= 0 {
		silence = send.DefaultReadTimeout
	}
	return h.object(ctx, name, send.Request{
		Method: http.MethodGet, Target: objectTarget(name) + "?" + query.Encode(), ReadTimeout: wait + silence,
	})
}

func (h *HTTPObjects) object(ctx context.Context, name string, r send.Request) (Object, error) {
	reply, value, err := ask(ctx, h.open(), r)
	if err != nil {
		return Object{}, err
	}
	version, err := versionOf(r.Target, reply)
	return Object{Name: name, Version: version, Value: value}, err
}

func (h *HTTPObjects) open() *send.Client {
	h.once.Do(func() { h.client.Base, h.client.ReadTimeout = h.Base, h.ReadTimeout })
	return &h.client
}

func objectTarget(name string) string {
	return (&url.URL{Path: "/objects/" + name}).EscapedPath()
}

// ETag gives the version as an entity tag.
func (v Version) ETag() string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// ParseETag reads what ETag writes.
func ParseETag(tag string) (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return Version(v), errors.Wrap(err, "infra: reading entity tag")
}

func versionOf(call string, reply *send.Response) (Version, error) {
	v, err := ParseETag(reply.Header.Get("ETag"))
	if err != nil {
		return 0, &CallError{Call: call, Kind: ErrNoReply, Cause: err}
	}
	return v, nil
}
