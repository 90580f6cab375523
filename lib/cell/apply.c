#include "internal.h"

static apply_fn *const apply[CMD_TYPE_COUNT] = {
	[CMD_CONFIG] = apply_config,
	[CMD_ENTRY] = apply_entry,
	[CMD_ENTRY_REMOVED] = apply_entry_removed,
	[CMD_WORKER] = apply_worker,
	[CMD_WORKER_STATE] = apply_worker_state,
	[CMD_SUBMIT] = apply_submit,
	[CMD_START] = apply_start,
	[CMD_END] = apply_end,
	[CMD_CANCEL] = apply_cancel,
	[CMD_EXPIRE] = apply_expire,
	[CMD_PREEMPT] = apply_preempt,
};

void
result_refuse(struct cell_result *res, enum outcome outcome, const char *reason,
    char *message)
{
	res->outcome = outcome;
	res->reason = reason;
	res->message = message;
}

bool
cell_apply(struct cell *c, const void *data, size_t len,
    struct cell_result *result, GError **err)
{
	struct cell_cmd cmd;

	*result = (struct cell_result){ .outcome = OUT_ACCEPTED };
	if (!cell_cmd_decode(data, len, &cmd, err))
		return false;
	c->time_ms = MAX(c->time_ms, cmd.at_ms);
	apply_retention(c);
	apply[cmd.type](c, &cmd, result);
	cell_cmd_clear(&cmd);
	return true;
}

void
cell_result_clear(struct cell_result *result)
{
	g_free(result->message);
	g_free(result->author);
	g_free(result->digest);
	*result = (struct cell_result){ 0 };
}
