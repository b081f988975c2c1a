/**
 * @file software_history.h
 * Software versions that engines of a service have had recently. Tells whether a stream of unknown
 * origin can only have begun at one version. Pure state; the caller synchronises access and passes
 * monotonic times in ms.
 */
#ifndef HS_FLEET_SOFTWARE_HISTORY_H
#define HS_FLEET_SOFTWARE_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Longest time from a stream's first event until its caller takes it up. */
#define HS_MAX_STREAM_AGE_MS 30000

typedef struct hs_software_history hs_software_history;

/**
 * Returns the identity of an engine's software: a hash of its service and version; 0 if
 * @p version is NULL.
 */
uint64_t hs_software_id(const char *service, const char *version);

hs_software_history *hs_software_history_new(void);
void hs_software_history_free(hs_software_history *history);

/** Records that an engine of the service with this software is listed no longer. */
void hs_software_history_note_removed(hs_software_history *history, const char *service,
                                      uint64_t software, uint64_t now_ms);

/** Records that all removals since @p since_ms are known; the earliest call counts. */
void hs_software_history_note_complete(hs_software_history *history, uint64_t since_ms);

/** Records that removals up to @p now_ms may be unknown. */
void hs_software_history_note_gap(hs_software_history *history, uint64_t now_ms);

/** Reports whether the removals of the last HS_MAX_STREAM_AGE_MS are known. */
bool hs_software_history_is_complete(const hs_software_history *history, uint64_t now_ms);

/**
 * Returns the software that engines of the service had within the last HS_MAX_STREAM_AGE_MS and
 * that were removed since: of uint64_t, without duplicates. Free with g_array_unref.
 */
GArray *hs_software_history_list_removed(hs_software_history *history, const char *service,
                                         uint64_t now_ms);

/**
 * Returns how long ago the last engine of the service with this software was removed; 0: unknown.
 */
uint64_t hs_software_history_absent_ms(const hs_software_history *history, const char *service,
                                       uint64_t software, uint64_t now_ms);

/** Adds @p software to @p list, an array of uint64_t, unless it is listed. */
void hs_software_list_add(GArray *list, uint64_t software);

#endif
