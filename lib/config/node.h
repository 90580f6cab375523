/*
 * A YAML text as a tree of mappings, lists and scalars that remember their
 * file and line. Input is bounded: size, depth, number of nodes; anchors,
 * aliases, tags, duplicate keys and further documents are faults.
 */
#ifndef NODE_H
#define NODE_H

#include "config.h"

#define NODE_TEXT_MAX (1024 * 1024) /* bytes of one file */
#define NODE_DEPTH_MAX 8 /* mappings and lists inside each other */
#define NODE_COUNT_MAX 100000 /* nodes of one file */

enum node_type { NODE_NULL, NODE_SCALAR, NODE_MAP, NODE_LIST };

/* One node, shared by reference count. */
struct node {
	int refs;
	enum node_type type;
	char *file; /* a GRefString */
	int line; /* from 1 */
	bool plain; /* a scalar without quotes */
	bool bad; /* a fault of this node has been told */
	char *text; /* of a scalar */
	GPtrArray *entries; /* of a mapping: struct node_entry */
	GHashTable *index; /* of a mapping: key to entry */
	GPtrArray *items; /* of a list: struct node */
};

struct node_entry {
	char *key;
	int line; /* of the key */
	struct node *value;
};

/* Parses a text; NULL after a fault that leaves no tree to look at. */
struct node *
node_parse(const char *file, const char *text, size_t len, GPtrArray *faults);

struct node *node_map_new(const char *file, int line);
struct node *node_ref(struct node *n);
void node_unref(struct node *n);

/* Looks a key of a mapping up; NULL if it is absent or n is no mapping. */
const struct node_entry *node_entry(const struct node *n, const char *key);
struct node *node_get(const struct node *n, const char *key);

/* Overrides by key: mappings deeply, null deletes, all else replaces. */
void node_merge(struct node *to, const struct node *from);

/* What a fault says was found: a short printable form; caller frees. */
char *node_found(const struct node *n);

/* Adds a fault; takes over found and allowed. */
void fault_add(GPtrArray *faults, const char *file, int line, const char *key,
    char *found, char *allowed);

#endif
