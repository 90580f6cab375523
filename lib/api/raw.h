/*
 * Finds the text of a value in valid JSON text, so that payloads and results
 * are forwarded byte for byte.
 */
#ifndef API_RAW_H
#define API_RAW_H

#include <stdbool.h>
#include <stddef.h>

/* An unparsed slice of a JSON text; points into it. */
struct raw {
	const char *p;
	size_t len;
};

/* Returns the text without surrounding white space. */
struct raw raw_text(const void *text, size_t len);
/* Returns the text of a key's value; len 0 if the key is absent or written with
 * escapes. */
struct raw raw_member(struct raw object, const char *key);
/* Returns the text of element n, from 0; len 0 if there is none. */
struct raw raw_item(struct raw array, size_t n);

#endif
