/* JSON replies for operators: status, nodes, current configuration, traces. */
#include <jansson.h>
#include <string.h>

#include "api.h"
#include "leader_impl.h"

static char *
json_text(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	char *copy = g_strdup(text);

	free(text);
	json_decref(o);
	return copy;
}

static json_t *
nodes_json(struct leader *l)
{
	json_t *list = json_array();

	for (guint i = 0; i < l->clients->len; i++) {
		const struct client *c = l->clients->pdata[i];

		if (!c->joined)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:I}", "name",
			c->name, "address", c->address, "region", c->region,
			"data_center", c->data_center, "entry", c->is_entry,
			"leader", strcmp(c->name, l->node->conf.name) == 0,
			"draining", c->draining, "version",
			(json_int_t)c->config_version));
	}
	return list;
}

char *
reports_nodes(struct leader *l)
{
	json_t *o = json_pack("{s:s,s:s,s:o}", "outcome", "done", "leader",
	    l->node->conf.name, "nodes", nodes_json(l));

	return json_text(o);
}

char *
reports_config(struct leader *l)
{
	char *text = api_config(l->cell);
	json_t *o = json_loads(text, 0, NULL);

	g_free(text);
	json_object_set_new(o, "nodes", nodes_json(l));
	return json_text(o);
}

struct sums {
	int64_t workers[3];
	int64_t set_aside;
	struct resources capacity;
	struct resources used;
};

static bool
sum_worker(void *arg, const struct cell_worker *w)
{
	struct sums *s = arg;

	s->workers[w->state]++;
	s->set_aside += w->set_aside;
	if (w->state == WORKER_UP)
		resources_add(&s->capacity, &w->capacity, 1);
	resources_add(&s->used, &w->used, 1);
	return true;
}

static json_t *
resources_json(const struct resources *r)
{
	return json_pack("{s:I,s:I,s:I}", "millicpus", (json_int_t)r->millicpus,
	    "memory_bytes", (json_int_t)r->memory, "accelerators",
	    (json_int_t)r->accelerators);
}

static json_t *
stalled_json(const struct leader *l)
{
	json_t *list = json_array();

	for (guint i = 0; i < l->stalled->len; i++) {
		const struct stalled *s =
		    &g_array_index(l->stalled, struct stalled, i);

		json_array_append_new(list,
		    json_pack("{s:I,s:s,s:I}", "job", (json_int_t)s->job,
			"reason", s->reason, "for_ms",
			(json_int_t)s->duration_ms));
	}
	return list;
}

char *
reports_status(struct leader *l)
{
	struct sums s = { 0 };
	char *replica = replica_status(l->node->replica);
	char *wrapped = g_strdup_printf("{%s}", replica);
	json_t *o;

	cell_each_worker(l->cell, sum_worker, &s);
	o = json_pack(
	    "{s:s,s:s,s:I,s:s,s:{s:I,s:I,s:I,s:I},s:I,s:I,s:I,s:o,s:o,s:o,s:o}",
	    "outcome", "done", "leader", l->node->conf.name, "config_version",
	    (json_int_t)cell_config_version(l->cell), "config_digest",
	    cell_config_digest(l->cell), "workers", "up",
	    (json_int_t)s.workers[WORKER_UP], "draining",
	    (json_int_t)s.workers[WORKER_DRAINING], "lost",
	    (json_int_t)s.workers[WORKER_LOST], "set_aside",
	    (json_int_t)s.set_aside, "pending_jobs",
	    (json_int_t)cell_pending_jobs(l->cell), "pending_tasks",
	    (json_int_t)sched_waiting_tasks(l->sched), "running_tasks",
	    (json_int_t)g_hash_table_size(l->attempts), "offered",
	    resources_json(&s.capacity), "stalled", stalled_json(l), "used",
	    resources_json(&s.used), "replica", json_loads(wrapped, 0, NULL));
	g_free(wrapped);
	g_free(replica);
	return json_text(o);
}

char *
reports_config_reply(const struct cell_result *r)
{
	json_t *o = json_pack("{s:s,s:I,s:s*,s:s*}", "outcome",
	    outcome_name(r->outcome), "version", (json_int_t)r->version,
	    "author", r->author, "digest", r->digest);

	if (r->reason != NULL) {
		json_object_set_new(o, "reason", json_string(r->reason));
		json_object_set_new(o, "message",
		    json_string(r->message == NULL ? "" : r->message));
	}
	return json_text(o);
}

char *
reports_announce_reply(struct leader *l, const struct cell_worker *worker,
    const struct cell_entry *home)
{
	const struct config_policy *p = &leader_config(l)->policy;
	int64_t lease = config_shortest_lease(leader_config(l));
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation), "%" G_GUINT64_FORMAT,
	    worker->incarnation);
	return json_text(json_pack("{s:s,s:s,s:s,s:I,s:I,s:I}", "outcome",
	    "accepted", "home", home->address, "incarnation", incarnation,
	    "epoch", (json_int_t)worker->epoch, "lease_ms", (json_int_t)lease,
	    "heartbeat_ms", (json_int_t)p->heartbeat_ms));
}

static void
add_span(void *arg, const struct span *s)
{
	json_t *list = arg;
	char id[20];
	char parent[20];

	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", s->id);
	g_snprintf(
	    parent, sizeof(parent), "%016" G_GINT64_MODIFIER "x", s->parent);
	json_array_append_new(list,
	    json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:I}", "span", id, "parent",
		parent, "name", s->name, "node", s->node, "note", s->note,
		"start_us", (json_int_t)s->start_us, "duration_us",
		(json_int_t)s->duration_us));
}

char *
reports_trace(struct leader *l, const char *id)
{
	char *text = g_strdup_printf("00-%s-0000000000000001-01", id);
	struct trace_context ctx;
	json_t *list;

	if (!trace_parse(text, &ctx)) {
		g_free(text);
		return NULL;
	}
	g_free(text);
	list = json_array();
	tracer_each_span(l->node->tracer, ctx.high, ctx.low, add_span, list);
	if (json_array_size(list) == 0) {
		json_decref(list);
		return NULL;
	}
	return json_text(json_pack(
	    "{s:s,s:s,s:o}", "outcome", "done", "trace", id, "spans", list));
}
