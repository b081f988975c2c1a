/** @file partition_owner.c  See partition_owner.h. */
#include "batch/partition_owner.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/log.h"

#include <arpa/inet.h>
#include <string.h>

#define ACTIVE_READ_WAIT_MS 200 /* With open jobs: grants expire, attempts need recovery. */
#define IDLE_READ_WAIT_MS 5000  /* Without open jobs: a new record ends the wait. */
#define READ_RETRY_MS 100
#define RECOVERY_INTERVAL_MS 500
#define MAX_GRANTS_IN_REPLY 32

struct hs_partition_owner {
    const hs_coordinator_context *context;
    hs_replica *replica;
    uint32_t partition;
    uint32_t epoch;
    hs_grant_table *grants; /**< Guarded by the replica's lock. */
    GHashTable *orphans;    /**< attempt id -> time first seen without a scheduler; thread only */
    uint64_t next_recovery_ms;
    uint32_t wait_ms; /**< Maximum wait of the next read of the stream; thread only */
    bool is_held;     /**< The state is too old for starts; thread only */
    gint valid;
    gint has_ready;
    gint stopping;
    GThread *thread;
};

/** A run-once attempt without a scheduler. Owns copies of the strings. */
typedef struct {
    char *job_id;
    char *endpoint;
    char *attempt_id;
    char *engine_url;
    uint64_t chunk_offset;
    uint32_t index_in_chunk;
    uint32_t item;
} orphan_attempt;

static void free_orphan(gpointer data) {
    orphan_attempt *orphan = data;
    g_free(orphan->job_id);
    g_free(orphan->endpoint);
    g_free(orphan->attempt_id);
    g_free(orphan->engine_url);
    g_free(orphan);
}

/** Whether the stream records this daemon as the owner. The caller holds the replica's lock. */
static bool is_still_owner(const hs_partition_owner *owner, const hs_partition *state) {
    return state->epoch == owner->epoch && state->owner_id != NULL && !state->owner_released &&
           strcmp(state->owner_id, owner->context->settings->daemon_id) == 0;
}

/** Removes the grants of schedulers that are dead or have restarted. */
static void drop_dead_schedulers(hs_partition_owner *owner) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(owner->context->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        uint64_t live = member->state == HS_MEMBER_DEAD ? UINT64_MAX : member->incarnation;
        if (member->state != HS_MEMBER_PROPOSED)
            hs_grant_table_drop_scheduler(owner->grants, member->id, live);
    }
    hs_membership_service_unlock(owner->context->membership);
}

static bool has_open_jobs(const hs_partition *state) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, state->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_job_state job_state = hs_job_get_state(data);
        if (job_state == HS_JOB_RUNNING || job_state == HS_JOB_CANCELLING)
            return true;
    }
    return false;
}

/**
 * Returns the time in ms within which items may start by the replica's state, 0: none may. An old
 * state may lack cancellations, results and a later claim.
 */
static uint32_t get_start_time_ms(const hs_partition_owner *owner) {
    uint64_t age_ms = hs_replica_age_ms(owner->replica);
    uint64_t limit_ms = (uint64_t)owner->context->settings->grant_lease_ms;
    return age_ms < limit_ms ? (uint32_t)(limit_ms - age_ms) : 0;
}

/** Logs when the owner begins and ends to hold the starts of open jobs. */
static void note_hold(hs_partition_owner *owner, bool is_held) {
    if (is_held != owner->is_held)
        hs_log_info(is_held ? "partition_starts_held" : "partition_starts_resumed",
                    "partition=%u epoch=%u", owner->partition, owner->epoch);
    owner->is_held = is_held;
}

static void update_grants(hs_partition_owner *owner) {
    uint32_t start_within_ms = get_start_time_ms(owner);
    hs_partition *state = hs_replica_lock(owner->replica);
    if (!is_still_owner(owner, state))
        g_atomic_int_set(&owner->valid, 0);
    hs_grant_table_remove_ended(owner->grants, state, hs_clock_monotonic_ms());
    drop_dead_schedulers(owner);
    g_atomic_int_set(&owner->has_ready,
                     start_within_ms > 0 && hs_grant_table_has_ready_items(owner->grants, state));
    bool has_jobs = has_open_jobs(state);
    note_hold(owner, has_jobs && start_within_ms == 0);
    if (!has_jobs)
        owner->wait_ms = IDLE_READ_WAIT_MS;
    else /* The long wait may have left the state too old for starts. */
        owner->wait_ms = owner->wait_ms == IDLE_READ_WAIT_MS ? 0 : ACTIVE_READ_WAIT_MS;
    hs_replica_unlock(owner->replica);
}

/** Returns the run-once attempts with an intent but neither a result nor a grant. */
static GPtrArray *find_orphans(hs_partition_owner *owner) {
    GPtrArray *orphans = g_ptr_array_new_with_free_func(free_orphan);
    hs_partition *state = hs_replica_lock(owner->replica);
    GHashTableIter jobs;
    gpointer data;
    g_hash_table_iter_init(&jobs, state->jobs);
    while (g_hash_table_iter_next(&jobs, NULL, &data)) {
        const hs_job *job = data;
        const hs_file *file = hs_partition_find_file(state, job->file_id);
        GHashTableIter intents;
        gpointer value;
        g_hash_table_iter_init(&intents, job->intents);
        while (g_hash_table_iter_next(&intents, NULL, &value)) {
            const hs_intent *intent = value;
            if (hs_grant_table_is_granted(owner->grants, job->id, intent->item))
                continue;
            const hs_chunk_ref *chunk = hs_file_find_chunk(file, intent->item);
            orphan_attempt *orphan = g_new0(orphan_attempt, 1);
            orphan->job_id = g_strdup(job->id);
            orphan->endpoint = g_strdup(job->endpoint);
            orphan->attempt_id = g_strdup(intent->attempt_id);
            orphan->engine_url = g_strdup(intent->engine_url);
            orphan->chunk_offset = chunk->offset;
            orphan->index_in_chunk = intent->item - chunk->first_item;
            orphan->item = intent->item;
            g_ptr_array_add(orphans, orphan);
        }
    }
    hs_replica_unlock(owner->replica);
    return orphans;
}

/** Returns when the attempt was first seen without a scheduler. */
static uint64_t get_orphaned_since_ms(hs_partition_owner *owner, const char *attempt_id,
                                      uint64_t now_ms) {
    uint64_t *since = g_hash_table_lookup(owner->orphans, attempt_id);
    if (since == NULL) {
        since = g_new(uint64_t, 1);
        *since = now_ms;
        g_hash_table_insert(owner->orphans, g_strdup(attempt_id), since);
    }
    return *since;
}

static void recover_orphans(hs_partition_owner *owner) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms < owner->next_recovery_ms)
        return;
    owner->next_recovery_ms = now_ms + RECOVERY_INTERVAL_MS;
    static const gint never_revoked = 0;
    g_autoptr(GPtrArray) orphans = find_orphans(owner);
    for (guint index = 0; index < orphans->len; index++) {
        const orphan_attempt *orphan = orphans->pdata[index];
        uint64_t waited_ms = now_ms - get_orphaned_since_ms(owner, orphan->attempt_id, now_ms);
        hs_item_progress progress = {0};
        hs_item_work work = {.partition = owner->partition,
                             .epoch = owner->epoch,
                             .job_id = orphan->job_id,
                             .endpoint = orphan->endpoint,
                             .chunk_offset = orphan->chunk_offset,
                             .index_in_chunk = orphan->index_in_chunk,
                             .item = orphan->item,
                             .run_once = true,
                             .attempt_id = orphan->attempt_id,
                             .engine_url = orphan->engine_url,
                             .revoked = &never_revoked,
                             .progress = &progress};
        bool may_be_lost = waited_ms >= (uint64_t)owner->context->settings->run_once_recovery_ms;
        if (hs_item_recover(owner->context->runner, &work, may_be_lost))
            hs_log_info("attempt_recovered", "job=%s item=%u attempt=%s", work.job_id, work.item,
                        work.attempt_id);
        hs_item_progress_clear(&progress);
    }
}

static gpointer follow_partition(gpointer data) {
    hs_partition_owner *owner = data;
    while (g_atomic_int_get(&owner->stopping) == 0 && hs_partition_owner_is_valid(owner)) {
        hs_error error = {0};
        uint32_t applied = 0;
        if (hs_replica_poll(owner->replica, owner->wait_ms, &applied, &error) != 0)
            hs_clock_sleep_ms(READ_RETRY_MS);
        update_grants(owner);
        if (!hs_partition_owner_is_valid(owner))
            break;
        recover_orphans(owner);
        hs_replica_write_snapshot(owner->replica,
                                  (uint64_t)owner->context->settings->snapshot_records, &error);
    }
    return NULL;
}

hs_partition_owner *hs_partition_owner_start(const hs_coordinator_context *context,
                                             uint32_t partition, uint32_t epoch) {
    hs_partition_owner *owner = g_new0(hs_partition_owner, 1);
    owner->context = context;
    owner->replica = hs_replica_set_get(context->replicas, partition);
    owner->partition = partition;
    owner->epoch = epoch;
    owner->grants = hs_grant_table_new((uint32_t)context->settings->grant_lease_ms);
    owner->orphans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    owner->valid = 1;
    owner->wait_ms = ACTIVE_READ_WAIT_MS;
    owner->thread = g_thread_new("partition-owner", follow_partition, owner);
    return owner;
}

void hs_partition_owner_stop_granting(hs_partition_owner *owner) {
    g_atomic_int_set(&owner->valid, 0);
}

void hs_partition_owner_stop(hs_partition_owner *owner) {
    g_atomic_int_set(&owner->stopping, 1);
    g_thread_join(owner->thread);
    hs_grant_table_free(owner->grants);
    g_hash_table_destroy(owner->orphans);
    g_free(owner);
}

uint32_t hs_partition_owner_get_epoch(const hs_partition_owner *owner) {
    return owner->epoch;
}

bool hs_partition_owner_is_valid(const hs_partition_owner *owner) {
    return g_atomic_int_get(&owner->valid) != 0;
}

bool hs_partition_owner_has_ready_items(const hs_partition_owner *owner) {
    return g_atomic_int_get(&owner->has_ready) != 0;
}

/** Returns a message that borrows the strings of @p state. */
static Hs__Grant build_grant_message(const hs_partition_owner *owner, const hs_partition *state,
                                     const hs_grant *grant, uint32_t start_within_ms) {
    const hs_job *job = hs_partition_find_job(state, grant->job_id);
    const hs_file *file = hs_partition_find_file(state, job->file_id);
    const hs_chunk_ref *chunk = hs_file_find_chunk(file, grant->first_item);
    Hs__Grant message = HS__GRANT__INIT;
    message.partition = owner->partition;
    message.epoch = owner->epoch;
    message.grant_id = grant->id;
    message.job_id = job->id;
    message.tenant = job->tenant;
    message.first_item = grant->first_item;
    message.item_count = grant->item_count;
    message.chunk_offset = chunk->offset;
    message.chunk_first_item = chunk->first_item;
    message.run_once = grant->run_once;
    message.endpoint = job->endpoint;
    message.deadline_ms = job->deadline_ms;
    message.model = file->model;
    message.start_within_ms = start_within_ms;
    return message;
}

static void send_grants(hs_partition_owner *owner, const hs_partition *state, GPtrArray *grants,
                        const Hs__PullRequest *pull, uint32_t start_within_ms,
                        const struct sockaddr_in *to) {
    Hs__Grant messages[MAX_GRANTS_IN_REPLY];
    Hs__Grant *pointers[MAX_GRANTS_IN_REPLY];
    guint count = MIN(grants->len, MAX_GRANTS_IN_REPLY);
    for (guint index = 0; index < count; index++) {
        messages[index] = build_grant_message(owner, state, grants->pdata[index], start_within_ms);
        pointers[index] = &messages[index];
    }
    Hs__GrantReply reply = HS__GRANT_REPLY__INIT;
    reply.sequence = pull->sequence;
    reply.sent_ms = pull->sent_ms;
    reply.n_grants = count;
    reply.grants = pointers;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_GRANT_REPLY;
    message.grant_reply = &reply;
    HS_FAULT_POINT("grant");
    hs_membership_service_reply(owner->context->membership, to, &message);
}

void hs_partition_owner_handle_pull(hs_partition_owner *owner, const Hs__PeerMessage *message,
                                    const struct sockaddr_in *from) {
    const Hs__PullRequest *pull = message->pull_request;
    hs_grant_request request = {.scheduler_id = message->sender_id,
                                .incarnation = message->sender_incarnation,
                                .models = (const char *const *)pull->models,
                                .model_count = pull->n_models};
    g_autoptr(GPtrArray) grants = g_ptr_array_new();
    uint32_t start_within_ms = get_start_time_ms(owner);
    if (start_within_ms == 0)
        return;
    hs_partition *state = hs_replica_lock(owner->replica);
    if (hs_partition_owner_is_valid(owner) && is_still_owner(owner, state)) {
        uint32_t want = MIN(pull->want, MAX_GRANTS_IN_REPLY);
        hs_grant_table_grant_items(owner->grants, state, &request, want, hs_clock_monotonic_ms(),
                                   grants);
        send_grants(owner, state, grants, pull, start_within_ms, from);
        g_atomic_int_set(&owner->has_ready, hs_grant_table_has_ready_items(owner->grants, state));
    }
    hs_replica_unlock(owner->replica);
}

bool hs_partition_owner_renew(hs_partition_owner *owner, const Hs__GrantRef *ref,
                              const char *scheduler_id, uint32_t *start_within_ms) {
    *start_within_ms = get_start_time_ms(owner);
    hs_replica_lock(owner->replica);
    bool is_renewed =
        ref->epoch == owner->epoch &&
        hs_grant_table_renew(owner->grants, ref->grant_id, scheduler_id, hs_clock_monotonic_ms());
    hs_replica_unlock(owner->replica);
    return is_renewed;
}

typedef struct {
    hs_partition_owner *owner;
    uint32_t count;
} revocation;

/** Tells a scheduler; if the datagram is lost, it learns it from its next renewal. */
static void send_revocation(const hs_grant *grant, void *user_data) {
    revocation *self = user_data;
    hs_membership_service *membership = self->owner->context->membership;
    Hs__GrantRef ref = HS__GRANT_REF__INIT;
    ref.partition = self->owner->partition;
    ref.epoch = self->owner->epoch;
    ref.grant_id = grant->id;
    Hs__GrantRef *refs[] = {&ref};
    Hs__GrantRevoke revoke = HS__GRANT_REVOKE__INIT;
    revoke.n_grants = 1;
    revoke.grants = refs;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_GRANT_REVOKE;
    message.grant_revoke = &revoke;
    uint32_t address = 0;
    uint16_t port = 0;
    if (hs_membership_service_find_address(membership, grant->scheduler_id, &address, &port))
        hs_membership_service_send(membership, address, port, &message);
    self->count++;
}

void hs_partition_owner_cancel_job(hs_partition_owner *owner, const char *job_id) {
    revocation revoked = {.owner = owner};
    hs_partition *state = hs_replica_lock(owner->replica);
    hs_grant_table_cancel_job(owner->grants, state, job_id, send_revocation, &revoked);
    hs_replica_unlock(owner->replica);
    hs_log_info("grants_cancelled", "job=%s partition=%u epoch=%u grants=%u", job_id,
                owner->partition, owner->epoch, revoked.count);
}
