// Package responsehead checks the heads of HTTP/1 responses by RFC 9110 and RFC 9112 before they are parsed.
//
// http.ReadResponse alone does not tell a valid head from an invalid one: among others it accepts statuses
// such as 000, blanks in names, folded lines and contradictory lengths, and removes what would show them.
package responsehead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that the bytes are not the head of a response.
var ErrInvalid = errors.New("invalid head of a response")

// Check waits until the buffer of r holds the head of a response, up to its empty line, and checks it. It takes
// nothing from r. The error is ErrInvalid, bufio.ErrBufferFull for a head larger than the buffer, or that of reading.
func Check(r *bufio.Reader) error {
	var h head
	for checked := 0; ; {
		buffered, _ := r.Peek(r.Buffered()) // no error: it is in the buffer
		for {
			length := bytes.IndexByte(buffered[checked:], '\n')
			if length < 0 {
				break
			}
			end, err := h.line(buffered[checked : checked+length+1])
			if end || err != nil {
				return err
			}
			checked += length + 1
		}
		switch _, err := r.Peek(len(buffered) + 1); {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// Statuses that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// head is what is known of a head after some of its lines.
type head struct {
	begun   bool // the status line was read
	status  int
	minor   byte // digit of the version's minor number
	length  bool // there is a Content-Length
	content bool // it is not 0
	encoded bool // there is a Transfer-Encoding
}

// line checks the next line, with its line end. It reports whether the head has ended.
func (h *head) line(line []byte) (end bool, err error) {
	// A recipient may take a bare LF for a line end. Within a value of a faulty server it would
	// begin a field that the server did not send, so it is not taken for one.
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return false, errors.Wrapf(ErrInvalid, "line %q ends with a bare LF", excerpt(line))
	case !h.begun:
		h.begun = true
		return false, h.statusLine(text)
	case len(text) == 0:
		return true, h.framing()
	}
	return false, h.field(text)
}

// Positions in a status line: HTTP/1.1 200 OK.
const (
	versionPrefix = "HTTP/1."
	minorAt       = len(versionPrefix)
	statusAt      = minorAt + len("1 ")
	statusEnd     = statusAt + len("200")
)

// statusLine checks the first line. Any minor version is accepted, as it is compatible. Servers may leave out the blank before
// an empty reason.
func (h *head) statusLine(line []byte) error {
	ok := len(line) >= statusEnd && bytes.HasPrefix(line, []byte(versionPrefix)) && isDigit(line[minorAt]) && line[minorAt+1] == ' ' &&
		allOf(line[statusAt:statusEnd], isDigit) && (len(line) == statusEnd || line[statusEnd] == ' ') && allOf(line[statusEnd:], isText)
	if !ok {
		return errors.Wrapf(ErrInvalid, "status line %q", excerpt(line))
	}
	h.minor, h.status = line[minorAt], 0
	for _, digit := range line[statusAt:statusEnd] {
		h.status = 10*h.status + int(digit-'0')
	}
	switch {
	case h.status < minStatus, h.status > maxStatus:
		return errors.Wrapf(ErrInvalid, "status %03d", h.status)
	case h.status == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalid, "status 101, but no protocol was asked for")
	}
	return nil
}

// Fields that decide where a response ends.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// field checks a line with a field. A line that continues the one before begins with a blank, which no name has.
func (h *head) field(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case !found:
		return errors.Wrapf(ErrInvalid, "line %q without a colon", excerpt(line))
	case len(name) == 0, !allOf(name, isTokenByte):
		return errors.Wrapf(ErrInvalid, "field name %q", excerpt(name))
	case !allOf(value, isText):
		return errors.Wrapf(ErrInvalid, "value %q of %s", excerpt(value), excerpt(name))
	case bytes.EqualFold(name, contentLength):
		return h.contentLength(bytes.Trim(value, " \t"))
	case bytes.EqualFold(name, transferEncoding):
		return h.transferEncoding(bytes.Trim(value, " \t"))
	}
	return nil
}

func (h *head) contentLength(value []byte) error {
	if h.length || len(value) == 0 || !allOf(value, isDigit) {
		return errors.Wrapf(ErrInvalid, "Content-Length %q, repeated: %t", excerpt(value), h.length)
	}
	h.length, h.content = true, len(bytes.TrimLeft(value, "0")) > 0
	return nil
}

// transferEncoding accepts only the encoding that every recipient knows: requests ask for no other.
func (h *head) transferEncoding(value []byte) error {
	if h.encoded || !bytes.EqualFold(value, chunked) {
		return errors.Wrapf(ErrInvalid, "Transfer-Encoding %q, repeated: %t", excerpt(value), h.encoded)
	}
	h.encoded = true
	return nil
}

// framing checks what the fields say together about the end of the response.
func (h *head) framing() error {
	switch {
	case h.encoded && h.length:
		return errors.Wrap(ErrInvalid, "Transfer-Encoding and Content-Length")
	case h.encoded && h.minor == '0':
		return errors.Wrap(ErrInvalid, "Transfer-Encoding in HTTP/1.0")
	case h.status < http.StatusOK && (h.encoded || h.content):
		return errors.Wrapf(ErrInvalid, "status %d with content", h.status)
	}
	return nil
}

// maxExcerpt is how many bytes of a line an error quotes.
const maxExcerpt = 64

func excerpt(line []byte) []byte { return line[:min(len(line), maxExcerpt)] }

func allOf[text []byte | string](t text, class func(byte) bool) bool {
	for i := range len(t) {
		if !class(t[i]) {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether a value or a reason may have a byte: all but control bytes other than tabs.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// tokenBytes are the bytes of which names consist.
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[b] = true
	}
	return set
}()

func isTokenByte(b byte) bool { return tokenBytes[b] }

// IsName reports whether a text is a token, as names of fields and methods are.
func IsName(text string) bool { return len(text) > 0 && allOf(text, isTokenByte) }

// IsValue reports whether a text can be the value of a field.
func IsValue(text string) bool { return allOf(text, isText) }

// IsWord reports whether a text has neither blanks nor control bytes, as the parts of a request line.
func IsWord(text string) bool { return len(text) > 0 && allOf(text, isWordByte) }

func isWordByte(b byte) bool { return b > ' ' && b != 0x7f }
