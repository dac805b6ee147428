/*
 * How old the configuration that a host acts on can be, in small (package follower): hosts
 * read the newest version from the store or ask one another, and act only while their last
 * confirmation is at most P ticks old.
 *
 * Requests and answers take any time, or are given up. A host asks one at a time. What it
 * receives, and when that was confirmed, is put into the log that it answers others from. Any
 * steps of hosts and the store may happen between two ticks. Ages are counted up to CAP,
 * where they no longer matter.
 *
 * Properties: a host that acts has each version that was accepted more than P ticks ago
 * (fresh), and never goes back to an earlier one (never-reverts).
 *
 * Constants set by spec/check: N hosts, V versions, P, CRASHES, CHAIN, and one mutation at a time
 * (see the #ifdefs).
 */
#define CAP (P + 2)
#define RAISE(x) x = (x < CAP -> x + 1 : CAP)

byte ver;                 /* the newest version that the store accepted */
byte since[V + 1];        /* ticks since a version was accepted */

byte has[N];              /* the version that a host acts on */
byte age[N] = CAP;        /* ticks since the request whose answer confirmed it */
byte logVer[N];           /* what it answers others with */
byte logAge[N] = CAP;
bit loaded[N];

#define IDLE 0
#define TO_STORE 1
#define FROM_STORE 2      /* the answer of the store is under way */
#define FROM_HOST 3
#define CONFIRMED 4       /* the log is confirmed, and lacks the answer */
#define TO_HOST 5         /* plus the number of the host that is asked */
byte step[N];
byte gotVer[N];           /* the answer */
byte gotAge[N];           /* ticks since the request was sent, and the age in the answer */

byte crashes = CRASHES;
bit stale;
bit reverted;

#ifdef M_LATE_END
#define ACTS(h) (age[h] <= P + 1)
#else
#define ACTS(h) (age[h] <= P)
#endif
#define STALE(h) (ACTS(h) && has[h] < ver && since[has[h] + 1] > P)

#if N > 2
#define ANY_STALE (STALE(0) || STALE(1) || STALE(2))
#else
#define ANY_STALE (STALE(0) || STALE(1))
#endif

inline forgetAnswer(h) {
	step[h] = IDLE;
	gotVer[h] = 0;
	gotAge[h] = 0
}

active [N] proctype host() {
	byte other;
	do
#ifdef CHAIN
	/* The first host asks the store, each other one the host before. */
	:: atomic { step[_pid] == IDLE ->
		if
		:: _pid == 0 -> step[_pid] = TO_STORE
		:: else -> step[_pid] = TO_HOST + _pid - 1
		fi
	   }
#else
	:: atomic { step[_pid] == IDLE -> step[_pid] = TO_STORE }
	:: atomic { step[_pid] == IDLE && loaded[_pid] ->
		select(other : 0 .. N - 1);
		step[_pid] = (other == _pid -> TO_STORE : TO_HOST + other);
		other = 0
	   }
#endif
	:: atomic { step[_pid] == TO_STORE -> gotVer[_pid] = ver; step[_pid] = FROM_STORE }
	:: atomic { step[_pid] >= TO_HOST ->
		other = step[_pid] - TO_HOST;
		gotVer[_pid] = logVer[other];
#ifndef M_NO_AGE
		gotAge[_pid] = (gotAge[_pid] + logAge[other] < CAP -> gotAge[_pid] + logAge[other] : CAP);
#endif
		step[_pid] = FROM_HOST;
		other = 0
	   }
	:: atomic { step[_pid] == FROM_STORE || step[_pid] == FROM_HOST ->
#ifdef M_FROM_ANSWER
		if
		:: step[_pid] == FROM_STORE -> gotAge[_pid] = 0
		:: else
		fi;
#endif
		logAge[_pid] = (gotAge[_pid] < logAge[_pid] -> gotAge[_pid] : logAge[_pid]);
#ifdef M_CONFIRM_FIRST
		step[_pid] = CONFIRMED
	   }
	:: atomic { step[_pid] == CONFIRMED ->
#endif
		logVer[_pid] = (gotVer[_pid] > logVer[_pid] -> gotVer[_pid] : logVer[_pid]);
#ifdef M_REVERT
		reverted = (gotVer[_pid] < has[_pid]);
		has[_pid] = gotVer[_pid];
		assert(!reverted);
#else
		has[_pid] = (gotVer[_pid] > has[_pid] -> gotVer[_pid] : has[_pid]);
#endif
		age[_pid] = gotAge[_pid];
		loaded[_pid] = 1;
		forgetAnswer(_pid)
	   }
	/* A request is given up; its answer counts no more. */
#ifdef M_LATE_ANSWER
	:: atomic { step[_pid] == FROM_STORE -> gotAge[_pid] = 0 }
#else
	:: atomic { step[_pid] != IDLE && step[_pid] != CONFIRMED -> forgetAnswer(_pid) }
#endif
	/* A process ends, and another one starts with nothing. */
	:: atomic { crashes > 0 ->
		crashes--;
		forgetAnswer(_pid);
		has[_pid] = 0;
		age[_pid] = CAP;
		logVer[_pid] = 0;
		logAge[_pid] = CAP;
		loaded[_pid] = 0
	   }
	od
}

active proctype world() {
	byte h;
	do
	:: atomic { ver < V -> ver++; since[ver] = 0 }
	/* A tick. */
	:: atomic {
		h = 1;
		do
		:: h <= ver -> RAISE(since[h]); h++
		:: else -> break
		od;
		h = 0;
		do
		:: h < N ->
			if
#ifdef M_SUSPENDED
			/* The host's clock stands still while its machine is suspended. */
			:: true
#endif
			:: true ->
				RAISE(age[h]);
				RAISE(logAge[h]);
				if
				:: step[h] == IDLE
#ifdef M_NO_TRANSIT
				:: step[h] == FROM_HOST || step[h] >= TO_HOST
				:: step[h] != IDLE && step[h] != FROM_HOST && step[h] < TO_HOST -> RAISE(gotAge[h])
#else
				:: step[h] != IDLE -> RAISE(gotAge[h])
#endif
				fi
			fi;
			h++
		:: else -> break
		od;
		h = 0
	   }
	od
}

active proctype monitor() {
	atomic { ANY_STALE -> stale = 1; assert(!stale) }
}
