/*
 * Model of the core protocol of a cell: one contested quota shard, three VMs,
 * and one vote for each VM.
 *
 * The quota shard is claimed through the log, transferred directly between
 * VMs, and used only under a fresh confirmation. A confirmation is valid for D
 * ticks, counted from when it was requested. Each VM owns one more quota
 * shard, its vote. Time passes in ticks without end: only ages are stored, and
 * an age above D becomes NONE. The offset of a VM is the length of the prefix
 * of the log that it has read; a read that is requested after an append was
 * acknowledged returns that append.
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
#define NO_VM 3
#define NONE 7
#define bit(v) (1 << (v))

bool log_up = true;
/* Entry i of the log is a claim of the quota shard by VM claimant[i]. */
byte log_length = 0;
byte claimant[MAX_LOG];
/*
 * Ticks until the claim in entry i may be used, NONE before a majority has read
 * it; and whether its claimant has acquired the quota shard by it.
 */
byte usable_in[MAX_LOG];
bool acquired[MAX_LOG];

/* Offset of each VM. */
byte offset[VMS];
/* Ticks since each VM requested its pending confirmation. */
byte request_age[VMS];
/* Ticks since each VM requested its newest confirmation. */
byte confirmation_age[VMS];
/* VMs that consider themselves owner, have a vote, and run: bit masks. */
byte owners = 1;
byte voters = 7;
byte running = 7;
/* VMs that act on a check made before a pause; used by one mutation only. */
byte stale_checks = 0;
/* VMs for whose request the responses of a majority are in flight. */
byte majority_responded = 0;
/*
 * VM that reaches both other VMs while a partition separates these from each
 * other; NO_VM without a partition.
 */
byte partition = NO_VM;

/* Transfer in flight: its target, and the offset of its sender. */
byte transfer_target = NO_VM;
byte transfer_offset = 0;
bool was_transferred = false;
byte faults = 0;

/* Temporary variables; zero between steps, so that they add no states. */
byte v = 0;
byte w = 0;
byte i = 0;
byte votes = 0;

#define is_running(x) (running & bit(x))
#define is_reachable(x, y) ((x) == (y) || partition == NO_VM || \
  (x) == partition || (y) == partition)
#define is_fresh(x) (confirmation_age[x] != NONE)
#ifdef MUTATION_NO_RECHECK
#define may_use(x) ((owners & bit(x)) && is_running(x) && \
  (is_fresh(x) || (stale_checks & bit(x))))
#else
#define may_use(x) ((owners & bit(x)) && is_running(x) && is_fresh(x))
#endif

/* Reads the log up to n; a claim that is new to v ends its ownership. */
inline read_to(n) {
  if
  :: n > offset[v] ->
     offset[v] = n;
     owners = owners & ~bit(v);
     majority_responded = majority_responded & ~bit(v)
  :: else
  fi
}

inline increase_age(age) {
  if
  :: age < D -> age++
  :: else -> age = NONE
  fi
}

inline advance_tick() {
  v = 0;
  do
  :: v < VMS ->
     increase_age(request_age[v]);
     increase_age(confirmation_age[v]);
     v++
  :: else -> break
  od;
  v = 0;
  i = 0;
  do
  :: i < MAX_LOG ->
     if
     :: usable_in[i] != NONE && usable_in[i] > 0 -> usable_in[i]--
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

/* Counts the votes of reachable VMs whose offset is at most that of v. */
inline count_votes() {
  votes = 0;
  w = 0;
  do
  :: w < VMS ->
     if
     :: (voters & bit(w)) && is_running(w) && is_reachable(v, w) &&
        offset[w] <= offset[v] -> votes++
     :: else
     fi;
     w++
  :: else -> break
  od;
  w = 0
}

/* Counts the votes of reachable VMs that have read the newest claim of v. */
inline count_readers() {
  votes = 0;
  w = 0;
  do
  :: w < VMS ->
     if
     :: (voters & bit(w)) && is_running(w) && is_reachable(v, w) &&
        offset[w] >= offset[v] -> votes++
     :: else
     fi;
     w++
  :: else -> break
  od;
  w = 0
}

inline confirm() {
#ifdef MUTATION_AGE_FROM_RESPONSE
  confirmation_age[v] = 0;
#else
  confirmation_age[v] = request_age[v];
#endif
  request_age[v] = NONE
}

inline vm_step() {
  if
  /* Requests a confirmation from the log and the peers. */
  :: request_age[v] == NONE && confirmation_age[v] != 0 ->
     request_age[v] = 0;
     majority_responded = majority_responded & ~bit(v)
  /* The log responds: reads it to its end. */
  :: request_age[v] != NONE && log_up ->
     read_to(log_length);
     confirm()
  /* Peers respond that own more than half of the votes. */
  :: request_age[v] != NONE && !(majority_responded & bit(v)) ->
     count_votes();
     if
     :: votes >= 2 -> majority_responded = majority_responded | bit(v)
     :: else -> request_age[v] = NONE
     fi;
     votes = 0
  /* All their responses have arrived, and v has read no new entry since. */
  :: majority_responded & bit(v) ->
     majority_responded = majority_responded & ~bit(v);
     if
     :: request_age[v] != NONE -> confirm()
     :: else
     fi
  /* Reads entries of the log from a peer. */
  :: true ->
     w = (v + 1) % VMS;
     if
     :: true
     :: w = (v + 2) % VMS
     fi;
     if
     :: is_running(w) && is_reachable(v, w) && offset[w] > offset[v] ->
        read_to(offset[w])
     :: else
     fi;
     w = 0
  /* Claims the quota shard; the append requires that v has read all entries. */
  :: log_up && log_length < MAX_LOG && !(owners & bit(v)) &&
     offset[v] == log_length ->
     claimant[log_length] = v;
     log_length++
  /* Finds that the owners of more than half of the votes read its claim. */
  :: offset[v] > 0 && claimant[offset[v] - 1] == v &&
     usable_in[offset[v] - 1] == NONE ->
     count_readers();
     if
#ifdef MUTATION_NO_MAJORITY
     :: true ->
#else
     :: votes >= 2 ->
#endif
#ifdef MUTATION_NO_WAIT
        usable_in[offset[v] - 1] = 0
#else
        usable_in[offset[v] - 1] = D + 1
#endif
     :: else
     fi;
     votes = 0
  /* Acquires the quota shard: its claim is usable, and none came after it. */
  :: offset[v] > 0 && claimant[offset[v] - 1] == v &&
     !acquired[offset[v] - 1] && usable_in[offset[v] - 1] == 0 ->
     acquired[offset[v] - 1] = true;
     owners = owners | bit(v)
  /* Transfers the quota shard, and stops using it before that. */
  :: (owners & bit(v)) && !was_transferred && is_reachable(v, (v + 1) % VMS) ->
#ifndef MUTATION_TRANSFER_BEFORE_STOP
     owners = owners & ~bit(v);
#endif
     was_transferred = true;
     transfer_target = (v + 1) % VMS;
     transfer_offset = offset[v]
  /* Accepts the transfer if its offset equals that of the sender. */
  :: transfer_target == v ->
     if
#ifdef MUTATION_IGNORE_OFFSET
     :: offset[v] <= transfer_offset ->
#else
     :: offset[v] == transfer_offset ->
#endif
        owners = owners | bit(v)
     :: else
     fi;
     transfer_target = NO_VM;
     transfer_offset = 0
#ifdef MUTATION_NO_RECHECK
  /* Has checked, and is paused right before it uses the quota shard. */
  :: is_fresh(v) -> stale_checks = stale_checks | bit(v)
#endif
  fi
}

active proctype Cell() {
  d_step { do
  :: v < VMS -> request_age[v] = NONE; confirmation_age[v] = NONE; v++
  :: else -> break
  od;
  v = 0;
  usable_in[0] = NONE;
  usable_in[1] = NONE }
  do
  :: atomic { pick_vm();
       if
       :: is_running(v) -> vm_step()
       :: else
       fi;
       v = 0;
       assert(!(may_use(0) && may_use(1)) && !(may_use(0) && may_use(2)) &&
         !(may_use(1) && may_use(2))) }
  /* A tick passes. */
  :: atomic { advance_tick() }
  /* An outage of the log begins or ends. */
  :: atomic { faults < FAULTS -> faults++; log_up = !log_up }
  /* A VM is paused or resumed. */
  :: atomic { faults < FAULTS -> faults++; pick_vm();
       running = running ^ bit(v); v = 0;
       assert(!(may_use(0) && may_use(1)) && !(may_use(0) && may_use(2)) &&
         !(may_use(1) && may_use(2))) }
  /* A VM crashes: it restarts without quota shard, vote and log entries. */
  :: atomic { faults < FAULTS -> faults++; pick_vm();
       owners = owners & ~bit(v);
       voters = voters & ~bit(v);
       stale_checks = stale_checks & ~bit(v);
       offset[v] = 0;
       request_age[v] = NONE;
       confirmation_age[v] = NONE;
       majority_responded = majority_responded & ~bit(v);
       if
       :: transfer_target == v -> transfer_target = NO_VM; transfer_offset = 0
       :: else
       fi;
       v = 0 }
  /* A partition separates two VMs, or ends. */
  :: atomic { faults < FAULTS -> faults++;
       if
       :: partition = 0
       :: partition = 1
       :: partition = 2
       :: partition = NO_VM
       fi }
  /* The transfer message is lost. */
  :: atomic { transfer_target != NO_VM ->
       transfer_target = NO_VM;
       transfer_offset = 0 }
  od
}
