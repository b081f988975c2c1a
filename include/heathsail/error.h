/**
 * @file error.h
 * Errors as out-parameters: the caller passes an hs_error and the failing function fills it.
 *
 * Each layer defines its own codes. A layer that receives an error from a lower layer replaces the
 * code by one of its own and keeps the message. An hs_error is not synchronised.
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

/** Error codes of HS_LAYER_PLATFORM. */
typedef enum {
    HS_PLATFORM_REFUSED = 1, /**< The platform rejected the request without effect. */
    HS_PLATFORM_UNKNOWN,     /**< No response: the request may have taken effect. */
    HS_PLATFORM_NOT_FOUND,   /**< The named object does not exist. */
    HS_PLATFORM_MALFORMED,   /**< The data could not be parsed. */
    HS_PLATFORM_BUSY,        /**< The appender's queue is full: nothing was sent. */
} hs_platform_code;

/** Error codes of HS_LAYER_ENGINE. */
typedef enum {
    HS_ENGINE_UNREACHABLE = 1, /**< No connection: the engine received nothing. */
    HS_ENGINE_REFUSED,         /**< The engine refused the request without executing it. */
    HS_ENGINE_DISCONNECTED,    /**< The connection broke: the request may have been executed. */
    HS_ENGINE_INVALID,         /**< The engine rejected the request as invalid. */
} hs_engine_code;

/** Error codes of the other layers. */
typedef enum {
    HS_INVALID = 1,    /**< The input is invalid. */
    HS_NOT_FOUND,      /**< The named object does not exist. */
    HS_CONFLICT,       /**< A newer revision exists; the change was not applied. */
    HS_UNAVAILABLE,    /**< Refused without execution; the caller can retry. */
    HS_UNKNOWN_RESULT, /**< The request may have taken effect. */
    HS_DEADLINE,       /**< The caller's deadline passed. */
} hs_code;

#define HS_ERROR_MESSAGE_SIZE 256

/** An error. The caller owns the struct and zero-initialises it before use. */
typedef struct {
    hs_layer layer;
    int code; /**< A code of the layer; 0: no error. */
    char message[HS_ERROR_MESSAGE_SIZE];
} hs_error;

/** Fills @p error (may be NULL) with a printf-formatted message. Returns @p code. */
int hs_error_set(hs_error *error, hs_layer layer, int code, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * Fills @p error (may be NULL) with @p layer, @p code and the message of @p cause (not NULL).
 * Returns @p code.
 */
int hs_error_wrap(hs_error *error, hs_layer layer, int code, const hs_error *cause);

#endif
