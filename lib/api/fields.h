/*
 * Typed reading of a JSON object's keys. Faults are gathered, so that a
 * caller hears all of them at once.
 */
#ifndef API_FIELDS_H
#define API_FIELDS_H

#include <jansson.h>

#include "api.h"
#include "raw.h"

#define API_DEPTH_MAX 32 /* arrays and objects within each other */
#define API_FAULTS_MAX 20 /* told in one message */
#define API_AMOUNT_MAX (INT64_C(1) << 50)

struct faults {
	GString *text;
	int count;
};

/* An object being read. path is "" or "resources." and the like. */
struct object {
	json_t *json; /* NULL: absent; then every key is */
	struct raw raw;
	const char *path;
	struct faults *faults;
};

/* A parsed body. */
struct body {
	json_t *json;
	struct faults faults;
	struct object top;
};

/* Reads a body, which must be an object; false with a fault if it isn't. */
bool body_open(struct body *b, const void *text, size_t len);
/* Frees the body; false and an error if any fault was found. */
bool body_close(struct body *b, GError **err);

/* Adds a fault; json is what was found, or NULL: nothing. */
void fault(struct object *o, const char *key, const json_t *json,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Adds a fault for each key that is not in the list, which ends with NULL. */
void fault_unknown(struct object *o, const char *const *known);

bool has(const struct object *o, const char *key);
int64_t read_int(struct object *o, const char *key, int64_t min, int64_t max,
    int64_t absent);
/* As read_int(), but the key must be there. */
int64_t need_int(struct object *o, const char *key, int64_t min, int64_t max);
bool read_bool(struct object *o, const char *key);
/* A new string of 1 to max bytes; NULL if absent or faulty. */
char *read_string(struct object *o, const char *key, size_t max);
char *need_string(struct object *o, const char *key, size_t max);
/* The value's text as it came; NULL if absent. */
GBytes *read_value(struct object *o, const char *key, size_t max);
/* An object below this one, or one without keys. path outlives it. */
struct object read_object(struct object *o, const char *key, const char *path);
/* An array's elements; NULL if absent or of another type. */
json_t *read_array(struct object *o, const char *key);

#endif
