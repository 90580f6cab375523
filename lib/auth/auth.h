/*
 * Index of the keys that identify callers. Keys are kept and compared as
 * SHA-256 digests, so that neither memory nor timing reveals one.
 */
#ifndef AUTH_H
#define AUTH_H

#include "base.h"

#define AUTH_FINGERPRINT_DIGITS 8 /* hexadecimal */

struct auth;

struct auth *auth_new(void);
void auth_free(struct auth *a); /* NULL: does nothing */

/* Adds a key of an owner, a number that the caller chooses. Returns false, and
 * changes nothing, if another owner has it. */
bool auth_add(struct auth *a, const char *key, guint owner);
/* Sets *owner to the owner of a key; false if nobody has it. */
bool auth_find(const struct auth *a, const char *key, guint *owner);

/* Writes what logs show in place of a key: the first digits of its SHA-256. */
void auth_fingerprint(const char *key, char out[AUTH_FINGERPRINT_DIGITS + 1]);

#endif
