/*
 * The core protocol of a cell, for one contested seat and three votes.
 *
 * A seat is claimed through the log, moved directly between VMs, and used only
 * under a fresh confirmation. Each VM holds one further seat, its vote. Time
 * goes in ticks and has no end: only ages are kept, and an age beyond D is
 * NEVER. A confirmation is valid for D ticks, counted from when it was asked. A VM's knowledge is the length of the log's prefix that it has
 * read; a read asked for after an append was acknowledged returns the append.
 *
 * Each mutation, set by -DMUTATION_..., removes one rule of the protocol; the
 * checker must then find a violation.
 */
#ifndef D
#define D 1
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define VMS 3
#define MAX_LOG 2
#define NOBODY 3
#define NEVER 7
#define bit(v) (1 << (v))

bool log_up = true;
/* Entry i of the log is a claim of the seat by VM claimant[i]. */
byte log_length = 0;
byte claimant[MAX_LOG];
/* Ticks until entry i matures, and whether it was used. */
byte mature_in[MAX_LOG];
bool taken[MAX_LOG];

byte known[VMS];
/* Ticks since a VM asked, and since what was confirmed was asked for. */
byte asked[VMS];
byte confirmed[VMS];
/* VMs that believe to hold the seat, have their votes, and run: bit masks. */
byte believers = 1;
byte voters = 7;
byte running = 7;
/* VMs that act on a check made before a pause, in one mutation alone. */
byte checked = 0;
/* VMs whose question a majority has answered; the answers are on their way. */
byte answered = 0;
/* One pair of VMs that cannot talk, by the VM that is not in it. */
byte apart = NOBODY;

/* The seat on its way: to whom, and what its giver knew. */
byte moving_to = NOBODY;
byte moving_known = 0;
bool has_moved = false;
byte faults = 0;

/* Scratch space, always zero between steps. */
byte v = 0;
byte w = 0;
byte i = 0;
byte votes = 0;

#define runs(x) (running & bit(x))
#define can_talk(x, y) ((x) == (y) || apart == NOBODY || \
  (x) == apart || (y) == apart)
#define is_fresh(x) (confirmed[x] != NEVER)
#ifdef MUTATION_NO_RECHECK
#define may_use(x) ((believers & bit(x)) && runs(x) && \
  (is_fresh(x) || (checked & bit(x))))
#else
#define may_use(x) ((believers & bit(x)) && runs(x) && is_fresh(x))
#endif

/* Reads the log up to n; a claim that is new to v ends what it believes. */
inline read_to(n) {
  if
  :: n > known[v] ->
     known[v] = n;
     believers = believers & ~bit(v);
     answered = answered & ~bit(v)
  :: else
  fi
}

inline grow(age) {
  if
  :: age < D -> age++
  :: else -> age = NEVER
  fi
}

inline pass_tick() {
  v = 0;
  do
  :: v < VMS -> grow(asked[v]); grow(confirmed[v]); v++
  :: else -> break
  od;
  v = 0;
  i = 0;
  do
  :: i < MAX_LOG ->
     if
     :: mature_in[i] != NEVER && mature_in[i] > 0 -> mature_in[i]--
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

inline pick_vm() {
  if :: v = 0 :: v = 1 :: v = 2 fi
}

/* Counts the votes that v hears and that know no more than v. */
inline count_votes() {
  votes = 0;
  w = 0;
  do
  :: w < VMS ->
     if
     :: (voters & bit(w)) && runs(w) && can_talk(v, w) &&
        known[w] <= known[v] -> votes++
     :: else
     fi;
     w++
  :: else -> break
  od;
  w = 0
}

/* Counts the votes that v hears and that have read its newest claim. */
inline count_readers() {
  votes = 0;
  w = 0;
  do
  :: w < VMS ->
     if
     :: (voters & bit(w)) && runs(w) && can_talk(v, w) &&
        known[w] >= known[v] -> votes++
     :: else
     fi;
     w++
  :: else -> break
  od;
  w = 0
}

inline confirm() {
#ifdef MUTATION_AGE_FROM_REPLY
  confirmed[v] = 0;
#else
  confirmed[v] = asked[v];
#endif
  asked[v] = NEVER
}

inline vm_step() {
  if
  /* Asks the log and the peers whether anything newer is known. */
  :: asked[v] == NEVER && confirmed[v] != 0 ->
     asked[v] = 0;
     answered = answered & ~bit(v)
  /* Hears from the log: reads it to its head. */
  :: asked[v] != NEVER && log_up ->
     read_to(log_length);
     confirm()
  /* Hears from holders of more than half of the votes. */
  :: asked[v] != NEVER && !(answered & bit(v)) ->
     count_votes();
     if
     :: votes >= 2 -> answered = answered | bit(v)
     :: else -> asked[v] = NEVER
     fi;
     votes = 0
  /* Their answers have all arrived, and nothing newer meanwhile. */
  :: answered & bit(v) ->
     answered = answered & ~bit(v);
     if
     :: asked[v] != NEVER -> confirm()
     :: else
     fi
  /* Gets the log's entries from a peer. */
  :: true ->
     w = (v + 1) % VMS;
     if
     :: true
     :: w = (v + 2) % VMS
     fi;
     if
     :: runs(w) && can_talk(v, w) && known[w] > known[v] ->
        read_to(known[w])
     :: else
     fi;
     w = 0
  /* Claims the seat; the log may change before the claim is in it. */
  :: log_up && log_length < MAX_LOG && !(believers & bit(v)) &&
     known[v] == log_length ->
     claimant[log_length] = v;
     log_length++
  /* Sees that holders of more than half of the votes have read its claim. */
  :: known[v] > 0 && claimant[known[v] - 1] == v &&
     mature_in[known[v] - 1] == NEVER ->
     count_readers();
     if
#ifdef MUTATION_NO_MAJORITY
     :: true ->
#else
     :: votes >= 2 ->
#endif
#ifdef MUTATION_NO_WAIT
        mature_in[known[v] - 1] = 0
#else
        mature_in[known[v] - 1] = D + 1
#endif
     :: else
     fi;
     votes = 0
  /* Uses the seat once its claim has matured and none came after it. */
  :: known[v] > 0 && claimant[known[v] - 1] == v && !taken[known[v] - 1] &&
     mature_in[known[v] - 1] == 0 ->
     taken[known[v] - 1] = true;
     believers = believers | bit(v)
  /* Gives the seat away; stops using it first. */
  :: (believers & bit(v)) && !has_moved && can_talk(v, (v + 1) % VMS) ->
#ifndef MUTATION_GIVE_BEFORE_STOP
     believers = believers & ~bit(v);
#endif
     has_moved = true;
     moving_to = (v + 1) % VMS;
     moving_known = known[v]
  /* Takes the seat if it knows what the giver knew, and of no later claim. */
  :: moving_to == v ->
     if
#ifdef MUTATION_FORGET_KNOWLEDGE
     :: known[v] <= moving_known ->
#else
     :: known[v] == moving_known ->
#endif
        believers = believers | bit(v)
     :: else
     fi;
     moving_to = NOBODY;
     moving_known = 0
#ifdef MUTATION_NO_RECHECK
  /* Has checked, and is about to use the seat when it is paused. */
  :: is_fresh(v) -> checked = checked | bit(v)
#endif
  fi
}

active proctype Cell() {
  d_step { do
  :: v < VMS -> asked[v] = NEVER; confirmed[v] = NEVER; v++
  :: else -> break
  od;
  v = 0;
  mature_in[0] = NEVER;
  mature_in[1] = NEVER }
  do
  :: atomic { pick_vm();
       if
       :: runs(v) -> vm_step()
       :: else
       fi;
       v = 0;
       assert(!(may_use(0) && may_use(1)) && !(may_use(0) && may_use(2)) &&
         !(may_use(1) && may_use(2))) }
  /* A tick passes. */
  :: atomic { pass_tick() }
  /* An outage of the log begins or ends. */
  :: atomic { faults < FAULTS -> faults++; log_up = !log_up }
  /* A VM is paused, or goes on. */
  :: atomic { faults < FAULTS -> faults++; pick_vm();
       running = running ^ bit(v); v = 0;
       assert(!(may_use(0) && may_use(1)) && !(may_use(0) && may_use(2)) &&
         !(may_use(1) && may_use(2))) }
  /* A VM crashes: it restarts without seat, vote or knowledge. */
  :: atomic { faults < FAULTS -> faults++; pick_vm();
       believers = believers & ~bit(v);
       voters = voters & ~bit(v);
       checked = checked & ~bit(v);
       known[v] = 0;
       asked[v] = NEVER;
       confirmed[v] = NEVER;
       answered = answered & ~bit(v);
       if
       :: moving_to == v -> moving_to = NOBODY; moving_known = 0
       :: else
       fi;
       v = 0 }
  /* Two VMs cannot talk any more, or can again. */
  :: atomic { faults < FAULTS -> faults++;
       if :: apart = 0 :: apart = 1 :: apart = 2 :: apart = NOBODY fi }
  /* The message with the seat is lost. */
  :: atomic { moving_to != NOBODY -> moving_to = NOBODY; moving_known = 0 }
  od
}
