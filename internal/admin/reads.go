package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// Limits of audit queries.
const (
	DefaultAuditLimit = 100
	MaxAuditLimit     = 1000
)

func (a *API) getConfig(c echo.Context) error {
	snapshot, err := a.backend.Get(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return readFailure(err)
	}
	if snapshot.Keys == nil {
		snapshot.Keys = []KeyValue{}
	}
	setETag(c, snapshot.Revision)
	if c.Request().Header.Get("If-None-Match") == formatETag(snapshot.Revision) {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, snapshot)
}

func (a *API) getStatus(c echo.Context) error {
	status, err := a.backend.Status(c.Request().Context())
	if err != nil {
		return readFailure(err)
	}
	return c.JSON(http.StatusOK, status)
}

func (a *API) getAudit(c echo.Context) error {
	query := AuditQuery{
		Limit:    DefaultAuditLimit,
		Operator: c.QueryParam("operator"),
		Key:      c.QueryParam("key"),
	}
	if text := c.QueryParam("since"); text != "" {
		since, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return badRequest("since must be a revision, a whole number from 0")
		}
		query.Since = since
	}
	if text := c.QueryParam("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > MaxAuditLimit {
			return badRequest("limit must be from 1 to " + strconv.Itoa(MaxAuditLimit))
		}
		query.Limit = limit
	}
	records, err := a.backend.Audit(c.Request().Context(), query)
	if err != nil {
		return readFailure(err)
	}
	return c.JSON(http.StatusOK, AuditReply{Records: toAuditItems(records)})
}

func toAuditItems(records []inventory.AuditRecord) []AuditItem {
	items := make([]AuditItem, len(records))
	for i, record := range records {
		items[i] = AuditItem{
			Revision:    record.Revision,
			Time:        record.Time.UTC().Format(time.RFC3339Nano),
			Operator:    record.Operator,
			OperationID: record.OperationID,
			Changes:     ToItems(record.Changes),
		}
	}
	return items
}

// ToItems converts changes to the JSON form of the API.
func ToItems(changes []inventory.Change) []ChangeItem {
	items := make([]ChangeItem, len(changes))
	for i, change := range changes {
		items[i] = ChangeItem{Key: change.Key, Value: change.Value}
	}
	return items
}
