/*
 * The quota of one workspace in small: hosts that each keep the whole bucket and tell each
 * other how many requests they admitted. A host that was not heard for more than SILENT ticks
 * is silent: its share of the rate is reserved for it, and the bucket holds the shares of the
 * others only.
 *
 * One process takes all steps, any enabled one at any time. Digests may be late by a tick,
 * overtaken or lost; within a tick each host hears each other one that it is not cut off from.
 * Requests come in any number up to MOST a tick, at any host. A bucket is refilled when it is
 * used, for all ticks since the last time. Where a host counts requests, the model has those of
 * another host that it has not heard of yet, which stay few.
 *
 * What only the model knows: meter, an exact bucket over all hosts. It holds the requests that
 * the rate has not made up for yet; LIMIT is the burst, and MOST for each tick in which a host
 * may not hear of the others' requests: 3 by late digests, SILENT + 1 more in a cut, and what a
 * process that ended had not told. With PROMPT, hosts that are not cut off hear of a request at
 * once, so that the bound is tight.
 *
 * With DEMAND, hosts are asked for no more than the rate together, and no more than their share
 * while some do not hear each other. Then nothing may be refused. That needs a burst of twice
 * what a host admits while it is not heard, since a bucket loses the share of the burst of
 * a silent host, and then what that host admitted before.
 *
 * Constants set by spec/check: BURST (a multiple of N), SILENT, MOST, LIMIT, CUTS, CUTFOR (the
 * longest cut), RESTARTS, and one mutation at a time (see the #ifdefs).
 */
#define N 2
#define RATE N            /* requests a tick; a host's share is 1 */
#define AT(x, y) ((x) * N + (y))

short level[N];           /* tokens of a host's bucket */
byte due[N];              /* ticks for which it was not refilled yet */
byte untold[N * N];       /* requests that o admitted and h has not subtracted */
byte reserved[N * N];     /* requests reserved by h for o while o was silent */
byte age[N * N];          /* ticks since h heard o */
bit known[N * N];         /* h has heard a count of this process of o */
bit sent[N * N];          /* a digest of o to h is under way */
bit old[N * N];           /* it is from the tick before */
byte after[N * N];        /* requests that o admitted since it was sent */

bit cut;                  /* the hosts don't reach each other */
byte cutFor;
byte cuts = CUTS;
byte restarts = RESTARTS;
byte unheard;             /* ticks for which hosts are asked for their shares only */

byte came;                /* requests that were asked for in this tick, by host too */
byte cameTo[N];
byte meter;
bit refused;

byte h, o, k;
byte silent;
short covered;

#ifdef M_NO_SILENT
#define ISSILENT(x, y) false
#else
#define ISSILENT(x, y) (age[AT(x, y)] > SILENT)
#endif
#ifdef M_WHOLE_BURST
#define HOLDS BURST
#else
#define HOLDS (BURST / N * (N - silent))
#endif

inline refill(x) {
	silent = 0;
	k = 0;
	do
	:: k < N ->
		if
		:: k != x && ISSILENT(x, k) -> silent++; reserved[AT(x, k)] = reserved[AT(x, k)] + due[x]
		:: else
		fi;
		k++
	:: else -> break
	od;
	level[x] = level[x] + due[x] * (N - silent);
	if
	:: level[x] > HOLDS -> level[x] = HOLDS
	:: else
	fi;
	due[x] = 0;
	silent = 0;
	k = 0
}

/* Host x hears what y admitted until the digest was sent. */
inline deliver(x, y) {
#ifndef M_MERGE_FIRST
	refill(x);
#endif
	covered = untold[AT(x, y)] - after[AT(x, y)];
#ifdef M_NO_RESERVE
	level[x] = level[x] - (known[AT(x, y)] -> covered : 0);
#else
	level[x] = level[x] - (known[AT(x, y)] && covered > reserved[AT(x, y)] -> covered - reserved[AT(x, y)] : 0);
#endif
#ifndef M_KEEP_RESERVED
	reserved[AT(x, y)] = 0;
#endif
	covered = 0;
	untold[AT(x, y)] = after[AT(x, y)];
	after[AT(x, y)] = 0;
	known[AT(x, y)] = 1;
	sent[AT(x, y)] = 0;
	old[AT(x, y)] = 0;
	age[AT(x, y)] = 0
}

inline lose(x, y) {
	sent[AT(x, y)] = 0;
	old[AT(x, y)] = 0;
	after[AT(x, y)] = 0
}

/* A request comes to x; y is the other host. */
inline ask(x, y) {
	refill(x);
	came++;
	cameTo[x]++;
	if
	:: level[x] >= 1 ->
		level[x]--;
		untold[AT(y, x)]++;
		if
		:: sent[AT(y, x)] -> after[AT(y, x)]++
		:: else
		fi;
		meter++;
#ifdef PROMPT
		if
		:: !cut -> lose(y, x); deliver(y, x)
		:: else
		fi
#endif
	:: else -> refused = 1
	fi
}

#ifdef DEMAND
#define MAYASK(x) (unheard == 0 -> came < RATE : cameTo[x] < 1)
#define FIRST BURST
#else
#define MAYASK(x) (came < MOST)
#define FIRST 0
#endif
#ifdef M_FULL_START
#define STARTS BURST
#else
#define STARTS 0
#endif
/* All that is under way and not lost has arrived, and all hosts have heard each other. */
#define HEARD(x, y) (cut || (age[AT(x, y)] == 0 && !old[AT(x, y)]))

inline older(x, y) {
	old[AT(x, y)] = sent[AT(x, y)];
	if
	:: age[AT(x, y)] <= SILENT -> age[AT(x, y)]++
	:: else
	fi
}

active proctype all() {
	atomic {
		level[0] = FIRST;
		level[1] = FIRST;
		known[AT(0, 1)] = 1;
		known[AT(1, 0)] = 1
	}
	do
	:: atomic {
		select(h : 0 .. 1);
		o = 1 - h;
		if
		:: MAYASK(h) -> ask(h, o)
		:: due[h] > 0 -> refill(h)
		:: !cut -> lose(h, o); sent[AT(h, o)] = 1
		:: !cut && sent[AT(h, o)] -> deliver(h, o)
		:: !cut && sent[AT(h, o)] -> lose(h, o)
		:: !cut && cuts > 0 ->
			cuts--;
			cut = 1;
			cutFor = CUTFOR;
			unheard = SILENT + 2;
			lose(0, 1);
			lose(1, 0)
		:: cut -> cut = 0; cutFor = 0
		/* A process ends and starts again. What it admitted and did not tell is never told. */
		:: restarts > 0 ->
			restarts--;
			level[h] = STARTS;
			due[h] = 0;
			untold[AT(h, o)] = 0;
			untold[AT(o, h)] = 0;
			reserved[AT(h, o)] = 0;
			known[AT(h, o)] = 0;
			age[AT(h, o)] = SILENT;
			lose(h, o);
			lose(o, h)
		/* A tick. */
		:: HEARD(0, 1) && HEARD(1, 0) && due[0] < 2 && due[1] < 2 && (!cut || cutFor > 0) ->
			due[0]++;
			due[1]++;
			older(0, 1);
			older(1, 0);
			came = 0;
			cameTo[0] = 0;
			cameTo[1] = 0;
			meter = (meter > RATE -> meter - RATE : 0);
			if
			:: cut -> cutFor--
			:: !cut && unheard > 0 -> unheard--
			:: else
			fi
		:: else -> skip
		fi;
		o = 0;
		h = 0;
		assert(meter <= LIMIT);
#ifdef DEMAND
		assert(!refused)
#else
		refused = 0
#endif
	}
	od
}
