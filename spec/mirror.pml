/*
 * The mirrored log of one group in small: a manifest in the store, changed by
 * transactions that may be carried out late; three disks, of which two hold the
 * log at first; an owner that appends, copies and commits.
 *
 * One process takes all steps, any enabled one at any time: a message that is
 * late or lost is a step that is not taken. Whether a host is silent is not
 * modelled: a holder may try to follow the owner at any moment. A copy makes the
 * other log equal to the owner's, which is what the exchange of package mirrorer
 * comes to. An entry is named by its session and place.
 *
 * With RETIRE, hosts that operators want to remove are removed with their disks once they
 * are reported as empty; who is to be removed is not modelled, any host may be at any
 * moment. The report depends on the manifest, which must not name the disk and must have
 * enough others. A transaction that makes a disk a holder depends on its host's report.
 *
 * What only the model knows: com and comEntry, what was committed.
 *
 * Constants set by spec/check: R revisions, L entries, S sessions, CRASHES, and
 * one mutation at a time (see the #ifdefs).
 */
#define N 3
#define T 2
#define BIT(h) (1 << (h))
#define HAS(mask, h) (((mask) >> (h)) & 1)
#define COUNT(mask) (HAS(mask, 0) + HAS(mask, 1) + HAS(mask, 2))

byte rev = 1;             /* manifest: revision (also its epoch), owner, holders */
byte own = 0;
byte hold = 3;

byte txCond[T];           /* transactions under way; zero is none */
byte txOwn[T];
byte txHold[T];

byte seenRev[N];          /* the manifest as a host knows it */
byte seenOwn[N];
byte seenHold[N];
byte session[N];          /* a host's session as owner; zero is none */
bit settled[N];
byte pledged[N];          /* disks that it is to make holders, and requires already */
byte optional[N];         /* its entries when it began to require them */
byte high[N];             /* highest epoch that it knows */
byte match[N * N];        /* entries that disk o acknowledged to owner h */
byte size[N];
byte entry[N * L];
byte creator = 0;         /* the process that wrote the first manifest, while it runs */
byte sessions;
byte epoch[S + 1];        /* of each session, when it began */
byte crashes = CRASHES;
byte gone;                /* disks that were removed with their hosts */
byte report;              /* hosts whose report that they are empty is under way */

byte com;
byte comEntry[L];

/* ACKED: all disks that count have the first n entries. */
#ifdef M_ONE_ACK
#define ACKED(h, n) (match[h * N + 0] >= n || match[h * N + 1] >= n || match[h * N + 2] >= n)
#else
#ifdef M_NO_PLEDGE
#define NEEDS(h) (seenHold[h])
#else
#define NEEDS(h) (seenHold[h] | pledged[h])
#endif
#define OK(h, o, n) (o == h || !HAS(NEEDS(h), o) || match[h * N + o] >= n)
#define ACKED(h, n) (OK(h, 0, n) && OK(h, 1, n) && OK(h, 2, n))
#endif

byte i, j, k;

inline forget(h) {
	session[h] = 0;
	settled[h] = 0;
	pledged[h] = 0;
	optional[h] = 0;
	match[h * N + 0] = 0;
	match[h * N + 1] = 0;
	match[h * N + 2] = 0;
}

/* Every holder that is there has all that was committed, and enough of them are there. */
inline check() {
	assert(COUNT(hold & ~gone) >= 2);
	i = 0;
	do
	:: i < N ->
		if
		:: HAS(hold, i) && !HAS(gone, i) ->
			assert(size[i] >= com);
			j = 0;
			do
			:: j < com -> assert(entry[i * L + j] == comEntry[j]); j++
			:: else -> break
			od
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	j = 0
}

/* A host reads the manifest. */
inline learn(h) {
	if
	:: own == h && (session[h] == 0 || seenOwn[h] != h) ->
		forget(h);
		sessions++;
		session[h] = sessions;
		epoch[sessions] = rev;
		/* A session begins with an entry of its own. */
		entry[h * L + size[h]] = sessions;
		size[h]++;
#ifdef M_NO_SETTLE
		settled[h] = 1;
#else
		settled[h] = (seenRev[h] != 0 || (rev == 1 && creator == h))
#endif
	:: own == h && session[h] != 0 && seenOwn[h] == h ->
		settled[h] = 1;
		pledged[h] = 0;
		optional[h] = 0
	:: else -> forget(h)
	fi;
	seenRev[h] = rev;
	seenOwn[h] = own;
	seenHold[h] = hold;
	if
	:: high[h] < rev -> high[h] = rev
	:: else
	fi
}

inline copy(h, o) {
	j = 0;
	do
	:: j < L ->
		if
		:: j < size[h] -> entry[o * L + j] = entry[h * L + j]
		:: else -> entry[o * L + j] = 0
		fi;
		j++
	:: else -> break
	od;
	j = 0;
	size[o] = size[h];
	match[h * N + o] = size[h];
	high[o] = seenRev[h];
	forget(o)
}

inline commit(h) {
	do
	:: com < size[h] && ACKED(h, com + 1) ->
		comEntry[com] = entry[h * L + com];
		com++
	:: else -> break
	od;
	/* What another session committed must be in this log too. */
	j = 0;
	do
	:: j < com && j < size[h] && ACKED(h, j + 1) -> assert(entry[h * L + j] == comEntry[j]); j++
	:: else -> break
	od;
	j = 0
}

inline send(o, m) {
	if
	:: txCond[0] == 0 -> txCond[0] = seenRev[i]; txOwn[0] = o; txHold[0] = m
	:: txCond[0] != 0 && txCond[1] == 0 -> txCond[1] = seenRev[i]; txOwn[1] = o; txHold[1] = m
	fi
}

#ifdef M_LATE_EMPTY
#define EMPTY(k) HAS(report, k)
#else
#define EMPTY(k) (!HAS(hold, k) && own != k && COUNT(hold & ~gone) >= 2)
#endif
#ifdef M_LATE_HOLDER
#define MAYHOLD(k) true
#else
#define MAYHOLD(k) ((txHold[k] & ~hold & gone) == 0)
#endif
#define THERE(h) (!HAS(gone, h))

/* A disk has all that was committed before it was required. */
#ifdef M_EARLY_HOLDER
#define HASALL(h, o) true
#else
#define HASALL(h, o) (match[h * N + o] >= optional[h])
#endif
#define FREE (txCond[0] == 0 || txCond[1] == 0)
#ifdef M_STRANGER
#define HEIR(h) (seenRev[h] != 0)
#else
#define HEIR(h) (seenRev[h] != 0 && HAS(seenHold[h], h))
#endif
#ifdef M_NO_REFUSAL
#define TAKES(o, h) true
#else
#define TAKES(o, h) (high[o] <= seenRev[h])
#endif

active proctype all() {
	do
	:: atomic {
		select(i : 0 .. 2);
		select(k : 0 .. 2);
		if
		:: THERE(i) && seenRev[i] != rev && (own != i || (size[i] < L && sessions < S)) -> learn(i)
		:: session[i] != 0 && size[i] < L -> entry[i * L + size[i]] = session[i]; size[i]++
		:: session[i] != 0 && k != i && THERE(k) && TAKES(k, i) && (session[k] == 0 || seenRev[k] < seenRev[i]) -> copy(i, k)
		:: session[i] != 0 && settled[i] -> commit(i)
		/* A holder follows the owner; what it cannot hear it may drop. */
		:: THERE(i) && rev < R && FREE && seenOwn[i] != i && HEIR(i) -> send(i, seenHold[i])
		:: THERE(i) && rev < R && FREE && seenOwn[i] != i && HEIR(i) && k != i && COUNT(seenHold[i] & ~BIT(k)) >= 2 -> send(i, seenHold[i] & ~BIT(k))
		/* An owner makes earlier transactions void, drops or adds a holder, or hands over. */
		:: rev < R && FREE && session[i] != 0 && (!settled[i] || pledged[i] != 0) -> send(i, seenHold[i])
		:: rev < R && FREE && session[i] != 0 && k != i && HAS(seenHold[i], k) && COUNT(seenHold[i]) > 2 -> send(i, seenHold[i] & ~BIT(k))
		:: rev < R && session[i] != 0 && k != i && !HAS(seenHold[i], k) && pledged[i] == 0 && size[i] > 0 ->
			pledged[i] = BIT(k);
			optional[i] = size[i]
		:: rev < R && FREE && session[i] != 0 && k != i && HAS(pledged[i], k) && HASALL(i, k) -> send(i, seenHold[i] | BIT(k))
		:: rev < R && FREE && session[i] != 0 && k != i && HAS(seenHold[i], k) -> send(k, seenHold[i])
		/* A transaction is carried out, or refused. */
		:: k < T && txCond[k] != 0 ->
			if
			:: txCond[k] == rev && MAYHOLD(k) -> rev++; own = txOwn[k]; hold = txHold[k]
			:: else
			fi;
			txCond[k] = 0
		/* A process ends and starts again; its disk stays. */
		:: THERE(i) && crashes > 0 ->
			crashes--;
			if
			:: creator == i -> creator = N
			:: else
			fi;
			forget(i);
			seenRev[i] = 0;
			seenOwn[i] = 0;
			seenHold[i] = 0;
			/* Its log tells the last epoch that it knew. */
			if
			:: size[i] > 0 -> high[i] = epoch[entry[i * L + size[i] - 1]]
			:: else -> high[i] = 0
			fi
#ifdef RETIRE
		/* A host sees that no manifest names its disk, and reports that it is empty. */
		:: THERE(i) && !HAS(report, i) && seenRev[i] != 0 && !HAS(seenHold[i], i) && seenOwn[i] != i && COUNT(seenHold[i]) >= 2 ->
			report = report | BIT(i)
		/* The report is carried out, and the host is removed; or it is refused. */
		:: HAS(report, i) && EMPTY(i) ->
			gone = gone | BIT(i);
			report = report & ~BIT(i);
			forget(i);
			seenRev[i] = 0;
			seenOwn[i] = 0;
			seenHold[i] = 0;
			size[i] = 0
		:: HAS(report, i) && !EMPTY(i) -> report = report & ~BIT(i)
#endif
		:: else -> skip
		fi;
		check();
		k = 0
	}
	od
}
