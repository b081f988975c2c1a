/** @file start_pace.c  See start_pace.h. */
#include "jobs/start_throttle.h"

#include <glib.h>
#include <math.h>

/** Least starts a pass: one in five passes, which take half a second. */
#define TRIED_LEAST 0.2
/** Share of the room that is always tried: three good passes from it to all. */
#define TRIED_SHARE_LEAST (1.0 / 64)
/** Factor by which more is tried when starts do well: faster up than down. */
#define GROWTH 4.0
/** Room this many times that of the last failure counts as new, and all of it is tried. */
#define MORE_ROOM 1.5

void hs_start_pace_note(hs_start_pace *pace, bool did_well) {
    pace->good += did_well;
    pace->bad += !did_well;
}

/** Judge what was seen since the last pass. */
static void judge(hs_start_pace *pace, double spare) {
    double tried = 1 - pace->held_back;
    if (pace->bad > pace->good) {
        tried = fmax(tried / 2, TRIED_SHARE_LEAST);
        pace->spare = spare;
    } else if (pace->good > 0) {
        tried = tried * GROWTH;
    }
    pace->held_back = 1 - fmin(tried, 1);
    pace->good = 0;
    pace->bad = 0;
}

uint32_t hs_start_pace_begin(hs_start_pace *pace, uint32_t room, double spare) {
    judge(pace, spare);
    if (pace->held_back > 0 && spare > pace->spare * MORE_ROOM + 1)
        pace->held_back = 0;
    if (pace->held_back <= 0 || room == 0) {
        pace->owed = 0;
        return room;
    }
    double tried = fmax(room * (1 - pace->held_back), TRIED_LEAST);
    pace->owed = fmin(pace->owed, 1) + tried;
    uint32_t allowed = MIN((uint32_t)pace->owed, room);
    pace->owed -= allowed;
    return allowed;
}
