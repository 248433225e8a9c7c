/* Process epoch (`life`) and incarnation of one member, in the views of two others (src/decide/membership), over a
 * link that loses, repeats and reorders messages.
 *
 * The member raises its incarnation when it receives a suspicion of itself, and may end and start again with a
 * greater epoch. The others suspect it and declare it dead (`gone`) at any time: no time is modelled, only what an
 * order of messages may lead to. Asserted: the version in a view never decreases; a dead member is alive again by a
 * greater version alone; no view has a version that the member never had.
 *
 *   sh models/check.sh            verifies this, and that each planted mistake is found
 *   -DPLANT_EQUAL                 a record of the same version counts as newer
 *   -DPLANT_OTHERS                another node raises the incarnation
 *   -DPLANT_LIFE                  incarnations are compared across epochs
 */
#define LIVES 2
#define INCARNATIONS 1
#define LINK 2

mtype = { alive, suspect, gone };
typedef Word { byte life; byte inc; mtype belief };

byte life = 1, inc = 0; /* The member's own. */
bool up = true;
chan link = [LINK] of { byte, byte, byte, mtype }; /* To 0: the member; 1, 2: the others. */

#if defined(PLANT_EQUAL)
#define NEWER(l, i, ol, oi) ((l) > (ol) || ((l) == (ol) && (i) >= (oi)))
#elif defined(PLANT_LIFE)
#define NEWER(l, i, ol, oi) ((l) > (ol) || (i) > (oi))
#else
#define NEWER(l, i, ol, oi) ((l) > (ol) || ((l) == (ol) && (i) > (oi)))
#endif
/* What is asserted, whatever is planted above. */
#define ABOVE(l, i, ol, oi) ((l) > (ol) || ((l) == (ol) && (i) > (oi)))

/* A record that may be lost; where sending is a choice, not to send is the same. */
inline Send(to, l, i, b) {
  if
  :: nfull(link) -> link!to, l, i, b
  :: skip
  fi
}

proctype Member() {
  byte l, i;
  mtype b;
end:
  do
  :: atomic { up && nfull(link) -> link!1, life, inc, alive } /* Repeatedly: so a record is received twice, too. */
  :: atomic { up && nfull(link) -> link!2, life, inc, alive }
  :: atomic { link??0, l, i, b ->
       if
       :: up && b != alive && l == life && i >= inc && i < INCARNATIONS -> inc = i + 1
       :: else -> skip
       fi }
  :: atomic { up && life < LIVES -> up = false }
  :: atomic { !up -> up = true; life = life + 1; inc = 0 }
  od
}

proctype Other(byte me) {
  byte l, i, hl = 1, hi = 0, gl = 0, gi = 0; /* Held, and the version that was dropped last. */
  mtype b, hb = alive;
  bool dropped = false;
end:
  do
  :: atomic { hb == alive -> hb = suspect; Send(0, hl, hi, suspect) }
  :: atomic { hb == suspect -> hb = gone; gl = hl; gi = hi; dropped = true; Send(0, hl, hi, gone) }
  :: atomic { nfull(link) -> link!3 - me, hl, hi, hb }
#ifdef PLANT_OTHERS
  :: atomic { hb == suspect && hi < INCARNATIONS -> hi = hi + 1; hb = alive; assert(!ABOVE(hl, hi, life, inc)) }
#endif
  :: atomic { link??eval(me), l, i, b ->
       if
       :: NEWER(l, i, hl, hi) ->
            assert(!ABOVE(hl, hi, l, i)); /* Never falls. */
            hl = l; hi = i; hb = b;
            if
            :: hb == gone -> gl = hl; gi = hi; dropped = true
            :: else -> assert(!dropped || ABOVE(hl, hi, gl, gi)) /* An old record does not revive a member. */
            fi
       :: !NEWER(l, i, hl, hi) && l == hl && i == hi && hb == alive && b == suspect -> hb = suspect
       :: !NEWER(l, i, hl, hi) && l == hl && i == hi && hb != gone && b == gone ->
            hb = gone; gl = hl; gi = hi; dropped = true
       :: else -> skip
       fi;
       assert(!ABOVE(hl, hi, life, inc)) }
  od
}

init { atomic { run Member(); run Other(1); run Other(2) } }
