/*
 * Validation of untrusted msgpack data before msgpack-c parses it: msgpack-c
 * allocates as many elements as a header declares before it reads them.
 */
#ifndef PACK_H
#define PACK_H

#include <stdbool.h>
#include <stddef.h>

#define PACK_DEPTH_MAX 16 /* levels of values, the outermost included */

/*
 * Returns whether data is exactly one msgpack value, nested no deeper than
 * PACK_DEPTH_MAX, whose declared lengths and counts fit into len.
 */
bool pack_valid(const void *data, size_t len);

#endif
