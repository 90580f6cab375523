/*
 * Parses YAML into a tree of mappings, lists and scalars with file and line
 * of each node. Size, depth and number of nodes are bounded. Anchors, aliases,
 * tags, duplicate keys and a second document are faults.
 */
#ifndef NODE_H
#define NODE_H

#include "config.h"

#define NODE_TEXT_MAX (1024 * 1024) /* bytes of one file */
#define NODE_DEPTH_MAX 8 /* levels of nested mappings and lists */
#define NODE_COUNT_MAX 100000 /* nodes of one file */

enum node_type { NODE_NULL, NODE_SCALAR, NODE_MAP, NODE_LIST };

/* A node of the tree; reference counted. */
struct node {
	int refs;
	enum node_type type;
	char *file; /* a GRefString */
	int line; /* from 1 */
	bool plain; /* a scalar without quotes */
	bool invalid; /* a fault of it was reported: later checks skip it */
	char *text; /* of a scalar or null */
	GPtrArray *entries; /* of a mapping: struct node_entry */
	GHashTable *index; /* of a mapping: key to struct node_entry */
	GPtrArray *items; /* of a list: struct node */
};

struct node_entry {
	char *key;
	int line; /* of the key */
	struct node *value;
};

/*
 * Parses one file and appends its faults. Returns NULL if it has no usable
 * tree; an empty file gives an empty mapping.
 */
struct node *
node_parse(const char *file, const char *text, size_t len, GPtrArray *faults);

struct node *node_map_new(const char *file, int line);
struct node *node_ref(struct node *n);
void node_unref(struct node *n);

/* Look up a key; NULL if it is absent, or n is NULL or not a mapping. */
const struct node_entry *node_entry(const struct node *n, const char *key);
struct node *node_get(const struct node *n, const char *key);

/*
 * Merges the mapping from into the mapping to: nested mappings are merged, null
 * removes a key, any other value replaces the old one.
 */
void node_merge(struct node *to, const struct node *from);

/* Short printable form of a node for messages; the caller frees it. */
char *node_format(const struct node *n);

/* Appends a fault and takes ownership of found and allowed. */
void fault_add(GPtrArray *faults, const char *file, int line, const char *key,
    char *found, char *allowed);

#endif
