#include <string.h>

#include "fields.h"

#define FOUND_MAX 40 /* bytes of a faulty value shown in a message */

/* Levels of nesting; if they exceed limit, some number above it. */
static int
nesting_depth(const json_t *json, int limit)
{
	const char *key;
	json_t *value;
	size_t i;
	int deepest = 0;
	int depth;

	if (!json_is_object(json) && !json_is_array(json))
		return 0;
	if (limit <= 0)
		return 1;
	json_object_foreach((json_t *)json, key, value)
	{
		depth = nesting_depth(value, limit - 1);
		deepest = MAX(deepest, depth);
	}
	json_array_foreach(json, i, value)
	{
		depth = nesting_depth(value, limit - 1);
		deepest = MAX(deepest, depth);
	}
	return deepest + 1;
}

static void
append_fault(struct faults *f, const char *text)
{
	f->count++;
	if (f->count > API_FAULTS_MAX)
		return;
	if (f->text->len > 0)
		g_string_append(f->text, "; ");
	g_string_append(f->text, text);
}

/* The value's JSON for messages, shortened to FOUND_MAX bytes. */
static char *
format_value(const json_t *json)
{
	char *text = json == NULL
	    ? NULL
	    : json_dumps(json, JSON_ENCODE_ANY | JSON_COMPACT);
	char *cut;

	if (text == NULL)
		return g_strdup("nothing");
	if (strlen(text) <= FOUND_MAX) {
		cut = g_strdup(text);
	} else {
		char *part = g_strndup(text, FOUND_MAX);

		/* The cut may be inside a UTF-8 sequence. */
		cut = g_utf8_make_valid(part, -1);
		g_free(part);
	}
	free(text);
	return cut;
}

void
report_fault(struct object *o, const char *key, const json_t *json,
    const char *format, ...)
{
	char *found = format_value(json);
	char *allowed;
	char *line;
	va_list args;

	va_start(args, format);
	allowed = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strdup_printf(
	    "%s%s: found %s, allowed %s", o->path, key, found, allowed);
	append_fault(o->faults, line);
	g_free(line);
	g_free(allowed);
	g_free(found);
}

bool
body_open(struct body *b, const void *text, size_t len)
{
	json_error_t e;
	char *line;

	*b = (struct body){ .faults.text = g_string_new(NULL) };
	b->root = (struct object){
		.raw = raw_text(text, len), .path = "", .faults = &b->faults
	};
	b->json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &e);
	if (b->json == NULL) {
		line = g_strdup_printf(
		    "body: line %d, column %d: %s", e.line, e.column, e.text);
		append_fault(&b->faults, line);
		g_free(line);
		return false;
	}
	if (nesting_depth(b->json, API_DEPTH_MAX) > API_DEPTH_MAX) {
		append_fault(&b->faults,
		    "body: nested too deeply, allowed " G_STRINGIFY(
			API_DEPTH_MAX) " levels");
		return false;
	}
	if (!json_is_object(b->json)) {
		report_fault(&b->root, "body", b->json, "an object");
		return false;
	}
	b->root.json = b->json;
	return true;
}

bool
body_close(struct body *b, GError **err)
{
	bool ok = b->faults.count == 0;
	int more = b->faults.count - API_FAULTS_MAX;

	if (!ok && more > 0)
		g_string_append_printf(b->faults.text, "; and %d more", more);
	if (!ok)
		g_set_error(
		    err, BT_ERROR, ERR_INVALID, "%s", b->faults.text->str);
	g_string_free(b->faults.text, TRUE);
	json_decref(b->json);
	return ok;
}

static bool
contains(const char *const *known, const char *key)
{
	for (; *known != NULL; known++) {
		if (strcmp(*known, key) == 0)
			return true;
	}
	return false;
}

void
report_unknown_keys(struct object *o, const char *const *known)
{
	const char *key;
	json_t *value;
	char *all;

	if (o->json == NULL)
		return;
	all = g_strjoinv(", ", (char **)known);
	json_object_foreach(o->json, key, value)
	{
		if (!contains(known, key))
			report_fault(o, key, value, "only the keys %s", all);
	}
	g_free(all);
}

/* A key's value; NULL if absent or null. */
static json_t *
get_value(const struct object *o, const char *key)
{
	json_t *value = json_object_get(o->json, key);

	return json_is_null(value) ? NULL : value;
}

bool
has_key(const struct object *o, const char *key)
{
	return get_value(o, key) != NULL;
}

static int64_t
check_int(struct object *o, const char *key, const json_t *v, int64_t min,
    int64_t max)
{
	if (json_is_integer(v) && json_integer_value(v) >= min &&
	    json_integer_value(v) <= max)
		return json_integer_value(v);
	report_fault(o, key, v,
	    "a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
	    min, max);
	return min;
}

int64_t
read_int(struct object *o, const char *key, int64_t min, int64_t max,
    int64_t default_value)
{
	json_t *v = get_value(o, key);

	return v == NULL ? default_value : check_int(o, key, v, min, max);
}

int64_t
require_int(struct object *o, const char *key, int64_t min, int64_t max)
{
	return check_int(o, key, get_value(o, key), min, max);
}

bool
read_bool(struct object *o, const char *key)
{
	json_t *v = get_value(o, key);

	if (v != NULL && !json_is_boolean(v))
		report_fault(o, key, v, "true or false");
	return json_is_true(v);
}

static char *
check_string(struct object *o, const char *key, const json_t *v, size_t max)
{
	size_t len = json_string_length(v);

	if (json_is_string(v) && len >= 1 && len <= max)
		return g_strdup(json_string_value(v));
	report_fault(o, key, v, "a string of 1 to %zu bytes", max);
	return NULL;
}

char *
read_string(struct object *o, const char *key, size_t max)
{
	json_t *v = get_value(o, key);

	return v == NULL ? NULL : check_string(o, key, v, max);
}

char *
require_string(struct object *o, const char *key, size_t max)
{
	return check_string(o, key, get_value(o, key), max);
}

GBytes *
read_value(struct object *o, const char *key, size_t max)
{
	json_t *v = json_object_get(o->json, key);
	struct raw raw;
	char *text = NULL;
	GBytes *bytes;

	if (v == NULL)
		return NULL;
	raw = raw_member(o->raw, key);
	if (raw.len == 0) {
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		raw = raw_text(text, strlen(text));
	}
	bytes = g_bytes_new(raw.p, raw.len);
	free(text);
	if (g_bytes_get_size(bytes) <= max)
		return bytes;
	report_fault(o, key, v, "at most %zu bytes of JSON", max);
	g_bytes_unref(bytes);
	return NULL;
}

struct object
read_object(struct object *o, const char *key, const char *path)
{
	struct object sub = { .path = path, .faults = o->faults };
	json_t *v = get_value(o, key);

	if (json_is_object(v)) {
		sub.json = v;
		sub.raw = raw_member(o->raw, key);
	} else if (v != NULL) {
		report_fault(o, key, v, "an object");
	}
	return sub;
}

json_t *
read_array(struct object *o, const char *key)
{
	json_t *v = get_value(o, key);

	if (v == NULL || json_is_array(v))
		return v;
	report_fault(o, key, v, "an array");
	return NULL;
}
