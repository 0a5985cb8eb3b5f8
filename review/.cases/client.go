package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host   = "ficu95.example"
	apiKey = "i9n73hh2b9wu3fexd9dn"
)

var requestCount atomic.Int64

// outcome is what a client sees of one attempt.
type outcome struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int // 0: the channel ended without a complete head
	stamp  string
	body   string
	err    error // the response did not come, or is not complete
}

func (o *outcome) complete() bool { return o.err == nil && o.status != 0 }

// promptHeaders returns the headers of a request for a model: its prompt has a part of its own only.
func promptHeaders(path, body string) string {
	if strings.Contains(path, "/work?") {
		return ""
	}
	return fmt.Sprintf("X-Basilroute-Model: m\r\nX-Basilroute-Token-Counts: 400,25\r\nX-Basilroute-Prompt-Prefix: %08x:400\r\n", crc32.ChecksumIEEE([]byte(body)))
}

// send sends one request on a new channel and reads the response.
func (run *caseRun) send(address, method, path, body string, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%016x", 0x5eed0000+requestCount.Add(1)), sent: time.Now()}
	defer func() {
		run.record("request %s (%s %s at %s): status %d, body %q, error %v, after %d ms", o.id, method, path, address, o.status, o.body, o.err,
			o.ended.Sub(o.sent).Milliseconds())
	}()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err, o.ended = err, time.Now()
		return o
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(o.sent.Add(deadline + 2*time.Second))
	o.sent = time.Now()
	run.record("request %s is sent to %s: %s %s", o.id, address, method, path)
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Basilroute-Request-Id: %s\r\nX-Basilroute-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, host, o.id, deadline.Milliseconds(), apiKey, promptHeaders(path, body), len(body), body)
	if err != nil {
		o.err, o.ended = err, time.Now()
		return o
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		o.err, o.ended = err, time.Now()
		return o
	}
	o.status, o.stamp = resp.StatusCode, resp.Header.Get("X-Basilroute-Server-Stamp")
	content, err := io.ReadAll(resp.Body)
	o.body, o.err, o.ended = strings.TrimSpace(string(content)), err, time.Now()
	return o
}
