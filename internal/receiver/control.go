package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirewick/samphirewick/internal/authenticator"
	"github.com/samphirewick/samphirewick/internal/messenger"
	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/reducer"
)

// decode reads the JSON body into the value.
func (r *receiver) decode(c echo.Context, into any) *modeler.RefusalError {
	body, refusal := r.readBody(c)
	if refusal != nil {
		return refusal
	}
	err := json.Unmarshal(body, into)
	if err == nil {
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return modeler.Refuse(modeler.CodeInvalid, typeErr.Field, "is a %s", typeErr.Value)
	}
	return modeler.Refuse(modeler.CodeInvalid, "body", "%v", err)
}

// relay calls control with the default time-out and sends its answer to the caller.
func (r *receiver) relay(c echo.Context, status int, method string, params any) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	return r.relayWithContext(ctx, c, status, method, params)
}

func (r *receiver) relayWithContext(ctx context.Context, c echo.Context, status int, method string, params any) error {
	var answer json.RawMessage
	if err := r.options.Call(ctx, method, params, &answer); err != nil {
		return err
	}
	c.Response().Header().Set(HeaderOutcome, string(modeler.OutcomeRan))
	return c.JSONBlob(status, answer)
}

func queryNumber(c echo.Context, name string) (int, *modeler.RefusalError) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, modeler.Refuse(modeler.CodeInvalid, name, "%q is not a whole number", text)
	}
	return number, nil
}

// submitJob submits a job. The body's field schema is the version of its schema;
// the body is passed on unchanged.
func (r *receiver) submitJob(c echo.Context, caller authenticator.Caller) error {
	body, refusal := r.readBody(c)
	if refusal != nil {
		return refusal
	}
	var head struct {
		Schema     int    `json:"schema"`
		Department string `json:"department"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return modeler.Refuse(modeler.CodeInvalid, "body", "%v", err)
	}
	if caller.Role == authenticator.RoleDepartment && head.Department != caller.Department {
		return modeler.Refuse(modeler.CodeForbidden, "department", "%q is not %q", head.Department, caller.Department)
	}
	return r.relay(c, http.StatusCreated, messenger.MethodSubmitJob, messenger.SubmitCall{
		Actor: caller.Name,
		Job:   reducer.Submission{Schema: head.Schema, Raw: body},
	})
}

func (r *receiver) getJob(c echo.Context, caller authenticator.Caller) error {
	schema, refusal := queryNumber(c, "schema")
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	var status messenger.JobStatus
	call := messenger.JobCall{ID: c.Param("id"), Schema: schema}
	if err := r.options.Call(ctx, messenger.MethodGetJob, call, &status); err != nil {
		return err
	}
	if caller.Role == authenticator.RoleDepartment && status.Department != caller.Department {
		return modeler.Refuse(modeler.CodeNotFound, "job", "%q is not known", call.ID)
	}
	return c.JSON(http.StatusOK, status)
}

func (r *receiver) listJobs(c echo.Context, caller authenticator.Caller) error {
	schema, refusal := queryNumber(c, "schema")
	if refusal != nil {
		return refusal
	}
	limit, refusal := queryNumber(c, "limit")
	if refusal != nil {
		return refusal
	}
	department := caller.Department
	if caller.Role == authenticator.RoleOperator {
		department = c.QueryParam("department")
	}
	call := messenger.ListJobsCall{Department: department, Limit: limit, Schema: schema}
	return r.relay(c, http.StatusOK, messenger.MethodListJobs, call)
}

func (r *receiver) cancelJobs(c echo.Context, caller authenticator.Caller) error {
	var body struct {
		IDs []string `json:"ids"`
	}
	if refusal := r.decode(c, &body); refusal != nil {
		return refusal
	}
	if len(body.IDs) == 0 {
		return modeler.Refuse(modeler.CodeInvalid, "ids", "missing")
	}
	call := messenger.CancelCall{Actor: caller.Name, Department: caller.Department, IDs: body.IDs}
	return r.relay(c, http.StatusOK, messenger.MethodCancelJobs, call)
}

func (r *receiver) announce(c echo.Context, _ authenticator.Caller) error {
	var w modeler.Worker
	if refusal := r.decode(c, &w); refusal != nil {
		return refusal
	}
	return r.relay(c, http.StatusOK, messenger.MethodAnnounce, w)
}

func (r *receiver) renew(c echo.Context, _ authenticator.Caller) error {
	var renewal messenger.Renewal
	if refusal := r.decode(c, &renewal); refusal != nil {
		return refusal
	}
	answer, err := r.options.Renew(c.Request().Context(), renewal)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (r *receiver) leaveWorker(c echo.Context, _ authenticator.Caller) error {
	var call reducer.WorkerSession
	if refusal := r.decode(c, &call); refusal != nil {
		return refusal
	}
	return r.relay(c, http.StatusOK, messenger.MethodLeaveWorker, call)
}

// inForceTimeout bounds the wait until every live entry has a change in force.
const inForceTimeout = 12 * time.Second

// apply answers once the change is accepted or, if the caller asks to wait, once
// every live entry has it in force. The answer says whether that was reached
// within inForceTimeout.
func (r *receiver) apply(c echo.Context, caller authenticator.Caller) error {
	var body struct {
		messenger.ApplyCall
		Wait bool `json:"wait"`
	}
	if refusal := r.decode(c, &body); refusal != nil {
		return refusal
	}
	body.Actor = caller.Name
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	var answer messenger.ApplyAnswer
	if err := r.options.Call(ctx, messenger.MethodApply, body.ApplyCall, &answer); err != nil {
		return err
	}
	if body.Wait {
		answer.InForce = r.awaitInForce(c.Request().Context(), answer.Revision)
	}
	c.Response().Header().Set(HeaderOutcome, string(modeler.OutcomeRan))
	return c.JSON(http.StatusOK, answer)
}

func (r *receiver) awaitInForce(ctx context.Context, revision uint64) bool {
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for waitCtx.Err() == nil {
		var answer messenger.InForceAnswer
		call := messenger.InForceCall{Revision: revision}
		if err := r.options.Call(waitCtx, messenger.MethodInForce, call, &answer); err == nil && answer.InForce {
			return true
		}
	}
	return false
}

func (r *receiver) getDocuments(c echo.Context, _ authenticator.Caller) error {
	schema, refusal := queryNumber(c, "schema")
	if refusal != nil {
		return refusal
	}
	since, refusal := queryNumber(c, "since")
	if refusal != nil {
		return refusal
	}
	wait, refusal := queryNumber(c, "waitMillis")
	if refusal != nil {
		return refusal
	}
	call := messenger.DocumentsCall{
		Kind:   modeler.DocumentKind(c.QueryParam("kind")),
		Name:   c.QueryParam("name"),
		Schema: schema,
		Since:  uint64(since),
		Wait:   time.Duration(wait) * time.Millisecond,
	}
	return r.relay(c, http.StatusOK, messenger.MethodGetDocuments, call)
}

func (r *receiver) drain(c echo.Context, caller authenticator.Caller) error {
	var call messenger.DrainCall
	if refusal := r.decode(c, &call); refusal != nil {
		return refusal
	}
	if len(call.Workers) == 0 {
		return modeler.Refuse(modeler.CodeInvalid, "workers", "missing")
	}
	call.Actor = caller.Name
	return r.relay(c, http.StatusOK, messenger.MethodDrain, call)
}

func (r *receiver) audit(c echo.Context, _ authenticator.Caller) error {
	limit, refusal := queryNumber(c, "limit")
	if refusal != nil {
		return refusal
	}
	return r.relay(c, http.StatusOK, messenger.MethodAudit, messenger.AuditCall{Limit: limit})
}

func (r *receiver) interference(c echo.Context, _ authenticator.Caller) error {
	return r.relay(c, http.StatusOK, messenger.MethodInterference, struct{}{})
}

func (r *receiver) status(c echo.Context, _ authenticator.Caller) error {
	return r.relay(c, http.StatusOK, messenger.MethodStatus, struct{}{})
}

func (r *receiver) departments(c echo.Context, _ authenticator.Caller) error {
	return r.relay(c, http.StatusOK, messenger.MethodGetDepartments, struct{}{})
}

func (r *receiver) snapshot(c echo.Context, _ authenticator.Caller) error {
	return r.relay(c, http.StatusOK, messenger.MethodSnapshot, struct{}{})
}

func (r *receiver) members(c echo.Context, _ authenticator.Caller) error {
	return r.relay(c, http.StatusOK, messenger.MethodMembers, struct{}{})
}

func (r *receiver) addMember(c echo.Context, caller authenticator.Caller) error {
	var call messenger.MemberCall
	if refusal := r.decode(c, &call); refusal != nil {
		return refusal
	}
	call.Actor = caller.Name
	return r.relay(c, http.StatusOK, messenger.MethodAddMember, call)
}

func (r *receiver) removeMember(c echo.Context, caller authenticator.Caller) error {
	call := messenger.MemberCall{Actor: caller.Name, ID: c.Param("id")}
	return r.relay(c, http.StatusOK, messenger.MethodRemoveMember, call)
}
