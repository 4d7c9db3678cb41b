package admin

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/inventory"
)

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

func (a *API) postChanges(c echo.Context) error {
	var body ChangeBody
	if err := readJSON(c, &body); err != nil {
		return err
	}
	operationID, err := operationID(c, body.OperationID)
	if err != nil {
		return err
	}
	base, err := baseRevision(c, body.BaseRevision)
	if err != nil {
		return err
	}
	request := inventory.ChangeRequest{
		OperationID:  operationID,
		BaseRevision: base,
		Operator:     operatorOf(c),
		Changes:      toChanges(body.Changes),
	}
	if problems := a.operatorKeysIn(request.Changes); len(problems) > 0 {
		return a.refused(inventory.ChangeResult{Verdict: inventory.VerdictInvalid, Problems: problems}, operationID)
	}
	result, err := a.apply(c.Request().Context(), request)
	if err != nil {
		return err
	}
	return a.answerChange(c, result, operationID)
}

// apply passes the request to the backend and counts the verdict.
func (a *API) apply(ctx context.Context, request inventory.ChangeRequest) (inventory.ChangeResult, error) {
	result, err := a.backend.Apply(ctx, request)
	if err != nil {
		a.metrics.changeFailed()
		return inventory.ChangeResult{}, changeFailure(err, request.OperationID)
	}
	a.metrics.change(result)
	return result, nil
}

func (a *API) answerChange(c echo.Context, result inventory.ChangeResult, operationID string) error {
	if result.Verdict != inventory.VerdictAccepted {
		return a.refused(result, operationID)
	}
	setETag(c, result.Revision)
	return c.JSON(http.StatusOK, ChangeReply{ChangeResult: result, OperationID: operationID})
}

func (a *API) refused(result inventory.ChangeResult, operationID string) error {
	if result.Verdict == inventory.VerdictConflict {
		conflict := failure(http.StatusConflict, CodeConflict, fmt.Sprintf(
			"the configuration has changed since the base revision; revision %d is in force", result.Revision))
		conflict.body.Revision = result.Revision
		conflict.body.OperationID = operationID
		return conflict
	}
	invalid := failure(http.StatusUnprocessableEntity, CodeInvalid, "the change is not valid; nothing was changed")
	invalid.body.Problems = result.Problems
	invalid.body.OperationID = operationID
	return invalid
}

// operatorKeysIn reports organisations that would have a key of an operator.
func (a *API) operatorKeysIn(changes []inventory.Change) []string {
	records := map[string][]byte{}
	for _, change := range changes {
		if strings.HasPrefix(change.Key, inventory.PrefixOrganisation) && change.Value != nil {
			records[change.Key] = change.Value
		}
	}
	inv, err := inventory.FromRecords(records)
	if err != nil {
		return nil // the backend's validation reports it
	}
	var problems []string
	for _, organisation := range inv.Organisations {
		for i, hash := range organisation.KeyHashes {
			if a.keys.containsHash(hash) {
				problems = append(problems, fmt.Sprintf("%s: key_hashes[%d]: is an operator's key; callers need keys of their own", organisation.Key(), i))
			}
		}
	}
	return problems
}

func toChanges(items []ChangeItem) []inventory.Change {
	changes := make([]inventory.Change, len(items))
	for i, item := range items {
		changes[i] = inventory.Change{Key: item.Key, Value: item.Value}
		if string(item.Value) == "null" {
			changes[i].Value = nil
		}
	}
	return changes
}

// operationID returns the id from the body or the header, which must agree if
// both are set.
func operationID(c echo.Context, fromBody string) (string, error) {
	fromHeader := c.Request().Header.Get(HeaderOperationID)
	if fromBody != "" && fromHeader != "" && fromBody != fromHeader {
		return "", badRequest("operation_id and the header " + HeaderOperationID + " differ")
	}
	id := fromBody
	if id == "" {
		id = fromHeader
	}
	if !operationPattern.MatchString(id) {
		return "", badRequest("an operation id is needed (operation_id or the header " + HeaderOperationID +
			"): 1 to 128 letters, digits, '.', '_' and '-', new for every change and the same for its resends")
	}
	return id, nil
}

// baseRevision returns the revision from the body or If-Match, which must agree
// if both are set.
func baseRevision(c echo.Context, fromBody *uint64) (uint64, error) {
	match := c.Request().Header.Get("If-Match")
	if match == "" {
		if fromBody == nil {
			return 0, failure(http.StatusPreconditionRequired, CodeNoBase,
				"base_revision or If-Match is needed: the revision the change was made from")
		}
		return *fromBody, nil
	}
	revision, err := parseETag(match)
	if err != nil {
		return 0, badRequest(`If-Match must be one ETag of this API such as "42", not ` + match)
	}
	if fromBody != nil && *fromBody != revision {
		return 0, badRequest("base_revision and If-Match differ")
	}
	return revision, nil
}

func setETag(c echo.Context, revision uint64) {
	c.Response().Header().Set("ETag", formatETag(revision))
}

func formatETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

func parseETag(tag string) (uint64, error) {
	text, ok := strings.CutPrefix(tag, `"`)
	text, closed := strings.CutSuffix(text, `"`)
	if !ok || !closed {
		return 0, fmt.Errorf("%s is not an ETag", tag)
	}
	return strconv.ParseUint(text, 10, 64)
}
