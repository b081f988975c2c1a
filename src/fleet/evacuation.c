/** @file evacuation.c  See evacuation.h. */
#include "fleet/evacuation.h"

#include <string.h>

/** Time without a call of hs_evacuation_note_running that counts as a suspension. */
#define MIN_SUSPENSION_MS 1000
/**
 * An evacuation that was acknowledged right after the last contact with the store has a quarter of
 * the limit left for the way of a request to the engine after this part of the limit.
 */
#define KNOWN_NUMERATOR 3
#define KNOWN_DENOMINATOR 4
/**
 * Recipients of a changed set. Each relays it to as many, so that two rounds reach nearly all of
 * some hundred daemons, also if a third of the datagrams is lost.
 */
#define CHANGE_RECIPIENTS 16
/** Recipients in each interval while any zone is evacuated, for daemons that no change reached. */
#define REPEAT_RECIPIENTS 3
#define REPEAT_INTERVAL_MS 500

/** A zone that is or was evacuated. */
typedef struct {
    uint64_t offset; /**< Of the zone's newest record. */
    bool is_evacuated;
    uint64_t learned_ms;
    uint64_t closed_ms;    /**< From then on, no online request uses the zone. */
    uint64_t withdrawn_ms; /**< When the last withdrawal was learned; 0: never. */
    bool is_drained;       /**< hs_evacuation_note_drained returned true. */
} zone_state;

struct hs_evacuation {
    uint32_t limit_ms;
    uint64_t as_of_offset;
    GHashTable *zones;   /**< zone -> zone_state* */
    uint64_t known_ms;   /**< The store had no other evacuations at that time; 0: never read. */
    uint64_t peer_ms;    /**< When a peer's set was applied last; 0: never. */
    uint64_t running_ms; /**< Last call of hs_evacuation_note_running; 0: none. */
    uint64_t resumed_ms; /**< When a suspension was detected that no read has followed; 0: none. */
    bool is_changed;     /**< The evacuated zones changed since they were sent. */
    uint64_t repeat_ms;  /**< When the set is sent again. */
};

static void clear_record(gpointer data) {
    g_free(((hs_evacuation_record *)data)->zone);
}

void hs_evacuation_set_init(hs_evacuation_set *set, uint64_t as_of_offset) {
    set->as_of_offset = as_of_offset;
    set->records = g_array_new(FALSE, FALSE, sizeof(hs_evacuation_record));
    g_array_set_clear_func(set->records, clear_record);
}

void hs_evacuation_set_clear(hs_evacuation_set *set) {
    g_array_free(set->records, TRUE);
    set->records = NULL;
}

void hs_evacuation_set_add(hs_evacuation_set *set, const char *zone, uint64_t offset,
                           bool is_evacuated) {
    hs_evacuation_record record = {
        .zone = g_strdup(zone), .offset = offset, .is_evacuated = is_evacuated};
    g_array_append_val(set->records, record);
}

const char *hs_evacuation_set_fault(const hs_evacuation_set *set) {
    const char *fault = set->records->len > HS_MAX_EVACUATED_ZONES ? "too_many_zones" : NULL;
    for (guint index = 0; index < set->records->len && fault == NULL; index++) {
        const hs_evacuation_record *record =
            &g_array_index(set->records, hs_evacuation_record, index);
        if (*record->zone == '\0')
            fault = "zone_without_name";
        else if (record->offset >= set->as_of_offset)
            fault = "record_beyond_position";
    }
    return fault;
}

hs_evacuation *hs_evacuation_new(uint32_t evacuate_ms) {
    hs_evacuation *state = g_new0(hs_evacuation, 1);
    state->limit_ms = evacuate_ms;
    state->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return state;
}

void hs_evacuation_free(hs_evacuation *state) {
    if (state == NULL)
        return;
    g_hash_table_destroy(state->zones);
    g_free(state);
}

void hs_evacuation_set_limit_ms(hs_evacuation *state, uint32_t evacuate_ms) {
    state->limit_ms = evacuate_ms;
}

uint32_t hs_evacuation_limit_ms(const hs_evacuation *state) {
    return state->limit_ms;
}

/** Until when the known evacuations suffice, without another read of the store. */
static uint64_t valid_until_ms(const hs_evacuation *state) {
    uint64_t valid_ms = (uint64_t)state->limit_ms * KNOWN_NUMERATOR / KNOWN_DENOMINATOR;
    return state->known_ms != 0 ? state->known_ms + valid_ms : 0;
}

static bool is_suspension(const hs_evacuation *state, uint64_t now_ms) {
    return state->running_ms != 0 && now_ms >= state->running_ms + MIN_SUSPENSION_MS;
}

bool hs_evacuation_is_read_due(const hs_evacuation *state, uint64_t now_ms) {
    return state->limit_ms > 0 && (state->resumed_ms != 0 || is_suspension(state, now_ms));
}

/**
 * Returns when a zone is closed whose evacuation is learned now. The evacuation is no older than
 * the last contact with the store; without a contact it may be of any age. A daemon that runs
 * without the store learns of evacuations from peers, within a fraction of a second.
 */
static uint64_t closing_ms(const hs_evacuation *state, hs_evacuation_source source,
                           uint64_t now_ms) {
    uint64_t half_ms = now_ms + state->limit_ms / 2;
    bool is_recent = source == HS_EVACUATION_FROM_PEER && state->known_ms != 0 &&
                     !hs_evacuation_is_read_due(state, now_ms);
    return is_recent ? half_ms : MIN(half_ms, valid_until_ms(state));
}

/** Sets a zone's state; returns whether its evacuation was learned or withdrawn. */
static bool set_zone(hs_evacuation *state, const hs_evacuation_record *record,
                     hs_evacuation_source source, uint64_t now_ms) {
    zone_state *zone = g_hash_table_lookup(state->zones, record->zone);
    bool was_evacuated = zone != NULL && zone->is_evacuated;
    bool has_missed_evacuation = !was_evacuated && !record->is_evacuated &&
                                 state->as_of_offset > 0 && record->offset >= state->as_of_offset;
    if (zone == NULL && (record->is_evacuated || has_missed_evacuation)) {
        zone = g_new0(zone_state, 1);
        g_hash_table_insert(state->zones, g_strdup(record->zone), zone);
    }
    if (zone == NULL)
        return false;
    zone->offset = MAX(zone->offset, record->offset);
    zone->is_evacuated = record->is_evacuated;
    if (record->is_evacuated && !was_evacuated) {
        zone->learned_ms = now_ms;
        zone->is_drained = false;
        zone->closed_ms = closing_ms(state, source, now_ms);
    }
    bool is_withdrawn = (was_evacuated && !record->is_evacuated) || has_missed_evacuation;
    if (is_withdrawn)
        zone->withdrawn_ms = now_ms;
    bool is_changed = was_evacuated != record->is_evacuated;
    state->is_changed |= is_changed;
    return is_changed || is_withdrawn;
}

bool hs_evacuation_apply_record(hs_evacuation *state, const char *zone, bool is_evacuated,
                                uint64_t offset, uint64_t now_ms) {
    if (offset < state->as_of_offset)
        return false;
    hs_evacuation_record record = {
        .zone = (char *)zone, .offset = offset, .is_evacuated = is_evacuated};
    bool is_changed = zone != NULL && set_zone(state, &record, HS_EVACUATION_FROM_STORE, now_ms);
    state->as_of_offset = offset + 1;
    return is_changed;
}

static const hs_evacuation_record *find_record(const hs_evacuation_set *set, const char *zone) {
    for (guint index = 0; index < set->records->len; index++) {
        const hs_evacuation_record *record =
            &g_array_index(set->records, hs_evacuation_record, index);
        if (strcmp(record->zone, zone) == 0)
            return record;
    }
    return NULL;
}

static void apply_zone(hs_evacuation *state, const hs_evacuation_record *record,
                       hs_evacuation_source source, uint64_t now_ms, GArray *changes) {
    if (set_zone(state, record, source, now_ms) && changes != NULL)
        g_array_append_val(changes, *record);
}

bool hs_evacuation_apply_set(hs_evacuation *state, const hs_evacuation_set *set,
                             hs_evacuation_source source, uint64_t sent_ms, uint64_t now_ms,
                             GArray *changes) {
    bool is_later_read = source == HS_EVACUATION_FROM_STORE && sent_ms > state->peer_ms;
    if (set->as_of_offset <= state->as_of_offset && !is_later_read)
        return false;
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, state->zones);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        const zone_state *zone = value;
        hs_evacuation_record removal = {.zone = name, .offset = zone->offset};
        if (zone->is_evacuated && find_record(set, name) == NULL)
            apply_zone(state, &removal, source, now_ms, changes);
    }
    for (guint index = 0; index < set->records->len; index++)
        apply_zone(state, &g_array_index(set->records, hs_evacuation_record, index), source, now_ms,
                   changes);
    state->as_of_offset = set->as_of_offset;
    if (source == HS_EVACUATION_FROM_PEER)
        state->peer_ms = now_ms;
    return true;
}

static const zone_state *find_evacuated(const hs_evacuation *state, const char *zone) {
    const zone_state *found = g_hash_table_lookup(state->zones, zone);
    return found != NULL && found->is_evacuated ? found : NULL;
}

hs_zone_use hs_evacuation_zone_use(const hs_evacuation *state, const char *zone, uint64_t now_ms) {
    const zone_state *found = find_evacuated(state, zone);
    if (found == NULL)
        return HS_ZONE_OPEN;
    return now_ms < found->closed_ms ? HS_ZONE_LAST_RESORT : HS_ZONE_CLOSED;
}

uint64_t hs_evacuation_until_ms(const hs_evacuation *state, const char *zone) {
    const zone_state *found = g_hash_table_lookup(state->zones, zone);
    if (found == NULL)
        return 0;
    return found->is_evacuated ? UINT64_MAX : found->withdrawn_ms;
}

uint64_t hs_evacuation_known_ms(const hs_evacuation *state, const char *zone, uint64_t now_ms) {
    const zone_state *found = find_evacuated(state, zone);
    return found != NULL && now_ms > found->learned_ms ? now_ms - found->learned_ms : 0;
}

bool hs_evacuation_note_drained(hs_evacuation *state, const char *zone, uint64_t now_ms) {
    zone_state *found = g_hash_table_lookup(state->zones, zone);
    if (found == NULL || found->is_drained || !found->is_evacuated || now_ms < found->closed_ms)
        return false;
    found->is_drained = true;
    return true;
}

bool hs_evacuation_has_history(const hs_evacuation *state) {
    return g_hash_table_size(state->zones) > 0;
}

bool hs_evacuation_has_zones(const hs_evacuation *state) {
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_found = false;
    g_hash_table_iter_init(&iterator, state->zones);
    while (!is_found && g_hash_table_iter_next(&iterator, NULL, &value))
        is_found = ((const zone_state *)value)->is_evacuated;
    return is_found;
}

void hs_evacuation_list(const hs_evacuation *state, hs_evacuation_set *set) {
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    set->as_of_offset = state->as_of_offset;
    g_hash_table_iter_init(&iterator, state->zones);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        const zone_state *zone = value;
        hs_evacuation_set_add(set, name, zone->offset, zone->is_evacuated);
    }
}

/** Returns whether @p set lists the same evacuated zones as the state. */
static bool is_same(const hs_evacuation *state, const hs_evacuation_set *set) {
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    bool is_equal = true;
    for (guint index = 0; index < set->records->len && is_equal; index++) {
        const hs_evacuation_record *record =
            &g_array_index(set->records, hs_evacuation_record, index);
        is_equal = (find_evacuated(state, record->zone) != NULL) == record->is_evacuated;
    }
    g_hash_table_iter_init(&iterator, state->zones);
    while (is_equal && g_hash_table_iter_next(&iterator, &name, &value)) {
        const hs_evacuation_record *record = find_record(set, name);
        is_equal =
            ((const zone_state *)value)->is_evacuated == (record != NULL && record->is_evacuated);
    }
    return is_equal;
}

bool hs_evacuation_is_newer(const hs_evacuation *state, const hs_evacuation_set *set) {
    return set->as_of_offset < state->as_of_offset && !is_same(state, set);
}

void hs_evacuation_note_running(hs_evacuation *state, uint64_t now_ms) {
    if (is_suspension(state, now_ms))
        state->resumed_ms = now_ms;
    state->running_ms = now_ms;
}

void hs_evacuation_note_read(hs_evacuation *state, uint64_t sent_ms, bool is_answered,
                             uint64_t now_ms) {
    /* After a suspension, an answer to an earlier call may have waited in the socket. */
    bool is_delayed = is_suspension(state, now_ms) || sent_ms < state->resumed_ms;
    if (is_answered)
        state->known_ms = MAX(state->known_ms, is_delayed ? sent_ms : now_ms);
    if (!is_delayed)
        state->resumed_ms = 0;
}

bool hs_evacuation_is_beyond(const hs_evacuation *state, uint64_t end, uint64_t sent_ms) {
    return state->as_of_offset > end && sent_ms > state->peer_ms;
}

bool hs_evacuation_is_current(const hs_evacuation *state, uint64_t now_ms) {
    return !hs_evacuation_is_read_due(state, now_ms) || now_ms < valid_until_ms(state);
}

uint32_t hs_evacuation_take_recipients(hs_evacuation *state, uint64_t now_ms) {
    bool is_repeat = now_ms >= state->repeat_ms && hs_evacuation_has_zones(state);
    uint32_t recipients = state->is_changed ? CHANGE_RECIPIENTS : 0;
    if (recipients == 0 && is_repeat)
        recipients = REPEAT_RECIPIENTS;
    if (recipients > 0)
        state->repeat_ms = now_ms + REPEAT_INTERVAL_MS;
    state->is_changed = false;
    return recipients;
}
