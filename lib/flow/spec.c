/* Encodings of the structures that commands and snapshots contain. */
#include <math.h>

#include "internal.h"

/* In one configuration; the document has more than 64 bytes for each. */
#define QUEUES_MAX (FLOW_DOCUMENT_MAX / 64)
#define LABELS_MAX 64 /* of one worker */
/* Of one organisation; each takes at least 4 bytes of the document. */
#define KEYS_MAX (FLOW_DOCUMENT_MAX / 4)
/* A configuration with its queues, decoded; larger ones are refused. */
#define CONFIG_BYTES_MAX (2 * FLOW_DOCUMENT_MAX)
#define DEFLATE_MIN_BYTES 4096 /* smaller ones fit into a few packets */

struct flow_step *
flow_step_new(void)
{
	struct flow_step *s = g_new0(struct flow_step, 1);

	s->after = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return s;
}

void
flow_step_free(void *arg)
{
	struct flow_step *s = arg;

	if (s->after != NULL)
		g_array_unref(s->after);
	g_free(s->label);
	g_free(s->data_rack);
	g_free(s->image);
	g_free(s);
}

void
flow_spec_clear(struct flow_spec *spec)
{
	g_free(spec->payload);
	if (spec->steps != NULL)
		g_ptr_array_unref(spec->steps);
	*spec = (struct flow_spec){ 0 };
}

/* Bits of the flags in the encoding of a step. */
enum step_flag {
	STEP_GANG = 1,
	STEP_COLOCATED = 2,
	STEP_CHECKPOINTING = 4,
	STEP_ALLOW_DUPLICATES = 8,
	STEP_LONG_RUNNING = 16,
	STEP_BEST_EFFORT = 32
};

/* Estimates and shares are computed from it in integers. */
static double
get_figure(struct reader *r, double max)
{
	return fmin(fmax(get_double(r), 0), max);
}

static uint32_t
step_flags(const struct flow_step *s)
{
	return (s->gang ? STEP_GANG : 0) | (s->colocated ? STEP_COLOCATED : 0) |
	    (s->checkpointing ? STEP_CHECKPOINTING : 0) |
	    (s->allow_duplicates ? STEP_ALLOW_DUPLICATES : 0) |
	    (s->long_running ? STEP_LONG_RUNNING : 0) |
	    (s->best_effort ? STEP_BEST_EFFORT : 0);
}

static void
step_put(msgpack_packer *pk, const struct flow_step *s)
{
	msgpack_pack_array(pk, 13);
	msgpack_pack_uint32(pk, s->count);
	put_resources(pk, &s->resources);
	msgpack_pack_int64(pk, s->runtime_ms);
	msgpack_pack_array(pk, s->after->len);
	for (guint i = 0; i < s->after->len; i++)
		msgpack_pack_uint32(pk, g_array_index(s->after, uint32_t, i));
	msgpack_pack_uint32(pk, step_flags(s));
	put_str(pk, s->label);
	put_str(pk, s->data_rack);
	put_str(pk, s->image);
	msgpack_pack_uint32(pk, s->max_per_worker);
	msgpack_pack_uint32(pk, s->max_unavailable);
	msgpack_pack_int64(pk, s->target_latency_ms);
}

static struct flow_step *
step_get(struct reader *r, uint32_t number)
{
	struct reader a = get_array(r);
	struct flow_step *s = flow_step_new();
	struct reader after;
	uint32_t flags;

	s->count = (uint32_t)get_below(&a, FLOW_TASKS_MAX + 1);
	get_resources(&a, &s->resources);
	s->runtime_ms = get_amount(&a);
	after = get_array(&a);
	while (after.ok && after.left > 0) {
		uint32_t step = (uint32_t)get_below(&after, number);

		g_array_append_val(s->after, step);
	}
	flags = (uint32_t)get_u64(&a);
	s->gang = flags & STEP_GANG;
	s->colocated = flags & STEP_COLOCATED;
	s->checkpointing = flags & STEP_CHECKPOINTING;
	s->allow_duplicates = flags & STEP_ALLOW_DUPLICATES;
	s->long_running = flags & STEP_LONG_RUNNING;
	s->best_effort = flags & STEP_BEST_EFFORT;
	s->label = get_str(&a, FLOW_TEXT_MAX);
	s->data_rack = get_str(&a, FLOW_TEXT_MAX);
	s->image = get_str(&a, FLOW_TEXT_MAX);
	s->max_per_worker = (uint32_t)get_u64(&a);
	s->max_unavailable = (uint32_t)get_u64(&a);
	s->target_latency_ms = get_amount(&a);
	r->ok = r->ok && after.ok && codec_done(&a);
	return s;
}

void
spec_put(msgpack_packer *pk, const struct flow_spec *s)
{
	msgpack_pack_array(pk, 5);
	put_str(pk, s->payload);
	msgpack_pack_array(pk, s->steps->len);
	for (guint i = 0; i < s->steps->len; i++)
		step_put(pk, s->steps->pdata[i]);
	msgpack_pack_uint32(pk, s->repeat_count);
	msgpack_pack_int64(pk, s->start_at_ms);
	msgpack_pack_int64(pk, s->interval_ms);
}

void
spec_get(struct reader *r, struct flow_spec *s)
{
	struct reader a = get_array(r);
	struct reader steps;

	s->payload = get_str(&a, FLOW_PAYLOAD_MAX);
	s->steps = g_ptr_array_new_with_free_func(flow_step_free);
	steps = get_array(&a);
	steps.ok = steps.ok && steps.left <= FLOW_STEPS_MAX;
	while (steps.ok && steps.left > 0)
		g_ptr_array_add(s->steps, step_get(&steps, s->steps->len));
	s->repeat_count = (uint32_t)get_u64(&a);
	s->start_at_ms = get_amount(&a);
	s->interval_ms = get_amount(&a);
	r->ok = r->ok && steps.ok && codec_done(&a);
}

struct flow_queue *
flow_queue_new(void)
{
	struct flow_queue *q = g_new0(struct flow_queue, 1);

	q->refs = 1;
	return q;
}

void
flow_queue_unref(struct flow_queue *q)
{
	if (q == NULL || --q->refs > 0)
		return;
	g_free(q->name);
	g_free(q->host);
	g_free(q->prefix);
	g_free(q->pool);
	g_free(q);
}

void
queue_put(msgpack_packer *pk, const struct flow_queue *q)
{
	/* Without a set flag as earlier versions wrote it. */
	msgpack_pack_array(pk, q->public ? 13 : 12);
	put_str(pk, q->name);
	put_str(pk, q->host);
	put_str(pk, q->prefix);
	put_str(pk, q->pool);
	msgpack_pack_uint32(pk, q->priority);
	msgpack_pack_uint32(pk, q->max_failures);
	msgpack_pack_double(pk, q->slack_factor);
	msgpack_pack_int64(pk, q->target_ms);
	put_bool(pk, q->needs_permit);
	msgpack_pack_double(pk, q->permit_call_ms);
	msgpack_pack_double(pk, q->permit_worker_ms);
	msgpack_pack_int64(pk, q->permit_valid_ms);
	if (q->public)
		put_bool(pk, true);
}

struct flow_queue *
queue_get(struct reader *r)
{
	struct reader a = get_array(r);
	struct flow_queue *q = flow_queue_new();

	q->name = get_str(&a, FLOW_NAME_MAX);
	q->host = get_str(&a, FLOW_NAME_MAX);
	q->prefix = get_str(&a, FLOW_NAME_MAX);
	q->pool = get_str(&a, FLOW_NAME_MAX);
	q->priority = (uint32_t)get_u64(&a);
	q->max_failures = (uint32_t)get_u64(&a);
	q->slack_factor = get_figure(&a, FLOW_SLACK_MAX);
	q->target_ms = get_amount(&a);
	q->needs_permit = get_bool(&a);
	q->permit_call_ms = get_figure(&a, FLOW_PERMIT_MS_MAX);
	q->permit_worker_ms = get_figure(&a, FLOW_PERMIT_MS_MAX);
	q->permit_valid_ms = get_amount(&a);
	if (a.left > 0)
		q->public = get_bool(&a);
	r->ok = r->ok && codec_done(&a) && q->name != NULL && q->host != NULL &&
	    q->prefix != NULL && q->pool != NULL;
	return q;
}

void
flow_pool_free(void *arg)
{
	struct flow_pool *p = arg;

	g_free(p->name);
	g_free(p->health_path);
	g_free(p);
}

struct flow_organisation *
flow_organisation_new(void)
{
	struct flow_organisation *o = g_new0(struct flow_organisation, 1);

	o->keys = g_ptr_array_new_with_free_func(g_free);
	return o;
}

void
flow_organisation_free(void *arg)
{
	struct flow_organisation *o = arg;

	g_free(o->name);
	g_ptr_array_unref(o->keys);
	g_free(o);
}

void
flow_config_clear(struct flow_config *c)
{
	if (c->document != NULL)
		g_bytes_unref(c->document);
	if (c->queues != NULL)
		g_ptr_array_unref(c->queues);
	if (c->pools != NULL)
		g_ptr_array_unref(c->pools);
	if (c->organisations != NULL)
		g_ptr_array_unref(c->organisations);
	*c = (struct flow_config){ 0 };
}

static void
organisation_put(msgpack_packer *pk, const struct flow_organisation *o)
{
	msgpack_pack_array(pk, 6);
	put_str(pk, o->name);
	msgpack_pack_double(pk, o->weight);
	put_resources(pk, &o->cap);
	put_strs(pk, o->keys);
}

static struct flow_organisation *
organisation_get(struct reader *r)
{
	struct reader a = get_array(r);
	struct flow_organisation *o = g_new0(struct flow_organisation, 1);

	o->name = get_str(&a, FLOW_NAME_MAX);
	o->weight = get_figure(&a, FLOW_WEIGHT_MAX);
	get_resources(&a, &o->cap);
	o->keys = get_strs(&a, FLOW_NAME_MAX, KEYS_MAX);
	r->ok = r->ok && codec_done(&a) && o->name != NULL;
	return o;
}

void
config_put(msgpack_packer *pk, const struct flow_config *c)
{
	guint queues = c->queues == NULL ? 0 : c->queues->len;
	guint pools = c->pools == NULL ? 0 : c->pools->len;

	/* Without organisations as earlier versions wrote it. */
	msgpack_pack_array(pk, c->organisations == NULL ? 4 : 5);
	msgpack_pack_uint64(pk, c->version);
	put_bytes(pk, c->document);
	msgpack_pack_array(pk, queues);
	for (guint i = 0; i < queues; i++)
		queue_put(pk, c->queues->pdata[i]);
	msgpack_pack_array(pk, pools);
	for (guint i = 0; i < pools; i++) {
		const struct flow_pool *p = c->pools->pdata[i];

		msgpack_pack_array(pk, 4);
		put_str(pk, p->name);
		put_str(pk, p->health_path);
		put_bool(pk, p->enforces_capacity);
		put_bool(pk, p->standby);
	}
	if (c->organisations == NULL)
		return;
	msgpack_pack_array(pk, c->organisations->len);
	for (guint i = 0; i < c->organisations->len; i++)
		organisation_put(pk, c->organisations->pdata[i]);
}

static struct flow_pool *
pool_get(struct reader *r)
{
	struct reader a = get_array(r);
	struct flow_pool *p = g_new0(struct flow_pool, 1);

	p->name = get_str(&a, FLOW_NAME_MAX);
	p->health_path = get_str(&a, FLOW_NAME_MAX);
	p->enforces_capacity = get_bool(&a);
	p->standby = get_bool(&a);
	r->ok = r->ok && codec_done(&a) && p->name != NULL;
	return p;
}

static void
queue_unref(void *arg)
{
	flow_queue_unref(arg);
}

void
flow_config_init(struct flow_config *c)
{
	*c = (struct flow_config){ 0 };
	c->queues = g_ptr_array_new_with_free_func(queue_unref);
	c->pools = g_ptr_array_new_with_free_func(flow_pool_free);
}

void
config_get(struct reader *r, struct flow_config *c)
{
	struct reader a = get_array(r);
	struct reader list;

	flow_config_init(c);
	c->version = get_u64(&a);
	c->document = get_bytes(&a, FLOW_DOCUMENT_MAX);
	list = get_array(&a);
	list.ok = list.ok && list.left <= QUEUES_MAX;
	while (list.ok && list.left > 0)
		g_ptr_array_add(c->queues, queue_get(&list));
	r->ok = r->ok && list.ok;
	list = get_array(&a);
	while (list.ok && list.left > 0)
		g_ptr_array_add(c->pools, pool_get(&list));
	r->ok = r->ok && list.ok;
	if (a.left > 0) {
		c->organisations =
		    g_ptr_array_new_with_free_func(flow_organisation_free);
		list = get_array(&a);
		while (list.ok && list.left > 0)
			g_ptr_array_add(
			    c->organisations, organisation_get(&list));
		r->ok = r->ok && list.ok;
	}
	r->ok = r->ok && codec_done(&a);
}

void
flow_worker_clear(struct flow_worker *w)
{
	g_free(w->name);
	g_free(w->address);
	g_free(w->pool);
	g_free(w->data_center);
	g_free(w->rack);
	g_free(w->vm);
	if (w->labels != NULL)
		g_ptr_array_unref(w->labels);
	*w = (struct flow_worker){ 0 };
}

void
flow_worker_copy(struct flow_worker *to, const struct flow_worker *from)
{
	*to = *from;
	to->name = g_strdup(from->name);
	to->address = g_strdup(from->address);
	to->pool = g_strdup(from->pool);
	to->data_center = g_strdup(from->data_center);
	to->rack = g_strdup(from->rack);
	to->vm = g_strdup(from->vm);
	to->labels = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; from->labels != NULL && i < from->labels->len; i++)
		g_ptr_array_add(to->labels, g_strdup(from->labels->pdata[i]));
}

void
worker_put(msgpack_packer *pk, const struct flow_worker *w)
{
	/* Entries leave out seq: earlier versions can't read it. */
	msgpack_pack_array(pk, w->seq == 0 ? 13 : 14);
	msgpack_pack_uint32(pk, w->id);
	put_str(pk, w->name);
	put_str(pk, w->address);
	msgpack_pack_int64(pk, w->started_ms);
	put_str(pk, w->pool);
	put_str(pk, w->data_center);
	put_str(pk, w->rack);
	put_str(pk, w->vm);
	put_strs(pk, w->labels);
	put_resources(pk, &w->capacity);
	put_bool(pk, w->draining);
	if (w->seq != 0)
		msgpack_pack_int64(pk, w->seq);
}

void
worker_get(struct reader *r, struct flow_worker *w)
{
	struct reader a = get_array(r);

	w->id = (uint32_t)get_u64(&a);
	w->name = get_str(&a, FLOW_NAME_MAX);
	w->address = get_str(&a, FLOW_NAME_MAX);
	w->started_ms = get_i64(&a);
	w->pool = get_str(&a, FLOW_NAME_MAX);
	w->data_center = get_str(&a, FLOW_NAME_MAX);
	w->rack = get_str(&a, FLOW_NAME_MAX);
	w->vm = get_str(&a, FLOW_NAME_MAX);
	w->labels = get_strs(&a, FLOW_NAME_MAX, LABELS_MAX);
	get_resources(&a, &w->capacity);
	w->draining = get_bool(&a);
	if (a.left > 0)
		w->seq = get_i64(&a);
	r->ok = r->ok && codec_done(&a) && w->name != NULL &&
	    w->address != NULL && w->pool != NULL;
}

/* Begins a frame with a single structure: an array of one element. */
static void
frame_begin(msgpack_sbuffer *buf, msgpack_packer *pk)
{
	msgpack_sbuffer_init(buf);
	msgpack_packer_init(pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(pk, 1);
}

/* Reports whether the frame contained exactly one valid structure. */
static bool
frame_end(msgpack_unpacked *u, const struct reader *r)
{
	bool ok = codec_done(r);

	codec_close(u);
	return ok;
}

GBytes *
flow_spec_encode(const struct flow_spec *spec)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	frame_begin(&buf, &pk);
	spec_put(&pk, spec);
	return codec_take_buffer(&buf);
}

bool
flow_spec_decode(const void *data, size_t len, struct flow_spec *spec)
{
	msgpack_unpacked u;
	struct reader r;

	(void)codec_open(&u, data, len, &r);
	*spec = (struct flow_spec){ 0 };
	spec_get(&r, spec);
	if (frame_end(&u, &r))
		return true;
	flow_spec_clear(spec);
	return false;
}

GBytes *
flow_worker_encode(const struct flow_worker *w)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	frame_begin(&buf, &pk);
	worker_put(&pk, w);
	return codec_take_buffer(&buf);
}

bool
flow_worker_decode(const void *data, size_t len, struct flow_worker *w)
{
	msgpack_unpacked u;
	struct reader r;

	(void)codec_open(&u, data, len, &r);
	*w = (struct flow_worker){ 0 };
	worker_get(&r, w);
	if (frame_end(&u, &r))
		return true;
	flow_worker_clear(w);
	return false;
}

/*
 * Entries forward configurations over links of 2 Mbit/s, on which 1,000 queues
 * take more than a second unless compressed.
 */
GBytes *
flow_config_encode(const struct flow_config *c)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	GBytes *plain;
	GBytes *deflated;

	frame_begin(&buf, &pk);
	config_put(&pk, c);
	plain = codec_take_buffer(&buf);
	if (g_bytes_get_size(plain) < DEFLATE_MIN_BYTES)
		return plain;
	deflated = codec_deflate(plain);
	g_bytes_unref(plain);
	return deflated;
}

static bool
decode_plain_config(const void *data, size_t len, struct flow_config *c)
{
	msgpack_unpacked u;
	struct reader r;

	(void)codec_open(&u, data, len, &r);
	*c = (struct flow_config){ 0 };
	config_get(&r, c);
	if (frame_end(&u, &r))
		return true;
	flow_config_clear(c);
	return false;
}

bool
flow_config_decode(const void *data, size_t len, struct flow_config *c)
{
	GBytes *plain;
	gsize plain_len;
	const void *plain_data;
	bool ok;

	if (len == 0 || *(const uint8_t *)data != CODEC_ZLIB_BYTE)
		return decode_plain_config(data, len, c);
	*c = (struct flow_config){ 0 };
	plain = codec_inflate(data, len, CONFIG_BYTES_MAX);
	if (plain == NULL)
		return false;
	plain_data = g_bytes_get_data(plain, &plain_len);
	ok = decode_plain_config(plain_data, plain_len, c);
	g_bytes_unref(plain);
	return ok;
}
