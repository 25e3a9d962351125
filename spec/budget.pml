/*
 * budget.pml: one program's budget, spent from chunks reserved in the log, by
 * owners and by the successors they name.
 *
 * PROP=3  what was spent, by whomever, never exceeds the budget
 *
 * A chunk has a part for the owner and a part for the named successor. Both may
 * spend theirs at any time: a holder cut off from the log cannot tell an outage
 * from being superseded, so the model gives it no such knowledge. The log is
 * kept as its fold, as in owner.pml.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef MAXFAULT
#define MAXFAULT 1	/* appends lost, or appended again at any later time */
#endif
#ifndef MAXRESTART
#define MAXRESTART 1	/* restarts: a new process of the same name, memory lost */
#endif
#ifndef BUDGET
#define BUDGET 6
#endif
#ifndef OWN
#define OWN 2
#endif
#ifndef SUCC
#define SUCC 1
#endif
#ifndef MAXRES
#define MAXRES 2	/* reservations of one epoch */
#endif

#define CLAIM	0
#define RESERVE	1
#define SETTLED	2	/* of the owner's part, with what it spent */
#define RETURNED 3	/* of the successor's part, with what it spent */

/* A record: present, type, writer, epoch, sequence, amount. */
#define REC(t, w, e, s, a)	(1024 | ((t) << 8) | ((w) << 6) | ((e) << 3) | ((s) << 2) | (a))
#define T(r)	(((r) >> 8) & 3)
#define W(r)	(((r) >> 6) & 3)
#define E(r)	(((r) >> 3) & 7)
#define S(r)	(((r) >> 2) & 1)
#define A(r)	((r) & 3)
#define ID(e, s)	(1 << (((e) - 1) * 2 + (s)))

/* the log, folded */
byte ep;
byte own = 3;
byte used;		/* settled spending */
byte open;		/* chunks not settled, counted as spent */
byte reserved;		/* bit masks of reservations */
byte settled, returned;

short cur[3];
short old[3];
bit landed[3];

byte hand[3];		/* reservation handed to the successor: 1 + (epoch - 1) * 2 + sequence */
byte spent;
byte faults, restarts;
bit restart[3];
byte claims;

inline apply(r)
{
	if
	:: T(r) == CLAIM ->
		if
		:: E(r) == ep + 1 -> ep = E(r); own = W(r);
#ifdef CHUNK_IGNORED
			open = 0
#endif
		:: else
		fi
	:: T(r) == RESERVE ->
		if
		:: E(r) == ep && W(r) == own && !(reserved & ID(E(r), S(r))) ->
			reserved = reserved | ID(E(r), S(r));
#ifdef SUCCESSOR_UNCOUNTED
			open = open + OWN
#else
			open = open + OWN + SUCC	/* both parts count as spent (3) */
#endif
		:: else					/* void behind a newer claim, or a duplicate */
		fi
	:: T(r) == SETTLED ->				/* unfenced */
		if
#ifndef SETTLED_TWICE
		:: settled & ID(E(r), S(r))		/* a duplicate frees nothing (3) */
#endif
		:: else ->
			settled = settled | ID(E(r), S(r));
			used = used + A(r);
#ifdef SETTLED_FOR_BOTH
			returned = returned | ID(E(r), S(r));
			open = open - (open < OWN + SUCC -> open : OWN + SUCC)
#else
			open = open - (open < OWN -> open : OWN)
#endif
		fi
	:: T(r) == RETURNED ->				/* unfenced */
		if
		:: returned & ID(E(r), S(r))
		:: else ->
			returned = returned | ID(E(r), S(r));
			used = used + A(r);
			open = open - (open < SUCC -> open : SUCC)
		fi
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
			landed[w] = (T(cur[w]) < SETTLED);
			if
			:: faults < MAXFAULT && !old[w] -> faults++; old[w] = cur[w]
			:: true
			fi
		:: faults < MAXFAULT -> faults++
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

inline spend()
{
	spent++;
#if PROP == 3
	assert(spent <= BUDGET);
#endif
}

#define mine	(ep == e && own == i)
#define next	((i + 1) % 3)

proctype inst(byte i)
{
	byte e;			/* epoch owned or being claimed */
	byte s;			/* next reservation of this epoch */
	byte left, took;	/* of the chunk held as owner */
	byte ce, cs;		/* its epoch and sequence */
	byte sleft, stook;	/* of the part held as successor */
	byte sid;
	bit did;		/* this process has claimed */
#ifdef SUCCESSOR_BY_NAME
	byte got;
#endif
end_again:	{
end:	do
	:: atomic { !e && !did && !cur[i] && claims < 3 && (i == 0 || claims) ->	/* all are alike: 0 begins */
		claims++; did = 1; e = ep + 1; s = 0;
		cur[i] = REC(CLAIM, i, e, 0, 0); landed[i] = 0 }
		if
		:: atomic { landed[i] -> landed[i] = 0;
			if
			:: mine
			:: !mine -> e = 0
			fi }
		:: atomic { !cur[i] && !landed[i] -> e = 0 }
		fi
	/* reserve, once the chunk before is settled or spent */
	:: atomic { e && !left && !ce && s < MAXRES && !cur[i] ->
		if
		:: !mine -> e = 0
		:: mine && used + open + OWN + SUCC <= BUDGET ->	/* read at the tail (3) */
			cur[i] = REC(RESERVE, i, e, s, 0); landed[i] = 0;
#ifdef HANDED_EARLY
			hand[next] = 1 + (e - 1) * 2 + s;
#endif
			goto wait
		:: mine && used + open + OWN + SUCC > BUDGET -> s = MAXRES	/* refused: over budget */
		fi }
	:: atomic { left -> left--; took++; spend() }		/* needs no log: still safe when superseded */
	:: atomic { ce && !cur[i] ->
		cur[i] = REC(SETTLED, i, ce, cs, took);
		ce = 0; cs = 0; took = 0;
#ifndef SETTLED_EARLY
		left = 0					/* final: nothing more from this chunk (3) */
#endif
		}
#ifdef SUCCESSOR_BY_NAME
	:: atomic { hand[i] && !sid && !(got & (1 << (hand[i] - 1))) ->
		sid = hand[i]; sleft = SUCC;
		got = got | (1 << (sid - 1)) }			/* remembered by this process only */
#else
	:: atomic { hand[i] && !sid -> sid = hand[i]; sleft = SUCC;
		hand[i] = 0 }					/* to this process alone (3) */
#endif
	:: atomic { sleft -> sleft--; stook++; spend() }
	:: atomic { sid && !cur[i] ->
		cur[i] = REC(RETURNED, i, (sid + 1) / 2, (sid + 1) % 2, stook);
		sid = 0; stook = 0; sleft = 0 }
	od;
wait:	if
	:: atomic { landed[i] -> landed[i] = 0;
		if
#ifdef VOID_RESERVE
		:: true ->
#else
		:: mine ->					/* counts: no newer claim seen (3) */
#endif
			ce = e; cs = s; s++; left = OWN;
#ifndef HANDED_EARLY
			hand[next] = 1 + (ce - 1) * 2 + cs;
#endif
			goto end
#ifndef VOID_RESERVE
		:: !mine -> e = 0; goto end
#endif
		fi }
	:: atomic { !cur[i] && !landed[i] -> cur[i] = REC(RESERVE, i, e, s, 0) };
		goto wait
	:: atomic { !landed[i] && !old[i] -> s++;		/* deadline: it may land yet; never spent from */
		if
		:: cur[i] -> old[i] = cur[i]; cur[i] = 0
		:: else
		fi;
		goto end }
	fi
	} unless { atomic { restart[i] ->
		restart[i] = 0; landed[i] = 0;
		e = 0; s = 0; left = 0; took = 0; ce = 0; cs = 0;
		sleft = 0; stook = 0; sid = 0; did = 0;
#ifdef SUCCESSOR_BY_NAME
		got = 0;
#endif
		goto end_again } }
}

active proctype killer()
{
	atomic { run inst(0); run inst(1); run inst(2) };
end:	do
	:: d_step { restarts < MAXRESTART -> restarts++; restart[0] = 1;
#ifndef SUCCESSOR_BY_NAME
		hand[0] = 0
#endif
		}
	:: d_step { restarts < MAXRESTART -> restarts++; restart[1] = 1;
#ifndef SUCCESSOR_BY_NAME
		hand[1] = 0
#endif
		}
	:: d_step { restarts < MAXRESTART -> restarts++; restart[2] = 1;
#ifndef SUCCESSOR_BY_NAME
		hand[2] = 0
#endif
		}
	od
}
