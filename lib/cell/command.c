/*
 * Encoding of commands: a msgpack array [type, at_ms, fields...]. A table has
 * one row for each type.
 */
#include "internal.h"

/* Functions for one command type. */
struct command {
	void (*put)(msgpack_packer *pk, const struct cell_cmd *cmd);
	void (*get)(struct reader *r, struct cell_cmd *cmd);
	void (*clear)(struct cell_cmd *cmd);
};

void
overlays_put(msgpack_packer *pk, const GArray *overlays)
{
	guint n = overlays == NULL ? 0 : overlays->len;

	msgpack_pack_array(pk, 2 * (size_t)n);
	for (guint i = 0; i < n; i++) {
		struct cell_overlay *o =
		    &g_array_index(overlays, struct cell_overlay, i);

		put_str(pk, o->site);
		put_str(pk, o->text);
	}
}

GArray *
overlays_get(struct reader *r)
{
	struct reader in = get_array(r);
	GArray *overlays = overlays_new();

	while (in.ok && in.left > 0) {
		struct cell_overlay *o = overlay_add(overlays);

		o->site = get_str(&in, CELL_NAME_MAX);
		o->text = get_str(&in, CODEC_NO_LIMIT);
		in.ok = in.ok && o->site != NULL && o->text != NULL;
	}
	r->ok = r->ok && in.ok;
	return overlays;
}

void
entry_put(msgpack_packer *pk, const struct cell_entry *e)
{
	put_str(pk, e->name);
	put_str(pk, e->address);
	put_str(pk, e->region);
	put_str(pk, e->data_center);
	msgpack_pack_uint64(pk, e->incarnation);
}

void
entry_get(struct reader *r, struct cell_entry *e)
{
	e->name = get_str(r, CELL_NAME_MAX);
	e->address = get_str(r, CELL_NAME_MAX);
	e->region = get_str(r, CELL_NAME_MAX);
	e->data_center = get_str(r, CELL_NAME_MAX);
	e->incarnation = get_u64(r);
	r->ok = r->ok && e->name != NULL && e->address != NULL &&
	    e->region != NULL && e->data_center != NULL;
}

void
worker_put(msgpack_packer *pk, const struct cell_worker *w)
{
	put_str(pk, w->name);
	put_str(pk, w->address);
	put_str(pk, w->rack);
	put_str(pk, w->data_center);
	msgpack_pack_uint64(pk, w->incarnation);
	put_resources(pk, &w->capacity);
	msgpack_pack_int64(pk, w->slots);
	msgpack_pack_int64(pk, w->connections);
	msgpack_pack_uint32(pk, w->home);
}

void
worker_get(struct reader *r, struct cell_worker *w)
{
	w->name = get_str(r, CELL_NAME_MAX);
	w->address = get_str(r, CELL_NAME_MAX);
	w->rack = get_str(r, CELL_NAME_MAX);
	w->data_center = get_str(r, CELL_NAME_MAX);
	w->incarnation = get_u64(r);
	get_resources(r, &w->capacity);
	w->slots = get_amount(r);
	w->connections = get_amount(r);
	w->home = get_below(r, (uint64_t)UINT32_MAX + 1);
	r->ok = r->ok && w->name != NULL && w->address != NULL &&
	    w->rack != NULL && w->data_center != NULL;
}

static uint32_t
get_u32(struct reader *r)
{
	return (uint32_t)get_below(r, (uint64_t)UINT32_MAX + 1);
}

static void
put_config(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint64(pk, cmd->u.config.version);
	put_str(pk, cmd->u.config.author);
	put_str(pk, cmd->u.config.base);
	overlays_put(pk, cmd->u.config.overlays);
}

static void
get_config(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.config.version = get_u64(r);
	cmd->u.config.author = get_str(r, CELL_NAME_MAX);
	cmd->u.config.base = get_str(r, CODEC_NO_LIMIT);
	cmd->u.config.overlays = overlays_get(r);
	r->ok =
	    r->ok && cmd->u.config.author != NULL && cmd->u.config.base != NULL;
}

static void
clear_config(struct cell_cmd *cmd)
{
	g_free(cmd->u.config.author);
	g_free(cmd->u.config.base);
	if (cmd->u.config.overlays != NULL)
		g_array_unref(cmd->u.config.overlays);
}

static void
put_entry(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	entry_put(pk, &cmd->u.entry);
}

static void
get_entry(struct reader *r, struct cell_cmd *cmd)
{
	entry_get(r, &cmd->u.entry);
}

static void
clear_entry(struct cell_cmd *cmd)
{
	g_free(cmd->u.entry.name);
	g_free(cmd->u.entry.address);
	g_free(cmd->u.entry.region);
	g_free(cmd->u.entry.data_center);
}

static void
put_entry_removed(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint32(pk, cmd->u.entry_removed);
}

static void
get_entry_removed(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.entry_removed = get_u32(r);
}

static void
clear_nothing(struct cell_cmd *cmd)
{
}

static void
put_worker(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	worker_put(pk, &cmd->u.announce.worker);
	put_bool(pk, cmd->u.announce.new_epoch);
}

static void
get_worker(struct reader *r, struct cell_cmd *cmd)
{
	worker_get(r, &cmd->u.announce.worker);
	cmd->u.announce.new_epoch = get_bool(r);
}

static void
clear_worker(struct cell_cmd *cmd)
{
	worker_clear(&cmd->u.announce.worker);
}

static void
put_worker_state(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint32(pk, cmd->u.worker_state.worker);
	msgpack_pack_uint64(pk, cmd->u.worker_state.epoch);
	msgpack_pack_uint32(pk, cmd->u.worker_state.state);
	put_bool(pk, cmd->u.worker_state.set_aside);
}

static void
get_worker_state(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.worker_state.worker = get_u32(r);
	cmd->u.worker_state.epoch = get_u64(r);
	cmd->u.worker_state.state = get_below(r, WORKER_LOST + 1);
	cmd->u.worker_state.set_aside = get_bool(r);
}

static void
put_submit(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	put_str(pk, cmd->u.submit.key);
	put_raw(pk, cmd->u.submit.digest, CELL_DIGEST_LEN);
	spec_put(pk, &cmd->u.submit.spec);
}

static void
get_submit(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.submit.key = get_str(r, CELL_KEY_MAX);
	get_raw(r, cmd->u.submit.digest, CELL_DIGEST_LEN);
	spec_get(r, &cmd->u.submit.spec);
}

static void
clear_submit(struct cell_cmd *cmd)
{
	g_free(cmd->u.submit.key);
	cell_spec_clear(&cmd->u.submit.spec);
}

static void
put_start(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	const GArray *starts = cmd->u.start.starts;
	guint n = starts == NULL ? 0 : starts->len;

	put_bool(pk, cmd->u.start.all_or_none);
	msgpack_pack_array(pk, 3 * (size_t)n);
	for (guint i = 0; i < n; i++) {
		struct cell_start *s =
		    &g_array_index(starts, struct cell_start, i);

		msgpack_pack_uint64(pk, s->job);
		msgpack_pack_uint32(pk, s->task);
		msgpack_pack_uint32(pk, s->worker);
	}
}

static void
get_start(struct reader *r, struct cell_cmd *cmd)
{
	struct reader in;
	GArray *starts = g_array_new(FALSE, TRUE, sizeof(struct cell_start));

	cmd->u.start.starts = starts;
	cmd->u.start.all_or_none = get_bool(r);
	in = get_array(r);
	while (in.ok && in.left > 0) {
		struct cell_start s = { .job = get_u64(&in) };

		s.task = get_u32(&in);
		s.worker = get_u32(&in);
		g_array_append_val(starts, s);
	}
	r->ok = r->ok && in.ok;
}

static void
clear_start(struct cell_cmd *cmd)
{
	if (cmd->u.start.starts != NULL)
		g_array_unref(cmd->u.start.starts);
}

static void
put_end(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint64(pk, cmd->u.end.job);
	msgpack_pack_uint32(pk, cmd->u.end.task);
	msgpack_pack_uint32(pk, cmd->u.end.attempt);
	msgpack_pack_uint32(pk, cmd->u.end.worker);
	msgpack_pack_uint32(pk, cmd->u.end.how);
	put_bytes(pk, cmd->u.end.result);
}

static void
get_end(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.end.job = get_u64(r);
	cmd->u.end.task = get_u32(r);
	cmd->u.end.attempt = get_u32(r);
	cmd->u.end.worker = get_u32(r);
	cmd->u.end.how = get_below(r, END_LOST + 1);
	cmd->u.end.result = get_bytes(r, CELL_RESULT_MAX);
}

static void
clear_end(struct cell_cmd *cmd)
{
	if (cmd->u.end.result != NULL)
		g_bytes_unref(cmd->u.end.result);
}

static void
put_cancel(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint64(pk, cmd->u.cancel.job);
	put_str(pk, cmd->u.cancel.team);
	put_str(pk, cmd->u.cancel.prefix);
}

static void
get_cancel(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.cancel.job = get_u64(r);
	cmd->u.cancel.team = get_str(r, CELL_NAME_MAX);
	cmd->u.cancel.prefix = get_str(r, CELL_NAME_MAX);
	if (cmd->u.cancel.job == 0 && cmd->u.cancel.team == NULL)
		r->ok = false;
}

static void
clear_cancel(struct cell_cmd *cmd)
{
	g_free(cmd->u.cancel.team);
	g_free(cmd->u.cancel.prefix);
}

static void
put_expire(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint64(pk, cmd->u.expire);
}

static void
get_expire(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.expire = get_u64(r);
}

static void
put_preempt(msgpack_packer *pk, const struct cell_cmd *cmd)
{
	msgpack_pack_uint64(pk, cmd->u.preempt.job);
	msgpack_pack_uint32(pk, cmd->u.preempt.task);
	msgpack_pack_uint32(pk, cmd->u.preempt.attempt);
}

static void
get_preempt(struct reader *r, struct cell_cmd *cmd)
{
	cmd->u.preempt.job = get_u64(r);
	cmd->u.preempt.task = get_u32(r);
	cmd->u.preempt.attempt = get_u32(r);
}

static const struct command commands[CMD_TYPE_COUNT] = {
	[CMD_CONFIG] = { put_config, get_config, clear_config },
	[CMD_ENTRY] = { put_entry, get_entry, clear_entry },
	[CMD_ENTRY_REMOVED] = { put_entry_removed, get_entry_removed,
	    clear_nothing },
	[CMD_WORKER] = { put_worker, get_worker, clear_worker },
	[CMD_WORKER_STATE] = { put_worker_state, get_worker_state,
	    clear_nothing },
	[CMD_SUBMIT] = { put_submit, get_submit, clear_submit },
	[CMD_START] = { put_start, get_start, clear_start },
	[CMD_END] = { put_end, get_end, clear_end },
	[CMD_CANCEL] = { put_cancel, get_cancel, clear_cancel },
	[CMD_EXPIRE] = { put_expire, get_expire, clear_nothing },
	[CMD_PREEMPT] = { put_preempt, get_preempt, clear_nothing },
};

/* Length of each type's array, with type and at_ms. */
static const uint8_t field_counts[CMD_TYPE_COUNT] = {
	[CMD_CONFIG] = 6,
	[CMD_ENTRY] = 7,
	[CMD_ENTRY_REMOVED] = 3,
	[CMD_WORKER] = 14,
	[CMD_WORKER_STATE] = 6,
	[CMD_SUBMIT] = 5,
	[CMD_START] = 4,
	[CMD_END] = 8,
	[CMD_CANCEL] = 5,
	[CMD_EXPIRE] = 3,
	[CMD_PREEMPT] = 5,
};

GBytes *
cell_cmd_encode(const struct cell_cmd *cmd)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	g_assert(cmd->type < CMD_TYPE_COUNT);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, field_counts[cmd->type]);
	msgpack_pack_uint32(&pk, cmd->type);
	msgpack_pack_int64(&pk, cmd->at_ms);
	commands[cmd->type].put(&pk, cmd);
	return codec_take_buffer(&buf);
}

bool
cell_cmd_decode(
    const void *data, size_t len, struct cell_cmd *cmd, GError **err)
{
	msgpack_unpacked u;
	struct reader r;

	*cmd = (struct cell_cmd){ .type = CMD_EXPIRE };
	codec_open(&u, data, len, &r);
	cmd->type = get_below(&r, CMD_TYPE_COUNT);
	cmd->at_ms = get_i64(&r);
	if (r.ok)
		commands[cmd->type].get(&r, cmd);
	codec_close(&u);
	if (codec_done(&r))
		return true;
	cell_cmd_clear(cmd);
	g_set_error(err, BT_ERROR, ERR_CORRUPT,
	    "cell: malformed command of %zu bytes", len);
	return false;
}

void
cell_cmd_clear(struct cell_cmd *cmd)
{
	commands[cmd->type].clear(cmd);
	*cmd = (struct cell_cmd){ .type = CMD_EXPIRE };
}
