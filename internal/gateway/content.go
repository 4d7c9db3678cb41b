package gateway

import "lynxgate.dev/lynxgate/internal/quarantine"

// digest identifies the content of the request, independent of its request id. It is computed on first
// use, since most requests never need it.
func (c *call) digest() quarantine.Digest {
	c.digestOnce.Do(func() {
		organisation := ""
		if c.org != nil {
			organisation = c.org.Name
		}
		c.content = quarantine.DigestOf(organisation, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
	})
	return c.content
}
