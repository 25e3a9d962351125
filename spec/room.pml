/*
 * room.pml: one program's budget on the users' platform, kept by owners whose
 * epochs the store orders (internal/budget).
 *
 * PROP=3  what the program generated never exceeds its budget and the most of
 *         one turn
 *
 * A turn generates one unit, its most. An owner allocates tokens up to a limit: at
 * first its slice of the budget that needs no record, later what a record in the
 * store says. The claim in the store says how many owners before may have
 * allocated their slices; an owner counts all of these as used. Owners never learn by themselves that they were superseded, may
 * stop for any time, and die. Appends land at any later time, also after their
 * writer's death, unless the store's epoch has passed theirs. Handovers are
 * messages that arrive at any later time or never.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef N
#define N	3
#endif
#define BUDGET	4
#define MOST	1
/* what owners after fewer than n crashes may allocate without a record */
#define SLICES(n)	((n) == 0 -> 0 : ((n) == 1 -> 2 : 3))
#ifndef MAXCLAIM
#define MAXCLAIM 3
#endif
#ifndef MAXDIE
#define MAXDIE 2
#endif
#ifndef MAXHAND
#define MAXHAND 2
#endif

/* the store */
byte epoch;		/* of the newest claim, 0 before the first */
byte record;		/* limit recorded for the program, 0 for none */
byte version;		/* grows with each append */
byte losses;		/* in the newest claim */
byte recordLosses;	/* of the owner that wrote the record */

/* each instance */
bit own[N];
byte at[N];		/* epoch that its ownership goes back to */
bit claimed[N];		/* the claim of that epoch is its own */
byte used[N];
byte limit[N];
bit charged[N];
byte lost[N];		/* losses in the claim that its ownership goes back to */
bit reading[N];		/* read the store for a claim */
byte sawEpoch[N], sawRecord[N], sawVersion[N], sawLosses[N], sawRecordLosses[N];
bit writing[N];		/* an append is on its way */
byte writeEpoch[N], writeLimit[N], writeLosses[N];

/* one handover on its way */
bit handed;
byte handEpoch, handUsed, handLimit, handLosses;
bit handCharged;

byte claims, deaths, hands;
byte generated;

#ifdef CEILING_TWICE
#define CEILING(i)	(BUDGET + (charged[i] -> 2 * MOST : 0))
#else
#define CEILING(i)	(BUDGET + (charged[i] -> MOST : 0))
#endif

/* bounds a figure by the ceiling, and from below */
inline cap(x, least, i)
{
	if
	:: x > CEILING(i) -> x = CEILING(i)
	:: else
	fi;
	if
	:: x < least -> x = least
	:: else
	fi
}

inline forget(i)
{
	own[i] = 0; at[i] = 0; claimed[i] = 0; used[i] = 0; limit[i] = 0; charged[i] = 0;
	lost[i] = 0
}

inline turn(i)
{
	atomic {
#ifdef ROOM_BEFORE_RECORD
		own[i] && (used[i] + MOST <= limit[i] || (claimed[i] && used[i] + MOST <= CEILING(i)));
#else
		own[i] && used[i] + MOST <= limit[i];
#endif
		used[i] = used[i] + MOST;
		generated = generated + MOST;
#if PROP == 3
		assert(generated <= BUDGET + MOST)
#endif
	}
}

inline startWrite(i)
{
	atomic {
		own[i] && claimed[i] && !writing[i] && used[i] + MOST > limit[i] && used[i] + MOST <= CEILING(i);
		writing[i] = 1; writeEpoch[i] = at[i]; writeLimit[i] = used[i] + MOST;
		writeLosses[i] = lost[i]
	}
}

inline land(i)
{
	atomic {
		writing[i];
		writing[i] = 0;
		if
#ifdef NO_FENCE
		:: true ->
#else
		:: writeEpoch[i] == epoch ->
#endif
			record = writeLimit[i]; recordLosses = writeLosses[i]; version++;
			if
			:: own[i] && claimed[i] && at[i] == writeEpoch[i] -> limit[i] = writeLimit[i]
			:: else
			fi
#ifndef NO_FENCE
		:: else ->
			if
			:: own[i] && at[i] == writeEpoch[i] -> forget(i)
			:: else
			fi
#endif
		fi
	}
}

inline read(i)
{
	atomic {
		claims < MAXCLAIM && !reading[i] && !claimed[i];
		reading[i] = 1; sawEpoch[i] = epoch; sawRecord[i] = record; sawVersion[i] = version;
		sawLosses[i] = losses; sawRecordLosses[i] = recordLosses
	}
}

inline claim(i)
{
	atomic {
		reading[i] && claims < MAXCLAIM;
		reading[i] = 0;
		if
#ifdef NO_CONDITION
		:: epoch >= sawEpoch[i] ->
#else
		:: version == sawVersion[i] ->
#endif
			claims++;
			epoch++; version++;
			if
#ifdef STALE_EXACT
			:: own[i] ->
#else
			:: own[i] && at[i] == sawEpoch[i] ->
#endif
				skip	/* the accounts were handed over: exact */
			:: else ->
				own[i] = 1;
				lost[i] = (sawEpoch[i] == 0 -> 0 : sawLosses[i] + 1);
#ifdef LOSS_NOT_COUNTED
				lost[i] = (sawEpoch[i] == 0 -> 0 : 1);
#endif
				charged[i] = (lost[i] > 0 -> 1 : 0);
				if
				:: sawEpoch[i] != 0 && sawRecord[i] != 0 ->
#ifdef SLICES_BEYOND_A_RECORD_NOT_CHARGED
					used[i] = sawRecord[i];
#else
					used[i] = sawRecord[i] + SLICES(lost[i]) - SLICES(sawRecordLosses[i] + 1);
#endif
					limit[i] = used[i] + SLICES(lost[i] + 1) - SLICES(lost[i]);
					cap(used[i], sawRecord[i], i);
					cap(limit[i], used[i], i)
				:: else ->
#ifdef NO_CHARGE
					used[i] = 0;
#else
					used[i] = SLICES(lost[i]);
#endif
					limit[i] = SLICES(lost[i] + 1)
				fi
			fi;
			losses = lost[i];
			at[i] = epoch; claimed[i] = 1
		:: else
		fi
	}
}

inline handOver(i)
{
	atomic {
		own[i] && !handed && !writing[i] && hands < MAXHAND;
		hands++;
		handed = 1; handEpoch = at[i]; handUsed = used[i]; handLimit = limit[i]; handCharged = charged[i];
		handLosses = lost[i];
#ifndef OWNER_GOES_ON
		forget(i)
#endif
	}
}

inline takeOver(i)
{
	atomic {
		handed && !own[i];
#ifndef HANDED_TWICE
		handed = 0;
#endif
		own[i] = 1; at[i] = handEpoch; claimed[i] = 0;
		used[i] = handUsed; limit[i] = handLimit; charged[i] = handCharged;
		lost[i] = handLosses
	}
}

inline die(i)
{
	atomic {
		own[i] && deaths < MAXDIE;
		deaths++;
		forget(i); reading[i] = 0
	}
}

active [N] proctype instance()
{
end:	do
	:: turn(_pid)
	:: startWrite(_pid)
	:: land(_pid)
	:: read(_pid)
	:: claim(_pid)
	:: handOver(_pid)
	:: takeOver(_pid)
	:: die(_pid)
	od
}
