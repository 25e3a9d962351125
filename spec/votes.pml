/* Votes of organisations' limits (internal/allowance): one voter, which leases
 * its part of a slot to one coordinator at a time, and two coordinators that
 * each take themselves for the one. Requests and replies are lost, late and in
 * any order; the voter restarts and forgets its lease; a coordinator ends, which
 * the voter may learn, or leaves.
 *
 * Property 11: at no time is the voter's part counted in full by both. A vote of
 * a voter that has just started counts for less and is left out here: the
 * tolerance pays for it (boundsOf).
 *
 * Seeded faults:
 *   COUNT_FROM_REPLY  a vote counts from its arrival, not from the request
 *   LEND_TWICE        the voter does not look at its lease
 *   FRESH_IS_FULL     a vote of a voter that has just started counts in full
 *   ENDED_IF_SILENT   the voter takes a coordinator that it does not hear for ended
 *   RELEASE_FIRST     a coordinator that leaves tells so before it drops its vote
 *   LATE_VOTE         a coordinator that has left takes a vote that comes late
 */
#ifndef LIFE
#define LIFE 2
#endif
#ifndef MAXT
#define MAXT 7
#endif
#define NONE 2
#ifndef SLOTS
#define SLOTS 1	/* requests or replies under way, for each coordinator */
#endif

byte now = 1;

/* voter */
byte lent = NONE;
byte boundUntil = 0;
byte born = 0;
bool restarted = false;

/* coordinators */
typedef Coordinator {
	byte until;	/* its vote counts before this time */
	bool fresh;
	bool gone;	/* ended */
	bool leaving;
	bool released;	/* the voter was told that it leaves */
	byte asked[SLOTS];	/* when the request under way was sent, 0 for none */
	byte reply[SLOTS];	/* the same of a granted reply under way */
	bool replyFresh[SLOTS];
};
Coordinator c[2];

#define COUNTS(i) (now < c[i].until && !c[i].fresh && !c[i].gone)

inline check() { assert(!(COUNTS(0) && COUNTS(1))) }

inline ask(i, s) {
	c[i].asked[s] = now
}

inline lend(i, s) {
	if
#ifdef LEND_TWICE
	:: true ->
#else
	:: lent == NONE || lent == i || now >= boundUntil || c[lent].gone ->
#endif
		lent = i;
		boundUntil = now + LIFE;
		c[i].reply[s] = c[i].asked[s];
		c[i].replyFresh[s] = (restarted && now - born < LIFE)
	:: else
	fi;
	c[i].asked[s] = 0
}

inline take(i, s) {
	if
#ifdef LATE_VOTE
	:: !c[i].gone ->
#else
	:: !c[i].gone && !c[i].leaving ->
#endif
#ifdef COUNT_FROM_REPLY
		c[i].until = now + LIFE;
#else
		c[i].until = c[i].reply[s] + LIFE;
#endif
#ifdef FRESH_IS_FULL
		c[i].fresh = false
#else
		c[i].fresh = c[i].replyFresh[s]
#endif
	:: else
	fi;
	c[i].reply[s] = 0
}

init {
	byte i, s;
	do
	:: now < MAXT -> d_step { now++; check() }
	:: atomic {
		select(i : 0 .. 1);
		select(s : 0 .. SLOTS - 1);
		if
		:: !c[i].gone && !c[i].leaving && c[i].asked[s] == 0 && c[i].reply[s] == 0 -> ask(i, s)
		:: c[i].asked[s] != 0 -> lend(i, s)
		:: c[i].asked[s] != 0 -> c[i].asked[s] = 0	/* lost */
		:: c[i].reply[s] != 0 -> take(i, s)
		:: c[i].reply[s] != 0 -> c[i].reply[s] = 0	/* lost */
		:: !restarted -> restarted = true; born = now; lent = NONE; boundUntil = 0
		:: !c[i].gone -> c[i].gone = true; c[i].until = 0
		:: !c[i].gone && !c[i].leaving ->
			c[i].leaving = true;
#ifndef RELEASE_FIRST
			c[i].until = 0
#endif
		:: c[i].leaving && !c[i].released ->
			c[i].released = true;
			if
			:: lent == i -> boundUntil = now
			:: else
			fi
#ifdef ENDED_IF_SILENT
		:: lent == i -> boundUntil = now
#endif
		:: else -> skip
		fi;
		i = 0; s = 0;
		check()
	   }
	:: now == MAXT -> break
	od
}
