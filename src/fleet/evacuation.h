/**
 * @file evacuation.h
 * Zones that the operator evacuates, as this daemon knows them, and what follows for requests to
 * their engines. Pure state; the caller synchronises access and passes monotonic times in ms that
 * include the time for which the process was suspended.
 *
 * The records come from the operator's topic of the store or from another daemon. Knowledge has a
 * position: the offset up to which the topic was read. A higher position replaces a lower one,
 * whatever the source, so that late answers and late datagrams change nothing.
 *
 * From the moment at which an evacuation is known, the zone's engines are the last resort of online
 * requests, and closed to all other work. They are closed to online requests too after half of the
 * time limit (evacuate_ms); the other half covers the time until the evacuation is known.
 */
#ifndef HS_FLEET_EVACUATION_H
#define HS_FLEET_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hs_evacuation hs_evacuation;

/** Maximum number of evacuated zones in a set from another daemon. */
#define HS_MAX_EVACUATED_ZONES 256

/** What the engines of a zone may be used for. */
typedef enum {
    HS_ZONE_OPEN,
    HS_ZONE_LAST_RESORT, /**< Online requests, if no other engine has a free slot. */
    HS_ZONE_CLOSED,
} hs_zone_use;

/** One record of the operator's topic. */
typedef struct {
    char *zone;
    uint64_t offset;
    bool is_evacuated; /**< false: the evacuation is withdrawn. */
} hs_evacuation_record;

/** All records that are known up to a position of the topic. */
typedef struct {
    uint64_t as_of_offset; /**< Offset up to which the topic was read; exclusive. */
    GArray *records;       /**< of hs_evacuation_record; owns the zones. */
} hs_evacuation_set;

/** Initialises an empty set; clear with hs_evacuation_set_clear. */
void hs_evacuation_set_init(hs_evacuation_set *set, uint64_t as_of_offset);
void hs_evacuation_set_clear(hs_evacuation_set *set);

/** Adds a record; @p zone is copied. */
void hs_evacuation_set_add(hs_evacuation_set *set, const char *zone, uint64_t offset,
                           bool is_evacuated);

/**
 * Returns why a set from another daemon is invalid, as a static text, or NULL if it is valid: zones
 * have names, and all records lie before the position.
 */
const char *hs_evacuation_set_fault(const hs_evacuation_set *set);

/** @p evacuate_ms: time limit; 0: zones are closed at once. Free with hs_evacuation_free. */
hs_evacuation *hs_evacuation_new(uint32_t evacuate_ms);

/** Frees the state. NULL is allowed. */
void hs_evacuation_free(hs_evacuation *state);

/** Sets the time limit; applies to evacuations that are learned later. */
void hs_evacuation_set_limit_ms(hs_evacuation *state, uint32_t evacuate_ms);
uint32_t hs_evacuation_limit_ms(const hs_evacuation *state);

/** Where a set comes from. */
typedef enum {
    HS_EVACUATION_FROM_STORE, /**< A read of all keys of the topic. */
    HS_EVACUATION_FROM_PEER,
} hs_evacuation_source;

/**
 * Replaces the known evacuations if the set's position is higher than the known one. Zones that the
 * set doesn't list are withdrawn. A read of the store that was sent (@p sent_ms, as for the store
 * only) after the last set of a peer had arrived applies even if its position is lower: the store
 * has lost its history, or the peer's position was wrong. Returns whether the set was applied.
 * Adds what changed to @p changes (of hs_evacuation_record, borrowed zones; may be NULL).
 */
bool hs_evacuation_apply_set(hs_evacuation *state, const hs_evacuation_set *set,
                             hs_evacuation_source source, uint64_t sent_ms, uint64_t now_ms,
                             GArray *changes);

/**
 * Applies the record at the known position or after it, as read by following the topic; earlier
 * ones are ignored. The position moves behind the record. @p zone: NULL for a record of another
 * key. Returns whether the zone's evacuation was learned or withdrawn.
 */
bool hs_evacuation_apply_record(hs_evacuation *state, const char *zone, bool is_evacuated,
                                uint64_t offset, uint64_t now_ms);

/** Returns what the engines of a zone may be used for. */
hs_zone_use hs_evacuation_zone_use(const hs_evacuation *state, const char *zone, uint64_t now_ms);

/**
 * Returns the time up to which the zone is known to have been evacuated: UINT64_MAX while it is,
 * the time at which this daemon learned of the withdrawal after that, 0 if it never was.
 */
uint64_t hs_evacuation_until_ms(const hs_evacuation *state, const char *zone);

/** Returns for how long the evacuation has been known, in ms; 0 if the zone isn't evacuated. */
uint64_t hs_evacuation_known_ms(const hs_evacuation *state, const char *zone, uint64_t now_ms);

/**
 * Notes that this daemon has no request at the zone's engines. Returns true once per evacuation,
 * when the zone is closed.
 */
bool hs_evacuation_note_drained(hs_evacuation *state, const char *zone, uint64_t now_ms);

/** Returns whether any zone is evacuated. */
bool hs_evacuation_has_zones(const hs_evacuation *state);

/** Returns whether a zone is or was evacuated, so that its state may differ from open. */
bool hs_evacuation_has_history(const hs_evacuation *state);

/** Adds all zones that are or were evacuated to @p set, and sets its position. */
void hs_evacuation_list(const hs_evacuation *state, hs_evacuation_set *set);

/** Returns whether @p set has a lower position and lists other evacuated zones than this state. */
bool hs_evacuation_is_newer(const hs_evacuation *state, const hs_evacuation_set *set);

/** Notes that the process runs; to be called every few tens of ms. Detects a suspension. */
void hs_evacuation_note_running(hs_evacuation *state, uint64_t now_ms);

/**
 * Notes the end of a read of the topic that was sent at @p sent_ms. To be called after the answer
 * was applied. Without an answer the daemon is cut off from the store and keeps what it knew.
 */
void hs_evacuation_note_read(hs_evacuation *state, uint64_t sent_ms, bool is_answered,
                             uint64_t now_ms);

/**
 * Returns whether the known evacuations may be relied on. They may not after a suspension in which
 * the time limit of an evacuation may have passed, until a read of the store that was sent after
 * it has ended. Always true if the time limit is 0.
 */
bool hs_evacuation_is_current(const hs_evacuation *state, uint64_t now_ms);

/**
 * Returns whether the known position lies beyond the end of the topic's log, as read by a call that
 * was sent at @p sent_ms, after the last set of a peer had arrived: that position is wrong, and all
 * keys are to be read anew.
 */
bool hs_evacuation_is_beyond(const hs_evacuation *state, uint64_t end, uint64_t sent_ms);

/** Returns whether the process was suspended since the last read of the store was sent. */
bool hs_evacuation_is_read_due(const hs_evacuation *state, uint64_t now_ms);

/**
 * Returns to how many other daemons, chosen at random, the evacuations are to be sent now: many
 * after a change, few at intervals while any zone is evacuated, otherwise none.
 */
uint32_t hs_evacuation_take_recipients(hs_evacuation *state, uint64_t now_ms);

#endif
