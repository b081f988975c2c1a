/** @file membership_state.h  Private state of the membership state machine. */
#ifndef HS_MEMBERSHIP_MEMBERSHIP_STATE_H
#define HS_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "membership/membership.h"

/** A probe without acknowledgement so far. */
typedef struct {
    uint32_t sequence;
    char *member_id;
    uint64_t sent_ms;
    bool sent_indirect; /**< Indirect probes were requested. */
} open_probe;

struct hs_membership {
    hs_membership_settings settings;
    hs_member *self;
    GHashTable *members;  /**< id -> hs_member; includes self. */
    GPtrArray *round;     /**< Of char*: ids of members left to probe in this round. */
    GPtrArray *far_round; /**< The same for members of other regions, which have their own. */
    uint32_t probe_count; /**< Probes so far, if this daemon announces a region; wraps. */
    GArray *open_probes;  /**< Of open_probe. */
    GRand *random;
    uint32_t next_sequence;
    uint32_t rejoin_count;
    uint64_t live_version;
    uint64_t running_version;
    uint32_t pending_gossip; /**< Records left to be sent when gossip was collected last. */
    uint32_t extra_probes;   /**< Probes to be sent beside those of the intervals. */
    bool has_pending_gossip; /**< Some record may not have been sent often enough yet. */
};

#endif
