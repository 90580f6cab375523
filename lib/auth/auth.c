#include <string.h>

#include "auth.h"

#define DIGEST_BYTES 32

struct entry {
	uint8_t digest[DIGEST_BYTES];
	guint owner;
};

struct auth {
	GHashTable *entries; /* set of struct entry, by digest */
};

static void
digest_of(const char *key, uint8_t out[DIGEST_BYTES])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DIGEST_BYTES;

	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, out, &len);
	g_checksum_free(sum);
}

static guint
entry_hash(gconstpointer p)
{
	guint hash;

	memcpy(&hash, ((const struct entry *)p)->digest, sizeof(hash));
	return hash;
}

/* Takes the same time wherever the digests differ. */
static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	const struct entry *x = a;
	const struct entry *y = b;
	uint8_t difference = 0;

	for (int i = 0; i < DIGEST_BYTES; i++)
		difference |= x->digest[i] ^ y->digest[i];
	return difference == 0;
}

struct auth *
auth_new(void)
{
	struct auth *a = g_new0(struct auth, 1);

	a->entries =
	    g_hash_table_new_full(entry_hash, entry_equal, g_free, NULL);
	return a;
}

void
auth_free(struct auth *a)
{
	if (a == NULL)
		return;
	g_hash_table_unref(a->entries);
	g_free(a);
}

static const struct entry *
find(const struct auth *a, const char *key)
{
	struct entry e = { 0 };

	digest_of(key, e.digest);
	return g_hash_table_lookup(a->entries, &e);
}

bool
auth_add(struct auth *a, const char *key, guint owner)
{
	const struct entry *known = find(a, key);
	struct entry *e;

	if (known != NULL)
		return known->owner == owner;
	e = g_new0(struct entry, 1);
	digest_of(key, e->digest);
	e->owner = owner;
	g_hash_table_add(a->entries, e);
	return true;
}

bool
auth_find(const struct auth *a, const char *key, guint *owner)
{
	const struct entry *e = find(a, key);

	if (e == NULL)
		return false;
	*owner = e->owner;
	return true;
}

void
auth_fingerprint(const char *key, char out[AUTH_FINGERPRINT_DIGITS + 1])
{
	uint8_t digest[DIGEST_BYTES];

	digest_of(key, digest);
	for (int i = 0; i < AUTH_FINGERPRINT_DIGITS / 2; i++)
		g_snprintf(out + 2 * i, 3, "%02x", digest[i]);
}
