/**
 * @file config_fold.h
 * Pure fold of the configuration stream: which changes were accepted, what is in force.
 *
 * A change carries the revision of the object that it was made against; it is accepted when that
 * is still the object's revision at its place in the stream, and rejected otherwise, by every
 * reader alike. A repeated record is rejected by the same rule, since its base has been overtaken.
 * A deleted object keeps its revision, so that a late repeat of its creation cannot bring it back.
 */
#ifndef HS_CONFIG_CONFIG_FOLD_H
#define HS_CONFIG_CONFIG_FOLD_H

#include "gen/record.pb-c.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** One object; objects with content NULL are deleted. */
typedef struct {
    char *kind;
    char *name;
    uint64_t revision; /**< Offset + 1 of the accepted change. */
    char *change_id;   /**< Of the accepted change. */
    json_t *content;
} hs_config_object;

typedef struct {
    GHashTable *objects;  /**< "kind/name" -> hs_config_object */
    uint64_t next_offset; /**< Records below it are folded; also the revision of the whole. */
} hs_config_fold;

typedef enum {
    HS_CHANGE_ACCEPTED,
    HS_CHANGE_REJECTED, /**< Its base revision was overtaken. */
    HS_CHANGE_IGNORED,  /**< Out of order or malformed: no effect. */
} hs_change_verdict;

hs_config_fold *hs_config_fold_new(void);
void hs_config_fold_free(hs_config_fold *fold);

/** Apply the record at @p offset, which must be the fold's next one. */
hs_change_verdict hs_config_fold_apply(hs_config_fold *fold, uint64_t offset,
                                       const Hs__ConfigChange *change);

/** The object, deleted or not; NULL when the name was never used. Borrowed. */
const hs_config_object *hs_config_fold_find(const hs_config_fold *fold, const char *kind,
                                            const char *name);

#endif
