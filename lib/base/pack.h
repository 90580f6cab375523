/*
 * A guard in front of msgpack-c's parser, which allocates as many elements
 * as a header claims before it looks at them.
 */
#ifndef PACK_H
#define PACK_H

#include <stdbool.h>
#include <stddef.h>

#define PACK_DEPTH_MAX 16 /* nested arrays and maps */

/*
 * Says whether the bytes are exactly one msgpack value whose claimed lengths
 * and counts are within the bytes that are there.
 */
bool pack_sane(const void *data, size_t len);

#endif
