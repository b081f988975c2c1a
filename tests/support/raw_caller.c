/** @file raw_caller.c  See raw_caller.h. */
#include "tests/support/raw_caller.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 4096

struct raw_caller {
    int descriptor;
    GString *text;
    raw_state state;
};

raw_caller *raw_caller_open(uint16_t port) {
    struct sockaddr_in to = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0 || connect(descriptor, (struct sockaddr *)&to, sizeof to) != 0) {
        if (descriptor >= 0)
            close(descriptor);
        return NULL;
    }
    raw_caller *caller = g_new0(raw_caller, 1);
    caller->descriptor = descriptor;
    caller->text = g_string_new(NULL);
    return caller;
}

void raw_caller_close(raw_caller *caller) {
    if (caller == NULL)
        return;
    close(caller->descriptor);
    g_string_free(caller->text, TRUE);
    g_free(caller);
}

bool raw_caller_send(raw_caller *caller, const char *text) {
    size_t length = strlen(text);
    return send(caller->descriptor, text, length, MSG_NOSIGNAL) == (ssize_t)length;
}

void raw_caller_shutdown_send(raw_caller *caller) {
    shutdown(caller->descriptor, SHUT_WR);
}

/** Reads what arrives before @p limit, a monotonic time; returns false if nothing does. */
static bool read_some(raw_caller *caller, uint64_t limit) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (caller->state != RAW_OPEN || now_ms >= limit)
        return false;
    struct pollfd polled = {.fd = caller->descriptor, .events = POLLIN};
    if (poll(&polled, 1, (int)(limit - now_ms)) <= 0)
        return false;
    char bytes[READ_BYTES];
    ssize_t count = recv(caller->descriptor, bytes, sizeof bytes, 0);
    if (count > 0)
        g_string_append_len(caller->text, bytes, count);
    else
        caller->state = count == 0 ? RAW_CLOSED : RAW_RESET;
    return count > 0;
}

bool raw_caller_read_until(raw_caller *caller, const char *wanted, unsigned limit_ms) {
    uint64_t limit = hs_clock_monotonic_ms() + limit_ms;
    bool found = strstr(caller->text->str, wanted) != NULL;
    while (!found && read_some(caller, limit))
        found = strstr(caller->text->str, wanted) != NULL;
    return found;
}

raw_state raw_caller_read_to_end(raw_caller *caller, unsigned limit_ms) {
    uint64_t limit = hs_clock_monotonic_ms() + limit_ms;
    while (read_some(caller, limit))
        continue;
    return caller->state;
}

const char *raw_caller_text(const raw_caller *caller) {
    return caller->text->str;
}

bool raw_caller_read_length(raw_caller *caller, size_t length, unsigned limit_ms) {
    uint64_t limit = hs_clock_monotonic_ms() + limit_ms;
    while (caller->text->len < length && read_some(caller, limit))
        continue;
    return caller->text->len >= length;
}

uint64_t raw_caller_wait_closed(const raw_caller *caller, unsigned limit_ms) {
    struct pollfd polled = {.fd = caller->descriptor, .events = POLLRDHUP};
    return poll(&polled, 1, (int)limit_ms) > 0 ? hs_clock_monotonic_ms() : 0;
}

void raw_caller_forget_text(raw_caller *caller) {
    g_string_truncate(caller->text, 0);
}

raw_state raw_caller_state(const raw_caller *caller) {
    return caller->state;
}
