/** @file membership_state.h  The state machine's own state; included by its files alone. */
#ifndef HS_MEMBERSHIP_MEMBERSHIP_STATE_H
#define HS_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "membership/membership.h"

/** A probe that has not been answered yet. */
typedef struct {
    uint32_t sequence;
    char *member_id;
    uint64_t sent_ms;
    bool asked_others;
} open_probe;

struct hs_membership {
    hs_membership_settings settings;
    hs_member *self;
    GHashTable *members; /**< id -> hs_member, self included */
    GPtrArray *round;    /**< ids still to be probed in this round */
    GArray *open_probes;
    GRand *random;
    uint32_t next_sequence;
    uint32_t rejoin_count;
    uint64_t live_version;
    bool has_news; /**< An account may still have to be passed on. */
};

#endif
