package adminclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// operationIDBytes is the length of operation ids: 128 random bits don't collide.
const operationIDBytes = 16

// NewOperationID returns a new random operation id.
func NewOperationID() string {
	var raw [operationIDBytes]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Config returns the configuration keys with the prefix.
func (c *Client) Config(ctx context.Context, prefix string) (admin.Snapshot, error) {
	var snapshot admin.Snapshot
	path := admin.PathConfig + "?prefix=" + url.QueryEscape(prefix)
	err := c.do(ctx, call{method: http.MethodGet, path: path}, &snapshot)
	return snapshot, err
}

// Apply sends the changes with the operation id until their result is known or
// the client's patience is exhausted.
func (c *Client) Apply(ctx context.Context, operationID string, base uint64, changes []inventory.Change) (admin.ChangeReply, error) {
	body, err := json.Marshal(admin.ChangeBody{
		OperationID:  operationID,
		BaseRevision: &base,
		Changes:      admin.ToItems(changes),
	})
	if err != nil {
		return admin.ChangeReply{}, fmt.Errorf("encode changes: %w", err)
	}
	var reply admin.ChangeReply
	err = c.do(ctx, call{
		method: http.MethodPost, path: admin.PathChanges, body: body,
		operationID: operationID, changes: true,
	}, &reply)
	return reply, err
}

// SetDrained sets or clears the drained mark of a VM.
func (c *Client) SetDrained(ctx context.Context, operationID, vm string, drained bool) (admin.ChangeReply, error) {
	verb := "undrain"
	if drained {
		verb = "drain"
	}
	var reply admin.ChangeReply
	err := c.do(ctx, call{
		method: http.MethodPost, path: admin.PathVMs + "/" + url.PathEscape(vm) + "/" + verb,
		operationID: operationID, changes: true,
	}, &reply)
	return reply, err
}

// Status returns the status of the leader. If the leader can't be reached, it
// prefers the status of a server with a quorum, then the highest revision.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var best admin.Status
	err := c.do(ctx, call{method: http.MethodGet, path: admin.PathStatus}, &best)
	if err != nil {
		return best, err
	}
	for _, base := range c.otherServers(best) {
		if fromLeader(best) {
			break
		}
		if other, ok := c.statusOf(ctx, base); ok && moreCurrent(other, best) {
			best = other
		}
	}
	return best, nil
}

// otherServers returns the servers except the one that answered, starting with
// the leader that it named.
func (c *Client) otherServers(status admin.Status) []string {
	others := slices.Clone(c.bases[1:])
	if status.LeaderAdminAddr != "" {
		scheme, _, _ := strings.Cut(c.bases[0], "://")
		others = append([]string{scheme + "://" + status.LeaderAdminAddr}, others...)
	}
	return others
}

// statusOf requests the status of one server once.
func (c *Client) statusOf(ctx context.Context, base string) (admin.Status, bool) {
	one := &Client{cfg: c.cfg, http: c.http, bases: []string{base}}
	answer := one.send(ctx, call{method: http.MethodGet, path: admin.PathStatus})
	var status admin.Status
	ok := answer.status == http.StatusOK && decodeAnswer(answer, &status) == nil
	return status, ok
}

func fromLeader(status admin.Status) bool {
	return status.Quorum && status.Server == status.Leader
}

func moreCurrent(a, b admin.Status) bool {
	switch {
	case fromLeader(a) != fromLeader(b):
		return fromLeader(a)
	case a.Quorum != b.Quorum:
		return a.Quorum
	default:
		return a.Revision > b.Revision
	}
}

// Audit returns audit records, oldest first.
func (c *Client) Audit(ctx context.Context, query admin.AuditQuery) ([]admin.AuditItem, error) {
	values := url.Values{}
	values.Set("since", strconv.FormatUint(query.Since, 10))
	values.Set("limit", strconv.Itoa(query.Limit))
	values.Set("operator", query.Operator)
	values.Set("key", query.Key)
	var reply admin.AuditReply
	err := c.do(ctx, call{method: http.MethodGet, path: admin.PathAudit + "?" + values.Encode()}, &reply)
	return reply.Records, err
}

// Servers returns the consensus members.
func (c *Client) Servers(ctx context.Context) ([]admin.Server, error) {
	var reply admin.ServersReply
	err := c.do(ctx, call{method: http.MethodGet, path: admin.PathServers}, &reply)
	return reply.Servers, err
}

// AddServer adds a consensus member.
func (c *Client) AddServer(ctx context.Context, name, addr string) ([]admin.Server, error) {
	body, err := json.Marshal(admin.ServerBody{Name: name, Addr: addr})
	if err != nil {
		return nil, fmt.Errorf("encode server: %w", err)
	}
	var reply admin.ServersReply
	err = c.do(ctx, call{method: http.MethodPost, path: admin.PathServers, body: body, changes: true}, &reply)
	return reply.Servers, err
}

// RemoveServer removes a consensus member.
func (c *Client) RemoveServer(ctx context.Context, name string) ([]admin.Server, error) {
	var reply admin.ServersReply
	path := admin.PathServers + "/" + url.PathEscape(name)
	err := c.do(ctx, call{method: http.MethodDelete, path: path, changes: true}, &reply)
	return reply.Servers, err
}
