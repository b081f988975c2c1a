/**
 * @file fleet_engines.h
 * The engines this daemon knows: what the store says of them, what this daemon has there, what it
 * has seen of them, and kept connections. Requests take an engine as a lease and give it back.
 */
#ifndef HS_FLEET_FLEET_ENGINES_H
#define HS_FLEET_FLEET_ENGINES_H

#include "fleet/crash_watch.h"
#include "fleet/service_pressure.h"
#include "heathsail/fleet.h"
#include "http/client_connection.h"

#include <glib.h>

typedef struct hs_fleet_engines hs_fleet_engines;
typedef struct hs_engine_lease hs_engine_lease;

/** Whose work it is: online requests go first. */
typedef enum { HS_WORK_ONLINE, HS_WORK_BATCH } hs_work_class;

/** How an attempt on an engine ended, as far as the engine's health goes. */
typedef enum {
    HS_ATTEMPT_SERVED,
    HS_ATTEMPT_FAILED,       /**< A whole answer that says the engine failed. */
    HS_ATTEMPT_REFUSED,      /**< Full: it promised that it did not run the request. */
    HS_ATTEMPT_WRONG_ENGINE, /**< Another engine has the address. */
    HS_ATTEMPT_UNREACHABLE,  /**< No connection. */
    HS_ATTEMPT_BROKEN,       /**< Cut, or bytes that are no answer. */
    HS_ATTEMPT_SILENT,       /**< No byte for too long. */
    HS_ATTEMPT_DROPPED,      /**< Given up on this side; says nothing of the engine. */
} hs_attempt_end;

/** Name of an attempt's end, for logs. */
const char *hs_attempt_end_name(hs_attempt_end end);

/** What decided the choice of an engine, for logs. */
typedef struct {
    uint32_t candidates; /**< Engines there were to choose from. */
    uint32_t slots;
    double running;         /**< Believed there, of all daemons. */
    double uncached_tokens; /**< Of the prompt. */
    double failure_rate;    /**< Of late. */
    double pace;            /**< See hs_engine_pace_factor. */
    bool suspected;
    uint64_t listed_age_ms; /**< Since the store's last word on the engine. */
    double word_age_ms;     /**< Of the arbiter's word that decided; 0: none was passed on. */
    bool is_any_free;       /**< One of them at least was believed to have a free slot. */
} hs_engine_reasons;

/** What an engine is wanted for. All borrowed. */
typedef struct {
    const char *service;
    const char *tenant; /**< Online: whose runs it counts with; NULL: nobody's. */
    const hs_request_size *size;
    hs_work_class work;
    const GPtrArray *excluded; /**< of const char*: engines tried before; may be NULL. */
    hs_interrupt *yield;       /**< Batch: raised when the item is to step aside. */
    int32_t rank_ms;           /**< Batch: of two items the one with the higher rank steps aside. */
    uint64_t memory_tokens;    /**< An engine's memory by the configuration; 0: unknown. */
    uint32_t max_connections;  /**< To one engine from all daemons; 0: unknown. */
    bool has_wait_limit;       /**< Online: engines only that begin with it in wait_most_ms. */
    uint64_t wait_most_ms;     /**< See hs_engine_choice_can_start_in_time. */
} hs_engine_query;

/** One engine's load as a daemon tells it to others. */
typedef struct {
    uint64_t engine_hash;
    uint32_t online;
    uint32_t batch;
    uint32_t queued_tokens;
    uint32_t ended_permille;  /**< Requests of late that ended there, in thousandths; fades. */
    uint32_t failed_permille; /**< Those of them that failed. */
    bool suspected;
} hs_engine_share;

/** What this daemon has on one engine, at one moment. */
typedef struct {
    uint64_t engine_hash;
    uint64_t sequence; /**< Grows with the moments. */
    uint32_t slots;    /**< The engine's. */
    uint32_t online;
    uint32_t batch;
    int32_t rank_ms;           /**< Highest of its batch items there; see hs_engine_query. */
    uint32_t served;           /**< Requests that ended well there so far. */
    uint32_t failed;           /**< The same that failed. */
    uint32_t queued_tokens;    /**< Of prompts there that are not read yet. */
    uint64_t run_events;       /**< That its runs there made so far, after the first of each, */
    uint64_t run_ms;           /**< and the time they took. */
    uint32_t slowdown_percent; /**< See hs_engine_load; the engine's latest word. 0: none. */
    uint32_t slowdown_age_ms;
} hs_engine_use;

/** Called without a lock when a use changed; @p started: by a request that begins. */
typedef void (*hs_engine_use_teller)(const hs_engine_use *use, bool started, void *user_data);

/** Called without a lock when an engine of the service may have a place that was not there. */
typedef void (*hs_engine_place_watch)(const char *service, void *user_data);

/** @p zone: of this daemon. */
hs_fleet_engines *hs_fleet_engines_new(const char *zone);
void hs_fleet_engines_free(hs_fleet_engines *engines);

/** Whom ends of runs are told; NULL: nobody. Borrowed; before the first request. */
void hs_fleet_engines_set_crash_watch(hs_fleet_engines *engines, hs_crash_watch *watch);
hs_crash_watch *hs_fleet_engines_crash_watch(hs_fleet_engines *engines);

/** Take an entry from the store; the entry's strings become the table's. */
void hs_fleet_engines_put(hs_fleet_engines *engines, hs_engine_entry *entry, uint64_t now_ms);

/**
 * The engine's entry is gone, and the store was not away: an engine that had not said that it
 * leaves has crashed, where runs were cut there of late.
 */
void hs_fleet_engines_lapse(hs_fleet_engines *engines, const char *id);

/** The store lists the engine no longer. */
void hs_fleet_engines_drop(hs_fleet_engines *engines, const char *id);

/**
 * Drop all engines whose ids are not keys of @p listed; at once, or, where @p until_ms is in the
 * future, unless they are listed again by then.
 */
void hs_fleet_engines_keep_only(hs_fleet_engines *engines, GHashTable *listed, uint64_t until_ms);

/** The store lists the engine no longer, but may be wrong: drop it unless it is listed again. */
void hs_fleet_engines_doubt(hs_fleet_engines *engines, const char *id, uint64_t until_ms);

/** Choose an engine and count the request there; NULL when none fits. */
hs_engine_lease *hs_fleet_engines_take(hs_fleet_engines *engines, const hs_engine_query *query);

/** The engine's id; valid as long as the lease. */
const char *hs_engine_lease_id(const hs_engine_lease *lease);

/** Why the engine was chosen. */
hs_engine_reasons hs_engine_lease_reasons(const hs_engine_lease *lease);

/** What an engine's arbiter says of a lease. */
typedef enum {
    HS_LEASE_FITS, /**< There is a slot, or a batch item leaves one. */
    /** A batch item is to step aside; an online request would wait for others' slots or prompts. */
    HS_LEASE_CROWDED,
    HS_LEASE_FAILING, /**< Requests of all daemons fail there of late. */
    HS_LEASE_UNHEARD, /**< The arbiter said nothing in time. */
} hs_lease_word;

/** What an online request that holds a lease can expect of its engine. */
typedef struct {
    bool is_quick;    /**< See hs_engine_query; true where it has no limit. */
    bool is_hopeless; /**< Its wait and the least that any engine needs end after its deadline. */
    double wait_ms;   /**< Expected until the engine begins with it. */
    double need_ms;   /**< Shortest time to a first byte of late; 0: not known. */
    double online;    /**< Requests there of all daemons, this one included. */
    double queued_tokens; /**< Of others' prompts there that are not read yet. */
    uint32_t slots;
    double pace; /**< Of the engine; the times are at it. */
} hs_lease_prospect;

/** The prospect of a request whose deadline is @p left_ms from now; after the arbiter's word. */
hs_lease_prospect hs_engine_lease_prospect(hs_engine_lease *lease, const hs_engine_query *query,
                                           uint64_t left_ms);

/** Wait until the engine's arbiter has heard of the lease, before anything is sent. */
hs_lease_word hs_engine_lease_confirm(hs_engine_lease *lease, uint32_t limit_ms);

/**
 * A kept connection that was idle for less than @p idle_most_ms (0: none), or a new one; NULL with
 * @p step when there is none. No kept connection that carried the request @p request_id (may be
 * NULL) before: a surplus answer to the earlier try would be taken for the answer to this one,
 * since both carry the request's id.
 */
hs_client_connection *hs_engine_lease_connect(hs_engine_lease *lease, const char *request_id,
                                              const hs_wait *wait, uint32_t idle_most_ms,
                                              hs_step *step);

/** The engine's answer did not go on where the request asked it to. */
void hs_engine_lease_note_misplaced(hs_engine_lease *lease);

/** Close all idle connections to the engine: one to it was lost, and they are as old. */
void hs_engine_lease_drop_idle(hs_engine_lease *lease);

/**
 * Time in ms above the usual for the head of an answer there, to a prompt of @p prompt_tokens; 0:
 * not known, or more than half of the slots are taken, so that the answer may wait. All of the
 * prompt counts: what is believed to be in the engine's memory may not be, and a live answer that
 * is cut is late (6 to 11 requests with long prompts a day were cut for it, 1 to 3 so).
 */
uint32_t hs_engine_lease_head_limit_ms(hs_engine_lease *lease, uint64_t prompt_tokens);

/** The head of an answer came. */
void hs_engine_lease_head_came(hs_engine_lease *lease);

/** Bytes came from the engine. */
void hs_engine_lease_heard(hs_engine_lease *lease);

/** The engine has read the prompt: its first token came. */
void hs_engine_lease_first_token(hs_engine_lease *lease);

/** The lease's run has made @p events by now, those of earlier runs not counted. */
void hs_engine_lease_note_events(hs_engine_lease *lease, uint64_t events);

/** Load that came with an answer. */
void hs_engine_lease_note_load(hs_engine_lease *lease, const hs_engine_load *load);

/**
 * A run of the content at the lease's engine ended so. A whole answer shows that the engine
 * survived it; a run that was cut is looked into, unless the engine was leaving anyway.
 */
void hs_engine_lease_note_run_end(hs_engine_lease *lease, uint64_t content, hs_attempt_end end);

/** Give the engine back; a reusable @p connection (may be NULL) is kept, others are closed. */
void hs_engine_lease_release(hs_engine_lease *lease, hs_client_connection *connection,
                             hs_attempt_end end);

/** Engines of a service that may be sent to, and requests of this daemon on them. */
typedef struct {
    uint32_t ready;
    uint32_t slots;
    double online; /**< Believed running, of all daemons. */
    double batch;  /**< Believed running, of all daemons. */
} hs_service_room;

/** What is known of a service when no engine took a request. */
typedef struct {
    bool is_known;      /**< The store's list was read to its end since the start. */
    uint32_t engines;   /**< That may be sent to by the store's word. */
    uint32_t sound;     /**< Of them, that nobody suspects. */
    uint32_t slots;     /**< Of the sound ones. */
    double running;     /**< Believed there, of all daemons; batch items count, they hold places. */
    double waiting;     /**< Online requests of them beyond their engine's slots. */
    double run_ms;      /**< Mean time of an online run of late. */
    uint64_t need_ms;   /**< Shortest time to a first byte of late; 0: not known. */
    uint64_t return_ms; /**< Until the first suspected engine is tried again. */
    uint64_t absent_ms; /**< How long there has been no engine; 0: there is one. */
    uint64_t last_absence_ms; /**< How long the last such time was; 0: none was seen. */
    uint64_t listed_age_ms;   /**< Since the store's last word on any of its engines. */
    hs_service_pressure pressure;
} hs_service_outlook;

hs_service_outlook hs_fleet_engines_outlook(hs_fleet_engines *engines, const char *service);

/** Pressure of a service by what was heard of late; worked out anew after some ms only. */
hs_service_pressure hs_fleet_engines_pressure(hs_fleet_engines *engines, const char *service);

/** Pressures as they were worked out last, one service a line, for metrics. Free with g_free. */
char *hs_fleet_engines_describe_pressures(hs_fleet_engines *engines);

/** Shortest time to a first byte of a service of late, in ms; 0: not known. */
uint64_t hs_fleet_engines_need_ms(hs_fleet_engines *engines, const char *service);

/** Who is told of places; NULL: nobody. To be set before the first request, or after the last. */
void hs_fleet_engines_set_place_watch(hs_fleet_engines *engines, hs_engine_place_watch watch,
                                      void *user_data);

hs_service_room hs_fleet_engines_room(hs_fleet_engines *engines, const char *service);

/**
 * An online request of the tenant came to this daemon. Answers the service's part of what the
 * tenant asks for here of late; see hs_tenant_runs_note_ask.
 */
double hs_fleet_engines_note_tenant_ask(hs_fleet_engines *engines, const char *service,
                                        const char *tenant);

/** Time in ms of slots that this daemon's online requests of the tenant have asked for. */
uint64_t hs_fleet_engines_tenant_asked_ms(hs_fleet_engines *engines, const char *tenant);

/**
 * Ask batch items of this daemon to step aside where all daemons' requests together need more
 * slots than the engine has. Each daemon does its part by its share of the engine's batch items.
 * Returns how many were asked.
 */
uint32_t hs_fleet_engines_yield(hs_fleet_engines *engines);

/** This daemon's own load on all engines: of hs_engine_share. */
GArray *hs_fleet_engines_own_shares(hs_fleet_engines *engines);

/** What another daemon tells of itself. */
typedef struct {
    const GArray *shares;   /**< Its load: of hs_engine_share; borrowed. */
    uint64_t batch_work_ms; /**< See hs_fleet_engines_set_batch_work. */
    bool runs_batch;        /**< It owns partitions of jobs. */
} hs_peer_word;

/** Take another daemon's word, in place of what it told before. */
void hs_fleet_engines_put_peer(hs_fleet_engines *engines, const char *peer,
                               const hs_peer_word *word, uint64_t now_ms);

/** Work of a daemon's batch items that are to end in time, in ms of a slot: own, and told. */
void hs_fleet_engines_set_batch_work(hs_fleet_engines *engines, uint64_t work_ms);
uint64_t hs_fleet_engines_batch_work(hs_fleet_engines *engines);

/** The same of all other daemons together. */
double hs_fleet_engines_peers_batch_work(hs_fleet_engines *engines);

/** Whom changes of uses are told; NULL: nobody. Before the first request, or after the last. */
void hs_fleet_engines_set_teller(hs_fleet_engines *engines, hs_engine_use_teller teller,
                                 void *user_data);

/** What this daemon has on all engines: of hs_engine_use. Engines that it left lately are in it. */
GArray *hs_fleet_engines_own_uses(hs_fleet_engines *engines);

/** An arbiter's word on an engine. */
typedef struct {
    uint64_t engine_hash;
    uint32_t online; /**< Requests of all daemons, this one included. */
    uint32_t batch;
    uint32_t queued_tokens; /**< Of prompts that are not read yet. */
    bool is_failing;        /**< The receiver's request should go elsewhere; see engine_health.h. */
    uint32_t event_us; /**< Time that an event takes there, by all daemons' runs; 0: unknown. */
    uint32_t slowdown_percent; /**< See hs_engine_load; the engine's latest word. 0: none. */
    uint32_t slowdown_age_ms;
    uint32_t age_ms; /**< Since the arbiter said it; above 0 where another daemon passed it on. */
} hs_engine_total;

/** Take an arbiter's answer to this daemon: what waits for its word goes on. */
void hs_fleet_engines_put_total(hs_fleet_engines *engines, const hs_engine_total *total);

/**
 * Take a word that was passed on, or that this daemon as the arbiter knows itself. It counts where
 * it is fresher than what is known, and answers nobody's question.
 */
void hs_fleet_engines_put_passed_on(hs_fleet_engines *engines, const hs_engine_total *total);

/** Whether the fleet is so large that words are passed on; see engine_words.h. */
bool hs_fleet_engines_passes_words(hs_fleet_engines *engines);

/** Words of arbiters that are still valid, each with its age: of hs_engine_total. */
GArray *hs_fleet_engines_words(hs_fleet_engines *engines);

/** Count words that were passed on with an answer, and their bytes. */
void hs_fleet_engines_note_passed_on(hs_fleet_engines *engines, size_t words, size_t bytes);

/** Ask the batch items of this daemon on an engine of the highest rank to leave it; how many. */
uint32_t hs_fleet_engines_step_aside(hs_fleet_engines *engines, uint64_t engine_hash,
                                     uint32_t count);

/**
 * How many other daemons there are, and how many of them run batch items; of those that told
 * nothing lately the mean is assumed.
 */
void hs_fleet_engines_set_peers(hs_fleet_engines *engines, uint32_t peers, uint32_t batch_peers);

/** Close connections that engines have closed or are about to. */
void hs_fleet_engines_prune(hs_fleet_engines *engines);

/** Text for operators, one line an engine. Free with g_free. */
char *hs_fleet_engines_describe(hs_fleet_engines *engines);

/** New connections opened so far. */
uint64_t hs_fleet_engines_connects(hs_fleet_engines *engines);

/** Answers so far that did not go on where their request asked to. */
uint64_t hs_fleet_engines_misplaced(hs_fleet_engines *engines);

#endif
