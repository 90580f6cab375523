/*
 * Entries and messages. A message is encoded as one msgpack array
 * [type, mask, fields...] with only the fields whose bit is set in mask.
 */
#include <msgpack.h>

#include "codec.h"
#include "pack.h"

#include "core.h"

/* Fields in the order of their mask bits. */
enum field {
	FIELD_FROM,
	FIELD_TO,
	FIELD_TERM,
	FIELD_INDEX,
	FIELD_LOG_TERM,
	FIELD_COMMIT,
	FIELD_CONTEXT,
	FIELD_HINT,
	FIELD_OFFSET,
	FIELD_TOTAL,
	FIELD_NUMBERS, /* count of the fields that are integers */
	FIELD_REJECT = FIELD_NUMBERS, /* no value, just the bit */
	FIELD_LEADER_TRANSFER, /* no value, just the bit */
	FIELD_ENTRIES, /* [term, type, data, ...]; first index: INDEX + 1 */
	FIELD_CHUNK,
	FIELD_MEMBERS, /* [id, learner, ...] */
	FIELD_UNANIMOUS, /* no value, just the bit */
	FIELD_COUNT
};

#define ENTRY_VALUES 3
#define MEMBER_VALUES 2

struct raft_entry *
raft_entry_new(
    uint64_t index, uint64_t term, enum raft_entry_type type, GBytes *data)
{
	struct raft_entry *e = g_new0(struct raft_entry, 1);

	*e = (struct raft_entry){
		.index = index,
		.term = term,
		.type = type,
		.data = data != NULL ? g_bytes_ref(data) : g_bytes_new(NULL, 0),
		.refs = 1,
	};
	return e;
}

struct raft_entry *
raft_entry_ref(struct raft_entry *e)
{
	/* Atomic, as any thread may have references. */
	g_atomic_int_inc(&e->refs);
	return e;
}

void
raft_entry_unref(struct raft_entry *e)
{
	if (e == NULL || !g_atomic_int_dec_and_test(&e->refs))
		return;
	g_bytes_unref(e->data);
	g_free(e);
}

struct raft_msg *
raft_msg_new(enum raft_msg_type type)
{
	struct raft_msg *m = g_new0(struct raft_msg, 1);

	m->type = type;
	return m;
}

void
raft_msg_free(struct raft_msg *m)
{
	if (m == NULL)
		return;
	g_clear_pointer(&m->entries, g_ptr_array_unref);
	g_clear_pointer(&m->chunk, g_bytes_unref);
	g_free(m);
}

/* Returns the struct member that holds an integer field. */
static uint64_t *
number_field(struct raft_msg *m, int field)
{
	uint64_t *const numbers[FIELD_NUMBERS] = {
		[FIELD_FROM] = &m->from,
		[FIELD_TO] = &m->to,
		[FIELD_TERM] = &m->term,
		[FIELD_INDEX] = &m->index,
		[FIELD_LOG_TERM] = &m->log_term,
		[FIELD_COMMIT] = &m->commit,
		[FIELD_CONTEXT] = &m->context,
		[FIELD_HINT] = &m->hint,
		[FIELD_OFFSET] = &m->offset,
		[FIELD_TOTAL] = &m->total,
	};

	return numbers[field];
}

static bool
mask_has(uint64_t mask, int field)
{
	return (mask >> field & 1) != 0;
}

/* Returns the mask of the fields that are not zero or empty. */
static uint32_t
field_mask(struct raft_msg *m)
{
	uint32_t mask = 0;
	int i;

	for (i = 0; i < FIELD_NUMBERS; i++)
		mask |= (uint32_t)(*number_field(m, i) != 0) << i;
	mask |= (uint32_t)m->reject << FIELD_REJECT;
	mask |= (uint32_t)m->leader_transfer << FIELD_LEADER_TRANSFER;
	mask |= (uint32_t)m->unanimous << FIELD_UNANIMOUS;
	mask |= (uint32_t)(m->entries != NULL && m->entries->len > 0)
	    << FIELD_ENTRIES;
	mask |= (uint32_t)(m->chunk != NULL) << FIELD_CHUNK;
	mask |= (uint32_t)(m->members.count > 0) << FIELD_MEMBERS;
	return mask;
}

static void
pack_bytes(msgpack_packer *pk, GBytes *bytes)
{
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	msgpack_pack_bin(pk, size);
	if (size > 0)
		msgpack_pack_bin_body(pk, data, size);
}

static void
pack_entries(msgpack_packer *pk, const GPtrArray *entries)
{
	const struct raft_entry *e;
	guint i;

	msgpack_pack_array(pk, (size_t)entries->len * ENTRY_VALUES);
	for (i = 0; i < entries->len; i++) {
		e = entries->pdata[i];
		msgpack_pack_uint64(pk, e->term);
		msgpack_pack_uint64(pk, e->type);
		pack_bytes(pk, e->data);
	}
}

static void
pack_members(msgpack_packer *pk, const struct raft_members *m)
{
	int i;

	msgpack_pack_array(pk, (size_t)m->count * MEMBER_VALUES);
	for (i = 0; i < m->count; i++) {
		msgpack_pack_uint64(pk, m->member[i].id);
		msgpack_pack_uint64(pk, m->member[i].learner);
	}
}

GBytes *
raft_msg_encode(const struct raft_msg *msg)
{
	struct raft_msg m = *msg;
	uint32_t mask = field_mask(&m);
	uint32_t no_value = 1U << FIELD_REJECT | 1U << FIELD_LEADER_TRANSFER |
	    1U << FIELD_UNANIMOUS;
	msgpack_sbuffer buffer;
	msgpack_packer pk;
	int i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(
	    &pk, 2 + (size_t)__builtin_popcount(mask & ~no_value));
	msgpack_pack_uint64(&pk, m.type);
	msgpack_pack_uint64(&pk, mask);
	for (i = 0; i < FIELD_NUMBERS; i++)
		if (mask_has(mask, i))
			msgpack_pack_uint64(&pk, *number_field(&m, i));
	if (mask_has(mask, FIELD_ENTRIES))
		pack_entries(&pk, m.entries);
	if (mask_has(mask, FIELD_CHUNK))
		pack_bytes(&pk, m.chunk);
	if (mask_has(mask, FIELD_MEMBERS))
		pack_members(&pk, &m.members);
	return codec_take_buffer(&buffer);
}

GBytes *
raft_members_encode(const struct raft_members *m)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	pack_members(&pk, m);
	return codec_take_buffer(&buffer);
}

/* Reads the values of an array in order. */
struct cursor {
	const msgpack_object *at;
	uint32_t left;
	bool bad; /* a value was missing, of a wrong type or invalid */
};

static struct cursor
cursor_of(const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return (struct cursor){ .bad = true };
	return (struct cursor){
		.at = o->via.array.ptr,
		.left = o->via.array.size,
	};
}

static const msgpack_object *
next_value(struct cursor *c)
{
	if (c->bad || c->left == 0) {
		c->bad = true;
		return NULL;
	}
	c->left--;
	return c->at++;
}

static uint64_t
next_number(struct cursor *c)
{
	const msgpack_object *o = next_value(c);

	if (o == NULL)
		return 0;
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return o->via.u64;
	c->bad = true;
	return 0;
}

static GBytes *
next_bytes(struct cursor *c)
{
	const msgpack_object *o = next_value(c);

	if (o != NULL && o->type == MSGPACK_OBJECT_BIN)
		return g_bytes_new(o->via.bin.ptr, o->via.bin.size);
	c->bad = true;
	return NULL;
}

static struct cursor
next_array(struct cursor *c)
{
	const msgpack_object *o = next_value(c);

	if (o == NULL)
		return (struct cursor){ .bad = true };
	return cursor_of(o);
}

static void
read_entries(struct cursor *from, struct raft_msg *m)
{
	struct cursor c = next_array(from);
	uint64_t index = m->index, term, type;
	GBytes *data;

	m->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	while (c.left > 0 && !c.bad) {
		term = next_number(&c);
		type = next_number(&c);
		data = next_bytes(&c);
		if (data == NULL)
			break;
		if (type > RAFT_MEMBERS)
			c.bad = true;
		g_ptr_array_add(m->entries,
		    raft_entry_new(
			++index, term, (enum raft_entry_type)type, data));
		g_bytes_unref(data);
	}
	from->bad |= c.bad;
}

/* Rejects a member ID of 0, duplicate IDs and more than RAFT_MEMBERS_MAX. */
static void
read_members(struct cursor *from, struct raft_members *m)
{
	struct cursor c = *from;
	uint64_t id, learner;
	bool known;

	m->count = 0;
	while (c.left > 0 && !c.bad) {
		id = next_number(&c);
		learner = next_number(&c);
		if (id == RAFT_NONE || learner > 1 ||
		    m->count == RAFT_MEMBERS_MAX || members_has(m, id, &known))
			c.bad = true;
		else
			m->member[m->count++] =
			    (struct raft_member){ id, learner == 1 };
	}
	from->bad |= c.bad;
}

static bool
read_message(struct cursor *c, struct raft_msg *m)
{
	uint64_t type = next_number(c), mask = next_number(c);
	struct cursor members;
	int i;

	if (c->bad || type >= RAFT_MSG_COUNT || mask >> FIELD_COUNT != 0)
		return false;
	m->type = (enum raft_msg_type)type;
	for (i = 0; i < FIELD_NUMBERS; i++)
		if (mask_has(mask, i))
			*number_field(m, i) = next_number(c);
	m->reject = mask_has(mask, FIELD_REJECT);
	m->leader_transfer = mask_has(mask, FIELD_LEADER_TRANSFER);
	m->unanimous = mask_has(mask, FIELD_UNANIMOUS);
	if (mask_has(mask, FIELD_ENTRIES))
		read_entries(c, m);
	if (mask_has(mask, FIELD_CHUNK))
		m->chunk = next_bytes(c);
	if (mask_has(mask, FIELD_MEMBERS)) {
		members = next_array(c);
		read_members(&members, &m->members);
		c->bad |= members.bad;
	}
	return !c->bad && c->left == 0;
}

/* Unpacks one object; fails if bytes are left over. */
static bool
unpack(const void *data, size_t len, msgpack_unpacked *unpacked)
{
	size_t used = 0;

	msgpack_unpacked_init(unpacked);
	if (!pack_valid(data, len))
		return false;
	return msgpack_unpack_next(unpacked, data, len, &used) ==
	    MSGPACK_UNPACK_SUCCESS &&
	    used == len;
}

struct raft_msg *
raft_msg_decode(const void *data, size_t len, GError **err)
{
	struct raft_msg *m = raft_msg_new(RAFT_MSG_PREVOTE);
	msgpack_unpacked unpacked;
	struct cursor c;
	bool ok = unpack(data, len, &unpacked);

	if (ok) {
		c = cursor_of(&unpacked.data);
		ok = read_message(&c, m);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (ok)
		return m;
	raft_msg_free(m);
	g_set_error(err, BT_ERROR, ERR_INVALID, "raft message is malformed");
	return NULL;
}

bool
raft_members_decode(const void *data, size_t len, struct raft_members *m)
{
	msgpack_unpacked unpacked;
	struct cursor c;
	bool ok = unpack(data, len, &unpacked);

	m->count = 0;
	if (ok) {
		c = cursor_of(&unpacked.data);
		read_members(&c, m);
		ok = !c.bad && m->count > 0;
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
