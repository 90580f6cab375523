/*
 * What a configuration file may hold: a table of keys with their types and
 * bounds, which checks a tree, reads it into structs and shows values.
 */
#ifndef RULES_H
#define RULES_H

#include "node.h"

enum rule_type {
	RULE_INT, /* int64_t */
	RULE_MEMORY, /* int64_t, with KiB, MiB or GiB */
	RULE_BOOL, /* bool */
	RULE_WORD, /* unsigned: an enum, by the place in words */
	RULE_NAME, /* char * */
	RULE_NAMES, /* GPtrArray of char * */
	RULE_JSON, /* char *: JSON text */
	RULE_MAP, /* further rules, on the same struct */
	RULE_TYPE_COUNT
};

/* One key. A table of rules ends with a NULL key. */
struct rule {
	const char *key;
	enum rule_type type;
	bool required;
	size_t offset; /* of the field in its struct */
	int64_t min;
	int64_t max;
	const char *const *words; /* ends with NULL */
	const struct rule *sub;
};

extern const struct rule policy_rules[];
extern const struct rule team_rules[];
extern const struct rule service_rules[];
extern const char *const spread_words[];

/* Checks one file's tree by itself. */
void rules_check_file(struct node *root, GPtrArray *faults);

/* Reads a checked mapping into a struct; keys that are bad are left alone. */
void rules_read(const struct node *map, const struct rule *rules, void *to);

/* Tells of required keys that a merged mapping lacks. */
void rules_check_required(const struct node *map, const struct rule *rules,
    const char *path, GPtrArray *faults);

/* A field's value as text; caller frees. RULE_MAP has none. */
char *rule_show(const struct rule *rule, const void *from);

#endif
