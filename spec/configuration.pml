/* Entries of the configuration log spreading among processes.
 *
 * Operators write the log through the platform; nothing here writes it.  Every entry
 * names the version that its author saw (base), and the verdict on an entry is a
 * function of the log alone.  Processes learn entries from a platform that may show an
 * older log than before, from pushes that are lost, repeated and late, and from the
 * periodic exchange of digests.  Any number of times, process 0 is cut off and joined
 * again, the platform goes back, and processes restart with nothing.
 *
 * never_reverts   the number held by a living process never goes down
 * agreement       all processes give an entry the verdict that follows from the log
 * joiner_current  a process that takes traffic holds all that it was told of before
 * in_force_last   once faults end, every process holds the whole log
 *
 * Mutants: NO_MONOTONE, NO_GAP_CHECK, NO_WAIT, NO_DIGEST.
 */

#define NODES 3
#ifndef ENTRIES
#define ENTRIES 2
#endif
#define READER 1
#define connected(a, b) (!is_cut || (a != 0 && b != 0))
#define peer(n) ((n + 1) % NODES)

byte base[ENTRIES + 1];          /* base of each entry */
byte log_in_force[ENTRIES + 1];  /* in force after each entry, by the log alone */
byte visible;                    /* entries that the platform shows */
bool is_cut;                     /* process 0 is apart from the others */
bool is_settled;                 /* no more faults, and the log is complete */

byte held[NODES];                /* last entry that was judged */
byte in_force[NODES];            /* last entry in force, as judged here */
byte told[NODES];                /* highest number heard of while joining */
bool joining[NODES];
byte pushed[NODES];              /* bit e: a push of entry e is on its way here */

/* Judge entry e at process n, against what n itself holds. */
inline judge(n, e)
{
    if
    :: base[e] == in_force[n] -> in_force[n] = e
    :: else -> skip
    fi;
    assert(in_force[n] == log_in_force[e]);      /* agreement */
    assert(e >= held[n]);                        /* never_reverts */
    held[n] = e;
}

/* Take a snapshot with number s at process n. */
inline adopt(n, s)
{
    assert(s >= held[n]);                        /* never_reverts */
    held[n] = s;
    in_force[n] = log_in_force[s];
}

/* Push entry e to process p, or lose it on the way. */
inline push(n, p, e)
{
    if
    :: connected(n, p) && held[p] < e -> pushed[p] = pushed[p] | (1 << e)
    :: !is_settled -> skip
    :: else -> skip
    fi
}

active proctype Platform()
{
end:
    do
    :: atomic { visible < ENTRIES -> visible++ }
    :: atomic { !is_settled && visible > 0 -> visible-- }
    od
}

active proctype Faults()
{
end:
    do
    :: atomic { !is_settled && !is_cut -> is_cut = true }
    :: atomic { is_cut -> is_cut = false }
    :: atomic { !is_settled && !is_cut -> is_settled = true }
    :: is_settled
    od
}

proctype Process(byte n)
{
    byte e;
end:
    do
    /* A read of the platform, by the one process that holds the reader's lease. */
    :: atomic {
#ifdef NO_MONOTONE
           n == READER && visible != held[n] ->
#else
           n == READER && visible > held[n] ->
#endif
           if
           :: visible == held[n] + 1 ->
              judge(n, visible);
              push(n, peer(n), held[n]);
              push(n, peer(peer(n)), held[n])
           :: else -> adopt(n, visible)
           fi }
    /* A push arrives; it may arrive again. */
    :: atomic { pushed[n] != 0 ->
           e = 1;
           do
           :: (pushed[n] & (1 << e)) == 0 -> e++
           :: (pushed[n] & (1 << e)) != 0 && (pushed[n] >> (e + 1)) != 0 -> e++
           :: (pushed[n] & (1 << e)) != 0 -> break
           od;
           if
           :: pushed[n] = pushed[n] & ~(1 << e)
           :: !is_settled -> skip
           fi;
           if
#ifdef NO_GAP_CHECK
           :: e > held[n] -> judge(n, e); push(n, peer(n), e)
#else
           :: e == held[n] + 1 -> judge(n, e); push(n, peer(n), e)
#endif
           :: else -> skip
           fi;
           e = 0 }
    /* Restart: everything is lost. */
    :: atomic { !is_settled && !joining[n] ->
           held[n] = 0;
           in_force[n] = 0;
           joining[n] = true }
    /* A joiner hears the digest of a peer. */
    :: atomic { (joining[n] && told[n] < held[peer(n)] && connected(n, peer(n))) ->
           told[n] = held[peer(n)] }
    /* A joiner takes traffic. */
    :: atomic {
#ifdef NO_WAIT
           joining[n] ->
#else
           joining[n] && held[n] >= told[n] ->
#endif
           assert(held[n] >= told[n]);           /* joiner_current */
           joining[n] = false;
           told[n] = 0 }
    od
}

/* The periodic exchange of digests between two processes. */
proctype Exchange(byte from; byte to)
{
end:
    do
#ifndef NO_DIGEST
    :: atomic { held[from] > held[to] && connected(from, to) ->
           if
           :: judge(to, held[to] + 1)
           :: adopt(to, held[from])
           fi }
#else
    :: false -> skip
#endif
    od
}

init
{
    byte e;
    byte b;
    atomic {
        for (e : 1 .. ENTRIES) {
            b = 0;
#ifndef ONE_LOG
            do
            :: b < e - 1 -> b++
            :: break
            od;
#else
            b = e - 1;
#endif
            base[e] = b;
            if
            :: b == log_in_force[e - 1] -> log_in_force[e] = e
            :: else -> log_in_force[e] = log_in_force[e - 1]
            fi
        }
        e = 0;
        b = 0;
        run Process(0);
        run Process(1);
        run Process(2);
        run Exchange(0, 1);
        run Exchange(1, 2);
        run Exchange(2, 0)
    }
}

#define all_held (held[0] == ENTRIES && held[1] == ENTRIES && held[2] == ENTRIES)
ltl in_force_last { (<> [] is_settled) -> (<> [] all_held) }
