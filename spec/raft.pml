/*
 * Raft: election, replication, commit and one-at-a-time membership change.
 *
 * Messages are never removed: each may arrive at any later time, any number
 * of times, or never. The leader of a term only appends to its log, so its
 * append messages are all prefixes of tlog[term]. Its disk is filled from
 * tlog like a follower's, so a crash loses what it had not synced. A crash is
 * not a separate step: a crashed replica takes no step until it votes,
 * follows or campaigns again with what is on its disk.
 *
 * A log entry is a byte: bits 0 and 1 are its term, the bits from 2 on the
 * new membership as a bit mask, or 0 if the entry does not change it.
 */
#ifndef N
#define N 3 /* replicas */
#endif
#ifndef T
#define T 4 /* terms */
#endif
#ifndef L
#define L 2 /* log entries */
#endif

#define ALL ((1 << N) - 1)
#define BIT(i) (1 << (i))
#define TERM(e) ((e) & 3)
#define CONFIG(e) ((e) >> 2)
/* Array indices: entry k of replica or term i; replica i in term t. */
#define ENTRY(i, k) ((i) * L + (k))
#define REPLICA(t, i) ((t) * N + (i))

/* On disk. Terms and replicas count from 0; term t is stored as t + 1. */
byte cur_term[N]; /* current term, plus 1; 0: none yet */
byte log[N * L];
byte log_len[N];

/* Messages sent: votes, appended entries, acknowledgements. */
byte voters[T * N]; /* votes for a candidate, its own too: bit mask of voters */
byte tlog[T * L]; /* log of the leader of a term */
byte tlog_len[T];
byte synced[T * N]; /* number of entries of tlog synced by a replica */

/* In memory. */
byte leader[T]; /* leader of the term, plus 1; 0: none elected */
byte commit_index[T]; /* commit index of the leader of the term */

/* For the invariants: committed entries and the terms that committed them. */
byte committed[L];
byte committed_term[L]; /* plus 1; 0: not committed */

/* Temporary variables, 0 between steps; config is a bit mask of replicas. */
byte x, config, count, members, pos, other;

/* The leader elected in term t is still in that term. */
#define HAS_LEADER(t) (leader[t] != 0 && cur_term[leader[t] - 1] == (t) + 1)
#define LAST_TERM(i) (log_len[i] > 0 -> TERM(log[ENTRY(i, log_len[i] - 1)]) : 0)
#if N == 4
#define VOTED(t) \
	(voters[REPLICA(t, 0)] | voters[REPLICA(t, 1)] | \
	voters[REPLICA(t, 2)] | voters[REPLICA(t, 3)])
#else
#define VOTED(t) \
	(voters[REPLICA(t, 0)] | voters[REPLICA(t, 1)] | voters[REPLICA(t, 2)])
#endif

/*
 * Guards; each mutation removes one of them. VOTE_UNUSED: replica j has voted
 * for no candidate of term t.
 */
#ifdef MUT_VOTE_TWICE
#define VOTE_UNUSED(t, j) ((voters[REPLICA(t, j)] & BIT(j)) == 0)
#else
#define VOTE_UNUSED(t, j) ((VOTED(t) & BIT(j)) == 0)
#endif
#ifdef MUT_NO_LOG_CHECK
#define UP_TO_DATE(t, i, j) true
#else
#define UP_TO_DATE(t, i, j) \
	(LAST_TERM(i) > LAST_TERM(j) || \
	(LAST_TERM(i) == LAST_TERM(j) && log_len[i] >= log_len[j]))
#endif
#ifdef MUT_COUNT_UNSYNCED
#define HAS_ENTRIES(t, i, k) \
	(synced[REPLICA(t, i)] >= (k) || leader[t] == (i) + 1)
#else
#define HAS_ENTRIES(t, i, k) (synced[REPLICA(t, i)] >= (k))
#endif
#ifdef MUT_OLD_TERM
#define COUNTS_FOR_COMMIT(t, k) true
#else
#define COUNTS_FOR_COMMIT(t, k) (TERM(tlog[ENTRY(t, (k) - 1)]) == (t))
#endif
#ifdef MUT_CHANGE_BEFORE_COMMIT
#define OWN_TERM_COMMITTED(t) true
#else
#define OWN_TERM_COMMITTED(t) \
	(commit_index[t] > 0 && \
	TERM(tlog[ENTRY(t, commit_index[t] - 1)]) == (t))
#endif
#ifdef MUT_TWO_CHANGES
#define NONE_IN_FLIGHT(t) true
#else
#define NONE_IN_FLIGHT(t) (pos <= commit_index[t])
#endif

inline clear_temporary()
{
	x = 0;
	config = 0;
	count = 0;
	members = 0;
	pos = 0
}

/*
 * Sets config to the membership after the first n entries of a log and pos to
 * the number of entries up to the last change. entry is an expression for
 * entry x of the log.
 */
inline config_of(entry, n)
{
	config = ALL;
	pos = 0;
	x = 0;
	do
	:: x >= n -> break
	:: else ->
		if
		:: CONFIG(entry) != 0 ->
			config = CONFIG(entry);
			pos = x + 1
		:: else
		fi;
		x++
	od
}

/*
 * Adds to members the number of members in config, and to count the number of
 * those (replica x) for which the expression has is true.
 */
inline count_members(has)
{
	x = 0;
	do
	:: x >= N -> break
	:: (config & BIT(x)) == 0 && x < N -> x++
	:: else ->
		members++;
		if
		:: has -> count++
		:: else
		fi;
		x++
	od
}

/*
 * Sets variables without a further effect to 0, so that states which differ
 * only in them count as one: votes, once the term has a leader or both the
 * candidate and the voter have left the term; acknowledgements and the commit
 * index of a leader that has left its term; the log and leader of a term that
 * every replica has left.
 */
inline normalize()
{
	x = 0;
	do
	:: x >= T -> break
	:: else ->
		config = 0; /* replicas in this term */
		count = 0; /* replicas in this term or before it */
		pos = 0;
		do
		:: pos >= N -> break
		:: else ->
			config = config |
			    (cur_term[pos] == x + 1 -> BIT(pos) : 0);
			count = count + (cur_term[pos] <= x + 1);
			pos++
		od;
		members = HAS_LEADER(x);
		pos = 0;
		do
		:: pos >= N -> break
		:: else ->
			voters[REPLICA(x, pos)] = (leader[x] != 0 -> 0 :
			    ((config & BIT(pos)) != 0 ->
			    voters[REPLICA(x, pos)] :
			    voters[REPLICA(x, pos)] & config));
			synced[REPLICA(x, pos)] =
			    (members -> synced[REPLICA(x, pos)] : 0);
			pos++
		od;
		commit_index[x] = (members -> commit_index[x] : 0);
		pos = 0;
		do
		:: pos >= L || count > 0 -> break
		:: else -> tlog[ENTRY(x, pos)] = 0; pos++
		od;
		tlog_len[x] = (count > 0 -> tlog_len[x] : 0);
		leader[x] = (count > 0 -> leader[x] : 0);
		x++
	od;
	clear_temporary()
}

/*
 * A replica may skip terms. Campaigning in a term that already has a leader
 * is left out, as it can have no effect.
 */
#define MAY_CAMPAIGN(t, i) (cur_term[i] <= (t) && leader[t] == 0)

/* Replica i starts an election in a new term, t. */
inline campaign(i, t)
{
	cur_term[i] = t + 1;
	voters[REPLICA(t, i)] = BIT(i);
	normalize()
}

#define CANDIDATE(t, i) \
	(cur_term[i] == (t) + 1 && (voters[REPLICA(t, i)] & BIT(i)) != 0)
#define MAY_VOTE(t, i, j) \
	(CANDIDATE(t, i) && cur_term[j] <= (t) + 1 && \
	(voters[REPLICA(t, i)] & BIT(j)) == 0 && VOTE_UNUSED(t, j) && \
	UP_TO_DATE(t, i, j))

inline vote(t, i, j)
{
	cur_term[j] = t + 1;
	voters[REPLICA(t, i)] = voters[REPLICA(t, i)] | BIT(j);
	normalize()
}

/* Leader completeness: the log has all entries committed in earlier terms. */
inline check_complete(t, i)
{
	x = 0;
	do
	:: x >= L -> break
	:: else ->
		assert(committed_term[x] == 0 || committed_term[x] >= t + 1 ||
		    (log_len[i] > x && log[ENTRY(i, x)] == committed[x]));
		x++
	od
}

/* Sets count to the votes of a candidate, members to the members it needs. */
inline count_votes(t, i)
{
	count = 0;
	members = 0;
	config_of(log[ENTRY(i, x)], log_len[i]);
	count_members((voters[REPLICA(t, i)] & BIT(x)) != 0)
}

/* Election safety: no other candidate of the term has a majority. */
inline check_single_winner(t, i)
{
	other = 0;
	do
	:: other >= N -> break
	:: other < N && (other == i || !CANDIDATE(t, other)) -> other++
	:: else ->
		count_votes(t, other);
		assert(count * 2 <= members);
		other++
	od;
	other = 0
}

/*
 * Candidate i of term t becomes the leader if it has a majority, and appends
 * an entry of its term if the log has room.
 */
inline become_leader(t, i)
{
	count_votes(t, i);
	if
	:: count * 2 > members ->
		check_single_winner(t, i);
		check_complete(t, i);
		leader[t] = i + 1;
		x = 0;
		do
		:: x >= log_len[i] -> break
		:: else -> tlog[ENTRY(t, x)] = log[ENTRY(i, x)]; x++
		od;
		tlog_len[t] = x;
		if
		:: x < L -> tlog[ENTRY(t, x)] = t; tlog_len[t] = x + 1
		:: else
		fi;
		normalize()
	:: else
	fi;
	clear_temporary()
}

#define MAY_APPEND(t, j, k) \
	(leader[t] != 0 && (k) <= tlog_len[t] && cur_term[j] <= (t) + 1 && \
	synced[REPLICA(t, j)] < (k) && (leader[t] != (j) + 1 || HAS_LEADER(t)))

/* Replica j syncs and acknowledges the first k entries of term t's leader. */
inline append(t, j, k)
{
	cur_term[j] = t + 1;
	x = 0;
	do
	:: x < k && x < log_len[j] &&
	    log[ENTRY(j, x)] == tlog[ENTRY(t, x)] -> x++
	:: else -> break
	od;
	if
	:: x == k
	:: else ->
		/* The log is truncated at the first conflict. */
		pos = log_len[j];
		log_len[j] = k;
		do
		:: x < k -> log[ENTRY(j, x)] = tlog[ENTRY(t, x)]; x++
		:: x >= k && x < pos -> log[ENTRY(j, x)] = 0; x++
		:: else -> break
		od
	fi;
	synced[REPLICA(t, j)] = k;
	normalize()
}

/* Marks the first k entries of term t's log as committed. */
inline record_commit(t, k)
{
	commit_index[t] = k;
	x = 0;
	do
	:: x >= k -> break
	:: else ->
		if
		:: committed_term[x] == 0 ->
			committed[x] = tlog[ENTRY(t, x)];
			committed_term[x] = t + 1
		:: else -> assert(committed[x] == tlog[ENTRY(t, x)])
		fi;
		x++
	od
}

#define MAY_COMMIT(t, k) \
	(HAS_LEADER(t) && (k) <= tlog_len[t] && (k) > commit_index[t] && \
	COUNTS_FOR_COMMIT(t, k))

/* Term t's leader commits k entries if a majority has them. */
inline commit(t, k)
{
	config_of(tlog[ENTRY(t, x)], tlog_len[t]);
	count_members(HAS_ENTRIES(t, x, k));
	if
	:: count * 2 > members -> record_commit(t, k)
	:: else
	fi;
	clear_temporary()
}

#define MAY_CHANGE(t) \
	(HAS_LEADER(t) && tlog_len[t] < L && OWN_TERM_COMMITTED(t))

/*
 * Term t's leader appends an entry that adds or removes replica j, unless a
 * change is in flight or j is the only member.
 */
inline change(t, j)
{
	config_of(tlog[ENTRY(t, x)], tlog_len[t]);
	if
	:: NONE_IN_FLIGHT(t) && config != BIT(j) ->
		tlog[ENTRY(t, tlog_len[t])] = t | ((config ^ BIT(j)) << 2);
		tlog_len[t] = tlog_len[t] + 1
	:: else
	fi;
	clear_temporary()
}

/* The steps as options of one loop, for all terms t and replicas i and j. */
#define S_VOTE(t, i, j) :: d_step { MAY_VOTE(t, i, j) -> vote(t, i, j) }
#define S_APPEND(t, j, k) \
	:: d_step { MAY_APPEND(t, j, k) -> append(t, j, k) }
#define S_COMMIT(t, k) :: d_step { MAY_COMMIT(t, k) -> commit(t, k) }
#ifdef CHANGES
#define S_CHANGE(t, j) :: d_step { MAY_CHANGE(t) -> change(t, j) }
#else
#define S_CHANGE(t, j)
#endif
#if N == 4
#define S_VOTES(t, j) \
	S_VOTE(t, 0, j) S_VOTE(t, 1, j) S_VOTE(t, 2, j) S_VOTE(t, 3, j)
#else
#define S_VOTES(t, j) S_VOTE(t, 0, j) S_VOTE(t, 1, j) S_VOTE(t, 2, j)
#endif
#if L == 3
#define S_APPENDS(t, j) S_APPEND(t, j, 1) S_APPEND(t, j, 2) S_APPEND(t, j, 3)
#define S_COMMITS(t) S_COMMIT(t, 1) S_COMMIT(t, 2) S_COMMIT(t, 3)
#else
#define S_APPENDS(t, j) S_APPEND(t, j, 1) S_APPEND(t, j, 2)
#define S_COMMITS(t) S_COMMIT(t, 1) S_COMMIT(t, 2)
#endif
#define S_REPLICA(t, j) \
	:: d_step { MAY_CAMPAIGN(t, j) -> campaign(j, t) } \
	:: d_step { CANDIDATE(t, j) -> become_leader(t, j) } \
	S_VOTES(t, j) S_APPENDS(t, j) S_CHANGE(t, j)
#if N == 4
#define S_TERM(t) \
	S_REPLICA(t, 0) S_REPLICA(t, 1) S_REPLICA(t, 2) S_REPLICA(t, 3) \
	S_COMMITS(t)
#else
#define S_TERM(t) \
	S_REPLICA(t, 0) S_REPLICA(t, 1) S_REPLICA(t, 2) S_COMMITS(t)
#endif

active proctype system()
{
	/* By symmetry, replica 0 may be taken to win the first election. */
	d_step {
		do
		:: x > N / 2 -> break
		:: else ->
			cur_term[x] = 1;
			x++
		od;
		leader[0] = 1;
		tlog_len[0] = 1;
		clear_temporary()
	}
	do
	S_TERM(0)
	S_TERM(1)
	S_TERM(2)
#if T == 4
	S_TERM(3)
#endif
	od
}
