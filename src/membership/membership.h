/**
 * @file membership.h
 * State machine of the failure detector (SWIM): probes, incarnation numbers and gossip.
 *
 * Member records are ordered by (incarnation, version). Only the member itself raises them, so its
 * own record supersedes suspicion by others. Leaving is final for an incarnation: neither an older
 * record nor a stale entry of the platform's list reverts it. The platform's list only proposes
 * addresses to probe.
 *
 * Each member sends one probe per interval, independent of the number of members, and a few more
 * for each member that it comes to suspect. With several
 * regions, most probes go to members of the own region; while several members of other regions are
 * suspect, most go to other regions, so that a region that is cut off is detected as soon. Records
 * are sent along with probes and acknowledgements, a number of times that grows with the logarithm
 * of the number of members.
 *
 * Performs no I/O. Not thread-safe: membership_service.h adds a lock.
 */
#ifndef HS_MEMBERSHIP_MEMBERSHIP_H
#define HS_MEMBERSHIP_MEMBERSHIP_H

#include "gen/peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Transitions: PROPOSED -> state of the first record, unless DEAD; ALIVE <-> SUSPECT by unanswered
 * probes and refutation; ALIVE or SUSPECT -> LEAVING announced by the member; SUSPECT -> DEAD after
 * suspect_ms; LEAVING -> DEAD after an unanswered probe. LEAVING or DEAD -> ALIVE only with a newer
 * incarnation.
 */
typedef enum {
    HS_MEMBER_PROPOSED,
    HS_MEMBER_ALIVE,
    HS_MEMBER_SUSPECT,
    HS_MEMBER_LEAVING,
    HS_MEMBER_DEAD,
} hs_member_state;

typedef struct {
    uint32_t partition;
    uint32_t epoch;
    bool has_ready_items;
} hs_owned_partition;

/** Capacity of a member's machine as reported by the member; 0: not reported. */
typedef struct {
    uint32_t cores_permille; /**< In thousandths of a core. */
    uint32_t memory_mb;
    uint32_t descriptors;
    uint32_t link_kbps;
    uint32_t utilisation_percent; /**< Recent utilisation of the most used resource. */
} hs_machine_size;

typedef struct {
    char *id;
    char *zone;
    char *region; /**< Region that the member announced; empty: none. */
    hs_member_state state;
    uint64_t incarnation;
    uint32_t version;
    uint32_t address; /**< IPv4 address in host byte order. */
    uint16_t peer_port;
    uint16_t admin_port;
    uint64_t config_offset;
    GArray *owned;              /**< Of hs_owned_partition. */
    GPtrArray *leaving_engines; /**< Of char*: leaving engines reported by the member. */
    hs_machine_size size;
    bool is_self;
    bool relays_state; /**< Passes records of the store on to other daemons. */
    bool reports_ends; /**< Reports ends of jobs to their owners before it acknowledges them. */
    bool is_starting;  /**< Not ready to serve; it counts as live for this daemon itself only. */
    uint64_t state_since_ms;
    uint32_t sent_count; /**< Times sent as gossip since the last change to relay. */
} hs_member;

typedef struct {
    uint32_t probe_timeout_ms;
    uint32_t suspect_ms; /**< Time until a suspected member is marked dead. */
    uint32_t forget_ms;  /**< Time until a dead or only proposed member is removed. */
} hs_membership_settings;

typedef struct hs_membership hs_membership;

/** A probe for the caller to send. */
typedef struct {
    uint32_t address;
    uint16_t port;
    uint32_t sequence;
    char receiver_id[64];
    char target_id[64]; /**< Not empty: the receiver is to probe this member (indirect probe). */
} hs_probe_order;

/**
 * Creates the state with a copy of @p self as its only member, in state ALIVE. The region of
 * @p self may be NULL: it announces none. Free with hs_membership_free.
 */
hs_membership *hs_membership_new(const hs_member *self, const hs_membership_settings *settings,
                                 uint32_t random_seed);

/** NULL is allowed. */
void hs_membership_free(hs_membership *membership);

/** Returns this daemon's own member, owned by @p membership. */
const hs_member *hs_membership_self(const hs_membership *membership);

/** Announces whether this daemon is not ready to serve yet; initially as in the copied member. */
void hs_membership_set_starting(hs_membership *membership, bool is_starting);

/** Sets the utilisation that this daemon reports; see hs_machine_size. */
void hs_membership_set_utilisation_percent(hs_membership *membership, uint32_t utilisation_percent);

/** Updates this daemon's own record; raises its version if a value changed. */
void hs_membership_update_self(hs_membership *membership, uint64_t config_offset,
                               const GArray *owned, const GPtrArray *leaving_engines);

/** Marks this daemon as leaving; final for its incarnation. */
void hs_membership_leave(hs_membership *membership);

/** Adds a member to probe, unless a member with this id is known. */
void hs_membership_propose(hs_membership *membership, const char *id, uint32_t address,
                           uint16_t peer_port, uint64_t now_ms);

/** How a member record was received. */
typedef enum {
    HS_RECORD_FROM_GOSSIP,     /**< Sent as gossip; it is relayed. */
    HS_RECORD_FROM_COMPARISON, /**< Sent on request; not relayed, as others have it. */
} hs_record_source;

/**
 * Applies a record received from a peer if it supersedes the current one. A record that reports
 * this daemon as suspect or dead is refuted. Returns true if a member became live or ceased to be
 * live, or if this daemon took a new incarnation.
 */
bool hs_membership_apply_record(hs_membership *membership, const Hs__MemberRecord *record,
                                hs_record_source source, uint64_t now_ms);

/**
 * Appends a hash (uint32_t) of each member record to @p known. Another daemon uses the hashes to
 * find the records that this one lacks (hs_membership_list_missing).
 */
void hs_membership_list_hashes(const hs_membership *membership, GArray *known);

/**
 * Appends the members whose record hash is not among @p known. @p members: of hs_member*, owned by
 * @p membership.
 */
void hs_membership_list_missing(const hs_membership *membership, const uint32_t *known,
                                size_t count, GPtrArray *members);

/**
 * Appends the next probe to @p orders (of hs_probe_order), marks expired suspects dead and removes
 * members that were dead or only proposed for forget_ms. To be called once per probe interval.
 * Returns true if a member was marked dead.
 */
bool hs_membership_probe_next(hs_membership *membership, uint64_t now_ms, GArray *orders);

/**
 * Appends indirect probes for members that did not answer in time to @p orders, and suspects
 * members that did not answer these either. Each suspicion makes further members be probed, some at
 * each call, so that the loss of many is detected about as soon as that of one. To be called
 * several times per probe timeout. Returns true if a leaving member was marked dead.
 */
bool hs_membership_check_probes(hs_membership *membership, uint64_t now_ms, GArray *orders);

/** Handles an acknowledgement of probe @p sequence, sent by or on behalf of @p subject_id. */
void hs_membership_acknowledge(hs_membership *membership, uint32_t sequence,
                               const char *subject_id);

/**
 * Appends at most @p limit members whose records are to be sent to @p receiver_id: this daemon's
 * own and those sent least often. The record of a receiver that is suspect or dead is always
 * included, as the receiver could not refute it otherwise after its dissemination ended.
 * @p records: of hs_member*, owned by @p membership.
 */
void hs_membership_collect_gossip(hs_membership *membership, const char *receiver_id, size_t limit,
                                  GPtrArray *records);

/**
 * Returns whether more records than @p limit are left to be sent as gossip. They would take many
 * messages to spread; a comparison with another daemon transfers what differs at once.
 */
bool hs_membership_has_backlog(const hs_membership *membership, size_t limit);

/** Returns the member or NULL. Owned by @p membership. */
const hs_member *hs_membership_find(const hs_membership *membership, const char *id);

/** Appends all members, self included. @p members: of hs_member*, owned by @p membership. */
void hs_membership_list(const hs_membership *membership, GPtrArray *members);

/** Returns the number of known members in any state, self included. */
uint32_t hs_membership_count(const hs_membership *membership);

/** Returns true if the member is ready to serve, and alive or suspect. */
bool hs_member_is_live(const hs_member *member);

/** Returns true if the member is ready to serve, and alive. */
bool hs_member_is_alive(const hs_member *member);

/** Returns true if the member runs, be it ready or not: it is alive or suspect. */
bool hs_member_is_running(const hs_member *member);

/** Reports whether a member and this daemon have announced different regions. */
bool hs_membership_is_far(const hs_membership *membership, const hs_member *member);

/**
 * Returns the live member with the highest rendezvous hash weight for @p key, among those of
 * @p zone if there are any; NULL if no member is live. @p zone NULL: any zone.
 */
const hs_member *hs_membership_rank_first(const hs_membership *membership, const char *key,
                                          const char *zone);

/**
 * Returns the member to use for @p key in @p region: among the live members of the region, the one
 * with the highest rendezvous hash weight. If @p region is NULL, has no live member, or some live
 * member announces no region, returns the same as hs_membership_rank_first for any zone. Members of
 * older builds announce no region and use that order, so that all daemons agree.
 */
const hs_member *hs_membership_rank_in_region(const hs_membership *membership, const char *key,
                                              const char *region);

/**
 * Returns the live member that follows @p after in descending order of weights for @p key, or NULL
 * if none follows. @p after NULL: returns the first.
 */
const hs_member *hs_membership_rank_next(const hs_membership *membership, const char *key,
                                         const hs_member *after);

/**
 * Returns the live or leaving member that claims @p partition with the highest epoch, or NULL.
 * @p epoch receives the epoch, 0 if there is no owner.
 */
const hs_member *hs_membership_find_owner(const hs_membership *membership, uint32_t partition,
                                          uint32_t *epoch);

/**
 * Returns a URL on a member's admin listener. @p address: IPv4 in host byte order. Free with
 * g_free.
 */
char *hs_member_admin_url(uint32_t address, uint16_t port, const char *path);

/** Returns how often this daemon took a new incarnation because others reported it dead. */
uint32_t hs_membership_rejoin_count(const hs_membership *membership);

/** Returns a version that changes with the set of live members; ranks may be cached until then. */
uint64_t hs_membership_live_version(const hs_membership *membership);

/**
 * Returns a version that changes with the set of running members, with their readiness and with who
 * of them passes records on.
 */
uint64_t hs_membership_running_version(const hs_membership *membership);

/** Returns the number of live members, self included. */
uint32_t hs_membership_live_count(const hs_membership *membership);

#endif
