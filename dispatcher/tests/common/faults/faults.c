/* Fault injection library that the tests preload into a dispatcher: system calls fail as Linux documents, the wall clock is
 * stepped, and writes are delayed. Environment variables select the faults; a call without its variable passes through.
 *
 *   FAULT_<CALL>=n        every n-th call of a kind fails: ACCEPT, SOCKET, CONNECT (local errors of connect, such as no free
 *                         port), UNREACHABLE (network errors of connect), RECV (EINTR or a short read), SEND (EINTR or a
 *                         short write), EPOLL (EINTR). The failures of a kind alternate.
 *   FAULT_ERRNO=n         SOCKET, CONNECT, UNREACHABLE and ACCEPT fail with this error number only.
 *   FAULT_WHILE=path      calls fail only while this file exists.
 *   FAULT_FOLDER=path     writes and syncs of files in this directory fail with ENOSPC and EIO in turn while the file of
 *                         FAULT_WHILE exists.
 *   FAULT_CLOCK=path      the file holds the offset of the wall clock, in seconds.
 *   FAULT_STALL=path      while the file exists, the first write with an X-Budget header passes on 16 bytes, and further
 *                         writes on its connection fail with EAGAIN.
 *   FAULT_HOLD=path       the file holds the delay of each write with an X-Budget header, in milliseconds.
 *   FAULT_HOLD_RECV=path  the file holds a port and a delay in milliseconds: each read on a connection with that port at either
 *                         end is delayed, which holds its thread as a shortage of processor time does. Not on the main thread.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define ORIGINAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define ARRAY_LENGTH(list) (sizeof(list) / sizeof((list)[0]))

static int is_active(void)
{
    const char *path = getenv("FAULT_WHILE");
    return !path || access(path, F_OK) == 0;
}

/* Counts a call of a kind. Returns 0 if it is to succeed, otherwise its number among the failures, from 1. */
static unsigned failure_number(const char *variable, unsigned *calls)
{
    const char *every = getenv(variable);
    unsigned n = every ? (unsigned)atoi(every) : 0;
    if (n == 0 || !is_active())
        return 0;
    unsigned call = __atomic_add_fetch(calls, 1, __ATOMIC_SEQ_CST);
    return call % n == 0 ? call / n : 0;
}

/* Fails with one of these errors in turn, or with the one in FAULT_ERRNO. */
static int fail(const int *errors, size_t count, unsigned failure)
{
    const char *only = getenv("FAULT_ERRNO");
    errno = only ? atoi(only) : errors[failure % count];
    return -1;
}

static int is_inet(int fd)
{
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    return getsockname(fd, (struct sockaddr *)&address, &length) == 0 && address.ss_family == AF_INET;
}

/* Reads the number in the file that this variable names; 0 without a file. */
static double read_number(const char *variable)
{
    const char *path = getenv(variable);
    int fd = path ? (int)ORIGINAL(open)(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return 0;
    char text[32] = {0};
    ssize_t length = ORIGINAL(read)(fd, text, sizeof text - 1);
    close(fd);
    return length > 0 ? atof(text) : 0;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    static unsigned calls;
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR, ENOMEM, EPROTO, ENETDOWN};
    unsigned failure = is_inet(fd) ? failure_number("FAULT_ACCEPT", &calls) : 0;
    return failure ? fail(errors, ARRAY_LENGTH(errors), failure) : ORIGINAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    static unsigned calls;
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    unsigned failure = domain == AF_INET ? failure_number("FAULT_SOCKET", &calls) : 0;
    return failure ? fail(errors, ARRAY_LENGTH(errors), failure) : ORIGINAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static unsigned calls, unreachable;
    static const int route_errors[] = {ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};
    static const int errors[] = {EADDRNOTAVAIL, ENOBUFS, EINTR, EAGAIN};
    unsigned failure = address->sa_family == AF_INET ? failure_number("FAULT_CONNECT", &calls) : 0;
    unsigned route_failure = address->sa_family == AF_INET ? failure_number("FAULT_UNREACHABLE", &unreachable) : 0;
    if (route_failure)
        return fail(route_errors, ARRAY_LENGTH(route_errors), route_failure);
    return failure ? fail(errors, ARRAY_LENGTH(errors), failure) : ORIGINAL(connect)(fd, address, length);
}

static unsigned port_of(int fd, int (*address_of)(int, struct sockaddr *, socklen_t *))
{
    struct sockaddr_in address = {0};
    socklen_t length = sizeof address;
    return address_of(fd, (struct sockaddr *)&address, &length) == 0 ? ntohs(address.sin_port) : 0;
}

/* Delays a read as the file of FAULT_HOLD_RECV says. */
static void hold_read(int fd)
{
    const char *path = getenv("FAULT_HOLD_RECV");
    FILE *file = path && gettid() != getpid() ? fopen(path, "re") : NULL;
    if (!file)
        return;
    unsigned port = 0, delay_ms = 0;
    int count = fscanf(file, "%u %u", &port, &delay_ms);
    fclose(file);
    if (count == 2 && (port_of(fd, getpeername) == port || port_of(fd, getsockname) == port))
        usleep(delay_ms * 1000);
}

/* Odd failures are EINTR, even ones a read of one byte. */
ssize_t recv(int fd, void *into, size_t size, int flags)
{
    static unsigned calls;
    hold_read(fd);
    unsigned failure = is_inet(fd) ? failure_number("FAULT_RECV", &calls) : 0;
    if (failure % 2 == 1) {
        errno = EINTR;
        return -1;
    }
    return ORIGINAL(recv)(fd, into, failure && size > 1 ? 1 : size, flags);
}

static int in_folder(int fd)
{
    const char *folder = getenv("FAULT_FOLDER");
    char link[64], path[512];
    if (!folder || !getenv("FAULT_WHILE") || !is_active())
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0)
        return 0;
    path[length] = 0;
    return strncmp(path, folder, strlen(folder)) == 0;
}

static unsigned disk_failures;

static int fail_disk(void)
{
    errno = __atomic_add_fetch(&disk_failures, 1, __ATOMIC_SEQ_CST) % 2 ? ENOSPC : EIO;
    return -1;
}

ssize_t write(int fd, const void *from, size_t size)
{
    if (!in_folder(fd))
        return ORIGINAL(write)(fd, from, size);
    /* A full disk writes a part before the error. */
    if (size > 8 && disk_failures % 2 == 0) {
        __atomic_add_fetch(&disk_failures, 1, __ATOMIC_SEQ_CST);
        return ORIGINAL(write)(fd, from, size / 2);
    }
    return fail_disk();
}

int fsync(int fd)
{
    return in_folder(fd) ? fail_disk() : ORIGINAL(fsync)(fd);
}

/* Whether a write is to stall. The first write with an X-Budget header passes on 16 bytes, and the next ones on its
 * connection fail with EAGAIN. `stalled` is -1 before the first one, then -2 - fd for it, then its fd. */
static int should_stall(int fd, const struct iovec *parts, int count, int *stalled)
{
    const char *path = getenv("FAULT_STALL");
    if (!path || access(path, F_OK) != 0)
        return 0;
    for (int i = 0; i < count && *stalled < 0; i++)
        if (memmem(parts[i].iov_base, parts[i].iov_len, "X-Budget:", 9))
            *stalled = -2 - fd;
    return *stalled == fd || *stalled == -2 - fd;
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    static unsigned calls;
    static int stalled = -1;
    if (should_stall(fd, parts, count, &stalled)) {
        if (stalled == fd) {
            errno = EAGAIN;
            return -1;
        }
        stalled = fd;
        struct iovec first = {parts[0].iov_base, parts[0].iov_len < 16 ? parts[0].iov_len : 16};
        return ORIGINAL(writev)(fd, &first, 1);
    }
    for (int i = 0; i < count; i++)
        if (memmem(parts[i].iov_base, parts[i].iov_len, "X-Budget:", 9))
            usleep((useconds_t)(read_number("FAULT_HOLD") * 1000));
    unsigned failure = is_inet(fd) ? failure_number("FAULT_SEND", &calls) : 0;
    if (failure % 2 == 1) {
        errno = EINTR;
        return -1;
    }
    if (failure && parts[0].iov_len > 1) {
        struct iovec one = {parts[0].iov_base, 1};
        return ORIGINAL(writev)(fd, &one, 1);
    }
    return ORIGINAL(writev)(fd, parts, count);
}

int epoll_wait(int epoll_fd, struct epoll_event *events, int max_events, int timeout)
{
    static unsigned calls;
    if (failure_number("FAULT_EPOLL", &calls)) {
        errno = EINTR;
        return -1;
    }
    return ORIGINAL(epoll_wait)(epoll_fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int status = ORIGINAL(clock_gettime)(clock, now);
    if (clock == CLOCK_REALTIME && status == 0)
        now->tv_sec += (time_t)read_number("FAULT_CLOCK");
    return status;
}
