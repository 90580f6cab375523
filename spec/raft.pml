/*
 * Raft: election, replication, commit and one-at-a-time membership change.
 *
 * Messages are kept as history: what was ever sent may arrive at any later
 * time, any number of times, or never. A term's leader only ever appends, so
 * all its append messages are prefixes of tlog[term]; its own disk is filled
 * from tlog like a follower's, so a crash loses what it had not synced. A
 * crash is no step of its own: a crashed replica is one that does nothing
 * until it votes, follows or campaigns again with what its disk holds.
 *
 * A log entry is a byte: its term, and from bit 2 on the new membership as a
 * bit mask, or 0 for an entry that changes none.
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
#define AT(i, k) ((i) * L + (k)) /* entry k of replica or term i */
#define OF(t, i) ((t) * N + (i)) /* of replica i in term t */

/* On disk. Terms and replicas count from 0; term t is stored as t + 1. */
byte cur[N]; /* current term + 1; 0: none yet */
byte log[N * L];
byte size[N];

/* Sent: votes, also a candidate's own; appends; acknowledgements. */
byte given[T * N]; /* replicas that voted for this candidate */
byte tlog[T * L];
byte tsize[T];
byte ack[T * N]; /* entries of tlog that are synced there */

/* In memory. */
byte leader[T]; /* leader + 1 of the term; 0: none was elected */
byte tcommit[T]; /* entries this leader knows to be committed */

/* For the invariants: entries ever committed, and in which term. */
byte truth[L];
byte truth_term[L]; /* + 1 */

/* Scratch, 0 between steps. */
byte x, config, count, members, at, other;

#define LEADS(t) (leader[t] != 0 && cur[leader[t] - 1] == (t) + 1)
#define LAST_TERM(i) (size[i] > 0 -> TERM(log[AT(i, size[i] - 1)]) : 0)
#if N == 4
#define GAVE(t) \
	(given[OF(t, 0)] | given[OF(t, 1)] | given[OF(t, 2)] | given[OF(t, 3)])
#else
#define GAVE(t) (given[OF(t, 0)] | given[OF(t, 1)] | given[OF(t, 2)])
#endif

/* The guards that the mutations take out. */
#ifdef MUT_VOTE_TWICE
#define HAS_VOTE(t, j) ((given[OF(t, j)] & BIT(j)) == 0)
#else
#define HAS_VOTE(t, j) ((GAVE(t) & BIT(j)) == 0)
#endif
#ifdef MUT_NO_LOG_CHECK
#define UP_TO_DATE(t, i, j) true
#else
#define UP_TO_DATE(t, i, j) \
	(LAST_TERM(i) > LAST_TERM(j) || \
	(LAST_TERM(i) == LAST_TERM(j) && size[i] >= size[j]))
#endif
#ifdef MUT_COUNT_UNSYNCED
#define HAS(t, i, k) (ack[OF(t, i)] >= (k) || leader[t] == (i) + 1)
#else
#define HAS(t, i, k) (ack[OF(t, i)] >= (k))
#endif
#ifdef MUT_OLD_TERM
#define MAY_COUNT(t, k) true
#else
#define MAY_COUNT(t, k) (TERM(tlog[AT(t, (k) - 1)]) == (t))
#endif
#ifdef MUT_CHANGE_UNSETTLED
#define SETTLED(t) true
#else
#define SETTLED(t) \
	(tcommit[t] > 0 && TERM(tlog[AT(t, tcommit[t] - 1)]) == (t))
#endif
#ifdef MUT_TWO_CHANGES
#define NONE_IN_FLIGHT(t) true
#else
#define NONE_IN_FLIGHT(t) (at <= tcommit[t])
#endif

inline forget()
{
	x = 0;
	config = 0;
	count = 0;
	members = 0;
	at = 0
}

/* Membership by a log of n entries; entry is its entry number x. */
inline config_of(entry, n)
{
	config = ALL;
	at = 0;
	x = 0;
	do
	:: x >= n -> break
	:: else ->
		if
		:: CONFIG(entry) != 0 ->
			config = CONFIG(entry);
			at = x + 1
		:: else
		fi;
		x++
	od
}

/* Counts config's members, and those for which has (of replica x) holds. */
inline tally(has)
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
 * Sets to 0 what can have no effect any more, so that states which differ
 * only in that count as one: votes once the term has a leader, or whose
 * candidate and voter have both left the term; what a leader knew once it
 * has left; all of a term that every replica has left.
 */
inline clean()
{
	x = 0;
	do
	:: x >= T -> break
	:: else ->
		config = 0; /* replicas in this term */
		count = 0; /* replicas in this term or before it */
		at = 0;
		do
		:: at >= N -> break
		:: else ->
			config = config | (cur[at] == x + 1 -> BIT(at) : 0);
			count = count + (cur[at] <= x + 1);
			at++
		od;
		members = LEADS(x);
		at = 0;
		do
		:: at >= N -> break
		:: else ->
			given[OF(x, at)] = (leader[x] != 0 -> 0 :
			    ((config & BIT(at)) != 0 -> given[OF(x, at)] :
			    given[OF(x, at)] & config));
			ack[OF(x, at)] = (members -> ack[OF(x, at)] : 0);
			at++
		od;
		tcommit[x] = (members -> tcommit[x] : 0);
		at = 0;
		do
		:: at >= L || count > 0 -> break
		:: else -> tlog[AT(x, at)] = 0; at++
		od;
		tsize[x] = (count > 0 -> tsize[x] : 0);
		leader[x] = (count > 0 -> leader[x] : 0);
		x++
	od;
	forget()
}

/* It may have heard of later terms; one that has a leader is of no use. */
#define MAY_CAMPAIGN(t, i) (cur[i] <= (t) && leader[t] == 0)

/* Replica i asks for votes in a new term, t. */
inline campaign(i, t)
{
	cur[i] = t + 1;
	given[OF(t, i)] = BIT(i);
	clean()
}

#define CANDIDATE(t, i) (cur[i] == (t) + 1 && (given[OF(t, i)] & BIT(i)) != 0)
#define MAY_VOTE(t, i, j) \
	(CANDIDATE(t, i) && cur[j] <= (t) + 1 && \
	(given[OF(t, i)] & BIT(j)) == 0 && HAS_VOTE(t, j) && \
	UP_TO_DATE(t, i, j))

inline vote(t, i, j)
{
	cur[j] = t + 1;
	given[OF(t, i)] = given[OF(t, i)] | BIT(j);
	clean()
}

/* Leader completeness: what earlier terms committed is in the log. */
inline check_complete(t, i)
{
	x = 0;
	do
	:: x >= L -> break
	:: else ->
		assert(truth_term[x] == 0 || truth_term[x] >= t + 1 ||
		    (size[i] > x && log[AT(i, x)] == truth[x]));
		x++
	od
}

/* Sets count and members by the votes of a candidate. */
inline votes(t, i)
{
	count = 0;
	members = 0;
	config_of(log[AT(i, x)], size[i]);
	tally((given[OF(t, i)] & BIT(x)) != 0)
}

/* No other candidate of the term may have a majority too. */
inline check_sole(t, i)
{
	other = 0;
	do
	:: other >= N -> break
	:: other < N && (other == i || !CANDIDATE(t, other)) -> other++
	:: else ->
		votes(t, other);
		assert(count * 2 <= members);
		other++
	od;
	other = 0
}

/* Candidate i of term t counts its votes and appends its first entry. */
inline lead(t, i)
{
	votes(t, i);
	if
	:: count * 2 > members ->
		check_sole(t, i);
		check_complete(t, i);
		leader[t] = i + 1;
		x = 0;
		do
		:: x >= size[i] -> break
		:: else -> tlog[AT(t, x)] = log[AT(i, x)]; x++
		od;
		tsize[t] = x;
		if
		:: x < L -> tlog[AT(t, x)] = t; tsize[t] = x + 1
		:: else
		fi;
		clean()
	:: else
	fi;
	forget()
}

#define MAY_APPEND(t, j, k) \
	(leader[t] != 0 && (k) <= tsize[t] && cur[j] <= (t) + 1 && \
	ack[OF(t, j)] < (k) && (leader[t] != (j) + 1 || LEADS(t)))

/* Replica j syncs the first k entries of term t's leader and says so. */
inline append(t, j, k)
{
	cur[j] = t + 1;
	x = 0;
	do
	:: x < k && x < size[j] && log[AT(j, x)] == tlog[AT(t, x)] -> x++
	:: else -> break
	od;
	if
	:: x == k
	:: else ->
		/* The first conflict drops the rest. */
		at = size[j];
		size[j] = k;
		do
		:: x < k -> log[AT(j, x)] = tlog[AT(t, x)]; x++
		:: x >= k && x < at -> log[AT(j, x)] = 0; x++
		:: else -> break
		od
	fi;
	ack[OF(t, j)] = k;
	clean()
}

/* Notes entries of term t's log up to k as committed. */
inline note_commit(t, k)
{
	tcommit[t] = k;
	x = 0;
	do
	:: x >= k -> break
	:: else ->
		if
		:: truth_term[x] == 0 ->
			truth[x] = tlog[AT(t, x)];
			truth_term[x] = t + 1
		:: else -> assert(truth[x] == tlog[AT(t, x)])
		fi;
		x++
	od
}

#define MAY_COMMIT(t, k) \
	(LEADS(t) && (k) <= tsize[t] && (k) > tcommit[t] && MAY_COUNT(t, k))

/* Term t's leader counts who has k entries. */
inline commit(t, k)
{
	config_of(tlog[AT(t, x)], tsize[t]);
	tally(HAS(t, x, k));
	if
	:: count * 2 > members -> note_commit(t, k)
	:: else
	fi;
	forget()
}

#define MAY_CHANGE(t) (LEADS(t) && tsize[t] < L && SETTLED(t))

/* Term t's leader adds or removes replica j. */
inline change(t, j)
{
	config_of(tlog[AT(t, x)], tsize[t]);
	if
	:: NONE_IN_FLIGHT(t) && config != BIT(j) ->
		tlog[AT(t, tsize[t])] = t | ((config ^ BIT(j)) << 2);
		tsize[t] = tsize[t] + 1
	:: else
	fi;
	forget()
}

/* Each step as an option, for each term t and replicas i and j. */
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
	:: d_step { CANDIDATE(t, j) -> lead(t, j) } \
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
	/* The first election that succeeds is, by symmetry, replica 0's. */
	d_step {
		do
		:: x > N / 2 -> break
		:: else ->
			cur[x] = 1;
			x++
		od;
		leader[0] = 1;
		tsize[0] = 1;
		forget()
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
