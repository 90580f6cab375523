/*
 * Leases and epochs: two entries that may be the home of one worker, and one
 * attempt of a task that the leader has given to the worker. The leader is
 * the agreed log: what raft.pml checks is taken for granted here.
 *
 * Chain of leases: an entry asks the leader for a grant and counts it from
 * when it sent the request; while it holds, the entry may answer the worker's
 * heartbeats, and the worker counts its lease from when it sent the
 * heartbeat. Each clock may lose up to D ticks in one lease. The leader frees
 * the attempt, so that it may run elsewhere, when the last grant and the
 * lease renewed at its last instant have certainly run out.
 *
 * Messages may be lost, late and, for start orders, doubled.
 */
#define G 1 /* ticks of an entry's grant */
#define W 1 /* ticks of the worker's lease */
#define D 1 /* ticks that a clock may lose in one lease */
#define E 3 /* epochs */

/* The guards that the mutations take out. */
#ifdef MUT_FREE_EARLY
#define CERTAIN (W + D) /* forgets the entry's last renewal */
#else
#define CERTAIN (G + D + W + D)
#endif
#ifdef MUT_NEW_LEADER_FORGETS
#define TAKEOVER 0
#else
#define TAKEOVER CERTAIN
#endif
#ifdef MUT_GRANT_FROM_RECEIPT
#define GRANT_LEFT(h) G
#else
#define GRANT_LEFT(h) asked_left[h]
#endif
#ifdef MUT_LEASE_FROM_RECEIPT
#define LEASE_LEFT W
#else
#define LEASE_LEFT beat_left
#endif
#ifdef MUT_OLD_EPOCH
#define IN_SESSION(k) (w_left > 0)
#else
#define IN_SESSION(k) (w_left > 0 && (k) == w_epoch)
#endif

/* The agreed log. */
byte epoch = 1; /* of the session in force */
byte home; /* the entry that has it */
byte life_of[E + 1]; /* worker's life that an epoch was issued to */
byte freed; /* epoch issued when the attempt was freed; 0: it is not */
byte certain = CERTAIN; /* leader's timer */

/* Entries. */
byte h_epoch[2]; /* session it believes to have; 0: none */
byte h_left[2]; /* ticks left of its grant */
byte h_lag[2];
byte asked[2]; /* 0: idle, 1: request sent, 2: answer on its way */
byte asked_left[2]; /* would be left of the grant asked for */
byte asked_lag[2];
byte answer[2]; /* epoch in the answer; 0: not the home */

/* The worker. */
byte w_life; /* counts restarts */
byte w_epoch;
byte w_left; /* ticks left of its lease */
byte w_lag;
bit running; /* the attempt runs here */
bit seen; /* it was ordered once: never start it again */
byte beat; /* heartbeat, as asked above */
byte beat_to;
byte beat_left;
byte beat_lag;
byte beat_epoch;
bit order[E + 1]; /* start orders sent, by epoch */

#define SAFE assert(!(running && freed != 0))

/* One tick of a lease's clock, which may be slow. */
inline run_down(left, lag)
{
	if
	:: left > 0 -> left--
	:: left > 0 && lag > 0 -> lag--
	:: left == 0 -> lag = 0
	fi
}

/* What has run out counts for nothing: fewer states tell the same. */
inline forget_request(h)
{
	asked[h] = 0;
	asked_left[h] = 0;
	asked_lag[h] = 0;
	answer[h] = 0
}

inline forget_beat()
{
	beat = 0;
	beat_to = 0;
	beat_left = 0;
	beat_lag = 0;
	beat_epoch = 0
}

inline forget_expired(h)
{
	h_epoch[h] = (h_left[h] == 0 -> 0 : h_epoch[h]);
	if
	:: asked[h] != 0 && GRANT_LEFT(h) == 0 -> forget_request(h)
	:: else
	fi
}

/*
 * An order may arrive at any later time, so it is sent as soon as it can be.
 * The entry's log tells whether the attempt was freed before its session.
 */
inline send_order(h)
{
	if
	:: answer[h] > 0 && (freed == 0 || answer[h] < freed) ->
		order[answer[h]] = 1
	:: else
	fi
}

inline next_epoch()
{
	epoch++;
	life_of[epoch] = w_life
}

proctype entry(byte h)
{
	do
	:: atomic { asked[h] == 0 ->
		asked[h] = 1;
		asked_left[h] = G;
		asked_lag[h] = D
	}
	:: atomic { asked[h] == 1 -> /* the leader answers */
		asked[h] = 2;
		answer[h] = (home == h -> epoch : 0);
		certain = (home == h -> CERTAIN : certain)
	}
	:: atomic { asked[h] == 2 && GRANT_LEFT(h) > 0 ->
		h_epoch[h] = answer[h];
		h_left[h] = (answer[h] > 0 -> GRANT_LEFT(h) : 0);
		h_lag[h] = (answer[h] > 0 -> asked_lag[h] : 0);
		send_order(h);
		forget_request(h)
	}
	:: atomic { asked[h] != 0 -> forget_request(h) } /* lost */
	:: atomic { beat == 1 && beat_to == h && h_left[h] > 0 &&
	    h_epoch[h] > 0 && life_of[h_epoch[h]] == w_life ->
		beat = 2;
		beat_epoch = h_epoch[h]
	}
	od
}

#define MAY_START(k) (order[k] && !seen && IN_SESSION(k))

inline start()
{
	running = 1;
	seen = 1;
	SAFE
}

active proctype worker()
{
	do
	:: atomic { beat == 0 ->
		beat = 1;
		if
		:: beat_to = 0
		:: beat_to = 1
		fi;
		beat_left = W;
		beat_lag = D
	}
	/* An expired session is over; only a later epoch opens a new one. */
	:: atomic { beat == 2 && LEASE_LEFT > 0 && (beat_epoch > w_epoch ||
	    (beat_epoch == w_epoch && w_left > 0)) ->
		w_epoch = beat_epoch;
		w_left = LEASE_LEFT;
		w_lag = beat_lag;
		forget_beat()
	}
	:: atomic { beat != 0 -> forget_beat() } /* lost */
	:: atomic { MAY_START(1) -> start() }
	:: atomic { MAY_START(2) -> start() }
	:: atomic { MAY_START(3) -> start() }
	:: atomic { w_life == 0 -> /* restart */
		w_life = 1;
		running = 0;
		seen = 0;
		w_epoch = 0;
		w_left = 0;
		w_lag = 0;
		forget_beat()
	}
	od
}

active proctype leader()
{
	do
	:: atomic { epoch < E -> home = 1 - home; next_epoch() }
	:: atomic { freed == 0 && certain == 0 && epoch < E ->
		next_epoch();
		freed = epoch;
		SAFE
	}
	/* A restarted worker announces itself: its attempts are over. */
	:: atomic { life_of[epoch] != w_life && epoch < E ->
		next_epoch();
		freed = (freed == 0 -> epoch : freed);
		SAFE
	}
	:: atomic { certain = TAKEOVER } /* a new leader */
	od
}

active proctype clock()
{
	do
	:: atomic {
		certain = (certain > 0 -> certain - 1 : 0);
		run_down(h_left[0], h_lag[0]);
		run_down(h_left[1], h_lag[1]);
		run_down(asked_left[0], asked_lag[0]);
		run_down(asked_left[1], asked_lag[1]);
		run_down(beat_left, beat_lag);
		run_down(w_left, w_lag);
		forget_expired(0);
		forget_expired(1);
		if
		:: beat != 0 && LEASE_LEFT == 0 -> forget_beat()
		:: else
		fi;
		/* The worker stops what it runs when its lease ends. */
		running = (w_left == 0 -> 0 : running)
	}
	od
}

init {
	run entry(0);
	run entry(1)
}
