package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/link"
)

// Guards against a request whose path is changed on its way to the target, or
// that reaches another host, because net/http takes its path for a URL.
var _ = Describe("A request target", func() {
	// sent returns the first line of the request that net/http writes.
	sent := func(target string) (line string, err error) {
		u := &url.URL{Scheme: "http", Host: "127.0.0.1:1"}
		if err := link.SetRequestTarget(u, target); err != nil {
			return "", err
		}
		client, server := net.Pipe()
		defer server.Close()
		go func() {
			defer client.Close()
			_ = (&http.Request{Method: "GET", URL: u, Host: "a.example", Header: http.Header{}}).Write(client)
		}()
		line, err = bufio.NewReader(server).ReadString('\n')
		go func() { _, _ = io.Copy(io.Discard, server) }()
		return line, err
	}

	DescribeTable("is sent unchanged", func(target string) {
		Expect(sent(target)).To(Equal("GET " + target + " HTTP/1.1\r\n"))
	},
		Entry("a path", "/grids/7"),
		Entry("the root", "/"),
		Entry("a query", "/grids/7?size=9&x=%20"),
		Entry("an empty query", "/grids/7?"),
		Entry("several question marks", "/grids/7??a=?b"),
		Entry("escapes and dots", "/%41/%2f/../b/%c3%a9"),
		Entry("characters that need no escape", "/a:b@c;d=e,f!g$h&i'(j)*+k~l"),
		Entry("a byte that should be escaped", "/a\"b\xe9"),
		Entry("an empty first segment", "//grids/today/7?size=9"),
		Entry("a host in the first segment", "//other.example/"),
		Entry("a host that is none in the first segment", "//x:y/"),
		Entry("an empty first segment alone", "//"),
		Entry("an empty first segment and an empty query", "//a?"),
		Entry("empty segments", "///a//b"),
		Entry("an empty first segment and escapes", "//%41/%2F/..;x=%c3%a9"),
		Entry("a scheme in the path", "/http://other.example/"),
	)

	It("is refused if it cannot be", func() {
		for _, target := range []string{"//a\"b", "//a%zz", "//a\xe9", "", "a b"} {
			if line, err := sent(target); err == nil {
				Expect(line).To(Equal("GET " + target + " HTTP/1.1\r\n"))
			}
		}
		Expect(link.SetRequestTarget(new(url.URL), "//a\"b")).NotTo(Succeed())
	})
})
