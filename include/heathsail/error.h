/**
 * @file error.h
 * The error that is passed down: a caller hands in an hs_error, a failing function fills it.
 *
 * Each layer has its own codes. A layer that calls a lower one turns the lower error into its own
 * code and keeps the text as the cause.
 */
#ifndef HEATHSAIL_ERROR_H
#define HEATHSAIL_ERROR_H

/** The layer an error code belongs to. */
typedef enum {
    HS_LAYER_BASE,
    HS_LAYER_SETTINGS,
    HS_LAYER_PLATFORM,
    HS_LAYER_ENGINE,
    HS_LAYER_CONFIG,
    HS_LAYER_BATCH,
    HS_LAYER_ROUTING,
    HS_LAYER_HTTP,
} hs_layer;

/** Codes of the platform port. */
typedef enum {
    HS_PLATFORM_REFUSED = 1, /**< The platform answered that it did nothing. */
    HS_PLATFORM_UNKNOWN,     /**< No answer: the action may have taken effect. */
    HS_PLATFORM_NOT_FOUND,   /**< The named thing does not exist. */
    HS_PLATFORM_MALFORMED,   /**< The answer could not be understood. */
    HS_PLATFORM_BUSY,        /**< The appender's ring is full: nothing was sent. */
} hs_platform_code;

/** Codes of the engine port. */
typedef enum {
    HS_ENGINE_UNREACHABLE = 1, /**< No connection: no byte reached the engine. */
    HS_ENGINE_REFUSED,         /**< The engine refused by protocol: it did not run. */
    HS_ENGINE_CUT,             /**< The stream broke: the request may have run. */
    HS_ENGINE_INVALID,         /**< The engine found the request invalid. */
} hs_engine_code;

/** Codes of the settings, configuration, batch and routing layers. */
typedef enum {
    HS_INVALID = 1,    /**< The caller's input breaks a rule. */
    HS_NOT_FOUND,      /**< The named object does not exist. */
    HS_CONFLICT,       /**< A change lost against a newer revision. */
    HS_UNAVAILABLE,    /**< Refused; certainly not run; try again later. */
    HS_UNKNOWN_RESULT, /**< It may or may not have taken effect. */
    HS_DEADLINE,       /**< The caller's deadline has passed. */
} hs_code;

#define HS_ERROR_MESSAGE_SIZE 256

/** An error; the caller owns it, usually on its stack. Zero-initialise before use. */
typedef struct {
    hs_layer layer;
    int code; /**< One of the layer's codes; 0 means no error. */
    char message[HS_ERROR_MESSAGE_SIZE];
} hs_error;

/** Fill @p error (may be NULL) and return @p code, so that callers can `return hs_error_set(...)`.
 */
int hs_error_set(hs_error *error, hs_layer layer, int code, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Turn @p cause from a lower layer into this layer's @p code, keeping its text. */
int hs_error_wrap(hs_error *error, hs_layer layer, int code, const hs_error *cause);

#endif
