/* Commands as msgpack arrays: type, time, and the part of the type. */
#include "internal.h"

#define BATCH_MAX 20000 /* starts or ends in one command */

static void
run_put(msgpack_packer *pk, const struct flow_run *of)
{
	msgpack_pack_uint64(pk, of->job);
	msgpack_pack_uint32(pk, of->round);
	msgpack_pack_uint32(pk, of->step);
	msgpack_pack_uint32(pk, of->index);
	msgpack_pack_uint32(pk, of->run);
}

static void
run_get(struct reader *r, struct flow_run *of)
{
	of->job = get_u64(r);
	of->round = (uint32_t)get_u64(r);
	of->step = (uint32_t)get_below(r, FLOW_STEPS_MAX);
	of->index = (uint32_t)get_below(r, FLOW_TASKS_MAX);
	of->run = (uint32_t)get_u64(r);
}

static void
put_config(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	config_put(pk, &cmd->u.config);
}

static void
get_config(struct reader *r, struct flow_cmd *cmd)
{
	config_get(r, &cmd->u.config);
}

static void
put_worker(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	worker_put(pk, &cmd->u.worker);
}

static void
get_worker(struct reader *r, struct flow_cmd *cmd)
{
	worker_get(r, &cmd->u.worker);
}

static void
put_gone(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_uint32(pk, cmd->u.gone);
}

static void
get_gone(struct reader *r, struct flow_cmd *cmd)
{
	cmd->u.gone = (uint32_t)get_u64(r);
}

static void
put_submit(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_array(pk, 3);
	msgpack_pack_uint64(pk, cmd->u.submit.job);
	put_str(pk, cmd->u.submit.queue);
	spec_put(pk, &cmd->u.submit.spec);
}

static void
get_submit(struct reader *r, struct flow_cmd *cmd)
{
	struct reader a = get_array(r);

	cmd->u.submit.job = get_u64(&a);
	cmd->u.submit.queue = get_str(&a, FLOW_TEXT_MAX);
	spec_get(&a, &cmd->u.submit.spec);
	r->ok = r->ok && codec_done(&a) && cmd->u.submit.queue != NULL &&
	    cmd->u.submit.spec.steps->len > 0;
}

static void
put_starts(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	GArray *starts = cmd->u.starts;

	msgpack_pack_array(pk, starts->len * 6);
	for (guint i = 0; i < starts->len; i++) {
		const struct flow_start *s =
		    &g_array_index(starts, struct flow_start, i);

		run_put(pk, &s->of);
		msgpack_pack_uint32(pk, s->worker);
	}
}

static void
get_starts(struct reader *r, struct flow_cmd *cmd)
{
	struct reader a = get_array(r);

	cmd->u.starts = g_array_new(FALSE, TRUE, sizeof(struct flow_start));
	a.ok = a.ok && a.left <= BATCH_MAX * 6;
	while (a.ok && a.left > 0) {
		struct flow_start s;

		run_get(&a, &s.of);
		s.worker = (uint32_t)get_u64(&a);
		g_array_append_val(cmd->u.starts, s);
	}
	r->ok = r->ok && a.ok;
}

static void
end_clear(void *arg)
{
	struct flow_end *e = arg;

	g_free(e->saved);
}

static void
put_ends(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	GArray *ends = cmd->u.ends;

	msgpack_pack_array(pk, ends->len * 7);
	for (guint i = 0; i < ends->len; i++) {
		const struct flow_end *e =
		    &g_array_index(ends, struct flow_end, i);

		run_put(pk, &e->of);
		msgpack_pack_uint8(pk, (uint8_t)e->how);
		put_str(pk, e->saved);
	}
}

static void
get_ends(struct reader *r, struct flow_cmd *cmd)
{
	struct reader a = get_array(r);

	cmd->u.ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	g_array_set_clear_func(cmd->u.ends, end_clear);
	a.ok = a.ok && a.left <= BATCH_MAX * 7;
	while (a.ok && a.left > 0) {
		struct flow_end e;

		run_get(&a, &e.of);
		e.how = (enum flow_end_how)get_below(&a, FLOW_END_COUNT);
		e.saved = get_str(&a, FLOW_TEXT_MAX);
		g_array_append_val(cmd->u.ends, e);
	}
	r->ok = r->ok && a.ok;
}

static void
put_job(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_uint64(
	    pk, cmd->type == FLOW_CMD_CANCEL ? cmd->u.cancel : cmd->u.round);
}

static void
get_job(struct reader *r, struct flow_cmd *cmd)
{
	uint64_t job = get_u64(r);

	if (cmd->type == FLOW_CMD_CANCEL)
		cmd->u.cancel = job;
	else
		cmd->u.round = job;
}

static void
put_forget(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_int64(pk, cmd->u.forget_ms);
}

static void
get_forget(struct reader *r, struct flow_cmd *cmd)
{
	cmd->u.forget_ms = get_i64(r);
}

struct row {
	void (*put)(msgpack_packer *pk, const struct flow_cmd *cmd);
	void (*get)(struct reader *r, struct flow_cmd *cmd);
};

static const struct row rows[FLOW_CMD_COUNT] = {
	[FLOW_CMD_CONFIG] = { put_config, get_config },
	[FLOW_CMD_WORKER] = { put_worker, get_worker },
	[FLOW_CMD_WORKER_GONE] = { put_gone, get_gone },
	[FLOW_CMD_SUBMIT] = { put_submit, get_submit },
	[FLOW_CMD_START] = { put_starts, get_starts },
	[FLOW_CMD_END] = { put_ends, get_ends },
	[FLOW_CMD_CANCEL] = { put_job, get_job },
	[FLOW_CMD_ROUND] = { put_job, get_job },
	[FLOW_CMD_FORGET] = { put_forget, get_forget },
};

GBytes *
flow_cmd_encode(const struct flow_cmd *cmd)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint8(&pk, (uint8_t)cmd->type);
	msgpack_pack_int64(&pk, cmd->at_ms);
	rows[cmd->type].put(&pk, cmd);
	return codec_take_buffer(&buf);
}

bool
flow_cmd_decode(
    const void *data, size_t len, struct flow_cmd *cmd, GError **err)
{
	msgpack_unpacked u;
	struct reader r;
	bool ok = codec_open(&u, data, len, &r);

	*cmd = (struct flow_cmd){ 0 };
	if (ok) {
		cmd->type = (enum flow_cmd_type)get_below(&r, FLOW_CMD_COUNT);
		cmd->at_ms = get_i64(&r);
		if (r.ok)
			rows[cmd->type].get(&r, cmd);
		ok = codec_done(&r);
	}
	codec_close(&u);
	if (ok)
		return true;
	flow_cmd_clear(cmd);
	g_set_error_literal(
	    err, BT_ERROR, ERR_CORRUPT, "a command can't be decoded");
	return false;
}

void
flow_cmd_clear(struct flow_cmd *cmd)
{
	switch (cmd->type) {
	case FLOW_CMD_CONFIG:
		flow_config_clear(&cmd->u.config);
		break;
	case FLOW_CMD_WORKER:
		flow_worker_clear(&cmd->u.worker);
		break;
	case FLOW_CMD_SUBMIT:
		g_free(cmd->u.submit.queue);
		flow_spec_clear(&cmd->u.submit.spec);
		break;
	case FLOW_CMD_START:
		g_clear_pointer(&cmd->u.starts, g_array_unref);
		break;
	case FLOW_CMD_END:
		g_clear_pointer(&cmd->u.ends, g_array_unref);
		break;
	default:
		break;
	}
	*cmd = (struct flow_cmd){ 0 };
}
