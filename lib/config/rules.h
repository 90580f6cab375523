/*
 * The schema of a configuration file: tables of keys with their types and
 * bounds. They are used to check a tree, read it into structs and format
 * values.
 */
#ifndef RULES_H
#define RULES_H

#include "node.h"

enum rule_type {
	RULE_INT, /* int64_t */
	RULE_MEMORY, /* int64_t, with KiB, MiB or GiB */
	RULE_BOOL, /* bool */
	RULE_ENUM, /* unsigned: an enum, as the index in enum_names */
	RULE_NAME, /* char * */
	RULE_NAMES, /* GPtrArray of char * */
	RULE_JSON, /* char *: JSON text */
	RULE_MAP, /* nested mapping; its fields are in the same struct */
	RULE_TYPE_COUNT
};

/* The rule for one key. A table of rules ends with a NULL key. */
struct rule {
	const char *key;
	enum rule_type type;
	bool required;
	size_t offset; /* of the field in its struct */
	int64_t min;
	int64_t max; /* of a RULE_JSON: its length in bytes */
	const char *const *enum_names; /* of a RULE_ENUM; ends with NULL */
	const struct rule *sub; /* of a RULE_MAP */
};

extern const struct rule policy_rules[];
extern const struct rule team_rules[];
extern const struct rule service_rules[];
extern const char *const spread_names[];

/* Checks the tree of one file; required keys may be missing. */
void rules_check_file(struct node *root, GPtrArray *faults);

/* Reads a checked mapping into a struct. Fields whose key is absent or invalid
 * keep their value. */
void rules_read(const struct node *map, const struct rule *rules, void *to);

/* Appends a fault for each required key that a merged mapping lacks. */
void rules_check_required(const struct node *map, const struct rule *rules,
    const char *path, GPtrArray *faults);

/* A field's value as text; the caller frees it. Not for RULE_MAP. */
char *rule_format(const struct rule *rule, const void *from);

#endif
