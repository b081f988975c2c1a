/** @file answer_check.h  Check of an engine's whole answer before it is forwarded. Pure. */
#ifndef HS_ONLINE_ANSWER_CHECK_H
#define HS_ONLINE_ANSWER_CHECK_H

#include <glib.h>
#include <stdbool.h>

/**
 * Returns whether the @p body agrees with the answer's header fields (of hs_http_field): a body of
 * a type that is UTF-8 by definition (JSON, an event stream) or by its charset must be valid UTF-8.
 * Bodies of other types, or with a content coding, may have any bytes.
 */
bool hs_answer_check_is_encoding_valid(const GArray *fields, const GByteArray *body);

#endif
