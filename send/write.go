package send

import (
	"bufio"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// writtenFields are the header fields that write writes itself.
var writtenFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// write writes a request whose Host is set. net/http is not used for it, since it changes some
// targets: it puts a scheme before one that begins with two slashes.
func (k *conn) write(r Request) error {
	out := bufio.NewWriterSize(k, writerSize)
	for _, part := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		_, _ = out.WriteString(part) // Flush returns the error
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		_, _ = out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.WriteSubset(out, writtenFields); err != nil {
		return errors.Wrap(err, "send: writing request")
	}
	_, _ = out.WriteString("\r\n")
	_, _ = out.Write(r.Body)
	return errors.Wrap(out.Flush(), "send: writing request")
}

// hasBody reports whether requests with the method state the length of their body also if it is empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// check returns an error if the request can't be written as it is: a space or a control character
// would end the target or the line that it stands in.
func (r *Request) check() error {
	if r.Target == "" || r.Target[0] != '/' {
		return errors.Errorf("send: target %q is not an absolute path", r.Target)
	}
	for name, text := range map[string]string{"method": r.Method, "target": r.Target, "host": r.Host} {
		if text == "" {
			return errors.Errorf("send: the %s of the request is empty", name)
		}
		for i := range len(text) {
			if text[i] <= ' ' || text[i] == 0x7f {
				return errors.Errorf("send: %s %q has a space or a control character", name, text)
			}
		}
	}
	return nil
}
