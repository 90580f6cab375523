#include "internal.h"

void
cell_spec_clear(struct cell_spec *spec)
{
	g_free(spec->team);
	g_free(spec->name);
	if (spec->data_centers != NULL)
		g_ptr_array_unref(spec->data_centers);
	if (spec->payload != NULL)
		g_bytes_unref(spec->payload);
	*spec = (struct cell_spec){ 0 };
}

static GPtrArray *
copy_names(const GPtrArray *from)
{
	GPtrArray *to;

	if (from == NULL || from->len == 0)
		return NULL;
	to = g_ptr_array_new_full(from->len, g_free);
	for (guint i = 0; i < from->len; i++)
		g_ptr_array_add(to, g_strdup(g_ptr_array_index(from, i)));
	return to;
}

void
cell_spec_copy(struct cell_spec *to, const struct cell_spec *from)
{
	*to = *from;
	to->team = g_strdup(from->team);
	to->name = g_strdup(from->name);
	to->data_centers = copy_names(from->data_centers);
	to->payload = from->payload == NULL ? NULL : g_bytes_ref(from->payload);
}

void
spec_put(msgpack_packer *pk, const struct cell_spec *s)
{
	msgpack_pack_array(pk, 14);
	put_str(pk, s->team);
	put_str(pk, s->name);
	msgpack_pack_uint32(pk, s->kind);
	msgpack_pack_uint32(pk, s->tasks);
	put_resources(pk, &s->resources);
	msgpack_pack_int64(pk, s->runtime_ms);
	put_bool(pk, s->urgent);
	msgpack_pack_int64(pk, s->deadline_ms);
	put_bool(pk, s->idempotent);
	msgpack_pack_uint32(pk, s->spread);
	put_strs(pk, s->data_centers);
	put_bytes(pk, s->payload);
}

/* Returns NULL for an empty list. */
static GPtrArray *
get_names(struct reader *r)
{
	GPtrArray *names = get_strs(r, CELL_NAME_MAX, UINT32_MAX);

	if (names->len == 0)
		g_clear_pointer(&names, g_ptr_array_unref);
	return names;
}

void
spec_get(struct reader *r, struct cell_spec *s)
{
	struct reader in = get_array(r);

	s->team = get_str(&in, CELL_NAME_MAX);
	s->name = get_str(&in, CELL_NAME_MAX);
	s->kind = get_below(&in, KIND_COUNT);
	s->tasks = get_below(&in, CELL_TASKS_MAX + 1);
	get_resources(&in, &s->resources);
	s->runtime_ms = get_amount(&in);
	s->urgent = get_bool(&in);
	s->deadline_ms = get_amount(&in);
	s->idempotent = get_bool(&in);
	s->spread = get_below(&in, SPREAD_DATA_CENTER + 1);
	s->data_centers = get_names(&in);
	s->payload = get_bytes(&in, CELL_PAYLOAD_MAX);
	r->ok = r->ok && codec_done(&in) && s->team != NULL && s->name != NULL;
}

bool
spec_equal_except_tasks(const struct cell_spec *a, const struct cell_spec *b)
{
	struct cell_spec same = *a;
	msgpack_sbuffer x, y;
	msgpack_packer pk;
	bool equal;

	same.tasks = b->tasks;
	msgpack_sbuffer_init(&x);
	msgpack_sbuffer_init(&y);
	msgpack_packer_init(&pk, &x, msgpack_sbuffer_write);
	spec_put(&pk, &same);
	msgpack_packer_init(&pk, &y, msgpack_sbuffer_write);
	spec_put(&pk, b);
	equal = x.size == y.size && memcmp(x.data, y.data, x.size) == 0;
	msgpack_sbuffer_destroy(&x);
	msgpack_sbuffer_destroy(&y);
	return equal;
}
