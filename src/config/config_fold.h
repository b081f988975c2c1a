/**
 * @file config_fold.h
 * Folds the configuration stream into the current objects and decides which changes are accepted.
 * The fold is deterministic and does no I/O; the caller serialises access to it.
 *
 * A change carries a base revision: the revision of the object for which the change was made. The
 * change is accepted if that is still the object's revision at the change's offset, and rejected
 * otherwise, so all readers of the stream decide alike. A repeated record is rejected by the same
 * rule. A deleted object keeps its revision, so a late repeat of its creation cannot restore it.
 */
#ifndef HS_CONFIG_CONFIG_FOLD_H
#define HS_CONFIG_CONFIG_FOLD_H

#include "gen/record.pb-c.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** One configuration object. */
typedef struct {
    char *kind;
    char *name;
    uint64_t revision; /**< Offset of the last accepted change, plus 1. */
    char *change_id;   /**< Identifier of the last accepted change. */
    json_t *content;   /**< NULL: deleted. */
} hs_config_object;

typedef struct {
    GHashTable *objects;  /**< "kind/name" -> hs_config_object */
    uint64_t next_offset; /**< Offset of the next record; the revision of the whole fold. */
} hs_config_fold;

typedef enum {
    HS_CHANGE_ACCEPTED,
    HS_CHANGE_REJECTED, /**< The base revision is not the object's current revision. */
    HS_CHANGE_IGNORED,  /**< Out of order or malformed: the objects are unchanged. */
} hs_change_verdict;

/** Returns an empty fold; free with hs_config_fold_free. */
hs_config_fold *hs_config_fold_new(void);

/** Frees @p fold. NULL is allowed. */
void hs_config_fold_free(hs_config_fold *fold);

/**
 * Applies the record at @p offset. A record at any other offset than next_offset is ignored. A NULL
 * @p change stands for a record that could not be decoded: the offset advances, nothing else.
 */
hs_change_verdict hs_config_fold_apply(hs_config_fold *fold, uint64_t offset,
                                       const Hs__ConfigChange *change);

/** Returns the object, deleted or not, or NULL if the name was never used. Borrowed. */
const hs_config_object *hs_config_fold_find(const hs_config_fold *fold, const char *kind,
                                            const char *name);

#endif
