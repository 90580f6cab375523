/*
 * Index of the queues of a configuration by host and path prefix, and by name:
 * every request and every command that submits a job looks one up, and a
 * configuration may have many thousands.
 */
#include "internal.h"

struct host {
	GHashTable *prefixes; /* path prefix to its queue */
	GArray *lengths; /* size_t: of the prefixes, longest first */
};

struct routes {
	GHashTable *hosts; /* host in lower case to struct host */
	GHashTable *names; /* queue name to the first queue of that name */
};

static void
host_free(void *arg)
{
	struct host *h = arg;

	g_hash_table_unref(h->prefixes);
	g_array_unref(h->lengths);
	g_free(h);
}

static struct host *
host_get(struct routes *r, const char *name)
{
	char *key = g_ascii_strdown(name, -1);
	struct host *h = g_hash_table_lookup(r->hosts, key);

	if (h != NULL) {
		g_free(key);
		return h;
	}
	h = g_new0(struct host, 1);
	h->prefixes = g_hash_table_new(g_str_hash, g_str_equal);
	h->lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_hash_table_insert(r->hosts, key, h);
	return h;
}

static void
add_length(GArray *lengths, size_t len)
{
	guint at = 0;

	while (at < lengths->len && g_array_index(lengths, size_t, at) > len)
		at++;
	if (at < lengths->len && g_array_index(lengths, size_t, at) == len)
		return;
	g_array_insert_val(lengths, at, len);
}

struct routes *
routes_new(const GPtrArray *queues)
{
	struct routes *r = g_new0(struct routes, 1);

	r->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, host_free);
	r->names = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; queues != NULL && i < queues->len; i++) {
		struct flow_queue *q = queues->pdata[i];
		struct host *h = host_get(r, q->host);

		g_hash_table_replace(h->prefixes, q->prefix, q);
		add_length(h->lengths, strlen(q->prefix));
		if (!g_hash_table_contains(r->names, q->name))
			g_hash_table_insert(r->names, q->name, q);
	}
	return r;
}

void
routes_free(struct routes *r)
{
	if (r == NULL)
		return;
	g_hash_table_unref(r->hosts);
	g_hash_table_unref(r->names);
	g_free(r);
}

const struct flow_queue *
routes_named(const struct routes *r, const char *name)
{
	return r == NULL ? NULL : g_hash_table_lookup(r->names, name);
}

const struct flow_queue *
routes_find(const struct routes *r, const char *host, const char *path,
    const char **rest)
{
	const struct flow_queue *found = NULL;
	size_t path_len = strlen(path);
	const struct host *h;
	char *key;

	if (r == NULL)
		return NULL;
	key = g_ascii_strdown(host, -1);
	h = g_hash_table_lookup(r->hosts, key);
	g_free(key);
	if (h == NULL)
		return NULL;
	key = g_strdup(path);
	for (guint i = 0; found == NULL && i < h->lengths->len; i++) {
		size_t len = g_array_index(h->lengths, size_t, i);

		if (len > path_len)
			continue;
		key[len] = '\0';
		found = g_hash_table_lookup(h->prefixes, key);
		if (found != NULL)
			*rest = path + len;
	}
	g_free(key);
	return found;
}
