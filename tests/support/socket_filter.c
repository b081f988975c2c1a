/** @file socket_filter.c  See socket_filter.h. */
#include "tests/support/socket_filter.h"

#include <dirent.h>
#include <glib.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

/** Changes one socket of the process; @p filter is NULL if a filter is to be removed. */
static bool change_filter(int descriptor, const struct sock_fprog *filter) {
    int unused = 0;
    if (filter != NULL)
        return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, filter, sizeof *filter) == 0;
    setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    return true;
}

/** Whether the socket has this type and local port. */
static bool is_socket_of(int descriptor, int type, uint16_t port) {
    struct sockaddr_in local = {0};
    socklen_t local_length = sizeof local;
    int found_type = 0;
    socklen_t type_length = sizeof found_type;
    return getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &found_type, &type_length) == 0 &&
           found_type == type &&
           getsockname(descriptor, (struct sockaddr *)&local, &local_length) == 0 &&
           local.sin_family == AF_INET && ntohs(local.sin_port) == port;
}

/** Changes the filter of all sockets of a type and local port; returns how many there are. */
static int change_filters(pid_t pid, int type, uint16_t port, const struct sock_fprog *filter) {
    g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
    DIR *directory = opendir(path);
    int process = (int)syscall(SYS_pidfd_open, pid, 0);
    if (directory == NULL || process < 0)
        g_error("cannot list the sockets of process %d", (int)pid);
    int changed = 0;
    for (struct dirent *entry = readdir(directory); entry != NULL; entry = readdir(directory)) {
        int descriptor = (int)syscall(SYS_pidfd_getfd, process, atoi(entry->d_name), 0);
        if (descriptor < 0)
            continue;
        changed += is_socket_of(descriptor, type, port) && change_filter(descriptor, filter);
        close(descriptor);
    }
    close(process);
    closedir(directory);
    return changed;
}

int socket_filter_drop_datagrams(pid_t pid, uint16_t port, uint16_t from_port) {
    struct sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    struct sock_filter drop_some[] = {
        BPF_STMT(BPF_LD | BPF_H | BPF_ABS, 0), BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, from_port, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, UINT32_MAX)};
    struct sock_fprog all = {.len = G_N_ELEMENTS(drop_all), .filter = drop_all};
    struct sock_fprog some = {.len = G_N_ELEMENTS(drop_some), .filter = drop_some};
    return change_filters(pid, SOCK_DGRAM, port,
                          from_port == SOCKET_FILTER_ANY_PORT ? &all : &some);
}

int socket_filter_drop_connections(pid_t pid, uint16_t port) {
    struct sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    struct sock_fprog all = {.len = G_N_ELEMENTS(drop_all), .filter = drop_all};
    return change_filters(pid, SOCK_STREAM, port, &all);
}

void socket_filter_clear(pid_t pid, uint16_t port) {
    change_filters(pid, SOCK_STREAM, port, NULL);
    change_filters(pid, SOCK_DGRAM, port, NULL);
}
