/*
 * Finds the text of a value inside JSON text that has been checked already,
 * so that payloads and results are passed on byte for byte.
 */
#ifndef API_RAW_H
#define API_RAW_H

#include <stdbool.h>
#include <stddef.h>

struct raw {
	const char *p;
	size_t len;
};

/* The text without white space around it. */
struct raw raw_text(const void *text, size_t len);
/* The value of a key; len 0 if there is none (or its name has escapes). */
struct raw raw_member(struct raw object, const char *key);
/* The nth element; len 0 if there is none. */
struct raw raw_item(struct raw array, size_t n);

#endif
