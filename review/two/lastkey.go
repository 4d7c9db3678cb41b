//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

const (
	// configApply is configApplyMs.
	configApply = 2 * time.Second
	// asks is how often each key is used, after each configuration and configApply.
	asks = 10
	// firstKey and lastKey are those of the two tenants. neverKey is in no configuration.
	firstKey, lastKey, neverKey = "first-tenants-key", standin.Key, "key-of-nobody"
)

// lastTenantLeaves takes the keys of two tenants away, one tenant after the other. Rules CONFIG and ROUTE: no request runs with a dropped key
// later than configApplyMs after the acknowledgement, and none with a key that no configuration ever held.
func lastTenantLeaves(ctx context.Context, b *bed, trouble bool) (breaks []string, err error) {
	tenants := []any{
		map[string]any{"name": "first", "apiKeys": []string{firstKey}},
		map[string]any{"name": "last", "apiKeys": []string{lastKey}},
	}
	held := map[string]bool{firstKey: true, lastKey: true}
	b.document = func(version int) []byte {
		var document map[string]any
		if err := json.Unmarshal(standin.Document(version, "127.0.0.1:1"), &document); err != nil {
			panic(err)
		}
		document["tenants"] = tenants
		data, err := json.Marshal(document)
		if err != nil {
			panic(err)
		}
		return data
	}
	if err := b.startDaemons(ctx, 3, 2); err != nil {
		return nil, err
	}
	for i := range 3 {
		if err := b.addPlain(fmt.Sprintf("plain-%d", i+1), func(*standin.Worker) {}); err != nil {
			return nil, err
		}
	}
	for n, ip := range b.fleet.Entries {
		err := await(ctx, 20*time.Second, "a served request", func() bool {
			a := b.ask(ip, fmt.Sprintf("first-%d", n), lastKey)
			return a.err == nil && a.status == http.StatusOK
		})
		if err != nil {
			return nil, err
		}
	}
	for round := 1; round <= 3; round++ {
		if round > 1 {
			if trouble {
				delete(held, []string{firstKey, lastKey}[round-2])
				tenants = tenants[1:]
			}
			if err := b.configure(ctx); err != nil {
				return nil, err
			}
		}
		b.logf("operator: %d tenants are left", len(tenants))
		time.Sleep(configApply + 100*time.Millisecond)
		for i := range asks {
			for n, key := range []string{firstKey, lastKey, neverKey} {
				id := fmt.Sprintf("r%d-%d-%d", round, n, i)
				a := b.ask(b.fleet.Entries[i%2], id, key)
				ran := b.ran(id)
				b.logf("client: %s with %q: status %d, %v; run: %t", id, key, a.status, a.err, ran)
				if ran && !held[key] {
					breaks = append(breaks, fmt.Sprintf("%s: configuration %d has no key %q, the request ran %.1f s after its acknowledgement and later", id, b.version, key, configApply.Seconds()))
				}
			}
		}
	}
	return breaks, ctx.Err()
}

// ask sends one request with a key over a connection of its own.
func (b *bed) ask(entry, id, key string) answer {
	c := &client{}
	defer c.drop()
	return c.send(entry, request{id: id, method: http.MethodPost, host: standin.PlainHost, path: "/job/1", key: key, body: []byte("a job")})
}

// ran reports whether a server of the plain service has run a request.
func (b *bed) ran(id string) bool {
	for _, w := range b.plain {
		if w.Runs()[id] > 0 {
			return true
		}
	}
	return false
}
