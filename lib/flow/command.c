/* Commands as msgpack arrays: type, time and the arguments of that type. */
#include "internal.h"

#define BATCH_MAX 20000 /* starts or ends in one command */

void
run_put(msgpack_packer *pk, const struct flow_run *run)
{
	msgpack_pack_uint64(pk, run->job);
	msgpack_pack_uint32(pk, run->occurrence);
	msgpack_pack_uint32(pk, run->step);
	msgpack_pack_uint32(pk, run->index);
	msgpack_pack_uint32(pk, run->number);
}

void
run_get(struct reader *r, struct flow_run *run)
{
	run->job = get_u64(r);
	run->occurrence = (uint32_t)get_u64(r);
	run->step = (uint32_t)get_below(r, FLOW_STEPS_MAX);
	run->index = (uint32_t)get_below(r, FLOW_TASKS_MAX);
	run->number = (uint32_t)get_u64(r);
}

/*
 * Compressed: everything that the leader sends to its followers waits behind
 * a configuration, which may take several MiB.
 */
static void
put_config(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	GBytes *encoded = cmd->encoded_config != NULL
	    ? g_bytes_ref(cmd->encoded_config)
	    : flow_config_encode(&cmd->u.config);

	put_bytes(pk, encoded);
	g_bytes_unref(encoded);
}

static void
get_config(struct reader *r, struct flow_cmd *cmd)
{
	GBytes *encoded;
	gsize len;
	const void *data;

	/* Logs of earlier versions. */
	if (codec_next_is_array(r)) {
		config_get(r, &cmd->u.config);
		return;
	}
	encoded = get_bytes(r, CODEC_NO_LIMIT);
	if (encoded == NULL) {
		r->ok = false;
		return;
	}
	data = g_bytes_get_data(encoded, &len);
	r->ok = r->ok && flow_config_decode(data, len, &cmd->u.config);
	g_bytes_unref(encoded);
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
put_worker_id(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_uint32(pk, cmd->u.worker_id);
}

static void
get_worker_id(struct reader *r, struct flow_cmd *cmd)
{
	cmd->u.worker_id = (uint32_t)get_u64(r);
}

static void
put_submit(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	bool owned = cmd->u.submit.organisation != NULL;

	/* Without an organisation as earlier versions wrote it. */
	msgpack_pack_array(pk, owned ? 4 : 3);
	msgpack_pack_uint64(pk, cmd->u.submit.job);
	put_str(pk, cmd->u.submit.queue);
	spec_put(pk, &cmd->u.submit.spec);
	if (owned)
		put_str(pk, cmd->u.submit.organisation);
}

static void
get_submit(struct reader *r, struct flow_cmd *cmd)
{
	struct reader a = get_array(r);

	cmd->u.submit.job = get_u64(&a);
	cmd->u.submit.queue = get_str(&a, FLOW_TEXT_MAX);
	spec_get(&a, &cmd->u.submit.spec);
	if (a.left > 0)
		cmd->u.submit.organisation = get_str(&a, FLOW_TEXT_MAX);
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

		run_put(pk, &s->id);
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

		run_get(&a, &s.id);
		s.worker = (uint32_t)get_u64(&a);
		g_array_append_val(cmd->u.starts, s);
	}
	r->ok = r->ok && a.ok;
}

static void
end_clear(void *arg)
{
	struct flow_end *e = arg;

	g_free(e->checkpoint);
}

static void
put_ends(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	GArray *ends = cmd->u.ends;

	/* Without learnt speeds as earlier versions wrote it. */
	msgpack_pack_array(pk, ends->len * 7 + (cmd->learn_speeds ? 1 : 0));
	for (guint i = 0; i < ends->len; i++) {
		const struct flow_end *e =
		    &g_array_index(ends, struct flow_end, i);

		run_put(pk, &e->id);
		msgpack_pack_uint8(pk, (uint8_t)e->outcome);
		put_str(pk, e->checkpoint);
	}
	if (cmd->learn_speeds)
		put_bool(pk, true);
}

/* Earlier versions committed checkpoints of any length, and stopped at each
 * start when they read them back. */
static char *
get_checkpoint(struct reader *r)
{
	char *text = get_str(r, CODEC_NO_LIMIT);

	if (text != NULL && strlen(text) > FLOW_CHECKPOINT_MAX)
		g_clear_pointer(&text, g_free);
	return text;
}

static void
get_ends(struct reader *r, struct flow_cmd *cmd)
{
	struct reader a = get_array(r);

	cmd->u.ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	g_array_set_clear_func(cmd->u.ends, end_clear);
	a.ok = a.ok && a.left <= BATCH_MAX * 7 + 1;
	while (a.ok && a.left > 1) {
		struct flow_end e;

		run_get(&a, &e.id);
		e.outcome =
		    (enum flow_end_outcome)get_below(&a, FLOW_END_COUNT);
		e.checkpoint = get_checkpoint(&a);
		g_array_append_val(cmd->u.ends, e);
	}
	if (a.left == 1)
		cmd->learn_speeds = get_bool(&a);
	r->ok = r->ok && a.ok;
}

static void
put_job_id(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_uint64(pk,
	    cmd->type == FLOW_CMD_CANCEL ? cmd->u.cancel
					 : cmd->u.occurrence_job);
}

static void
get_job_id(struct reader *r, struct flow_cmd *cmd)
{
	uint64_t job = get_u64(r);

	if (cmd->type == FLOW_CMD_CANCEL)
		cmd->u.cancel = job;
	else
		cmd->u.occurrence_job = job;
}

static void
put_prune(msgpack_packer *pk, const struct flow_cmd *cmd)
{
	msgpack_pack_int64(pk, cmd->u.prune_before_ms);
}

static void
get_prune(struct reader *r, struct flow_cmd *cmd)
{
	cmd->u.prune_before_ms = get_i64(r);
}

struct cmd_codec {
	void (*put)(msgpack_packer *pk, const struct flow_cmd *cmd);
	void (*get)(struct reader *r, struct flow_cmd *cmd);
};

static const struct cmd_codec codecs[FLOW_CMD_COUNT] = {
	[FLOW_CMD_CONFIG] = { put_config, get_config },
	[FLOW_CMD_WORKER] = { put_worker, get_worker },
	[FLOW_CMD_WORKER_REMOVED] = { put_worker_id, get_worker_id },
	[FLOW_CMD_SUBMIT] = { put_submit, get_submit },
	[FLOW_CMD_START] = { put_starts, get_starts },
	[FLOW_CMD_END] = { put_ends, get_ends },
	[FLOW_CMD_CANCEL] = { put_job_id, get_job_id },
	[FLOW_CMD_OCCURRENCE] = { put_job_id, get_job_id },
	[FLOW_CMD_PRUNE] = { put_prune, get_prune },
	[FLOW_CMD_WORKER_BACK] = { put_worker_id, get_worker_id },
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
	codecs[cmd->type].put(&pk, cmd);
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
			codecs[cmd->type].get(&r, cmd);
		ok = codec_done(&r);
	}
	codec_close(&u);
	if (ok)
		return true;
	flow_cmd_clear(cmd);
	g_set_error_literal(err, BT_ERROR, ERR_CORRUPT, "malformed command");
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
		g_free(cmd->u.submit.organisation);
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
