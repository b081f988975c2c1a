/**
 * @file endpoint.h
 * Parsing of "IPv4:port" endpoints. Thread-safe; an hs_endpoint owns no memory.
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
    uint16_t port;    /**< Not 0 in a parsed endpoint. */
} hs_endpoint;

/** Parses @p text (may be NULL). Returns false and zeroes @p endpoint if the text is invalid. */
bool hs_endpoint_parse(const char *text, hs_endpoint *endpoint);

/** Parses an IPv4 address without a port. Returns the address in host order; 0 if invalid. */
uint32_t hs_endpoint_parse_address(const char *host);

#endif
