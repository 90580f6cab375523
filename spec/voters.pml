/*
 * Automatic membership of a cell whose replicas crash, come back and lose
 * their disks: which voters are promoted, removed and demoted.
 *
 * A replica that loses its disk comes back under a new id, so its former id is
 * a voter that never answers again. Losses of disks are limited to F until all
 * replicas are up and the membership is complete again; crashes are not.
 *
 * Elections and logs are in raft.pml. An entry that is committed is stored by a
 * majority of the voters of every later membership, so it survives, and a
 * leader can be elected once all replicas are back, if and only if the voters
 * that have their disks are a majority.
 */
#ifndef N
#define N 6 /* replicas */
#endif
#ifndef F
#define F 2 /* disks that may be lost */
#endif
#define VOTERS_MIN 3

#define BIT(i) (1 << (i))
#define ONE(m, i) (((m) >> (i)) & 1)
#if N == 6
#define COUNT(m) \
	(ONE(m, 0) + ONE(m, 1) + ONE(m, 2) + ONE(m, 3) + ONE(m, 4) + ONE(m, 5))
#else
#define COUNT(m) (ONE(m, 0) + ONE(m, 1) + ONE(m, 2) + ONE(m, 3))
#endif
#define ALL (BIT(N) - 1)

byte up = ALL; /* bit mask of replicas */
byte voters = BIT(2 * F + 1) - 1; /* those that have their disks */
byte dead; /* number of voters that have lost their disks */
byte losses; /* disks lost in this period of failures */

/* The membership change that is not committed: at most one. */
mtype = { NONE, PROMOTE, PROMOTE_DEAD, REMOVE, REMOVE_DEAD };
mtype change = NONE;
byte changed; /* bit of the replica in PROMOTE and REMOVE */

#define VOTERS (COUNT(voters) + dead)
#define TOLERATED(n) (((n) - 1) / 2)
#define CONNECTED COUNT(voters & up)
#define HAS_LEADER (CONNECTED > VOTERS / 2)
#define LEARNERS COUNT(up & ~voters)
#define ABSENT ((voters & ~up) != 0 || dead > 0)

/* Guards; each mutation weakens one of them. */
#ifdef MUT_KEEP_THREE
#define MAY_SHRINK (VOTERS > VOTERS_MIN)
#else
#define MAY_SHRINK (VOTERS > VOTERS_MIN && TOLERATED(VOTERS - 1) >= F)
#endif
#ifdef MUT_REMOVE_FIRST
#define MAY_REMOVE (MAY_SHRINK || (VOTERS >= VOTERS_MIN && LEARNERS > 0))
#else
#define MAY_REMOVE MAY_SHRINK
#endif
#define NEEDS_VOTER \
	(VOTERS < VOTERS_MIN || TOLERATED(VOTERS) < F || VOTERS % 2 == 0 || \
	LEARNERS > 1 || ABSENT)

/* The voters that have their disks are a majority, with and without the change
 * that is not committed. */
#define NEXT_INTACT \
	(change == PROMOTE -> COUNT(voters | changed) : \
	(change == REMOVE -> COUNT(voters & ~changed) : COUNT(voters)))
#define NEXT_VOTERS \
	(change == PROMOTE || change == PROMOTE_DEAD -> VOTERS + 1 : \
	(change == NONE -> VOTERS : VOTERS - 1))
#define RECOVERABLE \
	(COUNT(voters) * 2 > VOTERS && NEXT_INTACT * 2 > NEXT_VOTERS)
#define NEXT_CONNECTED \
	(change == PROMOTE -> COUNT((voters | changed) & up) : \
	(change == REMOVE -> COUNT(voters & ~changed & up) : CONNECTED))

inline propose(kind, replica)
{
	change = kind;
	changed = replica
}

inline commit()
{
	if
	:: change == PROMOTE -> voters = voters | changed
	:: change == PROMOTE_DEAD -> dead++
	:: change == REMOVE -> voters = voters & ~changed
	:: change == REMOVE_DEAD -> dead--
	fi;
	propose(NONE, 0)
}

/* Replica r loses its disk, whether it runs or not. */
inline lose_disk(r)
{
	losses++;
	up = up & ~r;
	if
	:: (voters & r) != 0 ->
		voters = voters & ~r;
		dead++;
		if
		:: change == REMOVE && changed == r -> propose(REMOVE_DEAD, 0)
		:: else
		fi
	:: else ->
		if
		:: change == PROMOTE && changed == r -> propose(PROMOTE_DEAD, 0)
		:: else
		fi
	fi
}

#define S_REPLICA(r) \
	:: d_step { (up & (r)) != 0 -> up = up & ~(r) } \
	:: d_step { (up & (r)) == 0 -> up = up | (r) } \
	:: d_step { losses < F -> lose_disk(r) } \
	:: d_step { HAS_LEADER && change == NONE && (up & (r)) != 0 && \
	    (voters & (r)) == 0 && NEEDS_VOTER -> propose(PROMOTE, r) } \
	:: d_step { HAS_LEADER && change == NONE && (up & (r)) == 0 && \
	    (voters & (r)) != 0 && MAY_REMOVE && \
	    CONNECTED > (VOTERS - 1) / 2 -> propose(REMOVE, r) } \
	:: d_step { HAS_LEADER && change == NONE && (voters & (r)) != 0 && \
	    VOTERS % 2 == 0 && MAY_SHRINK && !ABSENT -> propose(REMOVE, r) }

active proctype system()
{
	do
	S_REPLICA(1)
	S_REPLICA(2)
	S_REPLICA(4)
	S_REPLICA(8)
#if N == 6
	S_REPLICA(16)
	S_REPLICA(32)
#endif
	/* The replica whose voter is dead is back under its new id. */
	:: d_step { HAS_LEADER && change == NONE && dead > 0 ->
		propose(REMOVE_DEAD, 0) }
	:: d_step { change != NONE && NEXT_CONNECTED * 2 > NEXT_VOTERS ->
		commit() }
	/* Another leader does not have the entry of the change. */
	:: d_step { change != NONE -> propose(NONE, 0) }
	/* The period of failures ends. */
	:: d_step { losses > 0 && up == ALL && dead == 0 && change == NONE &&
	    TOLERATED(VOTERS) >= F -> losses = 0 }
	:: !RECOVERABLE -> assert(false)
	od
}
