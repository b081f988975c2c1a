/** @file coordinator.c  See coordinator.h. */
#include "batch/coordinator.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/log.h"
#include "batch/ownership.h"
#include "batch/partition_owner.h"
#include "batch/partition_record.h"

#include <arpa/inet.h>
#include <string.h>

#define TICK_MS 100
#define CLAIM_APPEND_TIMEOUT_MS 2000
#define RELEASE_APPEND_TIMEOUT_MS 3000

struct hs_coordinator {
    hs_coordinator_context context;
    uint32_t partition_count;
    GMutex lock;
    hs_partition_owner **owners; /**< By partition; NULL if not owned. Guarded by lock. */
    hs_ownership_history *histories;
    bool release_failed;     /**< The last release record was not appended. */
    bool *self_is_first;     /**< By partition, as of ranked_version. */
    bool *owner_is_known;    /**< By partition: another member announces ownership. */
    uint64_t ranked_version; /**< Version of the live set that the ranks are for. */
    bool has_ranks;
    bool self_is_leaving;
    gint stopping;
    GThread *thread;
};

hs_coordinator *hs_coordinator_new(const hs_coordinator_context *context) {
    hs_coordinator *coordinator = g_new0(hs_coordinator, 1);
    coordinator->context = *context;
    coordinator->partition_count = hs_replica_set_count(context->replicas);
    coordinator->owners = g_new0(hs_partition_owner *, coordinator->partition_count);
    coordinator->histories = g_new0(hs_ownership_history, coordinator->partition_count);
    coordinator->self_is_first = g_new0(bool, coordinator->partition_count);
    coordinator->owner_is_known = g_new0(bool, coordinator->partition_count);
    g_mutex_init(&coordinator->lock);
    return coordinator;
}

void hs_coordinator_free(hs_coordinator *coordinator) {
    g_free(coordinator->owners);
    g_free(coordinator->histories);
    g_free(coordinator->self_is_first);
    g_free(coordinator->owner_is_known);
    g_mutex_clear(&coordinator->lock);
    g_free(coordinator);
}

/** Writes the partition's key for rendezvous hashing. */
static void partition_key(uint32_t partition, char key[32]) {
    g_snprintf(key, 32, "partition-%u", partition);
}

/** Recomputes the ranks if the live set has changed, at a cost of partitions times members. */
static void refresh_ranks(hs_coordinator *coordinator, const hs_membership *membership) {
    uint64_t version = hs_membership_live_version(membership);
    if (coordinator->has_ranks && coordinator->ranked_version == version)
        return;
    const hs_member *self = hs_membership_self(membership);
    for (uint32_t partition = 0; partition < coordinator->partition_count; partition++) {
        char key[32];
        partition_key(partition, key);
        coordinator->self_is_first[partition] =
            hs_membership_rank_first(membership, key, NULL) == self;
    }
    coordinator->has_ranks = true;
    coordinator->ranked_version = version;
}

static void mark_owned_partitions(hs_coordinator *coordinator, const hs_member *member) {
    if (!hs_member_is_live(member) && member->state != HS_MEMBER_LEAVING)
        return;
    for (guint index = 0; index < member->owned->len; index++) {
        uint32_t partition = g_array_index(member->owned, hs_owned_partition, index).partition;
        if (partition < coordinator->partition_count)
            coordinator->owner_is_known[partition] = true;
    }
}

/** Reads ranks and announced owners of all partitions from the membership. */
static void read_membership(hs_coordinator *coordinator) {
    memset(coordinator->owner_is_known, 0, coordinator->partition_count * sizeof(bool));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(coordinator->context.membership);
    refresh_ranks(coordinator, membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++)
        if (members->pdata[index] != hs_membership_self(membership))
            mark_owned_partitions(coordinator, members->pdata[index]);
    coordinator->self_is_leaving = hs_membership_self(membership)->state == HS_MEMBER_LEAVING;
    hs_membership_service_unlock(coordinator->context.membership);
}

static hs_ownership_view get_ownership_view(const hs_coordinator *coordinator, uint32_t partition) {
    return (hs_ownership_view){.self_is_first = coordinator->self_is_first[partition],
                               .self_is_leaving = coordinator->self_is_leaving,
                               .self_owns = coordinator->owners[partition] != NULL,
                               .owner_is_known = coordinator->owner_is_known[partition]};
}

/** Whether the owner recorded in the stream is another member that is alive in that incarnation. */
static bool is_recorded_owner_alive(hs_coordinator *coordinator, const hs_partition *state) {
    if (state->owner_id == NULL || state->owner_released)
        return false;
    hs_membership *membership = hs_membership_service_lock(coordinator->context.membership);
    const hs_member *owner = hs_membership_find(membership, state->owner_id);
    bool alive = owner != NULL && owner != hs_membership_self(membership) &&
                 hs_member_is_live(owner) && owner->incarnation == state->owner_incarnation;
    hs_membership_service_unlock(coordinator->context.membership);
    return alive;
}

/** Whether the stream records this daemon as the owner in @p epoch. */
static bool is_claim_won(hs_coordinator *coordinator, hs_replica *replica, uint32_t epoch,
                         uint64_t incarnation) {
    hs_partition *state = hs_replica_lock(replica);
    bool won = state->epoch == epoch && state->owner_id != NULL &&
               strcmp(state->owner_id, coordinator->context.settings->daemon_id) == 0 &&
               state->owner_incarnation == incarnation;
    hs_replica_unlock(replica);
    return won;
}

/** Appends a claim and reads it back from the stream. Returns the epoch won, or 0. */
static uint32_t try_claim(hs_coordinator *coordinator, uint32_t partition) {
    hs_replica *replica = hs_replica_set_get(coordinator->context.replicas, partition);
    hs_error error = {0};
    if (hs_replica_refresh(replica, &error) != 0)
        return 0;
    hs_partition *state = hs_replica_lock(replica);
    bool owner_is_alive = is_recorded_owner_alive(coordinator, state);
    uint32_t epoch = state->epoch + 1;
    hs_replica_unlock(replica);
    if (owner_is_alive)
        return 0;
    uint64_t incarnation = hs_membership_service_incarnation(coordinator->context.membership);
    g_autoptr(GByteArray) record =
        hs_record_pack_claim(epoch, coordinator->context.settings->daemon_id, incarnation);
    uint64_t offset = 0;
    HS_FAULT_POINT("claim_before");
    hs_appender_append(coordinator->context.appender, hs_replica_stream(replica), record->data,
                       record->len, CLAIM_APPEND_TIMEOUT_MS, &offset, &error);
    HS_FAULT_POINT("claim_after");
    if (hs_replica_refresh(replica, &error) != 0)
        return 0;
    return is_claim_won(coordinator, replica, epoch, incarnation) ? epoch : 0;
}

static void claim_partition(hs_coordinator *coordinator, uint32_t partition) {
    uint32_t epoch = try_claim(coordinator, partition);
    coordinator->histories[partition].claimable_since_ms = 0;
    if (epoch == 0)
        return;
    hs_partition_owner *owner = hs_partition_owner_start(&coordinator->context, partition, epoch);
    g_mutex_lock(&coordinator->lock);
    coordinator->owners[partition] = owner;
    g_mutex_unlock(&coordinator->lock);
    hs_log_info("partition_claimed", "partition=%u epoch=%u", partition, epoch);
}

static void stop_partition_owner(hs_coordinator *coordinator, uint32_t partition) {
    g_mutex_lock(&coordinator->lock);
    hs_partition_owner *owner = coordinator->owners[partition];
    coordinator->owners[partition] = NULL;
    g_mutex_unlock(&coordinator->lock);
    if (owner != NULL)
        hs_partition_owner_stop(owner);
}

/** Stops granting items, then appends the release, so that no grant is made after the release. */
static void hand_over_partition(hs_coordinator *coordinator, uint32_t partition) {
    hs_replica *replica = hs_replica_set_get(coordinator->context.replicas, partition);
    hs_partition_owner *owner = coordinator->owners[partition];
    uint32_t epoch = hs_partition_owner_get_epoch(owner);
    hs_partition_owner_stop_granting(owner);
    g_autoptr(GByteArray) record =
        hs_record_pack_release(epoch, coordinator->context.settings->daemon_id);
    uint64_t offset = 0;
    hs_error error = {0};
    HS_FAULT_POINT("release");
    /* After a failed release do not wait: others claim the partition once this daemon has left. */
    uint32_t append_timeout_ms = coordinator->release_failed ? 0 : RELEASE_APPEND_TIMEOUT_MS;
    int result = hs_appender_append(coordinator->context.appender, hs_replica_stream(replica),
                                    record->data, record->len, append_timeout_ms, &offset, &error);
    coordinator->release_failed = result != 0;
    stop_partition_owner(coordinator, partition);
    hs_log_info("partition_released", "partition=%u epoch=%u", partition, epoch);
}

/** Stops an owner whose epoch was ended by a later claim. */
static void stop_owner_if_lost(hs_coordinator *coordinator, uint32_t partition) {
    hs_partition_owner *owner = coordinator->owners[partition];
    if (owner == NULL || hs_partition_owner_is_valid(owner))
        return;
    hs_ownership_note_loss(&coordinator->histories[partition], hs_clock_monotonic_ms());
    hs_log_warning("partition_lost", "partition=%u epoch=%u", partition,
                   hs_partition_owner_get_epoch(owner));
    stop_partition_owner(coordinator, partition);
}

/** Announces the owned partitions by gossip. */
static void publish_owned(hs_coordinator *coordinator) {
    g_autoptr(GArray) owned = g_array_new(FALSE, FALSE, sizeof(hs_owned_partition));
    for (uint32_t partition = 0; partition < coordinator->partition_count; partition++) {
        const hs_partition_owner *owner = coordinator->owners[partition];
        if (owner == NULL)
            continue;
        hs_owned_partition entry = {.partition = partition,
                                    .epoch = hs_partition_owner_get_epoch(owner),
                                    .has_ready_items = hs_partition_owner_has_ready_items(owner)};
        g_array_append_val(owned, entry);
    }
    uint64_t offset = coordinator->context.config_offset(coordinator->context.gossip_user_data);
    g_autoptr(GPtrArray) leaving =
        coordinator->context.leaving_engines(coordinator->context.gossip_user_data);
    hs_membership *membership = hs_membership_service_lock(coordinator->context.membership);
    hs_membership_update_self(membership, offset, owned, leaving);
    hs_membership_service_unlock(coordinator->context.membership);
}

static void update_ownership(hs_coordinator *coordinator, uint32_t partition) {
    hs_ownership_settings settings = {
        .settle_ms = (uint32_t)coordinator->context.settings->claim_settle_ms,
        .handover_ms = (uint32_t)coordinator->context.settings->handover_ms};
    stop_owner_if_lost(coordinator, partition);
    hs_ownership_view view = get_ownership_view(coordinator, partition);
    switch (hs_ownership_decide(&settings, &view, &coordinator->histories[partition],
                                hs_clock_monotonic_ms())) {
    case HS_OWNERSHIP_CLAIM:
        claim_partition(coordinator, partition);
        break;
    case HS_OWNERSHIP_RELEASE:
        hand_over_partition(coordinator, partition);
        break;
    case HS_OWNERSHIP_KEEP:
        break;
    }
}

static gpointer run_coordinator(gpointer data) {
    hs_coordinator *coordinator = data;
    while (g_atomic_int_get(&coordinator->stopping) == 0) {
        read_membership(coordinator);
        if (hs_membership_service_has_probed(coordinator->context.membership))
            for (uint32_t partition = 0; partition < coordinator->partition_count; partition++)
                update_ownership(coordinator, partition);
        publish_owned(coordinator);
        hs_clock_sleep_ms(TICK_MS);
    }
    for (uint32_t partition = 0; partition < coordinator->partition_count; partition++)
        stop_partition_owner(coordinator, partition);
    return NULL;
}

void hs_coordinator_start(hs_coordinator *coordinator) {
    coordinator->thread = g_thread_new("coordinator", run_coordinator, coordinator);
}

void hs_coordinator_wait_for_release(hs_coordinator *coordinator, uint64_t deadline_ms) {
    /* The coordinator's thread releases each partition because this member is leaving. */
    while (hs_coordinator_owned_count(coordinator) > 0 && hs_clock_monotonic_ms() < deadline_ms)
        hs_clock_sleep_ms(TICK_MS / 10);
}

void hs_coordinator_stop(hs_coordinator *coordinator) {
    g_atomic_int_set(&coordinator->stopping, 1);
    g_thread_join(coordinator->thread);
}

static void handle_pull(hs_coordinator *coordinator, const Hs__PeerMessage *message,
                        const struct sockaddr_in *from) {
    uint32_t partition = message->pull_request->partition;
    if (partition >= coordinator->partition_count)
        return;
    g_mutex_lock(&coordinator->lock);
    hs_partition_owner *owner = coordinator->owners[partition];
    if (owner != NULL)
        hs_partition_owner_handle_pull(owner, message, from);
    g_mutex_unlock(&coordinator->lock);
}

static void send_revocation(hs_coordinator *coordinator, GPtrArray *refs,
                            const struct sockaddr_in *to) {
    Hs__GrantRevoke revoke = HS__GRANT_REVOKE__INIT;
    revoke.n_grants = refs->len;
    revoke.grants = (Hs__GrantRef **)refs->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_GRANT_REVOKE;
    message.grant_revoke = &revoke;
    hs_membership_service_reply(coordinator->context.membership, to, &message);
}

static void send_confirmation(hs_coordinator *coordinator, GPtrArray *refs, uint64_t sent_ms,
                              const struct sockaddr_in *to) {
    Hs__GrantConfirm confirm = HS__GRANT_CONFIRM__INIT;
    confirm.n_grants = refs->len;
    confirm.grants = (Hs__GrantRef **)refs->pdata;
    confirm.sent_ms = sent_ms;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_GRANT_CONFIRM;
    message.grant_confirm = &confirm;
    hs_membership_service_reply(coordinator->context.membership, to, &message);
}

/**
 * Renews valid grants and answers with the invalid ones and with those whose items may start.
 * Ignores partitions of other owners.
 */
static void handle_renew(hs_coordinator *coordinator, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from) {
    const Hs__GrantRenew *renew = message->grant_renew;
    g_autoptr(GPtrArray) revoked_refs = g_ptr_array_new();
    g_autoptr(GPtrArray) confirmed_refs = g_ptr_array_new();
    g_mutex_lock(&coordinator->lock);
    for (size_t index = 0; index < renew->n_grants; index++) {
        Hs__GrantRef *ref = renew->grants[index];
        hs_partition_owner *owner = ref->partition < coordinator->partition_count
                                        ? coordinator->owners[ref->partition]
                                        : NULL;
        if (owner == NULL)
            continue;
        if (!hs_partition_owner_renew(owner, ref, message->sender_id, &ref->start_within_ms))
            g_ptr_array_add(revoked_refs, ref);
        else if (ref->start_within_ms > 0)
            g_ptr_array_add(confirmed_refs, ref);
    }
    g_mutex_unlock(&coordinator->lock);
    if (confirmed_refs->len > 0)
        send_confirmation(coordinator, confirmed_refs, renew->sent_ms, from);
    if (revoked_refs->len > 0)
        send_revocation(coordinator, revoked_refs, from);
}

bool hs_coordinator_handle(hs_coordinator *coordinator, const Hs__PeerMessage *message,
                           const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_PULL_REQUEST:
        handle_pull(coordinator, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_GRANT_RENEW:
        handle_renew(coordinator, message, from);
        return true;
    default:
        return false;
    }
}

bool hs_coordinator_cancel_job(hs_coordinator *coordinator, uint32_t partition,
                               const char *job_id) {
    g_mutex_lock(&coordinator->lock);
    hs_partition_owner *owner =
        partition < coordinator->partition_count ? coordinator->owners[partition] : NULL;
    if (owner != NULL)
        hs_partition_owner_cancel_job(owner, job_id);
    g_mutex_unlock(&coordinator->lock);
    return owner != NULL;
}

uint32_t hs_coordinator_get_epoch(hs_coordinator *coordinator, uint32_t partition) {
    g_mutex_lock(&coordinator->lock);
    const hs_partition_owner *owner =
        partition < coordinator->partition_count ? coordinator->owners[partition] : NULL;
    bool is_owner = owner != NULL && hs_partition_owner_is_valid(owner);
    uint32_t epoch = is_owner ? hs_partition_owner_get_epoch(owner) : 0;
    g_mutex_unlock(&coordinator->lock);
    return epoch;
}

uint32_t hs_coordinator_owned_count(hs_coordinator *coordinator) {
    uint32_t count = 0;
    g_mutex_lock(&coordinator->lock);
    for (uint32_t partition = 0; partition < coordinator->partition_count; partition++)
        count += coordinator->owners[partition] != NULL;
    g_mutex_unlock(&coordinator->lock);
    return count;
}
