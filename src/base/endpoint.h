/**
 * @file endpoint.h
 * "IPv4:port" as it stands in settings, listings and seeds.
 */
#ifndef HS_BASE_ENDPOINT_H
#define HS_BASE_ENDPOINT_H

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdint.h>

/** A TCP or UDP endpoint. */
typedef struct {
    char host[INET_ADDRSTRLEN];
    uint32_t address; /**< IPv4 number in host order. */
    uint16_t port;    /**< Not 0 once parsed. */
} hs_endpoint;

/** Parse @p text (may be NULL). False, and @p endpoint empty, where it is not IPv4:port. */
bool hs_endpoint_parse(const char *text, hs_endpoint *endpoint);

/** Parse an IPv4 number alone into host order; 0 where it is none. */
uint32_t hs_endpoint_address(const char *host);

#endif
