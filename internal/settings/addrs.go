package settings

import (
	"fmt"
	"net/netip"
)

// listenAddr checks an address to listen on; it may be the unspecified address.
func (c checker) listenAddr(key, value string) {
	c.addr(key, value)
}

// ownAddr checks an address that other machines connect to.
func (c checker) ownAddr(key, value string) {
	addr, ok := c.addr(key, value)
	if ok && addr.Addr().IsUnspecified() {
		c.doc.Report(key, "%q can't be reached from other machines; give the IP number of one interface", value)
	}
}

// loopbackAddr checks the address of a backend server on the same VM.
func (c checker) loopbackAddr(key, value string) {
	addr, ok := c.addr(key, value)
	if ok && !addr.Addr().IsLoopback() {
		c.doc.Report(key, "%q is not on loopback; the agent stands beside its backend server on the same VM, such as \"127.0.0.1:8000\"", value)
	}
}

func (c checker) addr(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.doc.Report(key, "is missing; must be IP:port such as \"10.1.2.3:7100\"")
		return netip.AddrPort{}, false
	}
	addr, err := parseAddr(value)
	if err != nil {
		c.doc.Report(key, "%v", err)
		return netip.AddrPort{}, false
	}
	return addr, true
}

func (c checker) controlAddrs(key string, values []string) {
	if len(values) == 0 {
		c.doc.Report(key, "is missing; list the rpc_addr of each control server")
	}
	c.addrs(key, values)
}

func (c checker) addrs(key string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		item := fmt.Sprintf("%s[%d]", key, i)
		c.ownAddr(item, value)
		c.unique(seen, item, value)
	}
}

// distinctListeners checks that the listeners of the daemon have different
// addresses.
func (c checker) distinctListeners(s *Settings) {
	listeners := [][2]string{{"rpc_addr", s.RPCAddr}, {"http_addr", s.HTTPAddr}}
	if s.Entry != nil {
		listeners = append(listeners, [2]string{"entry.callers_addr", s.Entry.CallersAddr})
	}
	owner := map[string]string{}
	for _, listener := range listeners {
		key, addr := listener[0], listener[1]
		if other, taken := owner[addr]; taken && addr != "" {
			c.doc.Report(key, "%q is the address of %s too; each listener needs its own", addr, other)
		}
		owner[addr] = key
	}
}

func parseAddr(value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q is not an address; must be IP:port such as \"10.1.2.3:7100\"", value)
	}
	return addr, nil
}
