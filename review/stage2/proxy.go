package main

import (
	"net"
	"sync"
)

// proxy forwards connections to one address. Its open connections may be made silent: they
// stay open and forward nothing any more, while new ones work.
type proxy struct {
	target  string
	address string

	mu    sync.Mutex
	pairs map[*pair]bool
}

type pair struct {
	proxy  *proxy
	from   net.Conn
	to     net.Conn
	mu     sync.Mutex
	silent bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, address: listener.Addr().String(), pairs: map[*pair]bool{}}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				_ = from.Close()
				continue
			}
			c := &pair{proxy: p, from: from, to: to}
			p.mu.Lock()
			p.pairs[c] = true
			p.mu.Unlock()
			go c.forward(from, to)
			go c.forward(to, from)
		}
	}()
	return p, nil
}

// forward copies bytes until either end closes. What comes after silence is dropped, also
// the end of the connection.
func (c *pair) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if !silent && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		c.mu.Unlock()
		if err != nil {
			c.proxy.mu.Lock()
			delete(c.proxy.pairs, c)
			c.proxy.mu.Unlock()
			_ = from.Close()
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent for good and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.pairs)
}

func (p *proxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}
