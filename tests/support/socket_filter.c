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

/** Attaches a filter by which the kernel drops all packets for the socket. */
static bool drop_packets(int descriptor) {
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &drop_all};
    return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

static bool is_datagram_socket_of(int descriptor, uint16_t port) {
    struct sockaddr_in local = {0};
    socklen_t local_length = sizeof local;
    int found_type = 0;
    socklen_t type_length = sizeof found_type;
    return getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &found_type, &type_length) == 0 &&
           found_type == SOCK_DGRAM &&
           getsockname(descriptor, (struct sockaddr *)&local, &local_length) == 0 &&
           local.sin_family == AF_INET && ntohs(local.sin_port) == port;
}

int socket_filter_drop_datagrams(pid_t pid, uint16_t port) {
    g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
    DIR *directory = opendir(path);
    int process = (int)syscall(SYS_pidfd_open, pid, 0);
    if (directory == NULL || process < 0)
        g_error("cannot list the sockets of process %d", (int)pid);
    int affected = 0;
    for (struct dirent *entry = readdir(directory); entry != NULL; entry = readdir(directory)) {
        int descriptor = (int)syscall(SYS_pidfd_getfd, process, atoi(entry->d_name), 0);
        if (descriptor < 0)
            continue;
        affected += is_datagram_socket_of(descriptor, port) && drop_packets(descriptor);
        close(descriptor);
    }
    close(process);
    closedir(directory);
    return affected;
}
