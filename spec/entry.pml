/*
 * A host's entry in the store in small (package enroller): processes of one host, one
 * after the other, each of which writes the entry under a lease of its own. A write that
 * is not answered may be carried out at any later moment, also when its process is gone.
 *
 * One process takes all steps, any enabled one at any time. Revisions count the changes of
 * the entry; 0 stands for no entry. The clocks of processes are not modelled: all have the
 * same address, so none is left alone for a later one.
 *
 * Properties: a late write does not replace the entry of a later process (later-kept), and
 * when nothing is left to happen, the entry names the running process (named).
 *
 * Constants set by spec/check: P processes, T writes under way at once, W writes, LAPSES,
 * and one mutation at a time (see the #ifdefs).
 */
byte counter = 1;         /* the store's revision */
byte rev;                 /* of the entry */
byte ent;                 /* the process that it names; zero is none */
bit ended[P + 1];         /* leases that have ended */

byte cond[T];             /* writes under way: their condition, plus one; zero is none */
byte from[T];             /* the process that sent them */

byte cur = 1;             /* the running process */
byte known;               /* the revision that it knows */
byte written;             /* the revision of its last write; zero: it must write */
byte seen;                /* its snapshot: the entry's revision, and up to which */
byte seenAt = 1;          /* revision of the store it has all changes */
byte observed;            /* what it took from the snapshot last */

byte writes = W;
byte lapses = LAPSES;
byte i;

#ifdef M_NO_CONDITION
#define HOLDS(c) true
#else
#define HOLDS(c) ((c) == rev)
#endif

/* A write of process p with condition c is carried out. */
inline carryOut(c, p) {
	assert(!(HOLDS(c) && !ended[p] && ent > p));
	if
	:: HOLDS(c) && !ended[p] -> counter++; rev = counter; ent = p
	:: else
	fi
}

#define RESTING (written != 0)
#define NEWER (seenAt >= known && seen != known && (RESTING || seen != observed))

active proctype all() {
	do
	:: atomic {
		if
		/* The running process writes, and is answered. After a conflict it knows the entry. */
		:: written == 0 && !ended[cur] && writes > 0 ->
			writes--;
			if
			:: HOLDS(known) -> carryOut(known, cur); written = rev; known = rev
			:: else -> known = rev
			fi
		/* Or the write is late, and it does not know. */
		:: written == 0 && !ended[cur] && writes > 1 ->
			writes--;
			i = 0;
			do
			:: i < T && cond[i] != 0 -> i++
			:: else -> break
			od;
			if
			:: i < T -> cond[i] = known + 1; from[i] = cur
			:: else
			fi;
			i = 0
		/* A late write is carried out. */
		:: cond[0] != 0 -> carryOut(cond[0] - 1, from[0]); cond[0] = 0; from[0] = 0
		:: T > 1 && cond[T - 1] != 0 -> carryOut(cond[T - 1] - 1, from[T - 1]); cond[T - 1] = 0; from[T - 1] = 0
		/* The process ends; another one starts and reads the store. */
		:: cur < P ->
			cur++;
			known = 0;
			written = 0;
			observed = 0;
			seen = rev;
			seenAt = counter
		/* The lease of a process that is gone ends. */
		:: cur > 1 && !ended[1] -> ended[1] = 1; i = 1;
			if
			:: ent == i -> counter++; rev = 0; ent = 0
			:: else
			fi;
			i = 0
		:: cur > 2 && !ended[2] -> ended[2] = 1; i = 2;
			if
			:: ent == i -> counter++; rev = 0; ent = 0
			:: else
			fi;
			i = 0
		/* The entry is removed, as by an operator. */
		:: lapses > 0 && rev != 0 -> lapses--; counter++; rev = 0; ent = 0
		/* The snapshot follows the store. */
		:: seenAt != counter -> seen = rev; seenAt = counter
#ifndef M_NO_OBSERVE
		/* The process compares. */
		:: NEWER -> known = seen; written = 0; observed = seen
#endif
		/* What need not happen, does not. */
		:: lapses > 0 -> lapses--
		:: else ->
			/* Writes that fail are repeated; those of the model may have run out. */
			assert(cur < P || writes == 0 || ent == cur);
			break
		fi
	}
	od
}
