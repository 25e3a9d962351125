/*
 * room.pml: one program's budget on the users' platform, kept by owners whose
 * epochs the store orders (internal/budget).
 *
 * PROP=3  what the program generated never exceeds its budget and the most of
 *         one turn
 *
 * A turn generates one unit, its most. An owner hands out room up to a limit: at
 * first the part of the budget that needs no record, later what a record in the
 * store says. Owners never learn by themselves that they were superseded, may
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
#define FREE	2	/* the part that needs no record */
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

/* each instance */
bit own[N];
byte at[N];		/* epoch that its ownership goes back to */
bit claimed[N];		/* the claim of that epoch is its own */
byte used[N];
byte limit[N];
bit charged[N];
bit reading[N];		/* read the store for a claim */
byte sawEpoch[N], sawRecord[N], sawVersion[N];
bit writing[N];		/* an append is on its way */
byte writeEpoch[N], writeLimit[N];

/* one handover on its way */
bit handed;
byte handEpoch, handUsed, handLimit;
bit handCharged;

byte claims, deaths, hands;
byte generated;

#ifdef CEILING_TWICE
#define CEILING(i)	(BUDGET + (charged[i] -> 2 * MOST : 0))
#else
#define CEILING(i)	(BUDGET + (charged[i] -> MOST : 0))
#endif

inline forget(i)
{
	own[i] = 0; at[i] = 0; claimed[i] = 0; used[i] = 0; limit[i] = 0; charged[i] = 0
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
		writing[i] = 1; writeEpoch[i] = at[i]; writeLimit[i] = used[i] + MOST
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
			record = writeLimit[i]; version++;
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
		reading[i] = 1; sawEpoch[i] = epoch; sawRecord[i] = record; sawVersion[i] = version
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
				if
				:: sawEpoch[i] == 0 -> used[i] = 0; limit[i] = FREE; charged[i] = 0
				:: sawEpoch[i] != 0 && sawRecord[i] != 0 ->
					used[i] = sawRecord[i]; limit[i] = sawRecord[i]; charged[i] = 1
				:: else ->
#ifdef NO_CHARGE
					used[i] = 0;
#else
					used[i] = FREE;
#endif
					limit[i] = FREE; charged[i] = 1
				fi
			fi;
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
		used[i] = handUsed; limit[i] = handLimit; charged[i] = handCharged
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
