/* The trace command: shows spans as a tree, in order of their start times. */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define DEPTH_MAX 16 /* ancestors followed, as parent ids may form a cycle */
#define INDENT 2 /* spaces for each level */

/* The spans of a reply, which owns them. */
struct spans {
	GPtrArray *rows; /* by start time */
	GHashTable *by_id; /* span id to span */
};

static json_int_t
start_us(const json_t *span)
{
	return json_integer_value(json_object_get(span, "start_us"));
}

static int
compare_start(const void *a, const void *b)
{
	json_int_t x = start_us(*(json_t *const *)a);
	json_int_t y = start_us(*(json_t *const *)b);

	return (x > y) - (x < y);
}

static const char *
string_field(const json_t *span, const char *key)
{
	const char *s = json_string_value(json_object_get(span, key));

	return s == NULL ? "" : s;
}

/* The depth in the tree: the number of ancestors among the spans. */
static int
span_depth(const struct spans *spans, const json_t *span)
{
	int depth = 0;

	while (depth < DEPTH_MAX &&
	    (span = g_hash_table_lookup(
		 spans->by_id, string_field(span, "parent"))) != NULL)
		depth++;
	return depth;
}

static json_t *
milliseconds(json_int_t us)
{
	char *s = g_strdup_printf("%.3f", (double)us / 1000);
	json_t *value = json_string(s);

	g_free(s);
	return value;
}

/* One row: start relative to the first span, duration, node, name, note. */
static json_t *
span_row(const struct spans *spans, const json_t *span)
{
	json_int_t first_us = start_us(spans->rows->pdata[0]);
	json_int_t duration_us =
	    json_integer_value(json_object_get(span, "duration_us"));
	char *name = g_strdup_printf("%*s%s", INDENT * span_depth(spans, span),
	    "", string_field(span, "name"));
	json_t *row = json_pack("{s:o,s:o,s:s,s:s,s:s}", "start_ms",
	    milliseconds(start_us(span) - first_us), "duration_ms",
	    milliseconds(duration_us), "node", string_field(span, "node"),
	    "span", name, "note", string_field(span, "note"));

	g_free(name);
	return row;
}

static void
show_spans(const json_t *body)
{
	json_t *list = json_object_get(body, "spans");
	struct spans spans = {
		.rows = g_ptr_array_new(),
		.by_id = g_hash_table_new(g_str_hash, g_str_equal),
	};
	json_t *table = json_array();
	size_t i;
	json_t *span;

	json_array_foreach(list, i, span)
	{
		g_ptr_array_add(spans.rows, span);
		g_hash_table_insert(
		    spans.by_id, (char *)string_field(span, "span"), span);
	}
	g_ptr_array_sort(spans.rows, compare_start);
	for (guint row = 0; row < spans.rows->len; row++)
		json_array_append_new(
		    table, span_row(&spans, spans.rows->pdata[row]));
	print_table(table);
	json_decref(table);
	g_hash_table_unref(spans.by_id);
	g_ptr_array_unref(spans.rows);
}

static enum ctl_exit
run_trace(struct ctl *ctl, int argc, char **argv)
{
	char *path = ctl_path("/v1/trace/", argv[0]);
	enum ctl_exit code = ctl_get(ctl, path, show_spans);

	g_free(path);
	return code;
}

const struct command command_trace = {
	.name = "trace",
	.args = "ID",
	.summary = "show the spans of a request",
	.min_args = 1,
	.max_args = 1,
	.run = run_trace,
};
