/** @file job_relay.c  See job_relay.h. */
#include "jobs/job_relay.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_fields.h"
#include "jobs/job_peer.h"

#include <stdio.h>
#include <string.h>

/**
 * Maximum number of owners queried for one append. Enough to find one that reaches the store while
 * the store rejects a third of the daemons.
 */
#define MAX_PEERS_ASKED 6
/** Those of them in this daemon's region, if the deployment has several. */
#define MAX_NEAR_PEERS_ASKED 4
/** Maximum time for a daemon's answer whether it reaches the store. */
#define STORE_CHECK_LIMIT_MS 100
/** Minimum time for the request to the other daemon and its append. */
#define MIN_RELAY_LIMIT_MS 300
/** Maximum time for the append by the other daemon. */
#define APPEND_LIMIT_MS 250
/** Pause after a search that found no daemon. */
#define SEARCH_PAUSE_MS 500
/** Target of an append between daemons: numbers of the topic and of the partition. */
#define TARGET_FORMAT "/append?topic=%u&part=%u"

struct hs_job_relay {
    hs_daemon_directory *daemons;
    hs_store_client *store;
    hs_drain *drain;
    uint32_t part_count;
    GMutex lock;
    uint64_t next_search_ms[2]; /**< Of all daemons, and of those in some regions. */
};

hs_job_relay *hs_job_relay_new(hs_daemon_directory *daemons, hs_store_client *store,
                               hs_drain *drain, uint32_t part_count) {
    hs_job_relay *relay = g_new0(hs_job_relay, 1);
    relay->daemons = daemons;
    relay->store = store;
    relay->drain = drain;
    relay->part_count = part_count;
    g_mutex_init(&relay->lock);
    return relay;
}

void hs_job_relay_free(hs_job_relay *relay) {
    if (relay == NULL)
        return;
    g_mutex_clear(&relay->lock);
    g_free(relay);
}

static bool can_search(hs_job_relay *relay, bool is_restricted) {
    g_mutex_lock(&relay->lock);
    bool is_due = hs_clock_monotonic_ms() >= relay->next_search_ms[is_restricted];
    g_mutex_unlock(&relay->lock);
    return is_due;
}

static void record_search(hs_job_relay *relay, bool is_restricted, bool is_found) {
    g_mutex_lock(&relay->lock);
    relay->next_search_ms[is_restricted] = is_found ? 0 : hs_clock_monotonic_ms() + SEARCH_PAUSE_MS;
    g_mutex_unlock(&relay->lock);
}

/**
 * Appends owners of the next partitions, of this daemon's region or of others, until @p owners has
 * @p max_owners.
 */
static void add_owners(hs_job_relay *relay, uint32_t partition, bool is_far, guint max_owners,
                       const hs_body_regions *regions, GArray *owners) {
    for (uint32_t step = 0; step < relay->part_count && owners->len < max_owners; step++) {
        hs_daemon_address owner;
        uint32_t other = (partition + step) % relay->part_count;
        if (hs_daemon_directory_find_owner(relay->daemons, other, &owner) &&
            owner.is_far == is_far && hs_body_regions_allow(regions, owner.region) &&
            !hs_job_peer_is_listed(owners, &owner))
            g_array_append_val(owners, owner);
    }
}

/**
 * Lists the owners to query: of hs_daemon_address. Without regions, those of the next partitions.
 * With regions, those of this daemon's region first, then some of others, since the store may
 * reject a whole region.
 */
static GArray *list_owners(hs_job_relay *relay, uint32_t partition,
                           const hs_body_regions *regions) {
    GArray *owners = g_array_new(FALSE, FALSE, sizeof(hs_daemon_address));
    hs_daemon_address owner;
    if (hs_daemon_directory_has_regions(relay->daemons)) {
        add_owners(relay, partition, false, MAX_NEAR_PEERS_ASKED, regions, owners);
        add_owners(relay, partition, true, MAX_PEERS_ASKED, regions, owners);
        return owners;
    }
    /* Owners outside of the allowed regions are passed over, so that more partitions are tried. */
    uint32_t max_attempts =
        hs_body_regions_is_restricted(regions) ? relay->part_count : MAX_PEERS_ASKED;
    for (uint32_t attempt = 0; attempt < max_attempts && owners->len < MAX_PEERS_ASKED; attempt++)
        if (hs_daemon_directory_find_owner(relay->daemons,
                                           (partition + attempt) % relay->part_count, &owner) &&
            hs_body_regions_allow(regions, owner.region))
            g_array_append_val(owners, owner);
    return owners;
}

bool hs_job_relay_find_peer(hs_job_relay *relay, uint32_t partition, const hs_body_regions *regions,
                            hs_daemon_address *peer) {
    bool is_restricted = hs_body_regions_is_restricted(regions);
    bool is_mixed = is_restricted && regions->is_mixed;
    if (relay->daemons == NULL || is_mixed || !can_search(relay, is_restricted))
        return false;
    bool is_found = false;
    g_autoptr(GArray) owners = list_owners(relay, partition, regions);
    for (guint index = 0; index < owners->len && !is_found; index++) {
        *peer = g_array_index(owners, hs_daemon_address, index);
        is_found = hs_job_peer_can_reach_store(
            peer, hs_drain_limit(relay->drain, hs_clock_monotonic_ms() + STORE_CHECK_LIMIT_MS));
    }
    record_search(relay, is_restricted, is_found);
    return is_found;
}

/** Returns the outcome of the append that the other daemon's answer reports. */
static hs_store_outcome read_answer(const hs_peer_answer *answer, uint64_t *offset) {
    g_autofree char *text = g_strndup((const char *)answer->body->data, answer->body->len);
    switch (answer->status) {
    case 200:
        return g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, (guint64 *)offset, NULL)
                   ? HS_STORE_DONE
                   : HS_STORE_UNKNOWN;
    case 503:
        return HS_STORE_REFUSED;
    case 507:
        return HS_STORE_FULL;
    case 400:
        return HS_STORE_INVALID;
    default:
        return HS_STORE_UNKNOWN;
    }
}

hs_store_outcome hs_job_relay_append(hs_job_relay *relay, hs_topic topic, uint32_t partition,
                                     const GByteArray *records, const hs_body_regions *regions,
                                     hs_deadline deadline, uint64_t *offset) {
    hs_daemon_address peer;
    if (!hs_store_client_is_failing(relay->store) ||
        !hs_job_relay_find_peer(relay, partition, regions, &peer))
        return HS_STORE_REFUSED;
    g_autofree char *target = g_strdup_printf(TARGET_FORMAT, (unsigned)topic, partition);
    hs_deadline limit =
        hs_drain_limit(relay->drain, MAX(deadline, hs_clock_monotonic_ms() + MIN_RELAY_LIMIT_MS));
    hs_peer_answer answer;
    hs_peer_outcome sent = hs_job_peer_post(&peer, target, records, limit, &answer);
    hs_store_outcome outcome = sent == HS_PEER_NO_ANSWER ? HS_STORE_UNKNOWN : HS_STORE_REFUSED;
    if (sent == HS_PEER_ANSWERED) {
        outcome = read_answer(&answer, offset);
        hs_peer_answer_clear(&answer);
    }
    hs_log_info("append_relayed", "topic=%u part=%u bytes=%u outcome=%s", (unsigned)topic,
                partition, records->len, hs_store_outcome_name(outcome));
    return outcome;
}

/** Parses the target of an append. Returns false if it is malformed or names no topic of jobs. */
static bool read_target(const char *target, hs_topic *topic, uint32_t *partition) {
    unsigned number = 0;
    bool is_read = sscanf(target, TARGET_FORMAT, &number, partition) == 2;
    *topic = (hs_topic)number;
    return is_read && (*topic == HS_TOPIC_JOBS || *topic == HS_TOPIC_BODIES);
}

bool hs_job_relay_is_append_call(const char *target) {
    return g_str_has_prefix(target, "/append?");
}

static uint32_t status_of(hs_store_outcome outcome) {
    switch (outcome) {
    case HS_STORE_DONE:
        return 200;
    case HS_STORE_REFUSED:
        return 503;
    case HS_STORE_FULL:
        return 507;
    case HS_STORE_INVALID:
        return 400;
    default:
        return 504;
    }
}

void hs_job_relay_serve(hs_store_client *store, hs_inbound *inbound) {
    hs_topic topic = HS_TOPIC_JOBS;
    uint32_t partition = 0;
    uint64_t offset = 0;
    hs_store_outcome outcome = HS_STORE_INVALID;
    if (read_target(inbound->target, &topic, &partition)) {
        hs_store_call call = hs_platform_build_append_call(topic, partition, inbound->body);
        GByteArray *answer = g_byte_array_new();
        outcome = hs_store_client_send(store, &call, hs_clock_monotonic_ms() + APPEND_LIMIT_MS,
                                       NULL, answer);
        if (outcome == HS_STORE_DONE && !hs_platform_read_appended_offset(answer, &offset))
            outcome = HS_STORE_UNKNOWN;
        g_byte_array_free(answer, TRUE);
    }
    g_autofree char *text = g_strdup_printf("%" G_GUINT64_FORMAT, (guint64)offset);
    GArray *fields = hs_http_fields_new();
    hs_inbound_reply(inbound, status_of(outcome), fields, text, strlen(text));
    hs_http_fields_free(fields);
}
