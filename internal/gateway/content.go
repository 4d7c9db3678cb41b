package gateway

import "lynxgate.dev/lynxgate/internal/quarantine"

// digest names what the caller wants done, whatever the id of the attempt. It is made once
// it is asked for: most requests never need it.
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
