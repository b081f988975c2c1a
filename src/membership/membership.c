/** @file membership.c  See membership.h. */
#include "membership/membership_state.h"

#include <string.h>

/** Members that are requested to probe a member that did not answer. */
#define INDIRECT_PROBE_COUNT 2
/** Count of a record that is not to be relayed; greater than any limit by GOSSIP_FACTOR. */
#define SENT_COUNT_NO_RELAY 1000000U
/** A record is sent GOSSIP_FACTOR * log2(number of members) times. */
#define GOSSIP_FACTOR 3
/** Further members to probe for each member that comes to be suspected. */
#define EXTRA_PROBES_PER_SUSPECT 8
/** Bound of the extra probes that are due, and of those sent at a time. */
#define MAX_EXTRA_PROBES 32
#define MAX_EXTRA_PROBES_AT_ONCE 12
/** One of so many probes goes to another region. */
#define FAR_PROBE_INTERVAL 4
/**
 * Suspects among so many members of other regions from which a region may be cut off. Single
 * members are suspected at all times, as weak machines answer late.
 */
#define MEMBERS_PER_FAR_SUSPECT 16

static void free_member(gpointer data) {
    hs_member *member = data;
    g_free(member->id);
    g_free(member->zone);
    g_free(member->region);
    g_array_free(member->owned, TRUE);
    g_ptr_array_free(member->leaving_engines, TRUE);
    g_free(member);
}

static void clear_probe(gpointer data) {
    g_free(((open_probe *)data)->member_id);
}

/** Replaces an owned text if it differs. */
static void set_text(char **text, const char *value) {
    if (strcmp(*text, value) == 0)
        return;
    g_free(*text);
    *text = g_strdup(value);
}

static hs_member *add_member(hs_membership *membership, const char *id) {
    hs_member *member = g_new0(hs_member, 1);
    member->id = g_strdup(id);
    member->zone = g_strdup("");
    member->region = g_strdup("");
    member->owned = g_array_new(FALSE, FALSE, sizeof(hs_owned_partition));
    member->leaving_engines = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_insert(membership->members, member->id, member);
    return member;
}

hs_membership *hs_membership_new(const hs_member *self, const hs_membership_settings *settings,
                                 uint32_t random_seed) {
    hs_membership *membership = g_new0(hs_membership, 1);
    membership->settings = *settings;
    membership->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_member);
    membership->round = g_ptr_array_new_with_free_func(g_free);
    membership->far_round = g_ptr_array_new_with_free_func(g_free);
    membership->open_probes = g_array_new(FALSE, FALSE, sizeof(open_probe));
    g_array_set_clear_func(membership->open_probes, clear_probe);
    membership->random = g_rand_new_with_seed(random_seed);
    membership->next_sequence = 1;
    hs_member *own = add_member(membership, self->id);
    g_free(own->zone);
    own->zone = g_strdup(self->zone);
    if (self->region != NULL)
        set_text(&own->region, self->region);
    own->state = HS_MEMBER_ALIVE;
    own->incarnation = self->incarnation;
    own->version = 1;
    own->address = self->address;
    own->peer_port = self->peer_port;
    own->admin_port = self->admin_port;
    own->size = self->size;
    own->is_self = true;
    own->relays_state = self->relays_state;
    own->is_starting = self->is_starting;
    own->reports_ends = self->reports_ends;
    membership->self = own;
    return membership;
}

void hs_membership_free(hs_membership *membership) {
    if (membership == NULL)
        return;
    g_hash_table_destroy(membership->members);
    g_ptr_array_free(membership->round, TRUE);
    g_ptr_array_free(membership->far_round, TRUE);
    g_array_free(membership->open_probes, TRUE);
    g_rand_free(membership->random);
    g_free(membership);
}

const hs_member *hs_membership_self(const hs_membership *membership) {
    return membership->self;
}

static void raise_own_version(hs_membership *membership) {
    membership->self->version++;
    membership->self->sent_count = 0;
}

static bool is_owned_equal(const GArray *left, const GArray *right) {
    if (left->len != right->len)
        return false;
    for (guint index = 0; index < left->len; index++) {
        const hs_owned_partition *first = &g_array_index(left, hs_owned_partition, index);
        const hs_owned_partition *second = &g_array_index(right, hs_owned_partition, index);
        if (first->partition != second->partition || first->epoch != second->epoch ||
            first->has_ready_items != second->has_ready_items)
            return false;
    }
    return true;
}

static bool are_names_equal(const GPtrArray *left, const GPtrArray *right) {
    if (left->len != right->len)
        return false;
    for (guint index = 0; index < left->len; index++)
        if (strcmp(left->pdata[index], right->pdata[index]) != 0)
            return false;
    return true;
}

static void copy_names(GPtrArray *to, const GPtrArray *from) {
    g_ptr_array_set_size(to, 0);
    for (guint index = 0; index < from->len; index++)
        g_ptr_array_add(to, g_strdup(from->pdata[index]));
}

void hs_membership_update_self(hs_membership *membership, uint64_t config_offset,
                               const GArray *owned, const GPtrArray *leaving_engines) {
    hs_member *self = membership->self;
    if (self->config_offset == config_offset && is_owned_equal(self->owned, owned) &&
        are_names_equal(self->leaving_engines, leaving_engines))
        return;
    copy_names(self->leaving_engines, leaving_engines);
    self->config_offset = config_offset;
    g_array_set_size(self->owned, 0);
    if (owned->len > 0)
        g_array_append_vals(self->owned, owned->data, owned->len);
    raise_own_version(membership);
}

void hs_membership_set_utilisation_percent(hs_membership *membership,
                                           uint32_t utilisation_percent) {
    if (membership->self->size.utilisation_percent == utilisation_percent)
        return;
    membership->self->size.utilisation_percent = utilisation_percent;
    raise_own_version(membership);
}

void hs_membership_set_starting(hs_membership *membership, bool is_starting) {
    if (membership->self->is_starting == is_starting)
        return;
    membership->self->is_starting = is_starting;
    membership->running_version++;
    raise_own_version(membership);
}

void hs_membership_leave(hs_membership *membership) {
    membership->self->state = HS_MEMBER_LEAVING;
    membership->live_version++;
    raise_own_version(membership);
}

void hs_membership_propose(hs_membership *membership, const char *id, uint32_t address,
                           uint16_t peer_port, uint64_t now_ms) {
    if (g_hash_table_contains(membership->members, id))
        return;
    hs_member *member = add_member(membership, id);
    member->state = HS_MEMBER_PROPOSED;
    member->address = address;
    member->peer_port = peer_port;
    member->state_since_ms = now_ms;
}

static hs_member_state state_of_record(const Hs__MemberRecord *record) {
    switch (record->state) {
    case HS__MEMBER_STATE__MEMBER_SUSPECT:
        return HS_MEMBER_SUSPECT;
    case HS__MEMBER_STATE__MEMBER_LEAVING:
        return HS_MEMBER_LEAVING;
    case HS__MEMBER_STATE__MEMBER_DEAD:
        return HS_MEMBER_DEAD;
    default:
        return HS_MEMBER_ALIVE;
    }
}

static void set_state(hs_membership *membership, hs_member *member, hs_member_state state,
                      uint64_t now_ms) {
    bool was_live = hs_member_is_live(member);
    bool was_running = hs_member_is_running(member);
    if (member->state != state)
        member->state_since_ms = now_ms;
    member->state = state;
    membership->running_version += was_running != hs_member_is_running(member);
    membership->live_version += was_live != hs_member_is_live(member);
    member->sent_count = 0;
    membership->has_pending_gossip = true;
}

/**
 * Refutes a record that reports this daemon as suspect with a newer version, one that reports it as
 * dead with a new incarnation. Returns true if the incarnation changed.
 */
static bool refute(hs_membership *membership, const Hs__MemberRecord *record) {
    hs_member *self = membership->self;
    hs_member_state claimed = state_of_record(record);
    bool is_current =
        record->incarnation > self->incarnation ||
        (record->incarnation == self->incarnation && record->version >= self->version);
    if (claimed == HS_MEMBER_DEAD && record->incarnation >= self->incarnation &&
        self->state != HS_MEMBER_LEAVING) {
        self->incarnation = record->incarnation + 1;
        membership->rejoin_count++;
        raise_own_version(membership);
        return true;
    }
    if (claimed == HS_MEMBER_SUSPECT && is_current) {
        self->version = record->version;
        raise_own_version(membership);
    }
    return false;
}

/** Returns whether @p record supersedes the current record of @p member. */
static bool supersedes(const hs_member *member, const Hs__MemberRecord *record) {
    hs_member_state state = state_of_record(record);
    if (member->state == HS_MEMBER_PROPOSED)
        return state != HS_MEMBER_DEAD;
    if (record->incarnation != member->incarnation)
        return record->incarnation > member->incarnation;
    if (member->state == HS_MEMBER_DEAD)
        return false;
    if (state == HS_MEMBER_DEAD)
        return true;
    if (member->state == HS_MEMBER_LEAVING)
        return state == HS_MEMBER_LEAVING && record->version > member->version;
    if (state == HS_MEMBER_LEAVING)
        return true;
    if (record->version != member->version)
        return record->version > member->version;
    return state == HS_MEMBER_SUSPECT && member->state == HS_MEMBER_ALIVE;
}

static bool is_content_equal(const hs_member *member, const Hs__MemberRecord *record) {
    if (member->size.utilisation_percent != record->taken_percent ||
        member->is_starting != record->is_starting)
        return false;
    if (member->owned->len != record->n_owned ||
        member->leaving_engines->len != record->n_leaving_engines)
        return false;
    for (size_t index = 0; index < record->n_owned; index++) {
        const hs_owned_partition *held = &g_array_index(member->owned, hs_owned_partition, index);
        if (held->partition != record->owned[index]->partition ||
            held->epoch != record->owned[index]->epoch ||
            held->has_ready_items != record->owned[index]->has_ready_items)
            return false;
    }
    for (size_t index = 0; index < record->n_leaving_engines; index++)
        if (strcmp(member->leaving_engines->pdata[index], record->leaving_engines[index]) != 0)
            return false;
    return true;
}

static bool is_size_reported(const hs_machine_size *size) {
    return size->cores_permille > 0 || size->memory_mb > 0;
}

static hs_machine_size size_of_record(const Hs__MemberRecord *record) {
    return (hs_machine_size){.cores_permille = record->cores_permille,
                             .memory_mb = record->memory_mb,
                             .descriptors = record->descriptors,
                             .link_kbps = record->link_kbps,
                             .utilisation_percent = record->taken_percent};
}

/**
 * Copies the machine size if the record has one. Older builds relay records without it; then the
 * known size is retained.
 */
static void copy_size(hs_member *member, const Hs__MemberRecord *record) {
    hs_machine_size size = size_of_record(record);
    if (is_size_reported(&size))
        member->size = size;
}

/**
 * Copies the region if the record has one. A record without a region may have been relayed by an
 * older build; within an incarnation the known region is retained, as it doesn't change.
 */
static void copy_region(hs_member *member, const Hs__MemberRecord *record) {
    if (*record->region != '\0' || record->incarnation != member->incarnation)
        set_text(&member->region, record->region);
}

/**
 * Copies whether the member passes records on and is starting. Older builds relay records without
 * these; within an incarnation the former is retained, as it doesn't change. Returns whether a
 * value changed.
 */
static bool copy_readiness(hs_member *member, const Hs__MemberRecord *record) {
    bool is_relayed_by_older =
        !record->relays_state && member->relays_state && record->incarnation == member->incarnation;
    bool is_starting = is_relayed_by_older && record->version == member->version
                           ? member->is_starting
                           : record->is_starting != 0;
    bool relays_state = is_relayed_by_older || record->relays_state;
    bool has_changed = member->is_starting != is_starting || member->relays_state != relays_state;
    member->is_starting = is_starting;
    member->relays_state = relays_state;
    return has_changed;
}

/** As copy_region: within an incarnation the value is retained, as older builds leave it out. */
static void copy_reports_ends(hs_member *member, const Hs__MemberRecord *record) {
    bool is_same_run = record->incarnation == member->incarnation;
    member->reports_ends = record->reports_ends || (is_same_run && member->reports_ends);
}

static void copy_record(hs_member *member, const Hs__MemberRecord *record) {
    copy_region(member, record);
    copy_reports_ends(member, record);
    member->incarnation = record->incarnation;
    member->version = record->version;
    if (record->address != 0) {
        member->address = record->address;
        member->peer_port = (uint16_t)record->peer_port;
        member->admin_port = (uint16_t)record->admin_port;
    }
    set_text(&member->zone, record->zone);
    member->config_offset = record->config_offset;
    copy_size(member, record);
    g_array_set_size(member->owned, 0);
    for (size_t index = 0; index < record->n_owned; index++) {
        hs_owned_partition owned = {.partition = record->owned[index]->partition,
                                    .epoch = record->owned[index]->epoch,
                                    .has_ready_items = record->owned[index]->has_ready_items};
        g_array_append_val(member->owned, owned);
    }
    g_ptr_array_set_size(member->leaving_engines, 0);
    for (size_t index = 0; index < record->n_leaving_engines; index++)
        g_ptr_array_add(member->leaving_engines, g_strdup(record->leaving_engines[index]));
}

/** Whether a daemon may have written a record: its numbers can be stored, and can rise. */
static bool is_plausible(const Hs__MemberRecord *record) {
    return record->incarnation < UINT64_MAX / 2 && record->version < UINT32_MAX / 2 &&
           record->peer_port <= UINT16_MAX && record->admin_port <= UINT16_MAX;
}

bool hs_membership_apply_record(hs_membership *membership, const Hs__MemberRecord *record,
                                hs_record_source source, uint64_t now_ms) {
    if (!is_plausible(record))
        return false;
    if (strcmp(record->id, membership->self->id) == 0)
        return refute(membership, record);
    hs_member *member = g_hash_table_lookup(membership->members, record->id);
    if (member == NULL) {
        if (state_of_record(record) == HS_MEMBER_DEAD)
            return false;
        member = add_member(membership, record->id);
        member->state = HS_MEMBER_PROPOSED;
    }
    if (!supersedes(member, record)) {
        bool is_same =
            record->incarnation == member->incarnation && record->version == member->version;
        if (is_same) {
            copy_size(member, record);
            copy_region(member, record);
            membership->running_version += copy_readiness(member, record);
        }
        return false;
    }
    bool was_live = hs_member_is_live(member);
    uint32_t sent_count = member->sent_count;
    /* A change of the configuration offset alone is not relayed: each member sends its own offset
     * with every probe, and a configuration change would cause a relay of every record. */
    bool has_relayed_change = member->state != state_of_record(record) ||
                              member->incarnation != record->incarnation ||
                              !is_content_equal(member, record);
    membership->running_version += copy_readiness(member, record);
    copy_record(member, record);
    bool was_ready_state = hs_member_is_live(member);
    set_state(membership, member, state_of_record(record), now_ms);
    membership->live_version += was_live != was_ready_state;
    if (!has_relayed_change)
        member->sent_count = sent_count;
    else if (source == HS_RECORD_FROM_COMPARISON)
        member->sent_count = SENT_COUNT_NO_RELAY;
    return was_live != hs_member_is_live(member);
}

/**
 * Fills a round with the ids of the other members that are not dead, shuffled: those of other
 * regions, or all others.
 */
static void start_round(hs_membership *membership, GPtrArray *round, bool is_far) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (member != membership->self && member->state != HS_MEMBER_DEAD &&
            hs_membership_is_far(membership, member) == is_far)
            g_ptr_array_add(round, g_strdup(member->id));
    }
    for (guint index = round->len; index > 1; index--) {
        guint other = (guint)g_rand_int_range(membership->random, 0, (gint32)index);
        gpointer swapped = round->pdata[index - 1];
        round->pdata[index - 1] = round->pdata[other];
        round->pdata[other] = swapped;
    }
}

static hs_member *next_in_round(hs_membership *membership, bool is_far) {
    GPtrArray *round = is_far ? membership->far_round : membership->round;
    if (round->len == 0)
        start_round(membership, round, is_far);
    while (round->len > 0) {
        g_autofree char *id = g_ptr_array_steal_index(round, round->len - 1);
        hs_member *member = g_hash_table_lookup(membership->members, id);
        if (member != NULL && member->state != HS_MEMBER_DEAD)
            return member;
    }
    return NULL;
}

/** Returns whether so many members of other regions are suspect that a region may be cut off. */
static bool has_far_suspects(const hs_membership *membership) {
    uint32_t members = 0;
    uint32_t suspects = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (!hs_member_is_live(member) || !hs_membership_is_far(membership, member))
            continue;
        members++;
        suspects += member->state == HS_MEMBER_SUSPECT;
    }
    return suspects * MEMBERS_PER_FAR_SUSPECT > members;
}

static hs_member *next_target(hs_membership *membership) {
    if (*membership->self->region == '\0')
        return next_in_round(membership, false);
    bool is_last = ++membership->probe_count % FAR_PROBE_INTERVAL == 0;
    bool is_far = has_far_suspects(membership) ? !is_last : is_last;
    hs_member *target = next_in_round(membership, is_far);
    return target != NULL ? target : next_in_round(membership, !is_far);
}

/** Marks expired suspects dead and removes expired dead and proposed members. */
static bool age_members(hs_membership *membership, uint64_t now_ms) {
    bool changed = false;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_member *member = data;
        uint64_t age_ms = now_ms - member->state_since_ms;
        if (member->state == HS_MEMBER_SUSPECT && age_ms > membership->settings.suspect_ms) {
            set_state(membership, member, HS_MEMBER_DEAD, now_ms);
            changed = true;
        } else if ((member->state == HS_MEMBER_DEAD || member->state == HS_MEMBER_PROPOSED) &&
                   age_ms > membership->settings.forget_ms) {
            g_hash_table_iter_remove(&iterator);
        }
    }
    return changed;
}

static void order_probe(GArray *orders, const hs_member *receiver, uint32_t sequence,
                        const char *target_id) {
    hs_probe_order order = {
        .address = receiver->address, .port = receiver->peer_port, .sequence = sequence};
    g_strlcpy(order.receiver_id, receiver->id, sizeof order.receiver_id);
    g_strlcpy(order.target_id, target_id, sizeof order.target_id);
    g_array_append_val(orders, order);
}

/** Appends a probe of the next member. */
static void probe_target(hs_membership *membership, uint64_t now_ms, GArray *orders) {
    hs_member *target = next_target(membership);
    if (target == NULL)
        return;
    open_probe probe = {.sequence = membership->next_sequence++,
                        .member_id = g_strdup(target->id),
                        .sent_ms = now_ms};
    g_array_append_val(membership->open_probes, probe);
    order_probe(orders, target, probe.sequence, "");
}

bool hs_membership_probe_next(hs_membership *membership, uint64_t now_ms, GArray *orders) {
    bool changed = age_members(membership, now_ms);
    probe_target(membership, now_ms, orders);
    return changed;
}

static void send_extra_probes(hs_membership *membership, uint64_t now_ms, GArray *orders) {
    for (uint32_t count = 0; count < MAX_EXTRA_PROBES_AT_ONCE && membership->extra_probes > 0;
         count++) {
        membership->extra_probes--;
        probe_target(membership, now_ms, orders);
    }
}

static void order_indirect_probes(hs_membership *membership, const open_probe *probe,
                                  GArray *orders) {
    g_autoptr(GPtrArray) helpers = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (member != membership->self && member->state == HS_MEMBER_ALIVE &&
            strcmp(member->id, probe->member_id) != 0)
            g_ptr_array_add(helpers, data);
    }
    for (int count = 0; count < INDIRECT_PROBE_COUNT && helpers->len > 0; count++) {
        guint chosen = (guint)g_rand_int_range(membership->random, 0, (gint32)helpers->len);
        order_probe(orders, helpers->pdata[chosen], probe->sequence, probe->member_id);
        g_ptr_array_remove_index_fast(helpers, chosen);
    }
}

bool hs_membership_check_probes(hs_membership *membership, uint64_t now_ms, GArray *orders) {
    bool changed = false;
    uint32_t timeout_ms = membership->settings.probe_timeout_ms;
    for (guint index = 0; index < membership->open_probes->len;) {
        open_probe *probe = &g_array_index(membership->open_probes, open_probe, index);
        uint64_t waited_ms = now_ms - probe->sent_ms;
        if (waited_ms > timeout_ms && !probe->sent_indirect) {
            probe->sent_indirect = true;
            order_indirect_probes(membership, probe, orders);
        }
        if (waited_ms <= 2 * (uint64_t)timeout_ms) {
            index++;
            continue;
        }
        hs_member *member = g_hash_table_lookup(membership->members, probe->member_id);
        if (member != NULL && member->state == HS_MEMBER_ALIVE) {
            set_state(membership, member, HS_MEMBER_SUSPECT, now_ms);
            membership->extra_probes =
                MIN(membership->extra_probes + EXTRA_PROBES_PER_SUSPECT, MAX_EXTRA_PROBES);
        }
        if (member != NULL && member->state == HS_MEMBER_LEAVING) {
            set_state(membership, member, HS_MEMBER_DEAD, now_ms);
            changed = true;
        }
        g_array_remove_index(membership->open_probes, index);
    }
    send_extra_probes(membership, now_ms, orders);
    return changed;
}

void hs_membership_acknowledge(hs_membership *membership, uint32_t sequence,
                               const char *subject_id) {
    for (guint index = 0; index < membership->open_probes->len; index++) {
        const open_probe *probe = &g_array_index(membership->open_probes, open_probe, index);
        if (probe->sequence != sequence || strcmp(probe->member_id, subject_id) != 0)
            continue;
        g_array_remove_index(membership->open_probes, index);
        return;
    }
}

static gint compare_sent_count(gconstpointer left, gconstpointer right) {
    const hs_member *first = *(hs_member *const *)left;
    const hs_member *second = *(hs_member *const *)right;
    return (first->sent_count > second->sent_count) - (first->sent_count < second->sent_count);
}

/** Appends members whose record was not sent often enough yet, least often sent first. */
static void collect_unsent_records(const hs_membership *membership, GPtrArray *candidates) {
    uint32_t max_sent_count =
        GOSSIP_FACTOR * (uint32_t)g_bit_storage(g_hash_table_size(membership->members));
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (member != membership->self && member->state != HS_MEMBER_PROPOSED &&
            member->sent_count < max_sent_count)
            g_ptr_array_add(candidates, data);
    }
    g_ptr_array_sort(candidates, compare_sent_count);
}

bool hs_membership_has_backlog(const hs_membership *membership, size_t limit) {
    return membership->pending_gossip > limit;
}

void hs_membership_collect_gossip(hs_membership *membership, const char *receiver_id, size_t limit,
                                  GPtrArray *records) {
    g_autoptr(GPtrArray) candidates = g_ptr_array_new();
    if (membership->has_pending_gossip)
        collect_unsent_records(membership, candidates);
    membership->has_pending_gossip = candidates->len > 0;
    membership->pending_gossip = candidates->len;
    g_ptr_array_add(records, membership->self);
    hs_member *receiver = g_hash_table_lookup(membership->members, receiver_id);
    bool must_notify_receiver = receiver != NULL && (receiver->state == HS_MEMBER_SUSPECT ||
                                                     receiver->state == HS_MEMBER_DEAD);
    if (must_notify_receiver) {
        g_ptr_array_remove(candidates, receiver);
        g_ptr_array_add(records, receiver);
    }
    for (guint index = 0; index < candidates->len && records->len < limit; index++) {
        hs_member *member = candidates->pdata[index];
        member->sent_count++;
        g_ptr_array_add(records, member);
    }
}
