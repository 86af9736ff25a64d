/*
 * The distribution of the document's revisions, as in pkg/revision: writers
 * replace the head by compare-and-swap, one instance watches the store, and all
 * others fetch heads from peers. Responses of the store and of peers may be
 * late, duplicated, lost or corrupt; instances restart without state or die;
 * the store may become unreachable for good.
 *
 * Verified for each run of an instance: the revision in force never goes back,
 * was accepted by the store, and is the same on all instances under one number.
 * Once no step is possible, the newest revision is in force on all live
 * instances: the newest one that a live instance holds, or that the store holds
 * if it is reachable.
 *
 * Mutants, each of which removes one guard and must fail:
 *   ACCEPT_LOWER  a lower number is accepted from the store or a peer
 *   UNCHECKED     content isn't checked against its digest
 *   TWO_APPLIES   a revision is applied while another one is being applied
 *   NO_COMPARE    the head is replaced without comparing its version
 *   UNACCEPTED    a head is accepted from a writer that hasn't swapped it yet
 *   NO_RELAY      only the watcher serves its revision to peers
 */

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#ifndef TRIES
#define TRIES 1
#endif
#define INSTANCES 3
#define LAST 2 /* the number of the last revision */

/* A head consists of its number and its writer. The writer CORRUPT stands for
 * damaged content. */
#define CORRUPT 2
#define HEAD(number, writer) ((number) * 4 + (writer))
#define NUMBER(head) ((head) / 4)
#define WRITER(head) ((head) % 4)

byte head;               /* the head in the store; zero for none */
byte taken[LAST + 1];    /* by number, the last head that the store accepted */
bool accepted[12];       /* by head, whether the store ever accepted it */
byte shown[LAST + 1];    /* by number, the head first in force anywhere */
bool away;               /* the store is unreachable */

/* The responses in transit to an address, as a set of heads. They are never
 * removed: each may arrive at any time, any number of times, or never. */
short flight[INSTANCES];

byte held[INSTANCES];    /* the newest head that the instance holds */
byte tried[INSTANCES];   /* the number of the last head that it began to apply */
byte applying[INSTANCES]; /* the head being applied; zero for none */
byte second[INSTANCES];  /* a second one, with TWO_APPLIES only */
byte inforce[INSTANCES]; /* the head in force */
bool dead[INSTANCES];

byte restarts = RESTARTS;
byte deaths = DEATHS;

/* The live instance with the highest rank watches the store. */
#define WATCHER(i) (!dead[i] && \
	((i) == 0 || (dead[0] && ((i) == 1 || dead[1]))))

#ifdef NO_RELAY
#define SERVES(i) WATCHER(i)
#else
#define SERVES(i) (!dead[i])
#endif

#ifdef ACCEPT_LOWER
#define NEWER(i, h) (NUMBER(h) != NUMBER(held[i]))
#else
#define NEWER(i, h) (NUMBER(h) > NUMBER(held[i]))
#endif

#ifdef UNCHECKED
#define VERIFIED(h) true
#else
#define VERIFIED(h) (WRITER(h) != CORRUPT)
#endif

#ifdef NO_COMPARE
#define SWAPS(seen) !away
#else
#define SWAPS(seen) (!away && head == seen)
#endif

#define BIT(h) (1 << (h))
#define FLYING(i, h) ((flight[i] & BIT(h)) != 0)

/* An operator reads the head and writes the next one. The write takes effect
 * later or never. */
proctype Operator(byte w)
{
	byte seen;
	byte tries;
	do
	:: atomic {
		tries < TRIES && !away && NUMBER(head) < LAST ->
		tries++;
		seen = head
#ifdef UNACCEPTED
		; flight[0] = flight[0] | BIT(HEAD(NUMBER(seen) + 1, w))
#endif
		};
		atomic {
			if
			:: true -> skip
			:: SWAPS(seen) ->
				head = HEAD(NUMBER(seen) + 1, w);
				taken[NUMBER(head)] = head;
				accepted[head] = true
			fi;
			seen = 0
		}
	:: tries == TRIES || away || NUMBER(head) == LAST -> break
	od
}

/* The store may become unreachable at any time, and stays so. */
proctype Outage()
{
	if
	:: away = true
	:: skip
	fi
}

/* The store responds with the current head or, late, with an earlier one. */
#define READ(i, n) \
	WATCHER(i) && !away && taken[n] != 0 && !FLYING(i, taken[n]) -> \
		flight[i] = flight[i] | BIT(taken[n])

/* A peer responds with the head that it holds. */
#define ASKED(i, p) \
	(p != i && !dead[i] && SERVES(p) && NUMBER(held[p]) > NUMBER(held[i]))
#define PULL(i, p) \
	ASKED(i, p) && !FLYING(i, held[p]) -> \
		flight[i] = flight[i] | BIT(held[p])

/* A response arrives, intact (ARRIVE) or corrupt (SPOILT). */
#define ARRIVE(i, h) \
	!dead[i] && FLYING(i, h) && NEWER(i, h) -> held[i] = h
#define SPOILT(i, number) \
	!dead[i] && NEWER(i, HEAD(number, CORRUPT)) && \
	(FLYING(i, HEAD(number, 0)) || FLYING(i, HEAD(number, 1))) && \
	VERIFIED(HEAD(number, CORRUPT)) -> \
		held[i] = HEAD(number, CORRUPT)

/* put brings a head into force, and checks it against the ones before. */
inline put(i, h)
{
	assert(NUMBER(h) > NUMBER(inforce[i]));
	assert(accepted[h]);
	assert(shown[NUMBER(h)] == 0 || shown[NUMBER(h)] == h);
	shown[NUMBER(h)] = h;
	inforce[i] = h
}

proctype Instance(byte i)
{
end:
	do
	:: atomic { READ(i, 1) }
	:: atomic { READ(i, 2) }
	:: atomic { PULL(i, 0) }
	:: atomic { PULL(i, 1) }
	:: atomic { PULL(i, 2) }
	:: atomic { ARRIVE(i, HEAD(1, 0)) }
	:: atomic { ARRIVE(i, HEAD(1, 1)) }
	:: atomic { SPOILT(i, 1) }
	:: atomic { ARRIVE(i, HEAD(2, 0)) }
	:: atomic { ARRIVE(i, HEAD(2, 1)) }
	:: atomic { SPOILT(i, 2) }
	/* The newest held revision is given to the caller, which applies it later. */
	:: atomic {
		!dead[i] && applying[i] == 0 && NUMBER(held[i]) != tried[i] ->
		applying[i] = held[i];
		tried[i] = NUMBER(held[i]) }
#ifdef TWO_APPLIES
	:: atomic {
		!dead[i] && second[i] == 0 && NUMBER(held[i]) != tried[i] ->
		second[i] = held[i];
		tried[i] = NUMBER(held[i]) }
#endif
	:: atomic {
		!dead[i] && applying[i] != 0 ->
		put(i, applying[i]);
		applying[i] = 0 }
	:: atomic {
		!dead[i] && second[i] != 0 ->
		put(i, second[i]);
		second[i] = 0 }
	/* A new run at the address starts without state. It receives late responses
	 * to the previous run. */
	:: atomic {
		!dead[i] && restarts > 0 ->
		restarts--;
		held[i] = 0;
		tried[i] = 0;
		applying[i] = 0;
		second[i] = 0;
		inforce[i] = 0 }
	:: atomic {
		!dead[i] && deaths > 0 ->
		deaths--;
		dead[i] = true;
		held[i] = 0;
		tried[i] = 0;
		applying[i] = 0;
		second[i] = 0;
		inforce[i] = 0;
		flight[i] = 0 }
	od
}

/* Once no step is possible, the newest revision is in force everywhere. */
proctype Quiet()
{
	byte i;
	byte newest;
	timeout ->
	if
	:: !away -> newest = NUMBER(head)
	:: else -> skip
	fi;
	for (i : 0 .. INSTANCES - 1) {
		if
		:: !dead[i] && NUMBER(held[i]) > newest -> newest = NUMBER(held[i])
		:: else -> skip
		fi
	}
	for (i : 0 .. INSTANCES - 1) {
		assert(dead[i] || NUMBER(inforce[i]) == newest)
	}
}

init {
	atomic {
		run Operator(0);
		run Operator(1);
		run Outage();
		run Instance(0);
		run Instance(1);
		run Instance(2);
		run Quiet()
	}
}
