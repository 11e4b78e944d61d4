package sender

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkHeader measures what the checks of a header add to its parsing.
func BenchmarkHeader(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:49:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 2\r\n" +
		"Bramleyline-Request: 9c41d07be2a35f68\r\nEtag: \"3e1b.07.5a2.600.0.c9f2a4d1\"\r\nCache-Control: no-store\r\n" +
		"Keep-Alive: timeout=20\r\n\r\n")
	b.Run("scan", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var s headerScanner
			s.scan(head)
		}
	})
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(head))), nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		var s headerScanner
		for b.Loop() {
			if err := checkHeader(resp, &s); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parse", func(b *testing.B) {
		b.ReportAllocs()
		r := strings.NewReader("")
		br := bufio.NewReader(r)
		for b.Loop() {
			r.Reset(string(head))
			br.Reset(r)
			if _, err := http.ReadResponse(br, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}
