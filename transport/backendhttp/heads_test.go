package backendhttp

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// withBody is a head of a response to request 1 and a body that is itself a response to it.
func withBody(statusLine string, fields ...string) string {
	inner := answer("1", "inner")
	return statusLine + "\r\nId: 1\r\n" + strings.Join(fields, "") + "\r\n" + inner
}

// okWith is a response with status 200, some more lines in its head and a body of four bytes.
func okWith(lines string) string {
	return "HTTP/1.1 200 OK\r\nId: 1\r\n" + lines + "Content-Length: 4\r\n\r\nbody"
}

// unframedWith is the same without a length.
func unframedWith(lines, body string) string {
	return "HTTP/1.1 200 OK\r\nId: 1\r\n" + lines + "\r\n" + body
}

// chunked is a body of four bytes in chunks.
const chunked = "4\r\nbody\r\n0\r\n\r\n"

// malformedResponses are responses whose head is invalid.
var malformedResponses = map[string]string{
	"status 000":             withBody("HTTP/1.1 000 Trouble"),
	"status 099":             withBody("HTTP/1.1 099 Trouble"),
	"status 600":             withBody("HTTP/1.1 600 Trouble"),
	"status 999":             withBody("HTTP/1.1 999 Trouble"),
	"status +20":             withBody("HTTP/1.1 +20 Trouble"),
	"status -20":             withBody("HTTP/1.1 -20 Trouble"),
	"status of two digits":   withBody("HTTP/1.1 20 Trouble"),
	"status of four digits":  withBody("HTTP/1.1 2000 Trouble"),
	"status and letters":     withBody("HTTP/1.1 200OK"),
	"no status":              withBody("HTTP/1.1"),
	"two blanks":             withBody("HTTP/1.1  200 OK"),
	"tab":                    withBody("HTTP/1.1\t200 OK"),
	"another protocol":       withBody("HTTP/1.1 101 Switching Protocols", "Upgrade: other\r\n", "Connection: upgrade\r\n"),
	"version 7.3":            withBody("HTTP/7.3 200 OK"),
	"version 2.0":            withBody("HTTP/2.0 200 OK"),
	"version 0.9":            withBody("HTTP/0.9 200 OK"),
	"version 1.10":           withBody("HTTP/1.10 200 OK"),
	"version in lower case":  withBody("http/1.1 200 OK"),
	"no protocol":            withBody("200 OK"),
	"control byte in reason": withBody("HTTP/1.1 200 O\x01K"),
	"bare CR in reason":      withBody("HTTP/1.1 200 O\rK"),
	"NUL in reason":          withBody("HTTP/1.1 200 O\x00K"),
	"empty line first":       "\r\n" + okWith(""),
	"blank first":            " " + okWith(""),

	"blank in a name":                  okWith("A B: x\r\n"),
	"blank before the colon":           okWith("A : x\r\n"),
	"tab before the colon":             okWith("A\t: x\r\n"),
	"control byte in a name":           okWith("A\x01B: x\r\n"),
	"NUL in a name":                    okWith("A\x00B: x\r\n"),
	"DEL in a name":                    okWith("A\x7fB: x\r\n"),
	"CR in a name":                     okWith("A\rB: x\r\n"),
	"parenthesis in a name":            okWith("A(B): x\r\n"),
	"byte beyond ASCII in a name":      okWith("\xc3\xa4: x\r\n"),
	"empty name":                       okWith(": x\r\n"),
	"line without a colon":             okWith("A\r\n"),
	"folded line":                      okWith("A: x\r\n y\r\n"),
	"line folded by a tab":             okWith("A: x\r\n\ty\r\n"),
	"blank before the first name":      "HTTP/1.1 200 OK\r\n A: x\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"NUL in a value":                   okWith("A: x\x00y\r\n"),
	"control byte in a value":          okWith("A: x\x01y\r\n"),
	"DEL in a value":                   okWith("A: x\x7fy\r\n"),
	"bare CR in a value":               okWith("A: x\ry\r\n"),
	"CR before the end of a line":      okWith("A: x\r\r\n"),
	"bare LF at the end of a line":     okWith("A: x\n"),
	"bare LF at the end of the status": strings.Replace(okWith(""), "OK\r\n", "OK\n", 1),
	"bare LF at the end of the head":   strings.Replace(okWith(""), "\r\n\r\n", "\r\n\n", 1),

	"blank before the colon of the encoding":    unframedWith("Transfer-Encoding : chunked\r\n", chunked),
	"blank before the colon of the length":      unframedWith("Content-Length : 4\r\n", "body"),
	"control byte in the name of the encoding":  unframedWith("Transfer-Encoding\x0b: chunked\r\n", chunked),
	"blank in the name of the encoding":         unframedWith("Transfer Encoding: chunked\r\n", chunked),
	"length with a sign":                        unframedWith("Content-Length: +4\r\n", "body"),
	"negative length":                           unframedWith("Content-Length: -4\r\n", "body"),
	"length in hexadecimal":                     unframedWith("Content-Length: 0x4\r\n", "body"),
	"length with a fraction":                    unframedWith("Content-Length: 4.0\r\n", "body"),
	"empty length":                              unframedWith("Content-Length: \r\n", "body"),
	"huge length":                               unframedWith("Content-Length: 99999999999999999999\r\n", "body"),
	"list of lengths":                           unframedWith("Content-Length: 4, 4\r\n", "body"),
	"repeated length":                           unframedWith("Content-Length: 4\r\ncontent-length: 4\r\n", "body"),
	"two lengths":                               unframedWith("Content-Length: 4\r\nContent-Length: 2\r\n", "body"),
	"length and encoding":                       okWith("Transfer-Encoding: chunked\r\n"),
	"encoding and length":                       unframedWith("Content-Length: 14\r\nTransfer-Encoding: chunked\r\n", chunked),
	"unknown encoding":                          unframedWith("Transfer-Encoding: gzip\r\n", "body"),
	"encoding in two layers":                    unframedWith("Transfer-Encoding: gzip, chunked\r\n", chunked),
	"encoding in two lines":                     unframedWith("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunked),
	"repeated encoding":                         unframedWith("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunked),
	"encoding named identity":                   unframedWith("Transfer-Encoding: identity\r\n", "body"),
	"empty encoding":                            unframedWith("Transfer-Encoding:\r\n", "body"),
	"encoding with a parameter":                 unframedWith("Transfer-Encoding: chunked;q=1\r\n", chunked),
	"encoding with a comma":                     unframedWith("Transfer-Encoding: chunked,\r\n", chunked),
	"encoding in HTTP/1.0":                      strings.Replace(unframedWith("Transfer-Encoding: chunked\r\n", chunked), "1.1", "1.0", 1),
	"encoding and length in HTTP/1.0":           strings.Replace(okWith("Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1),
	"informational with a body":                 withBody("HTTP/1.1 103 Early Hints", "Content-Length: 50\r\n"),
	"informational in chunks":                   withBody("HTTP/1.1 103 Early Hints", "Transfer-Encoding: chunked\r\n"),
	"informational with a blank in a name":      "HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n" + answer("1", "body"),
	"informational with a control byte":         "HTTP/1.1 100 Continue\r\nA: \x01\r\n\r\n" + answer("1", "body"),
	"malformed after an informational response": "HTTP/1.1 100 Continue\r\n\r\n" + withBody("HTTP/1.1 000 Trouble"),
}

// validResponses are responses with the bodies that they have.
var validResponses = map[string][2]string{
	"plain":                         {okWith(""), "body"},
	"status 599":                    {strings.Replace(okWith(""), "200", "599", 1), "body"},
	"unknown status":                {strings.Replace(okWith(""), "200", "299", 1), "body"},
	"no reason":                     {strings.Replace(okWith(""), " OK", " ", 1), "body"},
	"no blank before the reason":    {strings.Replace(okWith(""), " OK", "", 1), "body"},
	"reason of several words":       {strings.Replace(okWith(""), "OK", "All\tis w\xe4ll: (yes)", 1), "body"},
	"HTTP/1.0":                      {strings.Replace(okWith(""), "1.1", "1.0", 1), "body"},
	"later minor version":           {strings.Replace(okWith(""), "1.1", "1.2", 1), "body"},
	"mixed case":                    {unframedWith("cOnTeNt-lEnGtH: 4\r\n", "body"), "body"},
	"chunks":                        {unframedWith("Transfer-Encoding: chunked\r\n", chunked), "body"},
	"chunks in mixed case":          {unframedWith("TRANSFER-encoding:Chunked \t\r\n", chunked), "body"},
	"chunks and trailer":            {unframedWith("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nA: b\r\n\r\n"), "body"},
	"ends with its connection":      {unframedWith("Connection: close\r\n", "body"), "body"},
	"bytes beyond ASCII in a value": {okWith("A: \xe4\xc3\xa4\xff\r\n"), "body"},
	"tab in a value":                {okWith("A: x\ty\r\n"), "body"},
	"empty value":                   {okWith("A:\r\nB: \t\r\n"), "body"},
	"blanks around a value":         {okWith("A: \t x \t\r\n"), "body"},
	"colons in a value":             {okWith("A: : x: y\r\n"), "body"},
	"all bytes of a name":           {okWith("!#$%&'*+-.^_`|~09azAZ: x\r\n"), "body"},
	"repeated fields":               {okWith("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"), "body"},
	"parameters of keep-alive":      {okWith("Connection: keep-alive\r\nKeep-Alive: timeout=5, max=100\r\n"), "body"},
	"long head":                     {okWith("A: " + strings.Repeat("b", DefaultMaxHead-200) + "\r\n"), "body"},
	"many fields":                   {okWith(strings.Repeat("A: b\r\n", 4000)), "body"},
	"long length":                   {unframedWith("Content-Length: 00000000000000000004\r\n", "body"), "body"},
	"informational":                 {"HTTP/1.1 100 Continue\r\n\r\n" + okWith(""), "body"},
	"informational of length 0":     {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + okWith(""), "body"},
	"several informational": {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2*maxSkippedResponses) + "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" +
		okWith(""), "body"},
	"no content": {"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", ""},
}

// respondRaw returns a server that responds with the same bytes to each request but the first, and closes the connection if
// they have no length.
func respondRaw(t *testing.T, raw string, reused bool) *scriptedServer {
	t.Helper()
	return serve(t, func(c net.Conn, next func() *http.Request) {
		if reused {
			next()
			_, _ = io.WriteString(c, answer("0", "first"))
		}
		next()
		_, _ = io.WriteString(c, raw)
	})
}

// askRaw sends a request to a server that responds with these bytes, on a new or a reused connection.
func askRaw(t *testing.T, raw string, reused bool) (string, error) {
	t.Helper()
	s, c := respondRaw(t, raw, reused), client()
	defer c.Close()
	if reused {
		if _, err := ask(t, c, s.address, get("0"), matchID("0")); err != nil {
			t.Fatal(err)
		}
	}
	return ask(t, c, s.address, get("1"), matchID("1"))
}

// Guards against a response with an invalid head that is passed on: with an invalid line, or with a body that is not the server's.
func TestInvalidHeadIsMalformed(t *testing.T) {
	for name, raw := range malformedResponses {
		for where, reused := range map[string]bool{"new": false, "reused": true} {
			t.Run(name+", "+where, func(t *testing.T) {
				body, err := askRaw(t, raw, reused)
				if !errors.Is(err, ErrMalformed) || errors.Is(err, ErrNotSent) || body != "" {
					t.Errorf("body %q, %v", body, err)
				}
			})
		}
	}
}

// Guards against a strictness that refuses a valid response, or loses bytes of its body.
func TestValidHeadIsAccepted(t *testing.T) {
	for name, tc := range validResponses {
		for where, reused := range map[string]bool{"new": false, "reused": true} {
			t.Run(name+", "+where, func(t *testing.T) {
				if body, err := askRaw(t, tc[0], reused); err != nil || body != tc[1] {
					t.Errorf("body %q, %v", body, err)
				}
			})
		}
	}
}
