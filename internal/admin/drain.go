package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// maxDrainAttempts bounds how often a drain is tried when it conflicts with
// concurrent changes.
const maxDrainAttempts = 5

// drain sets or clears the drained mark of a VM. Like any change, it needs an
// operation id and adds an audit record.
func (a *API) drain(drained bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		operationID, err := operationID(c, "")
		if err != nil {
			return err
		}
		name := c.Param("vm")
		var result inventory.ChangeResult
		for range maxDrainAttempts {
			request := inventory.ChangeRequest{OperationID: operationID, Operator: operatorOf(c)}
			if err := a.prepareDrain(c.Request().Context(), name, drained, &request); err != nil {
				return err
			}
			result, err = a.apply(c.Request().Context(), request)
			if err != nil {
				return err
			}
			if result.Verdict != inventory.VerdictConflict {
				break
			}
		}
		return a.answerChange(c, result, operationID)
	}
}

// prepareDrain fills the request from the current record of the VM. The change
// is made even if the mark has the wanted value already, since only the backend
// knows whether this operation id was carried out before.
func (a *API) prepareDrain(ctx context.Context, name string, drained bool, request *inventory.ChangeRequest) error {
	vm, revision, err := a.findVM(ctx, name)
	if err != nil {
		return err
	}
	vm.Drained = drained
	value, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("marshal %s: %w", vm.Key(), err)
	}
	request.BaseRevision = revision
	request.Changes = []inventory.Change{{Key: vm.Key(), Value: value}}
	return nil
}

// findVM returns the declared VM, or one built from its announcement: VMs may
// announce themselves without being declared.
func (a *API) findVM(ctx context.Context, name string) (inventory.VM, uint64, error) {
	key := inventory.VM{Name: name}.Key()
	value, revision, err := a.getOne(ctx, key)
	if err != nil {
		return inventory.VM{}, 0, err
	}
	var vm inventory.VM
	if value != nil {
		if err := json.Unmarshal(value, &vm); err != nil {
			return vm, 0, fmt.Errorf("record %s: %w", key, err)
		}
		return vm, revision, nil
	}
	value, _, err = a.getOne(ctx, inventory.PrefixMember+name)
	if err != nil {
		return vm, 0, err
	}
	if value == nil {
		return vm, 0, failure(http.StatusNotFound, CodeNotFound, fmt.Sprintf("no VM %q is declared or has announced itself", name))
	}
	var member inventory.Member
	if err := json.Unmarshal(value, &member); err != nil {
		return vm, 0, fmt.Errorf("record of member %s: %w", name, err)
	}
	return inventory.VM{Name: name, Zone: member.Zone}, revision, nil
}

// getOne returns the value of the key, nil if it is absent, and the revision of
// the snapshot.
func (a *API) getOne(ctx context.Context, key string) (json.RawMessage, uint64, error) {
	snapshot, err := a.backend.Get(ctx, key)
	if err != nil {
		return nil, 0, readFailure(err)
	}
	for _, kv := range snapshot.Keys {
		if kv.Key == key {
			return kv.Value, snapshot.Revision, nil
		}
	}
	return nil, snapshot.Revision, nil
}
