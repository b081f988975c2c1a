/**
 * @file membership.h
 * Which daemons are live: probes with incarnation numbers and gossip. Pure state machine.
 *
 * Every account of a member is ordered by (incarnation, version). Only the member itself raises
 * them, so that its own word always overtakes what others suspect. A member that leaves says so
 * once and for the whole incarnation: no older account, and no stale list entry, undoes it. The
 * platform's list only proposes addresses to probe.
 *
 * Cost: each member sends one probe an interval whatever the size of the fleet, and an account
 * spreads by riding on probes a number of times that grows with the logarithm of the size.
 */
#ifndef HS_MEMBERSHIP_MEMBERSHIP_H
#define HS_MEMBERSHIP_MEMBERSHIP_H

#include "gen/peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * PROPOSED -> ALIVE when it answers; ALIVE <-> SUSPECT by probes and refutation;
 * ALIVE/SUSPECT -> LEAVING by the member's own word; SUSPECT -> DEAD by time; any -> ALIVE only
 * by a newer incarnation.
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

/** What a member's machine bears, as it tells; 0: not told. */
typedef struct {
    uint32_t cores_permille; /**< Of one core. */
    uint32_t memory_mb;
    uint32_t descriptors;
    uint32_t link_kbps;
    uint32_t taken_percent; /**< Of what it is shortest of, of late. */
} hs_member_size;

typedef struct {
    char *id;
    char *zone;
    hs_member_state state;
    uint64_t incarnation;
    uint32_t version;
    uint32_t address; /**< IPv4 number in host order. */
    uint16_t peer_port;
    uint16_t admin_port;
    uint64_t config_offset;
    GArray *owned;              /**< of hs_owned_partition */
    GPtrArray *leaving_engines; /**< of char*: engines it knows at first hand to leave */
    hs_member_size size;
    uint64_t state_since_ms;
    uint32_t sent_count; /**< Times this account rode on a message. */
} hs_member;

typedef struct {
    uint32_t probe_timeout_ms;
    uint32_t suspect_ms;
    uint32_t forget_ms; /**< Dead members are forgotten after this. */
} hs_membership_settings;

typedef struct hs_membership hs_membership;

/** What the caller must send. */
typedef struct {
    uint32_t address;
    uint16_t port;
    uint32_t sequence;
    char receiver_id[64];
    char target_id[64]; /**< Not empty: ask the receiver to probe this member for us. */
} hs_probe_order;

/** @p self is copied; its state is ALIVE. */
hs_membership *hs_membership_new(const hs_member *self, const hs_membership_settings *settings,
                                 uint32_t random_seed);
void hs_membership_free(hs_membership *membership);

/** Our own account. Borrowed. */
const hs_member *hs_membership_self(const hs_membership *membership);

/** Tell how much of what this member's machine is shortest of is taken, in percent. */
void hs_membership_tell_taken(hs_membership *membership, uint32_t taken_percent);

/** Change what we say of ourselves; raises our version when something changed. */
void hs_membership_update_self(hs_membership *membership, uint64_t config_offset,
                               const GArray *owned, const GPtrArray *leaving_engines);

/** Say that we leave; final for this incarnation. */
void hs_membership_leave(hs_membership *membership);

/** An address from the platform's list. Never overrides a live account. */
void hs_membership_propose(hs_membership *membership, const char *id, uint32_t address,
                           uint16_t peer_port, uint64_t now_ms);

/** How an account came. */
typedef enum {
    HS_ACCOUNT_NEWS,   /**< Told unasked; it is passed on for a while. */
    HS_ACCOUNT_ANSWER, /**< Asked for; it is no news to others, so that it is not passed on. */
} hs_account_source;

/** Take an account heard from a peer. True when the set of live members changed by it. */
bool hs_membership_learn(hs_membership *membership, const Hs__MemberRecord *record,
                         hs_account_source source, uint64_t now_ms);

/**
 * Hashes of all accounts as they are held here: of uint32_t, appended to @p known. Another daemon
 * tells by them what this one lacks (hs_membership_missing), so that a comparison costs four bytes
 * an account where nothing differs.
 */
void hs_membership_known(const hs_membership *membership, GArray *known);

/** Members whose account here is not among @p known. @p members: borrowed, appended. */
void hs_membership_missing(const hs_membership *membership, const uint32_t *known, size_t count,
                           GPtrArray *members);

/** Once an interval: the next probe; also ages suspects. @p orders: of hs_probe_order, appended. */
bool hs_membership_probe_next(hs_membership *membership, uint64_t now_ms, GArray *orders);

/** Often: indirect probes for those that did not answer in time, and suspicion. */
bool hs_membership_check_probes(hs_membership *membership, uint64_t now_ms, GArray *orders);

/** An answer to probe @p sequence, by or for @p subject_id. */
void hs_membership_acknowledge(hs_membership *membership, uint32_t sequence,
                               const char *subject_id);

/**
 * Accounts to ride on a message to @p receiver_id: those sent least often. A receiver that is
 * suspected or held for dead is always told so, else it could not refute once the account has
 * stopped spreading. @p records: borrowed members, appended.
 */
void hs_membership_gossip(hs_membership *membership, const char *receiver_id, size_t limit,
                          GPtrArray *records);

const hs_member *hs_membership_find(const hs_membership *membership, const char *id);

/** All accounts, self included. @p members: borrowed, appended. */
void hs_membership_list(const hs_membership *membership, GPtrArray *members);

/** True for members that count as running: alive or only suspected. */
bool hs_member_is_live(const hs_member *member);

/** Live member with the highest weight for @p key, its zone first if @p zone is given. */
const hs_member *hs_membership_rank_first(const hs_membership *membership, const char *key,
                                          const char *zone);

/**
 * The live member that follows @p after in the order of weights for @p key, the highest first;
 * @p after NULL: the first one. NULL: @p after is the last.
 */
const hs_member *hs_membership_rank_next(const hs_membership *membership, const char *key,
                                         const hs_member *after);

/** The live or leaving member that says it owns @p partition under the highest epoch, or NULL. */
const hs_member *hs_membership_owner(const hs_membership *membership, uint32_t partition,
                                     uint32_t *epoch);

/** URL on the operators' listener of a member at @p address and @p port. Free with g_free. */
char *hs_member_admin_url(uint32_t address, uint16_t port, const char *path);

/** Number of times we took a new incarnation because others held us for dead. */
uint32_t hs_membership_rejoin_count(const hs_membership *membership);

/** Changes whenever the set of live members does, so that ranks may be kept until then. */
uint64_t hs_membership_live_version(const hs_membership *membership);

/** Live members, self included. */
uint32_t hs_membership_live_count(const hs_membership *membership);

#endif
