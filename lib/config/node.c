#include <string.h>

#include <yaml.h>

#include "node.h"

#define FOUND_MAX 60 /* bytes of a scalar shown in a message */

/* The state of one parse. */
struct builder {
	yaml_parser_t yaml;
	const char *file;
	GPtrArray *faults;
	size_t nodes;
	bool fatal; /* parsing can't continue */
};

static struct node *
build(struct builder *b, yaml_event_t *ev, int depth, const char *path);

void
fault_add(GPtrArray *faults, const char *file, int line, const char *key,
    char *found, char *allowed)
{
	struct config_fault *f = g_new0(struct config_fault, 1);

	f->file = g_strdup(file);
	f->line = line;
	f->key = g_strdup(key);
	f->found = found;
	f->allowed = allowed;
	g_ptr_array_add(faults, f);
}

static void
entry_free(void *p)
{
	struct node_entry *e = p;

	g_free(e->key);
	node_unref(e->value);
	g_free(e);
}

static void
item_free(void *p)
{
	node_unref(p);
}

static struct node *
node_new(enum node_type type, const char *file, int line)
{
	struct node *n = g_new0(struct node, 1);

	n->refs = 1;
	n->type = type;
	n->file = g_ref_string_new(file);
	n->line = line;
	if (type == NODE_LIST)
		n->items = g_ptr_array_new_with_free_func(item_free);
	if (type == NODE_MAP) {
		n->entries = g_ptr_array_new_with_free_func(entry_free);
		n->index = g_hash_table_new(g_str_hash, g_str_equal);
	}
	return n;
}

struct node *
node_map_new(const char *file, int line)
{
	return node_new(NODE_MAP, file, line);
}

struct node *
node_ref(struct node *n)
{
	n->refs++;
	return n;
}

void
node_unref(struct node *n)
{
	if (n == NULL || --n->refs > 0)
		return;
	if (n->index != NULL)
		g_hash_table_unref(n->index);
	if (n->entries != NULL)
		g_ptr_array_unref(n->entries);
	if (n->items != NULL)
		g_ptr_array_unref(n->items);
	g_ref_string_release(n->file);
	g_free(n->text);
	g_free(n);
}

const struct node_entry *
node_entry(const struct node *n, const char *key)
{
	if (n == NULL || n->type != NODE_MAP)
		return NULL;
	return g_hash_table_lookup(n->index, key);
}

struct node *
node_get(const struct node *n, const char *key)
{
	const struct node_entry *e = node_entry(n, key);

	return e == NULL ? NULL : e->value;
}

/* Sets a key and takes ownership of the value. */
static void
node_set(struct node *n, const char *key, int line, struct node *value)
{
	struct node_entry *e = g_hash_table_lookup(n->index, key);

	if (e == NULL) {
		e = g_new0(struct node_entry, 1);
		e->key = g_strdup(key);
		g_ptr_array_add(n->entries, e);
		g_hash_table_insert(n->index, e->key, e);
	}
	node_unref(e->value);
	e->value = value;
	e->line = line;
}

static void
node_delete(struct node *n, const char *key)
{
	struct node_entry *e = g_hash_table_lookup(n->index, key);

	if (e == NULL)
		return;
	g_hash_table_remove(n->index, key);
	g_ptr_array_remove(n->entries, e);
}

void
node_merge(struct node *to, const struct node *from)
{
	for (guint i = 0; i < from->entries->len; i++) {
		const struct node_entry *e = from->entries->pdata[i];
		struct node *old = node_get(to, e->key);

		if (e->value->type == NODE_NULL) {
			node_delete(to, e->key);
			continue;
		}
		if (e->value->type != NODE_MAP) {
			node_set(to, e->key, e->line, node_ref(e->value));
			continue;
		}
		if (old == NULL || old->type != NODE_MAP) {
			old = node_map_new(e->value->file, e->value->line);
			old->invalid = e->value->invalid;
			node_set(to, e->key, e->line, old);
		}
		node_merge(old, e->value);
	}
}

char *
node_format(const struct node *n)
{
	char *escaped;
	char *found;

	switch (n->type) {
	case NODE_NULL:
		return g_strdup("null");
	case NODE_MAP:
		return g_strdup("a mapping");
	case NODE_LIST:
		return g_strdup("a list");
	case NODE_SCALAR:
		break;
	}
	escaped = g_strescape(n->text, NULL);
	found = g_strdup_printf(
	    strlen(escaped) > FOUND_MAX ? "\"%.*s...\"" : "\"%.*s\"", FOUND_MAX,
	    escaped);
	g_free(escaped);
	return found;
}

static void
builder_fault(struct builder *b, size_t line, const char *key,
    const char *found, const char *allowed)
{
	fault_add(b->faults, b->file, (int)line + 1, key, g_strdup(found),
	    g_strdup(allowed));
}

/* Reads the next event; false on a syntax error, which ends the parse. */
static bool
next_event(struct builder *b, yaml_event_t *ev)
{
	char *found;

	if (yaml_parser_parse(&b->yaml, ev) != 0)
		return true;
	found = g_strdup_printf("%s%s%s",
	    b->yaml.problem == NULL ? "invalid syntax" : b->yaml.problem,
	    b->yaml.context == NULL ? "" : " ",
	    b->yaml.context == NULL ? "" : b->yaml.context);
	builder_fault(b, b->yaml.problem_mark.line, "", found, "YAML");
	g_free(found);
	b->fatal = true;
	return false;
}

/* Anchors and tags are faults on any value or key. */
static void
check_properties(struct builder *b, const yaml_event_t *ev, const char *path,
    const yaml_char_t *anchor, const yaml_char_t *tag)
{
	if (anchor != NULL)
		builder_fault(b, ev->start_mark.line, path, "an anchor",
		    "values without anchors");
	if (tag != NULL)
		builder_fault(b, ev->start_mark.line, path, "a tag",
		    "values without tags");
}

/* Control characters other than tab and newline are not allowed. */
static bool
has_control(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = text[i];

		if (c == 0x7f || (c < 0x20 && c != '\n' && c != '\t'))
			return true;
	}
	return false;
}

static bool
is_null(const char *text)
{
	return *text == '\0' || strcmp(text, "~") == 0 ||
	    strcmp(text, "null") == 0 || strcmp(text, "Null") == 0 ||
	    strcmp(text, "NULL") == 0;
}

static struct node *
build_scalar(struct builder *b, const yaml_event_t *ev, const char *path)
{
	const char *text = (const char *)ev->data.scalar.value;
	size_t len = ev->data.scalar.length;
	bool plain = ev->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
	struct node *n =
	    node_new(NODE_SCALAR, b->file, (int)ev->start_mark.line + 1);

	check_properties(
	    b, ev, path, ev->data.scalar.anchor, ev->data.scalar.tag);
	n->plain = plain;
	n->text = g_strndup(text, len);
	if (plain && is_null(n->text))
		n->type = NODE_NULL;
	if (has_control(text, len)) {
		builder_fault(b, ev->start_mark.line, path,
		    "a control character", "printable text");
		n->invalid = true;
	}
	return n;
}

static char *
join(const char *path, const char *key)
{
	char *escaped = g_strescape(key, NULL);
	char *joined = *path == '\0' ? g_strdup(escaped)
				     : g_strconcat(path, ".", escaped, NULL);

	g_free(escaped);
	return joined;
}

/* Builds the value of one key; a duplicate key is a fault. */
static void
build_entry(struct builder *b, const yaml_event_t *ev, int depth,
    const char *path, struct node *map)
{
	struct node *key = build_scalar(b, ev, path);
	struct node *value = NULL;
	yaml_event_t next;
	char *name = join(path, key->text);

	if (next_event(b, &next))
		value = build(b, &next, depth, name);
	if (value != NULL && node_entry(map, key->text) != NULL) {
		builder_fault(
		    b, key->line - 1, name, "a duplicate key", "each key once");
		node_unref(value);
	} else if (value != NULL) {
		node_set(map, key->text, key->line, value);
	}
	g_free(name);
	node_unref(key);
}

static void
build_map(struct builder *b, struct node *map, int depth, const char *path)
{
	yaml_event_t ev;

	while (!b->fatal && next_event(b, &ev)) {
		if (ev.type == YAML_MAPPING_END_EVENT) {
			yaml_event_delete(&ev);
			return;
		}
		if (ev.type != YAML_SCALAR_EVENT) {
			builder_fault(b, ev.start_mark.line, path,
			    "a key that is not a scalar", "a scalar");
			b->fatal = true;
		} else {
			build_entry(b, &ev, depth, path, map);
		}
		yaml_event_delete(&ev);
	}
}

static void
build_list(struct builder *b, struct node *list, int depth, const char *path)
{
	yaml_event_t ev;
	struct node *item;

	while (!b->fatal && next_event(b, &ev)) {
		if (ev.type == YAML_SEQUENCE_END_EVENT) {
			yaml_event_delete(&ev);
			return;
		}
		item = build(b, &ev, depth, path);
		if (item != NULL)
			g_ptr_array_add(list->items, item);
	}
}

/* Counts a node; false with a fault if that exceeds a limit. */
static bool
within_bounds(
    struct builder *b, const yaml_event_t *ev, int depth, const char *path)
{
	const char *found = NULL;

	if (depth > NODE_DEPTH_MAX)
		found = "values nested too deeply";
	if (++b->nodes > NODE_COUNT_MAX)
		found = "too many values";
	if (found == NULL)
		return true;
	fault_add(b->faults, b->file, (int)ev->start_mark.line + 1, path,
	    g_strdup(found),
	    g_strdup_printf("at most %d levels and %d values", NODE_DEPTH_MAX,
		NODE_COUNT_MAX));
	b->fatal = true;
	return false;
}

/* Builds the node that an event starts; frees the event. */
static struct node *
build(struct builder *b, yaml_event_t *ev, int depth, const char *path)
{
	int line = (int)ev->start_mark.line + 1;
	struct node *n = NULL;

	if (!within_bounds(b, ev, depth, path)) {
		yaml_event_delete(ev);
		return NULL;
	}
	switch (ev->type) {
	case YAML_SCALAR_EVENT:
		n = build_scalar(b, ev, path);
		break;
	case YAML_MAPPING_START_EVENT:
		check_properties(b, ev, path, ev->data.mapping_start.anchor,
		    ev->data.mapping_start.tag);
		n = node_new(NODE_MAP, b->file, line);
		build_map(b, n, depth + 1, path);
		break;
	case YAML_SEQUENCE_START_EVENT:
		check_properties(b, ev, path, ev->data.sequence_start.anchor,
		    ev->data.sequence_start.tag);
		n = node_new(NODE_LIST, b->file, line);
		build_list(b, n, depth + 1, path);
		break;
	default:
		builder_fault(b, ev->start_mark.line, path, "an alias",
		    "values without aliases");
		break;
	}
	yaml_event_delete(ev);
	return n;
}

/* Builds the document of a stream; a second document is a fault. */
static struct node *
build_stream(struct builder *b)
{
	struct node *root = NULL;
	int documents = 0;
	bool end = false;
	yaml_event_t ev;

	while (!end && !b->fatal && next_event(b, &ev)) {
		switch (ev.type) {
		case YAML_STREAM_END_EVENT:
			end = true;
			break;
		case YAML_STREAM_START_EVENT:
		case YAML_DOCUMENT_END_EVENT:
			break;
		case YAML_DOCUMENT_START_EVENT:
			if (++documents == 1)
				break;
			builder_fault(b, ev.start_mark.line, "",
			    "a second document", "one document");
			b->fatal = true;
			break;
		default:
			root = build(b, &ev, 0, "");
			continue;
		}
		yaml_event_delete(&ev);
	}
	return root;
}

/* The root must be a mapping; an empty file counts as an empty one. */
static struct node *
check_root(struct builder *b, struct node *root)
{
	char *found;

	if (root != NULL && root->type == NODE_MAP)
		return root;
	if (root == NULL || root->type == NODE_NULL) {
		node_unref(root);
		return node_map_new(b->file, 1);
	}
	found = node_format(root);
	builder_fault(b, root->line - 1, "", found, "a mapping");
	g_free(found);
	node_unref(root);
	return NULL;
}

struct node *
node_parse(const char *file, const char *text, size_t len, GPtrArray *faults)
{
	struct builder b = { .file = file, .faults = faults };
	struct node *root;

	if (len > NODE_TEXT_MAX) {
		fault_add(faults, file, 0, "",
		    g_strdup_printf("%zu bytes", len),
		    g_strdup_printf("at most %d bytes", NODE_TEXT_MAX));
		return NULL;
	}
	if (yaml_parser_initialize(&b.yaml) == 0)
		g_error("config: out of memory");
	yaml_parser_set_encoding(&b.yaml, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(
	    &b.yaml, (const unsigned char *)(text == NULL ? "" : text), len);
	root = build_stream(&b);
	yaml_parser_delete(&b.yaml);
	if (!b.fatal)
		return check_root(&b, root);
	node_unref(root);
	return NULL;
}
