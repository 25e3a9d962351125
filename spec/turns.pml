/*
 * turns.pml: the turns of conversations, kept as records in a store that answers
 * late or never, with copies in instances that die (internal/conversation).
 *
 * PROP=9  a turn whose caller saw its end is never called unknown
 * PROP=10 the store holds a turn that can be named with all turns before it, in
 *         one partition
 *
 * Turn t continues turn t - 1; turn 0 begins the conversation. The last turn is
 * another program's, whose home is the second partition. Both instances write
 * turns, read partitions wholly or in part and die; one is asked for a turn, the
 * other drops what can no longer be named. Appends land at any later time, also after their
 * writer's death.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef MAXDIE
#define MAXDIE 1
#endif
#ifndef MAXLOST
#define MAXLOST 1	/* appends without an answer */
#endif
#ifndef MAXWRITE
#define MAXWRITE 3
#endif
#define N	2	/* instances */
#define P	2	/* partitions */
#define T	3	/* turns */
#define BIT(t)	(1 << (t))
#define HOME(t)	((t) == T - 1 -> 1 : 0)
#define UPTO(t)	((1 << ((t) + 1)) - 1)	/* the turn and all before it */

/* the store: the turns that a partition holds, and one append in flight each */
byte held[P];
byte fly[P];

/* the callers */
byte ended;	/* turns whose end was seen */
byte old;	/* turns that can no longer be named */

/* the instances: turns in memory, and the partitions known to hold them */
byte mem[N];
byte in[N * P];
byte writing[N];	/* 1 + the turn that it writes, 0 for none */

byte deaths, lost, writes;
bit asks;

#define KNOWN(i, p)	in[(i) * P + (p)]
/* Some caller may still name t: it ended, and it or a later one is not old. */
#define NAMEABLE(t)	((ended & ~old) >> (t))

inline forget(i) {
	mem[i] = 0;
	KNOWN(i, 0) = 0;
	KNOWN(i, 1) = 0;
	writing[i] = 0
}

/* what is read is in memory, and known to lie in the partition */
inline read(i, p, what) {
	mem[i] = mem[i] | (held[p] & (what));
	KNOWN(i, p) = KNOWN(i, p) | (held[p] & (what))
}

/* The turn, with those before it that the partition may lack: it keeps a turn
 * that is not old, and those that such a turn of it continues. */
#define KEEPS1(i, p)	((KNOWN(i, p) & 2) && !(old & 2))
#define KEEPS0(i, p)	((KNOWN(i, p) & 1) && (!(old & 1) || KEEPS1(i, p)))
#ifdef NO_CLOSURE
#define BATCH(i, p, t)	BIT(t)
#else
#ifdef STALE_KNOWN
#define BATCH(i, p, t)	((UPTO(t) & ~(KNOWN(i, p))) | BIT(t))
#else
#define BATCH(i, p, t)	((UPTO(t) & ~((KEEPS0(i, p) -> 1 : 0) | (KEEPS1(i, p) -> 2 : 0))) | BIT(t))
#endif
#endif

/* No turn that continues t is written or on its way: a turn that was named in
 * time has long landed when the turn named is dropped. */
#ifdef NO_MARGIN
#define SETTLED(t)	true
#else
#define SETTLED(t)	(fly[0] >> (t) == 0 && fly[1] >> (t) == 0 && \
			 writing[0] <= (t) && writing[1] <= (t))
#endif

proctype Instance(byte i) {
	byte t, p;
	bit asked;
	byte done;	/* partitions read to their ends since the question */
end:	do
	/* A caller names a turn that ended, and the instance has all before it. */
	:: atomic {
		writing[i] == 0 && writes < MAXWRITE ->
		if
		:: t = 0
		:: t = 1
		:: t = 2
		fi;
		if
		:: (ended & BIT(t)) == 0 && fly[0] >> t == 0 && fly[1] >> t == 0 && writing[1 - i] != t + 1 &&
		   (t == 0 || ((ended & ~old & BIT(t - 1)) != 0 && (mem[i] & UPTO(t - 1)) == UPTO(t - 1))) ->
			writing[i] = t + 1;
			writes++
		:: else
		fi;
		t = 0
	   }
	/* One try to append it, at home or elsewhere. */
	:: atomic {
		writing[i] != 0 ->
		t = writing[i] - 1;
		if
		:: p = HOME(t)
		:: p = 1 - HOME(t)
		fi;
		if
		:: held[p] = held[p] | BATCH(i, p, t);	/* acknowledged */
		   mem[i] = mem[i] | UPTO(t);
		   KNOWN(i, p) = KNOWN(i, p) | UPTO(t);
		   ended = ended | BIT(t);
		   writing[i] = 0
		:: fly[p] == 0 && lost < MAXLOST ->	/* no answer: it may land later */
		   lost++;
		   fly[p] = BATCH(i, p, t);
#ifdef END_EARLY
		   ended = ended | BIT(t);
		   mem[i] = mem[i] | UPTO(t);
		   writing[i] = 0
#endif
		:: writing[i] = 0			/* the caller left */
		fi;
		t = 0;
		p = 0
	   }
	/* What it needs to write a turn it reads first. */
	:: atomic { writing[i] == 0 && (held[0] & ~KNOWN(i, 0)) != 0 -> read(i, 0, 255) }
	:: atomic { writing[i] == 0 && (held[1] & ~KNOWN(i, 1)) != 0 -> read(i, 1, 255) }
	/* A caller asks for a turn. */
	:: atomic {
		i == 1 && asks == 0 ->
		asks = 1;
		if
		:: t = 0
		:: t = 1
		:: t = 2
		fi;
		asked = ((ended & ~old) >> t) & 1;
		done = 0
#ifdef READ_BEFORE
		;
		if
		:: KNOWN(i, 0) != 0 -> done = 1	/* a read that began before the question */
		:: else
		fi
#endif
	   };
	   do
	   :: (mem[i] & UPTO(t)) == UPTO(t) -> break	/* found */
	   :: (mem[i] & UPTO(t)) != UPTO(t) && done != 3 ->
		if
		:: p = 0
		:: p = 1
		fi;
		atomic {
			if
			:: read(i, p, 255);
			   done = done | BIT(p)
			:: read(i, p, 1);		/* a page, and no more */
#ifdef PART_AS_WHOLE
			   done = done | BIT(p)
#endif
			:: read(i, p, 3)
			fi;
			p = 0
		}
#ifdef HOME_ONLY
		;
		if
		:: done & BIT(HOME(t)) -> done = 3
		:: else
		fi
#endif
	   :: atomic { (mem[i] & UPTO(t)) != UPTO(t) && done == 3 ->	/* unknown */
#if PROP == 9
		/* A turn that an instance has in part is never unknown. */
		assert(!(asked && !((old >> t) & 1)) || (mem[i] & BIT(t)));
#endif
		break
	      }
	   :: break					/* uncertain */
	   od;
	   atomic { t = 0; asked = 0; done = 0 }
	/* The index drops a turn that it finds can no longer be named. */
	:: atomic {
		i == 0 && old != 0 ->
		if
		:: p = 0
		:: p = 1
		fi;
		if
		:: t = 0
		:: t = 1
		:: t = 2
		fi;
#ifndef DROP_UNREAD
		read(i, p, 255);
#endif
		if
		:: (KNOWN(i, p) & BIT(t)) && (old & BIT(t)) && ((mem[i] & ~old) >> t) == 0 && SETTLED(t) ->
			held[p] = held[p] & ~BIT(t);
			mem[i] = mem[i] & ~BIT(t);
			KNOWN(i, p) = KNOWN(i, p) & ~BIT(t)
		:: else
		fi;
		t = 0;
		p = 0
	   }
	:: atomic { deaths < MAXDIE -> deaths++; forget(i) }
	od
}

proctype Store() {
	byte p;
end:	do
	:: atomic { fly[0] != 0 -> held[0] = held[0] | fly[0]; fly[0] = 0 }
	:: atomic { fly[1] != 0 -> held[1] = held[1] | fly[1]; fly[1] = 0 }
	:: atomic { fly[0] != 0 -> fly[0] = 0 }
	:: atomic { fly[1] != 0 -> fly[1] = 0 }
	od
}

proctype Time() {
end:	do
	/* A turn grows old no sooner than those before it. */
	:: atomic { (ended & ~old & 1) -> old = old | 1 }
	:: atomic { (ended & ~old & 2) && (old & 1) -> old = old | 2 }
	:: atomic { (ended & ~old & 4) && (old & 2) -> old = old | 4 }
	od
}

#if PROP == 10
#define WHOLE(p, t)	((held[p] & UPTO(t)) == UPTO(t))
active proctype Watch() {
	byte t;
	do
	:: atomic { (t < T && ((ended & ~old) & BIT(t)) && !WHOLE(0, t) && !WHOLE(1, t)) -> assert(false) }
	:: atomic { t < T -> t++ }
	:: t == T -> break
	od
}
#endif

init {
	atomic {
		run Instance(0);
		run Instance(1);
		run Store();
		run Time()
	}
}
