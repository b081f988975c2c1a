/** @file daemon_directory.c  Members, their registry in the store, and resolving; see
 * daemon_directory.h. */
#include "directory/daemon_directory.h"

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "base/stop_wait.h"
#include "directory/crash_exchange.h"
#include "directory/crash_store.h"
#include "directory/machine_load.h"
#include "directory/resolve_addresses.h"
#include "directory/slot_arbiter.h"
#include "directory/tenant_limiter.h"
#include "fleet/engine_words.h"
#include "store/keyed_topic.h"

#include <string.h>

/** Probes, time-outs of probes (150 ms) and shares are looked at this often. */
#define TICK_MS 80
#define SHARES_INTERVAL_MS 240
/**
 * Peers told in one round; with more, each round goes to the next ones, and unheard ones are taken
 * as the others.
 */
#define SHARES_PEERS_MAX 16
/**
 * The same in a large fleet, of owners of partitions alone: of 295 daemons with 24 owners each
 * owner hears a third in the two seconds for which a word holds. The others need none, since
 * engines' arbiters tell them totals: half the datagrams, the same worth (design 0008).
 */
#define SHARES_OWNERS_LARGE 1
/** Daemons above which a fleet is large: three rounds of the most peers, so that all are heard. */
#define LARGE_FLEET HS_LARGE_FLEET_PEERS
#define REGISTRY_INTERVAL_MS 4000
#define REGISTRY_CALL_MS 1000
#define JOIN_CHECK_MS 200
/** What is held back is in the store so soon, in ms; no call where nothing changed. */
#define RECORDS_INTERVAL_MS 500
#define SETTLE_MS 1500 /* A daemon that knows only itself may not say so earlier. */
#define SUSPECT_PROBES 2
#define FORGET_MS 30000
/** Begins the id under which a seed is proposed until it tells its own. */
#define SEED_PREFIX "seed-"

struct hs_daemon_directory {
    hs_daemon_directory_settings settings;
    hs_peer_socket *socket;
    hs_membership_service *membership;
    hs_slot_arbiter *slots;
    hs_crash_exchange *crashes;
    hs_tenant_limiter *limiter;
    hs_crash_store *crash_records;
    char *seeds; /**< Guarded by the lock. */
    gint resolve_ttl_s;
    uint64_t started_ms;
    uint64_t next_shares_ms;
    guint next_peer;      /**< Where the next round of shares begins. */
    hs_machine_load load; /**< Of the ticker's thread. */
    gint taken_percent;   /**< As it was told last. */
    GMutex lock;
    hs_stop_wait pause;
    gint leaving;
    gint joined; /**< It could serve once, and peers know of it. */
    GThread *ticker;
    GThread *registrar;
};

static bool owns_partitions(hs_daemon_directory *directory, const char *id) {
    const hs_membership *membership = hs_membership_service_lock(directory->membership);
    const hs_member *member = hs_membership_find(membership, id);
    bool owns = member != NULL && member->owned->len > 0;
    hs_membership_service_unlock(directory->membership);
    return owns;
}

static void take_shares(hs_daemon_directory *directory, const Hs__PeerMessage *message,
                        const struct sockaddr_in *from) {
    const Hs__EngineShares *told = message->engine_shares;
    hs_crash_exchange_compare(directory->crashes, told->crash_digest, from);
    g_autoptr(GArray) shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    for (size_t index = 0; index < told->n_shares; index++) {
        const Hs__EngineShare *one = told->shares[index];
        hs_engine_share share = {.engine_hash = one->engine_hash,
                                 .online = one->online,
                                 .batch = one->batch,
                                 .queued_tokens = one->queued_tokens,
                                 .ended_permille = one->ended_permille,
                                 .failed_permille = one->failed_permille,
                                 .suspected = one->suspected};
        g_array_append_val(shares, share);
    }
    hs_peer_report word = {.shares = shares,
                           .batch_work_ms = told->batch_work_ms,
                           .runs_batch = owns_partitions(directory, message->sender_id)};
    hs_fleet_engines_put_peer_report(directory->settings.engines, message->sender_id, &word,
                                     hs_clock_monotonic_ms());
}

static void handle_message(const Hs__PeerMessage *message, const struct sockaddr_in *from,
                           void *user_data) {
    hs_daemon_directory *directory = user_data;
    if (hs_membership_service_handle(directory->membership, message, from) ||
        hs_slot_arbiter_handle(directory->slots, message, from) ||
        hs_tenant_limiter_handle(directory->limiter, message, from) ||
        hs_crash_exchange_handle(directory->crashes, message, from))
        return;
    if (message->kind_case == HS__PEER_MESSAGE__KIND_ENGINE_SHARES)
        take_shares(directory, message, from);
}

hs_daemon_directory *hs_daemon_directory_new(const hs_daemon_directory_settings *settings,
                                             hs_error *error) {
    hs_peer_socket *socket = hs_peer_socket_new(settings->address, settings->peer_port, error);
    if (socket == NULL)
        return NULL;
    hs_daemon_directory *directory = g_new0(hs_daemon_directory, 1);
    directory->settings = *settings;
    directory->socket = socket;
    g_mutex_init(&directory->lock);
    hs_stop_wait_init(&directory->pause);
    directory->seeds = g_strdup(settings->seeds);
    directory->resolve_ttl_s = (gint)settings->resolve_ttl_s;
    hs_member self = {.id = (char *)settings->id,
                      .zone = (char *)settings->zone,
                      .incarnation = hs_clock_wall_ms(),
                      .address = hs_endpoint_address(settings->address),
                      .peer_port = settings->peer_port,
                      .admin_port = settings->front_port,
                      .size = settings->size};
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
    directory->crash_records =
        hs_crash_store_new(settings->crash_watch, directory->membership, settings->store);
    return directory;
}

static void propose(hs_daemon_directory *directory, const char *name, const char *address) {
    hs_endpoint peer;
    if (!hs_endpoint_parse(address, &peer) ||
        (peer.address == hs_endpoint_address(directory->settings.address) &&
         peer.port == directory->settings.peer_port))
        return;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    bool known = false;
    for (guint index = 0; index < members->len && !known; index++) {
        const hs_member *member = members->pdata[index];
        known = member->address == peer.address && member->peer_port == peer.port &&
                (member->state != HS_MEMBER_DEAD || strcmp(member->id, name) == 0);
    }
    if (!known)
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

void hs_daemon_directory_update(hs_daemon_directory *directory, const char *seeds,
                                uint32_t resolve_ttl_s) {
    g_mutex_lock(&directory->lock);
    g_free(directory->seeds);
    directory->seeds = g_strdup(seeds);
    g_mutex_unlock(&directory->lock);
    g_atomic_int_set(&directory->resolve_ttl_s, (gint)resolve_ttl_s);
    propose_seeds(directory);
}

/** Write this daemon's record, or drop it when it leaves. */
static bool write_record(hs_daemon_directory *directory, bool leaves) {
    g_autofree char *value =
        g_strdup_printf("%s:%u", directory->settings.address, directory->settings.peer_port);
    return hs_keyed_topic_write(directory->settings.store, HS_TOPIC_MEMBERS, directory->settings.id,
                                value, leaves ? 0 : strlen(value),
                                REGISTRY_CALL_MS) == HS_STORE_DONE;
}

static void propose_entry(const hs_newest_entry *entry, void *user_data) {
    g_autofree char *address = g_strndup((const char *)entry->value, entry->value_length);
    propose(user_data, entry->key, address);
}

/** Propose the daemons that the store lists. */
static bool read_registry(hs_daemon_directory *directory) {
    bool is_read = hs_keyed_topic_read(directory->settings.store, HS_TOPIC_MEMBERS,
                                       REGISTRY_CALL_MS, propose_entry, directory);
    if (is_read)
        hs_tenant_limiter_note_known(directory->limiter);
    return is_read;
}

/**
 * Before this daemon joins it reads who else there is: it is asked, and asks, about tenants' limits
 * from its first request on. Read half a second later, it let pass a sixtieth of each limit until
 * then, after all daemons had been lost.
 */
static void read_registry_first(hs_daemon_directory *directory) {
    while (!read_registry(directory) && g_atomic_int_get(&directory->joined) == 0 &&
           hs_stop_wait_pause(&directory->pause, JOIN_CHECK_MS))
        continue;
}

static gpointer run_registrar(gpointer data) {
    hs_daemon_directory *directory = data;
    bool written = false;
    uint64_t next_ms = 0;
    read_registry_first(directory);
    do {
        hs_crash_store_read(directory->crash_records);
        if (g_atomic_int_get(&directory->leaving) != 0 || g_atomic_int_get(&directory->joined) == 0)
            continue;
        hs_crash_store_update(directory->crash_records);
        if (hs_clock_monotonic_ms() < next_ms)
            continue;
        if (!written)
            written = write_record(directory, false);
        read_registry(directory);
        next_ms = hs_clock_monotonic_ms() + REGISTRY_INTERVAL_MS;
    } while (hs_stop_wait_pause(&directory->pause, g_atomic_int_get(&directory->joined) != 0
                                                       ? RECORDS_INTERVAL_MS
                                                       : JOIN_CHECK_MS));
    return NULL;
}

/** Another live daemon. */
typedef struct {
    hs_daemon_address address;
    bool owns_partitions;
} live_peer;

/** Live members but this daemon: of live_peer. @p self_owns: whether this one owns partitions. */
static GArray *live_peers(hs_daemon_directory *directory, bool *self_owns) {
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(live_peer));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    *self_owns = hs_membership_self(membership)->owned->len > 0;
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(membership) || member->state != HS_MEMBER_ALIVE)
            continue;
        live_peer peer = {.address = {.address = member->address, .port = member->peer_port},
                          .owns_partitions = member->owned->len > 0};
        g_array_append_val(peers, peer);
    }
    hs_membership_service_unlock(directory->membership);
    return peers;
}

static uint32_t count_owners(const GArray *peers) {
    uint32_t owners = 0;
    for (guint index = 0; index < peers->len; index++)
        owners += g_array_index(peers, live_peer, index).owns_partitions;
    return owners;
}

/**
 * Send to the next few peers. In a large fleet these are daemons that run batch items, which need
 * to know what online requests leave them; an engine's arbiter tells the others what they need.
 * Where this daemon runs batch items itself, all others that do hear it: they share the free slots.
 */
static void send_in_turn(hs_daemon_directory *directory, const GArray *peers, bool self_owns,
                         const Hs__PeerMessage *message) {
    bool owners_only = peers->len > LARGE_FLEET && count_owners(peers) > 0;
    guint most = owners_only ? SHARES_OWNERS_LARGE : SHARES_PEERS_MAX;
    guint first = directory->next_peer;
    guint told = 0;
    for (guint count = 0; count < peers->len; count++) {
        const live_peer *peer = &g_array_index(peers, live_peer, (first + count) % peers->len);
        bool is_next = told < most && (!owners_only || peer->owns_partitions);
        if (!is_next && !(self_owns && peer->owns_partitions))
            continue;
        hs_peer_socket_send(directory->socket, peer->address.address, peer->address.port, message);
        told++;
        if (is_next)
            directory->next_peer = (first + count + 1) % peers->len;
    }
}

static void send_shares(hs_daemon_directory *directory) {
    g_autoptr(GArray) shares = hs_fleet_engines_own_shares(directory->settings.engines);
    bool self_owns = false;
    g_autoptr(GArray) peers = live_peers(directory, &self_owns);
    g_autofree Hs__EngineShare *told = g_new(Hs__EngineShare, shares->len + 1);
    g_autofree Hs__EngineShare **list = g_new(Hs__EngineShare *, shares->len + 1);
    for (guint index = 0; index < shares->len; index++) {
        const hs_engine_share *share = &g_array_index(shares, hs_engine_share, index);
        hs__engine_share__init(&told[index]);
        told[index].engine_hash = share->engine_hash;
        told[index].online = share->online;
        told[index].batch = share->batch;
        told[index].queued_tokens = share->queued_tokens;
        told[index].ended_permille = share->ended_permille;
        told[index].failed_permille = share->failed_permille;
        told[index].suspected = share->suspected;
        list[index] = &told[index];
    }
    Hs__EngineShares body = HS__ENGINE_SHARES__INIT;
    body.n_shares = shares->len;
    body.shares = list;
    body.crash_digest = hs_crash_watch_digest(directory->settings.crash_watch);
    body.batch_work_ms = hs_fleet_engines_batch_work(directory->settings.engines);
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    hs_membership_service_sign(directory->membership, &message);
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_SHARES;
    message.engine_shares = &body;
    hs_fleet_engines_set_peers(directory->settings.engines, peers->len, count_owners(peers));
    send_in_turn(directory, peers, self_owns, &message);
}

/** Pause between two rounds, and note how late it ended; false when the duty is to end. */
static bool pause_round(hs_daemon_directory *directory) {
    uint64_t due_ms = hs_clock_monotonic_ms() + TICK_MS;
    bool goes_on = hs_stop_wait_pause(&directory->pause, TICK_MS);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_machine_load_note(&directory->load, now_ms > due_ms ? (double)(now_ms - due_ms) : 0);
    return goes_on;
}

/** Tell the others where much more, or less, of this machine is taken than they know. */
static void tell_taken(hs_daemon_directory *directory, uint64_t now_ms) {
    directory->load.memory_percent = hs_memory_taken_percent();
    uint32_t taken = hs_machine_load_taken_percent(&directory->load, now_ms);
    if ((gint)taken == g_atomic_int_get(&directory->taken_percent))
        return;
    hs_log_info("machine_load", "taken_percent=%u before=%d late_ms=%.1f memory_percent=%u", taken,
                g_atomic_int_get(&directory->taken_percent), directory->load.late_ms,
                directory->load.memory_percent);
    g_atomic_int_set(&directory->taken_percent, (gint)taken);
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_tell_taken(membership, taken);
    hs_membership_service_unlock(directory->membership);
}

static gpointer run_ticker(gpointer data) {
    hs_daemon_directory *directory = data;
    hs_wake_watch_look(directory->settings.wakes);
    while (!directory->settings.may_join(directory->settings.user_data)) {
        if (!hs_stop_wait_pause(&directory->pause, TICK_MS))
            return NULL;
        hs_wake_watch_look(directory->settings.wakes);
    }
    hs_peer_socket_start(directory->socket, handle_message, directory);
    directory->started_ms = hs_clock_monotonic_ms();
    g_atomic_int_set(&directory->joined, 1);
    propose_seeds(directory);
    while (pause_round(directory)) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        tell_taken(directory, now_ms);
        hs_wake_watch_look(directory->settings.wakes);
        hs_membership_service_tick(directory->membership, now_ms);
        hs_crash_exchange_tick(directory->crashes, now_ms);
        hs_tenant_limiter_tick(directory->limiter);
        if (now_ms >= directory->next_shares_ms) {
            directory->next_shares_ms = now_ms + SHARES_INTERVAL_MS;
            send_shares(directory);
            hs_slot_arbiter_refresh(directory->slots);
        }
    }
    return NULL;
}

void hs_daemon_directory_start(hs_daemon_directory *directory) {
    directory->ticker = g_thread_new("directory", run_ticker, directory);
    directory->registrar = g_thread_new("registrar", run_registrar, directory);
}

void hs_daemon_directory_leave(hs_daemon_directory *directory) {
    g_atomic_int_set(&directory->leaving, 1);
    hs_membership_service_leave(directory->membership);
    write_record(directory, true);
}

void hs_daemon_directory_free(hs_daemon_directory *directory) {
    if (directory == NULL)
        return;
    hs_stop_wait_ask(&directory->pause);
    if (directory->ticker != NULL) {
        g_thread_join(directory->ticker);
        g_thread_join(directory->registrar);
        if (g_atomic_int_get(&directory->joined) != 0)
            hs_peer_socket_stop(directory->socket);
    }
    hs_slot_arbiter_free(directory->slots);
    hs_crash_exchange_free(directory->crashes);
    hs_tenant_limiter_free(directory->limiter);
    hs_crash_store_free(directory->crash_records);
    hs_membership_service_free(directory->membership);
    hs_peer_socket_free(directory->socket);
    g_free(directory->seeds);
    hs_stop_wait_clear(&directory->pause);
    g_mutex_clear(&directory->lock);
    g_free(directory);
}

uint32_t hs_daemon_directory_taken_percent(hs_daemon_directory *directory) {
    return (uint32_t)g_atomic_int_get(&directory->taken_percent);
}

char **hs_daemon_directory_resolve(hs_daemon_directory *directory, const char *zone,
                                   uint32_t caller) {
    if (g_atomic_int_get(&directory->joined) == 0)
        return NULL;
    bool is_settled = hs_clock_monotonic_ms() > directory->started_ms + SETTLE_MS;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    bool knows_others = hs_membership_live_count(membership) > 1;
    char **addresses = NULL;
    hs_resolve_query query = {
        .zone = zone, .caller = caller, .without_self = g_atomic_int_get(&directory->leaving) != 0};
    if (knows_others || is_settled)
        addresses = hs_resolve_addresses(membership, &query);
    hs_membership_service_unlock(directory->membership);
    return addresses;
}

void hs_daemon_directory_tell_owned(hs_daemon_directory *directory, const GArray *parts,
                                    uint64_t generation) {
    g_autoptr(GArray) owned = g_array_new(FALSE, FALSE, sizeof(hs_owned_partition));
    g_autoptr(GPtrArray) no_engines = g_ptr_array_new();
    for (guint index = 0; index < parts->len; index++) {
        hs_owned_partition partition = {.partition = g_array_index(parts, uint32_t, index),
                                        .epoch = (uint32_t)generation};
        g_array_append_val(owned, partition);
    }
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_update_self(membership, 0, owned, no_engines);
    hs_membership_service_unlock(directory->membership);
}

bool hs_daemon_directory_owner(hs_daemon_directory *directory, uint32_t part,
                               hs_daemon_address *owner) {
    uint32_t epoch = 0;
    const hs_membership *membership = hs_membership_service_lock(directory->membership);
    const hs_member *member = hs_membership_owner(membership, part, &epoch);
    bool is_other = member != NULL && member != hs_membership_self(membership) &&
                    member->state == HS_MEMBER_ALIVE;
    if (is_other)
        *owner = (hs_daemon_address){.address = member->address, .port = member->peer_port};
    hs_membership_service_unlock(directory->membership);
    return is_other;
}

hs_owner_counts hs_daemon_directory_count_owners(hs_daemon_directory *directory,
                                                 uint32_t part_count) {
    hs_owner_counts counts = {0};
    const hs_membership *membership = hs_membership_service_lock(directory->membership);
    for (uint32_t part = 0; part < part_count; part++) {
        uint32_t epoch = 0;
        const hs_member *member = hs_membership_owner(membership, part, &epoch);
        counts.own += member != NULL && member == hs_membership_self(membership);
        counts.located += member != NULL && member->state == HS_MEMBER_ALIVE;
    }
    hs_membership_service_unlock(directory->membership);
    return counts;
}

hs_tenant_limiter *hs_daemon_directory_limiter(hs_daemon_directory *directory) {
    return directory->limiter;
}

uint32_t hs_daemon_directory_live_count(hs_daemon_directory *directory) {
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    uint32_t count = hs_membership_live_count(membership);
    hs_membership_service_unlock(directory->membership);
    return MAX(count, 1);
}

uint32_t hs_daemon_directory_ttl_s(const hs_daemon_directory *directory) {
    return (uint32_t)g_atomic_int_get(&directory->resolve_ttl_s);
}
