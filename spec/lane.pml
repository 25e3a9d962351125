/*
 * lane.pml: two not-repeatable calls of one lane, in order, at a target that
 * takes time and is reached by messages that may be late.
 *
 * PROP=4  call 1 never starts at the target after call 2 did, and call 2 never
 *         starts while call 1 runs
 * PROP=7  both calls end once faults cease
 *
 * Both calls are known to every instance from the start (the caller retries
 * everywhere, and sends call 2 without waiting): more than a caller can do.
 * With FENCED the target refuses a send of an epoch older than the newest it
 * was shown, and a new owner may go on behind an unknown outcome after that.
 * With TIMED a new owner goes on after a wait that is taken to outlast whatever
 * an earlier owner may still send and the run of what was sent: an assumption on
 * time, put into the model as such.
 * The log is kept as its fold, as in owner.pml.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef MAXFAULT
#define MAXFAULT 1	/* appends lost, or appended again at any later time */
#endif
/*
 * Deaths of instances 0 and 1; instance 2 may pause, not die. No request moves
 * at a death here, so for order a death is a pause without end: none needed.
 */
#ifndef MAXDEATH
#if PROP == 4
#define MAXDEATH 0
#else
#define MAXDEATH 1
#endif
#endif
#ifndef MAXCLAIM
#if PROP == 4
#define MAXCLAIM 1	/* of instance 2; instances 0 and 1 claim once */
#elif defined(TWO)
#define MAXCLAIM 2	/* loses at most to the other */
#else
#define MAXCLAIM 3	/* loses at most to the two others */
#endif
#endif

#define CLAIM	0
#define INTENT	1
#define OUTCOME	2
#define ABANDON	3
#define REC(t, w, e, d)	(256 | ((t) << 6) | ((w) << 4) | ((e) << 1) | (d))
#define T(r)	(((r) >> 6) & 3)
#define W(r)	(((r) >> 4) & 3)
#define E(r)	(((r) >> 1) & 7)
#define D(r)	((r) & 1)
#define ID(e, d)	(1 << (((e) - 1) * 2 + (d)))
#define OF(d)	((d) == 0 -> 341 : 682)		/* every Intent of call d */

#define NONE	0
#define ANSWER	1
#define NOTRUN	2
#define UNKNOWN	3

/* the log, folded */
byte ep;
byte own = 3;
short intents;
short abandoned;
byte outcome;		/* bit mask of calls */

short cur[3];
short old[3];
bit landed[3];

byte ans[2];		/* first answer to each call */
bit dead[3];
bit quiet;
bit first;		/* 0 and 1 are alike: let 0 claim before 1 */
byte faults, deaths;

/* the target: sends under way, by call the epoch that sent it */
byte net[2];
bit started[2];
bit ended[2];
#ifdef FENCED
byte fence;
bit refused[2];
#endif

#ifdef TIMED
byte armed;		/* bit mask: instances whose Intent of call 1 counts, not sent yet */
#endif

#define live(d)	(intents & ~abandoned & OF(d))

inline apply(r)
{
	if
	:: T(r) == CLAIM ->
		if
		:: E(r) == ep + 1 -> ep = E(r); own = W(r)
		:: else
		fi
	:: T(r) == INTENT ->
		if
		:: E(r) == ep && W(r) == own -> intents = intents | ID(E(r), D(r))
		:: else
		fi
	:: T(r) == OUTCOME -> outcome = outcome | (1 << D(r))
	:: T(r) == ABANDON -> abandoned = abandoned | ID(E(r), D(r))
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
				:: !quiet -> skip
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
		fi;
		cur[w] = 0; w = 0
	   }
	:: atomic {
		if
		:: old[0] -> w = 0
		:: old[1] -> w = 1
		:: old[2] -> w = 2
		fi;
		d_step { apply(old[w]) };
		old[w] = 0; w = 0
	   }
	od
}

inline arrive(d)
{
#ifdef FENCED
	if
	:: net[d] < fence -> refused[d] = 1	/* an older epoch than the lane was shown */
	:: else ->
#endif
#if PROP == 4
		assert(d == 1 || !started[1]);
		assert(d == 0 || !started[0] || ended[0]);
#endif
		started[d] = 1
#ifdef FENCED
	fi
#endif
	;
	net[d] = 0
}

active proctype target()
{
end:	do
	:: atomic { net[0] -> arrive(0) }
	:: atomic { net[1] -> arrive(1) }
	:: atomic { started[0] && !ended[0] -> ended[0] = 1 }
	:: atomic { started[1] && !ended[1] -> ended[1] = 1 }
	od
}

/* Ends call d at this instance with v; the caller keeps the first answer. */
inline finish(d, v)
{
	if
	:: d == 0 -> s0 = v
	:: else -> s1 = v
	fi
	;
#if PROP == 7
	if
	:: ans[d] == NONE -> ans[d] = v
	:: else
	fi
#endif
}

/* An Intent of call 2, abandoned or not, closes call 1 for every later owner (4). */
#ifdef REOPEN
#define passed	0
#else
#define passed	(intents & OF(1))
#endif
#ifdef SHORT_WAIT
#define run_over	1
#else
#define run_over	(!started[0] || ended[0])
#endif
#define mine	(ep == e && own == i)

proctype inst(byte i)
{
	byte e;		/* epoch owned or being claimed */
	byte c;		/* claims made */
	byte k;		/* call under way */
	byte s0, s1;	/* how each call ended here */
	{
end:	do
	:: atomic { !s1 && !e && !cur[i] && (c < 1 || (i == 2 && c < MAXCLAIM)) &&
			(i != 1 || first) ->
		first = (first || i == 0);
		c++; e = ep + 1;
		cur[i] = REC(CLAIM, i, e, 0); landed[i] = 0 }
claim:		if
		:: atomic { landed[i] -> landed[i] = 0;
			if
			:: mine
			:: !mine -> e = 0
			fi }
#ifndef WAIT_REPLY
		:: atomic { !cur[i] && !landed[i] -> cur[i] = REC(CLAIM, i, e, 0) };
			goto claim
#endif
		fi
	:: atomic { !s1 && e && !cur[i] ->
		if
		:: !mine -> e = 0
		:: mine && !s0 ->
			if
			:: outcome & 1 -> finish(0, ANSWER)
			:: !(outcome & 1) && (live(0) || passed) -> finish(0, UNKNOWN)
			:: !(outcome & 1) && !(live(0) || passed) -> k = 0; goto intent
			fi
		:: mine && s0 ->
			if
			:: outcome & 2 -> finish(1, ANSWER)
			:: !(outcome & 2) && live(1) -> finish(1, UNKNOWN)
			:: !(outcome & 2) && !live(1) ->
				if
				:: s0 == ANSWER -> k = 1; goto intent	/* only behind an outcome of call 1 (4) */
#ifdef GO_ON_UNKNOWN
				:: s0 == UNKNOWN -> k = 1; goto intent
#endif
#if defined(FENCED) || defined(TIMED)
				:: s0 == UNKNOWN -> k = 1; goto behind
#endif
				:: s0 == NOTRUN -> finish(1, NOTRUN)
#if !defined(FENCED) && !defined(TIMED) && !defined(GO_ON_UNKNOWN)
				:: s0 == UNKNOWN -> finish(1, NOTRUN)	/* the lane is held: call 1 may start yet (4) */
#endif
				fi
			fi
		fi }
	od;

#ifdef TIMED
behind:	atomic { !armed && !net[0] && run_over };
#endif
#ifdef FENCED
behind:
	atomic { fence = (fence < e -> e : fence) };
	/* From here on no send of an older epoch starts; one of this epoch was this owner's. */
	atomic { (!started[0] || ended[0]) && net[0] != e };
#endif

intent:	atomic { cur[i] = REC(INTENT, i, e, k); landed[i] = 0 };
wait:	if
	:: atomic { landed[i] -> landed[i] = 0;
		if
		:: mine ->
#ifdef TIMED
			armed = (k == 0 -> armed | (1 << i) : armed)
#else
			skip
#endif
		:: !mine -> cur[i] = REC(ABANDON, i, e, k); e = 0; k = 0; goto end
		fi }
#ifndef WAIT_REPLY
	:: atomic { !cur[i] && !landed[i] -> cur[i] = REC(INTENT, i, e, k) };
		goto wait
#endif
	:: atomic { !quiet && (!cur[i] || !old[i]) ->
		finish(k, NOTRUN);
		if
		:: cur[i] -> old[i] = cur[i]
		:: else
		fi;
		landed[i] = 0; cur[i] = REC(ABANDON, i, e, k); k = 0;
		goto end }
	fi;

	atomic {
#ifdef TIMED
		armed = armed & ~(1 << i);
#endif
		net[k] = e };			/* the send; may arrive after this owner is gone */

#ifdef NO_WAIT
	if
	:: atomic { k == 0 -> finish(0, ANSWER); k = 0; goto end }
	:: k == 1
	fi;
#endif
	if
	:: atomic { ended[k] -> finish(k, ANSWER); cur[i] = REC(OUTCOME, i, e, k); k = 0; goto end }
	:: atomic { !quiet -> finish(k, UNKNOWN); k = 0; goto end }
#ifdef FENCED
	:: atomic { refused[k] -> finish(k, UNKNOWN); k = 0; goto end }
#endif
	fi
	} unless { atomic { dead[i] ->
#ifdef TIMED
		armed = armed & ~(1 << i);
#endif
		e = 0; c = 0; k = 0; s0 = 0; s1 = 0; landed[i] = 0 } }
}

active proctype killer()
{
#ifdef TWO
	atomic { run inst(0); run inst(2) };	/* no third instance */
#else
	atomic { run inst(0); run inst(1); run inst(2) };
#endif
end:	do
	:: d_step { !quiet && !dead[0] && deaths < MAXDEATH -> dead[0] = 1; deaths++ }
#if PROP >= 7
	:: d_step { !quiet -> quiet = 1 }
#endif
	od
}

#if PROP == 7
active proctype monitor()
{
end:	atomic { timeout -> assert(ans[0] && ans[1]) }
}
#endif
