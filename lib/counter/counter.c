#include <string.h>

#include "counter.h"

struct registry {
	GPtrArray *counters;
	GPtrArray *timers;
};

static const char *const type_names[] = {
	[COUNTER_TOTAL] = "counter",
	[COUNTER_GAUGE] = "gauge",
};

struct registry *
registry_new(void)
{
	struct registry *r = g_new0(struct registry, 1);

	r->counters = g_ptr_array_new_with_free_func(g_free);
	r->timers = g_ptr_array_new_with_free_func(g_free);
	return r;
}

void
registry_free(struct registry *r)
{
	if (r == NULL)
		return;
	g_ptr_array_unref(r->counters);
	g_ptr_array_unref(r->timers);
	g_free(r);
}

/* Behind the last counter of that name, as those share a header; -1: last. */
static int
position_for(const struct registry *r, const char *name)
{
	for (guint i = r->counters->len; i > 0; i--) {
		const struct counter *c = r->counters->pdata[i - 1];

		if (strcmp(c->name, name) == 0)
			return (int)i;
	}
	return -1;
}

struct counter *
counter_new(struct registry *r, enum counter_type type, const char *name,
    const char *labels, const char *help)
{
	struct counter *c = g_new0(struct counter, 1);

	*c = (struct counter){ .name = name,
		.help = help,
		.labels = labels,
		.type = type,
		.scale = 1 };
	g_ptr_array_insert(r->counters, position_for(r, name), c);
	return c;
}

struct timer *
timer_new(
    struct registry *r, const char *name, const char *labels, const char *help)
{
	struct timer *t = g_new0(struct timer, 1);

	t->name = name;
	t->help = help;
	t->labels = labels;
	g_ptr_array_add(r->timers, t);
	return t;
}

void
timer_add(struct timer *t, int64_t ms)
{
	int i = 0;

	while (i < TIMER_BUCKETS && ms > (INT64_C(1) << i))
		i++;
	t->bucket[i]++;
	t->sum_ms += ms;
	t->count++;
}

int64_t
timer_quantile(const struct timer *t, double quantile)
{
	int64_t rank = (int64_t)(quantile * (double)t->count);
	int64_t sum = 0;

	for (int i = 0; i <= TIMER_BUCKETS; i++) {
		sum += t->bucket[i];
		if (sum > rank)
			return INT64_C(1) << i;
	}
	return 0;
}

/* Writes HELP and TYPE unless the previous metric had the same name. */
static void
render_header(GString *out, const char *previous, const char *name,
    const char *help, const char *type)
{
	if (previous != NULL && strcmp(previous, name) == 0)
		return;
	g_string_append_printf(
	    out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
render_counter(GString *out, const struct counter *c)
{
	bool has_labels = *c->labels != '\0';

	g_string_append_printf(out, "%s%s%s%s ", c->name, has_labels ? "{" : "",
	    c->labels, has_labels ? "}" : "");
	if (c->scale == 1)
		g_string_append_printf(out, "%" G_GINT64_FORMAT "\n", c->value);
	else
		g_string_append_printf(
		    out, "%.6f\n", (double)c->value * c->scale);
}

static void
render_timer(GString *out, const struct timer *t)
{
	const char *comma = *t->labels ? "," : "";
	int64_t cumulative = 0;

	for (int i = 0; i < TIMER_BUCKETS; i++) {
		cumulative += t->bucket[i];
		g_string_append_printf(out,
		    "%s_bucket{%s%sle=\"%.3f\"} %" G_GINT64_FORMAT "\n",
		    t->name, t->labels, comma, (double)(INT64_C(1) << i) / 1000,
		    cumulative);
	}
	g_string_append_printf(out,
	    "%s_bucket{%s%sle=\"+Inf\"} %" G_GINT64_FORMAT "\n", t->name,
	    t->labels, comma, t->count);
	g_string_append_printf(out, "%s_sum{%s} %.3f\n", t->name, t->labels,
	    (double)t->sum_ms / 1000);
	g_string_append_printf(out, "%s_count{%s} %" G_GINT64_FORMAT "\n",
	    t->name, t->labels, t->count);
}

char *
registry_render(const struct registry *r)
{
	GString *out = g_string_new(NULL);
	const char *previous = NULL;

	for (guint i = 0; i < r->counters->len; i++) {
		const struct counter *c = r->counters->pdata[i];

		render_header(
		    out, previous, c->name, c->help, type_names[c->type]);
		render_counter(out, c);
		previous = c->name;
	}
	previous = NULL;
	for (guint i = 0; i < r->timers->len; i++) {
		const struct timer *t = r->timers->pdata[i];

		render_header(out, previous, t->name, t->help, "histogram");
		render_timer(out, t);
		previous = t->name;
	}
	return g_string_free(out, FALSE);
}
