/* Preloaded into a dispatcher by the tests: system calls fail as Linux documents, the wall clock is stepped, and writes are
 * held up. Everything follows from environment variables; without one, a call passes through.
 *
 *   FAULT_<CALL>=n        each n-th call of a kind fails: ACCEPT, SOCKET, CONNECT (for want of something here),
 *                         UNREACHABLE (a connect, for want of a way), RECV (EINTR or a short read), SEND (EINTR or a short
 *                         write), EPOLL (EINTR). The failures of a kind take turns.
 *   FAULT_ERRNO=n         SOCKET and CONNECT fail with this number alone.
 *   FAULT_WHILE=path      calls fail only while this file is there.
 *   FAULT_FOLDER=path     writes and syncs of files below fail with ENOSPC and EIO in turn while FAULT_WHILE is there.
 *   FAULT_CLOCK=path      the file holds the seconds by which the wall clock is stepped.
 *   FAULT_STALL=path      while the file is there, the first write that tells a worker its deadline passes a few bytes on and
 *                         no more.
 *   FAULT_HOLD=path       the file holds the milliseconds by which a write is held up that tells a worker its deadline.
 */
#define _GNU_SOURCE
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

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

static int allowed(void)
{
    const char *path = getenv("FAULT_WHILE");
    return !path || access(path, F_OK) == 0;
}

/* Counts a call of a kind; its number among the failures from 1 on if it fails, else 0. */
static unsigned fails(const char *variable, unsigned *calls)
{
    const char *every = getenv(variable);
    unsigned n = every ? (unsigned)atoi(every) : 0;
    if (n == 0 || !allowed())
        return 0;
    unsigned call = __atomic_add_fetch(calls, 1, __ATOMIC_SEQ_CST);
    return call % n == 0 ? call / n : 0;
}

/* Fails with the next of some numbers, or with the one that is told. */
static int fail(const int *numbers, size_t count, unsigned turn)
{
    const char *told = getenv("FAULT_ERRNO");
    errno = told ? atoi(told) : numbers[turn % count];
    return -1;
}

static int is_inet(int fd)
{
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    return getsockname(fd, (struct sockaddr *)&address, &length) == 0 && address.ss_family == AF_INET;
}

/* The number that a file holds, 0 where there is none. */
static double told(const char *variable)
{
    const char *path = getenv(variable);
    int fd = path ? (int)NEXT(open)(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return 0;
    char text[32] = {0};
    ssize_t length = NEXT(read)(fd, text, sizeof text - 1);
    close(fd);
    return length > 0 ? atof(text) : 0;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    static unsigned calls;
    static const int numbers[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR, ENOMEM, EPROTO, ENETDOWN};
    unsigned turn = is_inet(fd) ? fails("FAULT_ACCEPT", &calls) : 0;
    return turn ? fail(numbers, COUNT(numbers), turn) : NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    static unsigned calls;
    static const int numbers[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    unsigned turn = domain == AF_INET ? fails("FAULT_SOCKET", &calls) : 0;
    return turn ? fail(numbers, COUNT(numbers), turn) : NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static unsigned calls, unreachable;
    static const int routes[] = {ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};
    static const int numbers[] = {EADDRNOTAVAIL, ENOBUFS, EINTR, EAGAIN};
    unsigned turn = address->sa_family == AF_INET ? fails("FAULT_CONNECT", &calls) : 0;
    unsigned lost = address->sa_family == AF_INET ? fails("FAULT_UNREACHABLE", &unreachable) : 0;
    if (lost)
        return fail(routes, COUNT(routes), lost);
    return turn ? fail(numbers, COUNT(numbers), turn) : NEXT(connect)(fd, address, length);
}

/* An odd failure is EINTR, an even one a short call of a byte. */
ssize_t recv(int fd, void *into, size_t size, int flags)
{
    static unsigned calls;
    unsigned turn = is_inet(fd) ? fails("FAULT_RECV", &calls) : 0;
    if (turn % 2 == 1) {
        errno = EINTR;
        return -1;
    }
    return NEXT(recv)(fd, into, turn && size > 1 ? 1 : size, flags);
}

static int in_folder(int fd)
{
    const char *folder = getenv("FAULT_FOLDER");
    char link[64], path[512];
    if (!folder || !getenv("FAULT_WHILE") || !allowed())
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
        return NEXT(write)(fd, from, size);
    /* A full disk takes a part before it says so. */
    if (size > 8 && disk_failures % 2 == 0) {
        __atomic_add_fetch(&disk_failures, 1, __ATOMIC_SEQ_CST);
        return NEXT(write)(fd, from, size / 2);
    }
    return fail_disk();
}

int fsync(int fd)
{
    return in_folder(fd) ? fail_disk() : NEXT(fsync)(fd);
}

/* Whether a write is to stall: the first one that tells a worker its deadline passes 16 bytes on, and the next ones on its
 * connection find no room. */
static int stalls(int fd, const struct iovec *parts, int count, int *stalled)
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
    if (stalls(fd, parts, count, &stalled)) {
        if (stalled == fd) {
            errno = EAGAIN;
            return -1;
        }
        stalled = fd;
        struct iovec first = {parts[0].iov_base, parts[0].iov_len < 16 ? parts[0].iov_len : 16};
        return NEXT(writev)(fd, &first, 1);
    }
    for (int i = 0; i < count; i++)
        if (memmem(parts[i].iov_base, parts[i].iov_len, "X-Budget:", 9))
            usleep((useconds_t)(told("FAULT_HOLD") * 1000));
    unsigned turn = is_inet(fd) ? fails("FAULT_SEND", &calls) : 0;
    if (turn % 2 == 1) {
        errno = EINTR;
        return -1;
    }
    if (turn && parts[0].iov_len > 1) {
        struct iovec one = {parts[0].iov_base, 1};
        return NEXT(writev)(fd, &one, 1);
    }
    return NEXT(writev)(fd, parts, count);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout)
{
    static unsigned calls;
    if (fails("FAULT_EPOLL", &calls)) {
        errno = EINTR;
        return -1;
    }
    return NEXT(epoll_wait)(epoll, events, most, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int done = NEXT(clock_gettime)(clock, now);
    if (clock == CLOCK_REALTIME && done == 0)
        now->tv_sec += (time_t)told("FAULT_CLOCK");
    return done;
}
