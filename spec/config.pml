/*
 * config.pml: changes of one configuration path by compare-and-set on the log.
 *
 * PROP=5  a version has one accepted value: an operator told "accepted" holds
 *         the version alone and the log's fold agrees; one told "lost" changed
 *         nothing; a change takes effect at most once
 * PROP=7  every operator who keeps waiting hears a verdict once faults cease
 *
 * Three operators at three instances, a change each. The log is kept as its
 * fold, as in owner.pml.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef MAXFAULT
#define MAXFAULT 3	/* appends lost, or appended again at any later time */
#endif

#define N 3
#define WAITING 0
#define ACCEPTED 1
#define LOST 2
#define UNKNOWN 3

/* the log, folded */
byte ver;		/* version in force */
byte winner[8] = N;	/* whose change made the version */
byte verdict[N];	/* of the first record of a change */
byte won[N];		/* the version it made */

byte cur[N];		/* append in flight: base version + 1, 0 for none */
byte old[N];		/* one given up, or sent twice */
bit landed[N];
byte told[N];
byte applied[N];	/* how often a change took effect */
bit dead[N];
bit quiet;
byte faults;

inline apply(w, b)
{
	if
#ifdef STALE_BASE
	:: true ->
		ver = b + 1;
#else
	:: b == ver ->		/* compare-and-set: a stale base loses (5) */
		ver++;
#endif
		winner[ver] = w; applied[w]++;
		if
#ifndef LAST_COPY
		:: verdict[w] ->	/* the first copy decides; a duplicate says nothing (5) */
#endif
		:: else -> verdict[w] = ACCEPTED; won[w] = ver
		fi
#ifndef STALE_BASE
	:: else ->
		if
#ifndef LAST_COPY
		:: verdict[w]
#endif
		:: else -> verdict[w] = LOST
		fi
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
		:: d_step { apply(w, cur[w] - 1) };
			if
			:: landed[w] = 1
#ifdef WAIT_REPLY
			:: !quiet -> skip
#endif
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
		d_step { apply(w, old[w] - 1) };
		if
		:: landed[w] = 1
#ifdef WAIT_REPLY
		:: !quiet -> skip
#endif
		fi;
		old[w] = 0; w = 0
	   }
	od
}

active [N] proctype operator()
{
	byte i = _pid - 1;
	byte base;
	{
	atomic { base = ver };			/* read at some time; may be stale when used */
	atomic { cur[i] = base + 1 };
	do
	:: atomic { landed[i] ->
#ifdef NO_READBACK
		told[i] = ACCEPTED; won[i] = base + 1;
#else
		told[i] = verdict[i];		/* only after the record was read back (5) */
#endif
		break }
#ifndef WAIT_REPLY
	:: atomic { !cur[i] && !landed[i] && !old[i] ->
		cur[i] = base + 1 }		/* same change, same base */
#endif
	:: atomic { !quiet && faults < MAXFAULT && cur[i] && !old[i] ->
		faults++; old[i] = cur[i];
#ifdef RETRY_NEW_BASE
		base = ver;
#endif
		cur[i] = base + 1 }		/* impatient retry */
	:: atomic { !quiet -> told[i] = UNKNOWN; break }	/* gave up; the change may hold */
	od;
#if PROP == 5
	atomic {
		if
		:: told[i] == ACCEPTED ->
			assert(winner[won[i]] == i);
			assert(i == 0 || told[0] != ACCEPTED || won[0] != won[i]);
			assert(i == 1 || told[1] != ACCEPTED || won[1] != won[i]);
			assert(i == 2 || told[2] != ACCEPTED || won[2] != won[i])
		:: told[i] == LOST -> assert(!applied[i])
		:: else
		fi
	}
#endif
	} unless { atomic { dead[i] -> base = 0 } }
}

active proctype killer()
{
end:	do
	:: d_step { !quiet && !dead[0] -> dead[0] = 1 }
	:: d_step { !quiet && !dead[1] -> dead[1] = 1 }
#if PROP >= 7
	:: d_step { !quiet -> quiet = 1 }
#endif
	od
}

#if PROP == 5 || PROP == 7
active proctype monitor()
{
	byte j;
end:	atomic { timeout ->
#if PROP == 7
		assert((told[0] || dead[0]) && (told[1] || dead[1]) && told[2])
#else
		do
		:: j < N ->
			assert(applied[j] <= 1);
			assert(told[j] != LOST || !applied[j]);
			assert(told[j] != ACCEPTED || winner[won[j]] == j);
			j++
		:: else -> break
		od
#endif
	}
}
#endif
