/**
 * @file daemon_directory.c
 * Members, their registry in the store, and announcements to other daemons; see daemon_directory.h.
 */
#include "directory/daemon_directory_state.h"

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "directory/region_reports.h"
#include "directory/registry_plan.h"
#include "directory/tenant_limiter.h"
#include "directory/zone_watch.h"
#include "fleet/arbiter_term.h"
#include "fleet/engine_words.h"
#include "store/keyed_topic.h"

#include <string.h>

/** Interval of the ticker, which drives probes, their time-outs and announcements. */
#define TICK_MS 80
/** Interval of announcements of this daemon's load on engines. */
#define SHARES_INTERVAL_MS HS_USE_REPORT_INTERVAL_MS
/** Peers that one announcement is sent to. If there are more, each round goes to the next ones. */
#define MAX_PEERS_PER_ROUND 16
/**
 * The same in a large fleet, where only owners of partitions receive announcements. The other
 * daemons get the engines' load from the engines' arbiters. Of 295 daemons with 24 owners each
 * owner then hears from a third in the two seconds for which a report is valid (design 0008).
 */
#define MAX_OWNERS_PER_ROUND 1
/**
 * Announcements of which one also goes to other regions; the interval is within the time for which
 * an announcement is valid.
 */
#define FAR_SHARES_INTERVAL 5
/** Number of other daemons above which a fleet is large. */
#define LARGE_FLEET_PEERS HS_LARGE_FLEET_PEERS
#define REGISTRY_CALL_MS 1000
#define JOIN_CHECK_MS 200
/** Interval at which changed crash records are written to the store. */
#define CRASH_RECORDS_INTERVAL_MS 500
/** Probe intervals after which a suspected member is declared dead. */
#define SUSPECT_PROBES 2
#define FORGET_MS 30000
/** Prefix of the placeholder id of a seed whose own id is not known yet. */
#define SEED_PREFIX "seed-"

static bool owns_partitions(hs_daemon_directory *directory, const char *id) {
    const hs_membership *membership = hs_membership_service_lock(directory->membership);
    const hs_member *member = hs_membership_find(membership, id);
    bool owns = member != NULL && member->owned->len > 0;
    hs_membership_service_unlock(directory->membership);
    return owns;
}

static void store_shares(hs_daemon_directory *directory, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from) {
    const Hs__EngineShares *body = message->engine_shares;
    hs_crash_exchange_compare(directory->crashes, body->crash_digest, from);
    g_autoptr(GArray) shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    for (size_t index = 0; index < body->n_shares; index++) {
        const Hs__EngineShare *entry = body->shares[index];
        hs_engine_share share = {.engine_hash = entry->engine_hash,
                                 .online = entry->online,
                                 .batch = entry->batch,
                                 .queued_tokens = entry->queued_tokens,
                                 .ended_permille = entry->ended_permille,
                                 .failed_permille = entry->failed_permille,
                                 .suspected = entry->suspected};
        g_array_append_val(shares, share);
    }
    hs_peer_report report = {.shares = shares,
                             .batch_work_ms = body->batch_work_ms,
                             .runs_batch = owns_partitions(directory, message->sender_id)};
    hs_fleet_engines_put_peer_report(directory->settings.engines, message->sender_id, &report,
                                     hs_clock_monotonic_ms());
}

static void handle_message(const Hs__PeerMessage *message, const struct sockaddr_in *from,
                           void *user_data) {
    hs_daemon_directory *directory = user_data;
    if (hs_membership_service_handle(directory->membership, message, from) ||
        g_atomic_int_get(&directory->joined) == 0)
        return;
    hs_region_reports_relay(directory->membership, message);
    if (hs_slot_arbiter_handle(directory->slots, message, from) ||
        hs_tenant_limiter_handle(directory->limiter, message, from) ||
        hs_crash_exchange_handle(directory->crashes, message, from) ||
        hs_evacuation_exchange_handle(directory->evacuations, message, from) ||
        hs_stream_origin_exchange_handle(directory->origins, message, from))
        return;
    if (message->kind_case == HS__PEER_MESSAGE__KIND_ENGINE_SHARES)
        store_shares(directory, message, from);
}

static hs_distance find_distance(uint32_t address, uint16_t port, void *user_data) {
    return hs_peer_distances_find(user_data, address, port);
}

/** Returns the region that this daemon announces; NULL: none, as with fewer than two regions. */
static const char *own_region(const hs_daemon_directory_settings *settings) {
    return hs_topology_has_regions(settings->topology)
               ? hs_topology_region(settings->topology, settings->zone)
               : NULL;
}

static bool knows_members(void *user_data) {
    return hs_daemon_directory_is_settled(user_data);
}

hs_daemon_directory *hs_daemon_directory_new(const hs_daemon_directory_settings *settings,
                                             hs_error *error) {
    hs_peer_socket *socket = hs_peer_socket_new(settings->address, settings->peer_port, error);
    if (socket == NULL)
        return NULL;
    hs_daemon_directory *directory = g_new0(hs_daemon_directory, 1);
    directory->settings = *settings;
    directory->socket = socket;
    directory->distances = hs_peer_distances_new(settings->topology);
    hs_peer_socket_set_distance_lookup(socket, find_distance, directory->distances);
    g_mutex_init(&directory->lock);
    hs_stop_wait_init(&directory->pause);
    directory->seeds = g_strdup(settings->seeds);
    directory->resolve_ttl_s = (gint)settings->resolve_ttl_s;
    hs_member self = {.id = (char *)settings->id,
                      .zone = (char *)settings->zone,
                      .region = (char *)own_region(settings),
                      .incarnation = hs_clock_wall_ms(),
                      .address = hs_endpoint_parse_address(settings->address),
                      .peer_port = settings->peer_port,
                      .admin_port = settings->front_port,
                      .size = settings->size,
                      .relays_state = true,
                      .reports_ends = true,
                      .is_starting = true};
    uint32_t probe_ms = settings->probe_interval_ms;
    hs_membership_service_settings service_settings = {
        .probe_interval_ms = probe_ms,
        .membership = {.probe_timeout_ms = probe_ms / 2,
                       .suspect_ms = probe_ms * SUSPECT_PROBES,
                       .forget_ms = FORGET_MS}};
    directory->membership = hs_membership_service_new(&self, &service_settings, socket);
    directory->slots = hs_slot_arbiter_new(settings->engines, directory->membership);
    directory->limiter = hs_tenant_limiter_new(directory->membership, settings->limit_tolerance);
    directory->crashes = hs_crash_exchange_new(settings->crash_watch, directory->membership);
    directory->evacuations = hs_evacuation_exchange_new(settings->engines, directory->membership);
    directory->origins = hs_stream_origin_exchange_new(settings->origins, directory->membership,
                                                       knows_members, directory);
    directory->software_records =
        hs_software_store_new(settings->engines, directory->membership, settings->store);
    directory->crash_records =
        hs_crash_store_new(settings->crash_watch, directory->membership, settings->store);
    return directory;
}

static void propose(hs_daemon_directory *directory, const char *name, const char *address) {
    hs_endpoint peer;
    if (!hs_endpoint_parse(address, &peer) ||
        (peer.address == hs_endpoint_parse_address(directory->settings.address) &&
         peer.port == directory->settings.peer_port))
        return;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    bool is_known = false;
    for (guint index = 0; index < members->len && !is_known; index++) {
        const hs_member *member = members->pdata[index];
        is_known = member->address == peer.address && member->peer_port == peer.port &&
                   (member->state != HS_MEMBER_DEAD || strcmp(member->id, name) == 0);
    }
    if (!is_known)
        hs_membership_propose(membership, name, peer.address, peer.port, hs_clock_monotonic_ms());
    hs_membership_service_unlock(directory->membership);
}

bool hs_daemon_is_seed(const char *id) {
    return g_str_has_prefix(id, SEED_PREFIX);
}

static void propose_seeds(hs_daemon_directory *directory) {
    g_mutex_lock(&directory->lock);
    g_auto(GStrv) seeds = g_strsplit(directory->seeds, ",", -1);
    g_mutex_unlock(&directory->lock);
    for (int index = 0; seeds[index] != NULL; index++) {
        const char *seed = g_strstrip(seeds[index]);
        g_autofree char *name = g_strdup_printf(SEED_PREFIX "%s", seed);
        propose(directory, name, seed);
    }
}

/** Appends an address to a list of hs_daemon_address, unless it is this daemon's or listed. */
static void add_peer_address(hs_daemon_directory *directory, GArray *peers, uint32_t address,
                             uint16_t port) {
    bool is_listed =
        port == 0 || (address == hs_endpoint_parse_address(directory->settings.address) &&
                      port == directory->settings.peer_port);
    for (guint index = 0; index < peers->len && !is_listed; index++) {
        const hs_daemon_address *peer = &g_array_index(peers, hs_daemon_address, index);
        is_listed = peer->address == address && peer->port == port;
    }
    hs_daemon_address added = {.address = address, .port = port};
    if (!is_listed)
        g_array_append_val(peers, added);
}

GArray *hs_daemon_directory_list_peers(hs_daemon_directory *directory) {
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(hs_daemon_address));
    g_mutex_lock(&directory->lock);
    g_auto(GStrv) seeds = g_strsplit(directory->seeds, ",", -1);
    g_mutex_unlock(&directory->lock);
    for (int index = 0; seeds[index] != NULL; index++) {
        hs_endpoint seed;
        if (hs_endpoint_parse(g_strstrip(seeds[index]), &seed))
            add_peer_address(directory, peers, seed.address, seed.port);
    }
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member->state != HS_MEMBER_DEAD)
            add_peer_address(directory, peers, member->address, member->peer_port);
    }
    hs_membership_service_unlock(directory->membership);
    return peers;
}

void hs_daemon_directory_update(hs_daemon_directory *directory, const char *seeds,
                                uint32_t resolve_ttl_s) {
    g_mutex_lock(&directory->lock);
    g_free(directory->seeds);
    directory->seeds = g_strdup(seeds);
    g_mutex_unlock(&directory->lock);
    g_atomic_int_set(&directory->resolve_ttl_s, (gint)resolve_ttl_s);
    propose_seeds(directory);
}

/** Writes this daemon's record to the store, or deletes it if @p leaves. */
static bool write_record(hs_daemon_directory *directory, bool leaves, uint32_t limit_ms) {
    g_autofree char *value =
        g_strdup_printf("%s:%u", directory->settings.address, directory->settings.peer_port);
    return hs_keyed_topic_write(directory->settings.store, HS_TOPIC_MEMBERS, directory->settings.id,
                                value, leaves ? 0 : strlen(value), limit_ms) == HS_STORE_DONE;
}

static void propose_entry(const hs_newest_entry *entry, void *user_data) {
    g_autofree char *address = g_strndup((const char *)entry->value, entry->value_length);
    propose(user_data, entry->key, address);
}

/** Proposes the daemons that the store lists as members. */
static bool read_registry(hs_daemon_directory *directory) {
    bool is_read = hs_keyed_topic_read(directory->settings.store, HS_TOPIC_MEMBERS,
                                       REGISTRY_CALL_MS, propose_entry, directory);
    if (is_read)
        hs_tenant_limiter_note_members_listed(directory->limiter);
    return is_read;
}

/** Returns the number of daemons known to run, this one included. */
static uint32_t count_running(hs_daemon_directory *directory) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    uint32_t running = 0;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++)
        running += hs_member_is_running(members->pdata[index]);
    hs_membership_service_unlock(directory->membership);
    return running;
}

/**
 * Reads the registry if it is this daemon's turn. Otherwise the members count as listed once they
 * are known from other daemons. Returns whether they are listed.
 */
static bool update_registry(hs_daemon_directory *directory) {
    uint32_t running = count_running(directory);
    if (hs_registry_is_read_due(running, g_random_double()))
        return read_registry(directory);
    uint64_t joined_ms = hs_clock_monotonic_ms() - directory->probing_ms;
    bool is_known = hs_registry_is_known_from_members(running, joined_ms);
    if (is_known)
        hs_tenant_limiter_note_members_listed(directory->limiter);
    return is_known;
}

/**
 * Reads the list of daemons until the members are known or the daemon has joined. Tenants' limits
 * depend on the list from the first request on: without it the daemon admits only a small part of
 * them.
 */
static void read_registry_before_join(hs_daemon_directory *directory) {
    if (!hs_stop_wait_pause(&directory->pause, HS_FEED_START_WAIT_MS))
        return;
    while (!update_registry(directory) && g_atomic_int_get(&directory->joined) == 0 &&
           hs_stop_wait_pause(&directory->pause, JOIN_CHECK_MS))
        continue;
}

static gpointer run_registry_thread(gpointer data) {
    hs_daemon_directory *directory = data;
    bool is_written = false;
    uint64_t next_ms = 0;
    read_registry_before_join(directory);
    do {
        hs_crash_store_read(directory->crash_records);
        hs_software_store_read(directory->software_records);
        if (g_atomic_int_get(&directory->leaving) != 0 || g_atomic_int_get(&directory->joined) == 0)
            continue;
        hs_crash_store_update(directory->crash_records);
        hs_software_store_update(directory->software_records);
        if (hs_clock_monotonic_ms() < next_ms)
            continue;
        if (!is_written)
            is_written = write_record(directory, false, REGISTRY_CALL_MS);
        update_registry(directory);
        next_ms = hs_clock_monotonic_ms() + HS_REGISTRY_INTERVAL_MS;
    } while (hs_stop_wait_pause(&directory->pause, g_atomic_int_get(&directory->joined) != 0
                                                       ? CRASH_RECORDS_INTERVAL_MS
                                                       : JOIN_CHECK_MS));
    return NULL;
}

/** Another live daemon. */
typedef struct {
    hs_daemon_address address;
    bool owns_partitions;
} live_peer;

/** Lists the other live members: of live_peer. @p self_owns: this daemon owns partitions. */
static GArray *live_peers(hs_daemon_directory *directory, bool *self_owns) {
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(live_peer));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    *self_owns = hs_membership_self(membership)->owned->len > 0;
    hs_peer_distances_update(directory->distances, membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(membership) || !hs_member_is_alive(member))
            continue;
        live_peer peer = {.address = {.address = member->address,
                                      .port = member->peer_port,
                                      .is_far = hs_membership_is_far(membership, member)},
                          .owns_partitions = member->owned->len > 0};
        g_array_append_val(peers, peer);
    }
    hs_membership_service_unlock(directory->membership);
    return peers;
}

static uint32_t count_owners(const GArray *peers) {
    uint32_t owner_count = 0;
    for (guint index = 0; index < peers->len; index++)
        owner_count += g_array_index(peers, live_peer, index).owns_partitions;
    return owner_count;
}

/**
 * Sends @p message to the next few peers. In a large fleet these are owners of partitions, which
 * run batch items and need to know the slots that online requests leave free. If this daemon owns
 * partitions itself, the message goes to all other owners too, as they share the free slots. Most
 * rounds leave out peers of other regions.
 */
static void send_in_turn(hs_daemon_directory *directory, const GArray *peers, bool self_owns,
                         const Hs__PeerMessage *message) {
    bool owners_only = peers->len > LARGE_FLEET_PEERS && count_owners(peers) > 0;
    guint max_peers = owners_only ? MAX_OWNERS_PER_ROUND : MAX_PEERS_PER_ROUND;
    guint first = directory->next_peer;
    guint sent = 0;
    bool is_far_round = directory->shares_rounds++ % FAR_SHARES_INTERVAL == 0;
    for (guint count = 0; count < peers->len; count++) {
        const live_peer *peer = &g_array_index(peers, live_peer, (first + count) % peers->len);
        if (peer->address.is_far && !is_far_round)
            continue;
        bool is_next = sent < max_peers && (!owners_only || peer->owns_partitions);
        if (!is_next && !(self_owns && peer->owns_partitions))
            continue;
        hs_peer_socket_send(directory->socket, peer->address.address, peer->address.port, message);
        sent++;
        if (is_next)
            directory->next_peer = (first + count + 1) % peers->len;
    }
}

static void send_shares(hs_daemon_directory *directory) {
    g_autoptr(GArray) shares = hs_fleet_engines_own_shares(directory->settings.engines);
    bool self_owns = false;
    g_autoptr(GArray) peers = live_peers(directory, &self_owns);
    g_autofree Hs__EngineShare *entries = g_new(Hs__EngineShare, shares->len + 1);
    g_autofree Hs__EngineShare **list = g_new(Hs__EngineShare *, shares->len + 1);
    for (guint index = 0; index < shares->len; index++) {
        const hs_engine_share *share = &g_array_index(shares, hs_engine_share, index);
        hs__engine_share__init(&entries[index]);
        entries[index].engine_hash = share->engine_hash;
        entries[index].online = share->online;
        entries[index].batch = share->batch;
        entries[index].queued_tokens = share->queued_tokens;
        entries[index].ended_permille = share->ended_permille;
        entries[index].failed_permille = share->failed_permille;
        entries[index].suspected = share->suspected;
        list[index] = &entries[index];
    }
    Hs__EngineShares body = HS__ENGINE_SHARES__INIT;
    body.n_shares = shares->len;
    body.shares = list;
    body.crash_digest = hs_crash_watch_digest(directory->settings.crash_watch);
    body.batch_work_ms = hs_fleet_engines_batch_work(directory->settings.engines);
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    hs_membership_service_set_sender(directory->membership, &message);
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_SHARES;
    message.engine_shares = &body;
    hs_fleet_engines_set_peers(directory->settings.engines, peers->len, count_owners(peers));
    send_in_turn(directory, peers, self_owns, &message);
}

/** Pauses between two rounds and records the delay; false: the ticker has to stop. */
static bool pause_round(hs_daemon_directory *directory) {
    uint64_t due_ms = hs_clock_monotonic_ms() + TICK_MS;
    bool continues = hs_stop_wait_pause(&directory->pause, TICK_MS);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_machine_load_note(&directory->load, now_ms > due_ms ? (double)(now_ms - due_ms) : 0);
    return continues;
}

/** Announces the utilisation of this machine if it has changed by a step. */
static void announce_utilisation(hs_daemon_directory *directory, uint64_t now_ms) {
    directory->load.memory_percent = hs_memory_used_percent();
    uint32_t utilisation = hs_machine_load_utilisation_percent(&directory->load, now_ms);
    if ((gint)utilisation == g_atomic_int_get(&directory->utilisation_percent))
        return;
    hs_log_info("machine_load", "taken_percent=%u before=%d late_ms=%.1f memory_percent=%u",
                utilisation, g_atomic_int_get(&directory->utilisation_percent),
                directory->load.delay_ms, directory->load.memory_percent);
    g_atomic_int_set(&directory->utilisation_percent, (gint)utilisation);
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_set_utilisation_percent(membership, utilisation);
    hs_membership_service_unlock(directory->membership);
}

/** Applies the configuration's limits of cold engines, also of services without requests here. */
static void update_warmup_limits(const hs_daemon_directory *directory) {
    hs_fleet_config *config = directory->settings.config != NULL
                                  ? hs_config_source_get(directory->settings.config)
                                  : NULL;
    if (config != NULL)
        hs_fleet_engines_set_warmup_limits(directory->settings.engines, config->services);
    hs_fleet_config_unref(config);
}

/** Takes part in the membership, not ready to serve, until the daemon may join. */
static bool start_and_join(hs_daemon_directory *directory) {
    do {
        hs_stall_detector_check(directory->settings.stall_detector);
        hs_membership_service_tick(directory->membership, hs_clock_monotonic_ms());
        if (!hs_stop_wait_pause(&directory->pause, TICK_MS))
            return false;
    } while (!directory->settings.may_join(directory->settings.user_data));
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_set_starting(membership, false);
    hs_membership_service_unlock(directory->membership);
    directory->started_ms = hs_clock_monotonic_ms();
    g_atomic_int_set(&directory->joined, 1);
    return true;
}

static gpointer run_ticker(gpointer data) {
    hs_daemon_directory *directory = data;
    if (!start_and_join(directory))
        return NULL;
    while (pause_round(directory)) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        announce_utilisation(directory, now_ms);
        hs_stall_detector_check(directory->settings.stall_detector);
        hs_membership_service_tick(directory->membership, now_ms);
        hs_crash_exchange_tick(directory->crashes, now_ms);
        hs_evacuation_exchange_tick(directory->evacuations, now_ms);
        hs_stream_origin_exchange_tick(directory->origins);
        hs_tenant_limiter_tick(directory->limiter);
        if (directory->settings.observes_zones)
            hs_zone_watch_update(directory->settings.engines, directory->membership);
        if (now_ms >= directory->next_shares_ms) {
            directory->next_shares_ms = now_ms + SHARES_INTERVAL_MS;
            send_shares(directory);
            update_warmup_limits(directory);
            hs_slot_arbiter_refresh(directory->slots);
            hs_region_reports_send(directory->settings.engines, directory->membership);
        }
    }
    return NULL;
}

void hs_daemon_directory_start(hs_daemon_directory *directory) {
    propose_seeds(
        directory); /* Before the first read of a feed, which waits if others are known. */
    directory->probing_ms = hs_clock_monotonic_ms();
    hs_peer_socket_start(directory->socket, handle_message, directory);
    directory->ticker = g_thread_new("directory", run_ticker, directory);
    directory->registry_thread = g_thread_new("registrar", run_registry_thread, directory);
}

void hs_daemon_directory_leave(hs_daemon_directory *directory) {
    g_atomic_int_set(&directory->leaving, 1);
    hs_membership_service_leave(directory->membership);
}

void hs_daemon_directory_delete_record(hs_daemon_directory *directory, hs_deadline deadline) {
    uint32_t limit_ms = (uint32_t)MIN(hs_clock_left_ms(deadline), REGISTRY_CALL_MS);
    if (limit_ms > 0)
        write_record(directory, true, limit_ms);
}

void hs_daemon_directory_free(hs_daemon_directory *directory) {
    if (directory == NULL)
        return;
    hs_stop_wait_request_stop(&directory->pause);
    if (directory->ticker != NULL) {
        g_thread_join(directory->ticker);
        g_thread_join(directory->registry_thread);
        hs_peer_socket_stop(directory->socket);
    }
    hs_slot_arbiter_free(directory->slots);
    hs_crash_exchange_free(directory->crashes);
    hs_evacuation_exchange_free(directory->evacuations);
    hs_stream_origin_exchange_free(directory->origins);
    hs_software_store_free(directory->software_records);
    hs_tenant_limiter_free(directory->limiter);
    hs_crash_store_free(directory->crash_records);
    hs_membership_service_free(directory->membership);
    hs_peer_socket_free(directory->socket);
    hs_peer_distances_free(directory->distances);
    hs_feed_tree_unref(directory->feed_tree);
    g_free(directory->seeds);
    hs_stop_wait_clear(&directory->pause);
    g_mutex_clear(&directory->lock);
    g_free(directory);
}
