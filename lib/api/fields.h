/*
 * Reads the keys of a JSON object by type. Faults are collected, so that the
 * error message lists all of them at once.
 */
#ifndef API_FIELDS_H
#define API_FIELDS_H

#include <jansson.h>

#include "api.h"
#include "raw.h"

#define API_DEPTH_MAX 32 /* levels of nested arrays and objects */
#define API_FAULTS_MAX 20 /* listed in one message; the rest is counted */
#define API_AMOUNT_MAX (INT64_C(1) << 50) /* of any resource or time */

struct faults {
	GString *text; /* separated by "; " */
	int count; /* including those that text leaves out */
};

/* An object being read. */
struct object {
	json_t *json; /* NULL: absent; then all its keys are absent */
	struct raw raw; /* its text; used by read_value() only */
	const char *path; /* prefix of its keys in messages: "", "resources." */
	struct faults *faults;
};

/* A parsed body. */
struct body {
	json_t *json;
	struct faults faults;
	struct object root;
};

/* Parses a body; false with a fault if it is not a valid JSON object. Call
 * body_close() in either case. */
bool body_open(struct body *b, const void *text, size_t len);
/* Frees the body; false with ERR_INVALID if there were any faults. */
bool body_close(struct body *b, GError **err);

/* Adds a fault. json is the value found, NULL if absent; format describes what
 * is allowed. */
void report_fault(struct object *o, const char *key, const json_t *json,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Adds a fault for each key that is not in known, which ends with NULL. */
void report_unknown_keys(struct object *o, const char *const *known);

/*
 * Functions that read a key. null counts as absent, except in read_value(). A
 * value of the wrong type or out of range is a fault; the integer functions
 * then return min.
 */
bool has_key(const struct object *o, const char *key);
int64_t read_int(struct object *o, const char *key, int64_t min, int64_t max,
    int64_t default_value);
/* Like read_int(), but an absent key is a fault. */
int64_t
require_int(struct object *o, const char *key, int64_t min, int64_t max);
/* False if absent. */
bool read_bool(struct object *o, const char *key);
/* A new string of 1 to max bytes; NULL if absent or faulty. */
char *read_string(struct object *o, const char *key, size_t max);
/* Like read_string(), but an absent key is a fault. */
char *require_string(struct object *o, const char *key, size_t max);
/*
 * The value's text of at most max bytes; NULL if absent or faulty. It is
 * unchanged unless the key is written with escapes.
 */
GBytes *read_value(struct object *o, const char *key, size_t max);
/* A nested object; one without keys if absent or faulty. path is not
 * copied and must outlive the object. */
struct object read_object(struct object *o, const char *key, const char *path);
/* A borrowed array; NULL if absent or faulty. */
json_t *read_array(struct object *o, const char *key);

#endif
