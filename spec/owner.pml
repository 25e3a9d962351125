/*
 * owner.pml: one not-repeatable call, its owners and the log.
 *
 * PROP=1  the call is sent to the target at most once
 * PROP=2  "not run" answered to a delivery: neither that delivery nor an
 *         earlier one of the same key has been sent or will be
 * PROP=6  an epoch has one owner, and it is the one the log names
 * PROP=7  every maximal run ends with an answer to every delivery; check.sh
 *         also shows that the model has no cycle, so every run is finite
 *
 * The log is kept as the fold of its records. Every reader folds the same
 * records in offset order, and a reader that stops short of the tail sees what
 * it would have seen by reading earlier; so the fold at the time of the read is
 * all that a reader can learn.
 *
 * Any instance may stop between any two steps (the scheduler gives no step to
 * it: a pause) or die for good (the process killer). An outage is a delay of
 * any length of the records in flight, with a deadline passing at the owner.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef MAXFAULT
#define MAXFAULT 1	/* appends lost before taking effect, or appended again at any later time */
#endif
#ifndef MAXDEATH
#define MAXDEATH 1	/* of instances 0 and 1; instance 2 may pause, not die */
#endif

#define CLAIM	0
#define INTENT	1
#define OUTCOME	2
#define ABANDON	3

/* A record: present, type, writer, epoch, delivery. */
#define REC(t, w, e, d)	(256 | ((t) << 6) | ((w) << 4) | ((e) << 1) | (d))
#define T(r)	(((r) >> 6) & 3)
#define W(r)	(((r) >> 4) & 3)
#define E(r)	(((r) >> 1) & 7)
#define D(r)	((r) & 1)
/* An Intent is named by epoch and delivery: an epoch has one writer. */
#define ID(e, d)	(1 << (((e) - 1) * 2 + (d)))

#define NONE	0
#define ANSWER	1
#define NOTRUN	2
#define UNKNOWN	3

/* the log, folded */
byte ep;		/* newest epoch claimed */
byte own = 3;		/* its owner */
short intents;		/* Intents that are not void */
short abandoned;	/* Intents that were abandoned */
bit outcome;		/* an Outcome is in the log */

/* appends in flight, an instance: the one waited for, and one given up */
short cur[3];
short old[3];
bit landed[3];		/* the one waited for can be read back */

/* deliveries of the call */
byte pend[3];		/* bit mask, an instance: deliveries not yet answered there */
byte issued;		/* bit mask: deliveries the caller made */
byte ans[2];
bit again[2];		/* marked by caller or gateway: an earlier delivery got no answer */

bit dead[3];
bit quiet;		/* faults have ceased */
byte faults, deaths;

#if PROP == 1
byte sends;
#endif
#if PROP == 2
byte sent;
#endif
#if PROP == 6
byte owner_of[7] = 3;
#endif

#define canclaim	(c < 1 || (i == 2 && c < 3))

inline apply(r)
{
	if
	:: T(r) == CLAIM ->
		if
		:: E(r) == ep + 1 -> ep = E(r); own = W(r)	/* the first claim of an epoch wins (6) */
#ifdef VOID_CLAIM
		:: E(r) == ep -> own = W(r)
#endif
		:: else
		fi
	:: T(r) == INTENT ->
		if
		:: E(r) == ep && W(r) == own -> intents = intents | ID(E(r), D(r))
		:: else						/* fenced: void behind a newer claim */
		fi
	:: T(r) == OUTCOME -> outcome = 1			/* unfenced */
	:: T(r) == ABANDON ->					/* unfenced; names its Intent (1) */
#ifdef ABANDON_BY_CALL
		intents = 0
#else
		abandoned = abandoned | ID(E(r), D(r))
#endif
	fi
}

active proctype log()
{
	byte w;
end:	do
	:: atomic {
		if
		:: cur[0] -> w = 0
		:: cur[1] -> w = 1
		:: cur[2] -> w = 2
		fi;
		if
		:: d_step { apply(cur[w]) };
			if
			:: T(cur[w]) < OUTCOME ->
#ifdef WAIT_REPLY
				if
				:: landed[w] = 1
				:: !quiet -> skip	/* reply lost */
				fi
#else
				landed[w] = 1
#endif
			:: else
			fi;
			if
			:: !quiet && faults < MAXFAULT && !old[w] -> faults++; old[w] = cur[w]
			:: true
			fi
		:: !quiet && faults < MAXFAULT -> faults++
#ifdef ENDLESS_LOSS
		:: true
#endif
		fi;
		cur[w] = 0; w = 0
	   }
	:: atomic {
		if
		:: old[0] -> w = 0
		:: old[1] -> w = 1
		:: old[2] -> w = 2
		fi;
		if
		:: d_step { apply(old[w]) }
		:: !quiet && faults < MAXFAULT -> faults++
		fi;
		old[w] = 0; w = 0
	   }
	od
}

/* Answers every delivery held here with v. */
inline answer(v)
{
	d_step {
		if
		:: pend[i] & 1 -> ans[0] = v
		:: else
		fi;
		if
		:: pend[i] & 2 -> ans[1] = v
		:: else
		fi;
		pend[i] = 0
	}
}

/*
 * Drops every delivery held here for good. "Not run" goes only to a delivery
 * before which none was left open: one marked as a retry may have been run from
 * an earlier delivery that this instance cannot see (2).
 */
inline drop()
{
	d_step {
		if
		:: pend[i] & 1 -> notrun(0)
		:: else
		fi;
		if
		:: pend[i] & 2 -> notrun(1)
		:: else
		fi;
		pend[i] = 0
	}
}

inline notrun(d)
{
	if
#ifndef NOTRUN_TO_RETRY
	:: again[d] -> ans[d] = UNKNOWN
#endif
	:: else ->
		ans[d] = NOTRUN;
#if PROP == 2
		assert(!(sent & (d == 0 -> 1 : 3)))
#endif
	fi
}

proctype inst(byte i)
{
	byte e;		/* epoch owned or being claimed */
	byte c;		/* claims made */
	byte k;		/* delivery whose Intent is under way */
	{
end:	do
	:: atomic { pend[i] && !e && canclaim && !cur[i] ->
		c++; e = ep + 1;
		cur[i] = REC(CLAIM, i, e, 0); landed[i] = 0 }
claim:		if
		:: atomic { landed[i] ->
			landed[i] = 0;
			if
#ifdef NO_READBACK_CLAIM
			:: true ->
#else
			:: ep == e && own == i ->	/* read back through its own record (6) */
#endif
#if PROP == 6
				assert(owner_of[e] == 3 || owner_of[e] == i);
				assert(ep > e || own == i);
				owner_of[e] = i;
#endif
				skip
#ifndef NO_READBACK_CLAIM
			:: else -> e = 0
#endif
			fi }
#ifndef WAIT_REPLY
		:: atomic { !cur[i] && !landed[i] -> cur[i] = REC(CLAIM, i, e, 0) };
			goto claim
#endif
		:: atomic { !quiet && pend[i] -> drop() };	/* deadline of the call; the claim goes on */
			goto claim
		fi
	:: atomic { pend[i] && e && !cur[i] ->
		if
		:: ep != e || own != i -> e = 0
		:: ep == e && own == i && outcome -> answer(ANSWER)
		:: ep == e && own == i && !outcome && (intents & ~abandoned) ->
			answer(UNKNOWN);	/* an Intent without an Outcome is never run again (1) */
		:: ep == e && own == i && !outcome && !(intents & ~abandoned) ->
			k = (pend[i] & 1 -> 0 : 1);
			cur[i] = REC(INTENT, i, e, k); landed[i] = 0;
			goto intent
		fi }
	:: atomic { pend[i] && (!quiet || (i != 2 && !e && !canclaim)) -> drop() }
	od;

intent:	if
	:: atomic { landed[i] ->
		landed[i] = 0;
		if
#ifdef NO_READBACK_INTENT
		:: true
#else
		:: ep == e && own == i			/* counts: no newer claim seen (1) */
		:: else ->
			cur[i] = REC(ABANDON, i, e, k);
			e = 0; k = 0;
			goto end
#endif
		fi }
#ifndef WAIT_REPLY
	:: atomic { !cur[i] && !landed[i] -> cur[i] = REC(INTENT, i, e, k) };
		goto intent				/* same epoch, writer and sequence */
#endif
#ifdef NOTRUN_KEEPS_INTENT
	:: atomic { !quiet && pend[i] -> drop() };
		goto intent
#else
	:: atomic { !quiet && (!cur[i] || !old[i]) ->	/* deadline: the Intent may land yet */
		drop();					/* for good: nothing is sent below (2) */
		if
		:: cur[i] -> old[i] = cur[i]
		:: else
		fi;
		landed[i] = 0;
		cur[i] = REC(ABANDON, i, e, k);
		k = 0;
		goto end }
#endif
	fi;

	/* The owner may be paused here for ever and be superseded; its Intent precedes the claim. */
send:	atomic {
#if PROP == 1
		sends++;
		assert(sends <= 1);
#endif
#if PROP == 2
		sent = sent | (1 << k);
		assert(ans[1] != NOTRUN && !(k == 0 && ans[0] == NOTRUN));
#endif
		skip }

	if
	:: atomic { answer(ANSWER); cur[i] = REC(OUTCOME, i, e, k); k = 0; goto end }
	:: atomic { !quiet ->				/* the target's reply is lost */
#ifdef RETRY_SEND
		goto send
#else
		answer(UNKNOWN); k = 0; goto end
#endif
		}
	fi
	} unless { atomic { dead[i] -> e = 0; c = 0; k = 0; landed[i] = 0 } }
}

/* A dead instance's last delivery is made again, marked, by the gateway that held it. */
inline kill(x)
{
	dead[x] = 1; deaths++;
	if
	:: pend[x] & 1 -> again[0] = 1
	:: else
	fi;
	if
	:: pend[x] & 2 -> again[1] = 1
	:: else
	fi;
	pend[2] = pend[2] | pend[x]; pend[x] = 0
}

active proctype killer()
{
end:	do
	:: d_step { !quiet && !dead[0] && deaths < MAXDEATH -> kill(0) }
	:: d_step { !quiet && !dead[1] && deaths < MAXDEATH -> kill(1) }
#if PROP == 7 || PROP == 8
	:: d_step { !quiet -> quiet = 1 }
#endif
	od
}

inline deliver(d)
{
	issued = issued | (1 << d);
	if
	:: !dead[0] -> pend[0] = pend[0] | (1 << d)
	:: d == 1 && !dead[1] -> pend[1] = pend[1] | (1 << d)	/* 0 and 1 are alike: the first never goes to 1 */
	:: pend[2] = pend[2] | (1 << d)
	fi
}

active proctype caller()
{
	atomic { run inst(0); run inst(1); run inst(2) };
	atomic { deliver(0) };
	if
	:: atomic { ans[0] == NOTRUN -> deliver(1) }		/* the same call, nothing left open */
	:: atomic { !quiet && !ans[0] -> again[1] = 1; deliver(1) }	/* gave up waiting: retries elsewhere */
	:: ans[0]
	fi
}

#if PROP == 7
active proctype monitor()
{
end:	atomic { timeout -> assert((!(issued & 1) || ans[0]) && (!(issued & 2) || ans[1])) }
}
#endif
