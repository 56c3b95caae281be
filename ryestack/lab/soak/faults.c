/*
 * Fault injection into system calls, for LD_PRELOAD in the relays of a soak test. Calls fail as Linux documents.
 *
 * SOAK_FAULTS names a file that is mapped as struct control, so that the test can switch faults on and off while
 * processes run. File operations fail only in the folder that SOAK_FAULTS_FOLDER names. Each injected fault is
 * counted in the same file. fault_control.py uses the same layout as struct control.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum fault {
    ACCEPT_FAILS, SOCKET_FAILS, CONNECT_FAILS, WRITE_FAILS, WRITE_SHORT, TRUNCATE_FAILS, RENAME_FAILS,
    OPEN_FAILS, SEND_SHORT, RECEIVE_SHORT, RECEIVE_FAILS, WAIT_INTERRUPTED, DISK_SLOW, FAULTS
};

struct control {
    double wall_offset; /* seconds added to the wall clock */
    struct { uint32_t parts_per_million; int32_t error; } faults[FAULTS];
    uint32_t injected[FAULTS];
};

static struct control *control;
static char folder[4096];
static __thread uint64_t random_state;

/* Looked up once: dlsym takes a lock, and a signal handler that calls a function below would wait for it for ever
   if the signal came within dlsym. */
#define REAL(name)                                                                                          \
    ({                                                                                                      \
        static __typeof__(&name) found;                                                                     \
        if (!found)                                                                                         \
            found = (__typeof__(&name))dlsym(RTLD_NEXT, #name);                                             \
        found;                                                                                              \
    })

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("SOAK_FAULTS"), *within = getenv("SOAK_FAULTS_FOLDER");
    if (!path)
        return;
    int descriptor = REAL(open)(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED)
        control = mapped;
    if (within && !realpath(within, folder))
        folder[0] = 0;
}

static uint32_t draw(void)
{
    if (!random_state) {
        struct timespec now;
        syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
        random_state = ((uint64_t)getpid() << 32) ^ (uint64_t)now.tv_nsec ^ 0x9e3779b97f4a7c15ull;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)((random_state >> 20) % 1000000u);
}

static int strikes(enum fault which)
{
    if (!control || !control->faults[which].parts_per_million)
        return 0;
    if (draw() >= control->faults[which].parts_per_million)
        return 0;
    __atomic_add_fetch(&control->injected[which], 1, __ATOMIC_RELAXED);
    errno = control->faults[which].error;
    return 1;
}

static void stand_still(void)
{
    int longest = control->faults[DISK_SLOW].error; /* milliseconds; at least 10 */
    usleep(10000 + draw() % (uint32_t)((longest > 10 ? longest - 10 : 1) * 1000));
}

static int armed(enum fault which)
{
    return control && control->faults[which].parts_per_million;
}

static int path_is_ours(const char *path)
{
    char resolved[4096], copy[4096];
    if (!folder[0] || strlen(path) >= sizeof copy)
        return 0;
    strcpy(copy, path);
    char *slash = strrchr(copy, '/');
    if (!slash)
        return 0;
    *slash = 0;
    return realpath(copy, resolved) && strcmp(resolved, folder) == 0;
}

static int descriptor_is_ours(int descriptor)
{
    char link[64], path[4096];
    struct stat status;
    if (fstat(descriptor, &status) || !S_ISREG(status.st_mode))
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0)
        return 0;
    path[length] = 0;
    size_t whole = strlen(folder);
    return whole && strncmp(path, folder, whole) == 0 && path[whole] == '/';
}

/* A file operation in the folder that takes long, without an error. */
static void slow_path(const char *path)
{
    if (armed(DISK_SLOW) && path_is_ours(path) && strikes(DISK_SLOW))
        stand_still();
}

static void slow_descriptor(int descriptor)
{
    if (armed(DISK_SLOW) && descriptor_is_ours(descriptor) && strikes(DISK_SLOW))
        stand_still();
}

/* -- clocks ------------------------------------------------------------------------------------------ */

static void shift(struct timespec *when)
{
    int64_t nanoseconds = when->tv_sec * 1000000000ll + when->tv_nsec;
    nanoseconds += (int64_t)(control->wall_offset * 1e9);
    when->tv_sec = nanoseconds / 1000000000ll;
    when->tv_nsec = nanoseconds % 1000000000ll;
}

int clock_gettime(clockid_t clock, struct timespec *when)
{
    int status = REAL(clock_gettime)(clock, when);
    if (!status && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        shift(when);
    return status;
}

int gettimeofday(struct timeval *restrict when, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    when->tv_sec = now.tv_sec;
    when->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *when)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (when)
        *when = now.tv_sec;
    return now.tv_sec;
}

/* -- sockets ----------------------------------------------------------------------------------------- */

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    if (strikes(ACCEPT_FAILS))
        return -1;
    return REAL(accept4)(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    if (strikes(ACCEPT_FAILS))
        return -1;
    return REAL(accept)(descriptor, address, length);
}

int socket(int domain, int type, int protocol)
{
    if (domain == AF_INET && strikes(SOCKET_FAILS))
        return -1;
    return REAL(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    if (address->sa_family == AF_INET && strikes(CONNECT_FAILS))
        return -1;
    return REAL(connect)(descriptor, address, length);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags)
{
    if (size > 1 && strikes(SEND_SHORT))
        size = 1 + draw() % (size - 1);
    return REAL(send)(descriptor, data, size, flags);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags)
{
    if (message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 1 && strikes(SEND_SHORT)) {
        size_t size = 1 + draw() % (message->msg_iov[0].iov_len - 1);
        return REAL(send)(descriptor, message->msg_iov[0].iov_base, size, flags);
    }
    return REAL(sendmsg)(descriptor, message, flags);
}

ssize_t recv(int descriptor, void *data, size_t size, int flags)
{
    if (strikes(RECEIVE_FAILS)) {
        int error = errno;
        struct linger reset = {1, 0}; /* the peer must see a reset, not an orderly close */
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        errno = error;
        return -1;
    }
    if (size > 1 && strikes(RECEIVE_SHORT))
        size = 1 + draw() % (size < 200 ? size - 1 : 200);
    return REAL(recv)(descriptor, data, size, flags);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout)
{
    if (strikes(WAIT_INTERRUPTED))
        return -1;
    return REAL(epoll_wait)(descriptor, events, most, timeout);
}

/* -- files ------------------------------------------------------------------------------------------- */

ssize_t write(int descriptor, const void *data, size_t size)
{
    slow_descriptor(descriptor);
    if (armed(WRITE_FAILS) || armed(WRITE_SHORT)) {
        if (descriptor_is_ours(descriptor)) {
            if (strikes(WRITE_FAILS))
                return -1;
            if (size > 1 && strikes(WRITE_SHORT))
                size = 1 + draw() % (size - 1);
        }
    }
    return REAL(write)(descriptor, data, size);
}

static int truncate_fails(int descriptor)
{
    return armed(TRUNCATE_FAILS) && descriptor_is_ours(descriptor) && strikes(TRUNCATE_FAILS);
}

int ftruncate(int descriptor, off_t length)
{
    slow_descriptor(descriptor);
    return truncate_fails(descriptor) ? -1 : REAL(ftruncate)(descriptor, length);
}

int ftruncate64(int descriptor, off64_t length)
{
    slow_descriptor(descriptor);
    return truncate_fails(descriptor) ? -1 : REAL(ftruncate64)(descriptor, length);
}

int unlink(const char *path)
{
    slow_path(path);
    return REAL(unlink)(path);
}

int rename(const char *from, const char *to)
{
    slow_path(to);
    if (armed(RENAME_FAILS) && path_is_ours(to) && strikes(RENAME_FAILS))
        return -1;
    return REAL(rename)(from, to);
}

static int open_fails(const char *path, int flags)
{
    return (flags & O_CREAT) && armed(OPEN_FAILS) && path_is_ours(path) && access(path, F_OK)
        && strikes(OPEN_FAILS);
}

int open(const char *path, int flags, ...)
{
    va_list more;
    va_start(more, flags);
    mode_t mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_fails(path, flags) ? -1 : REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...)
{
    va_list more;
    va_start(more, flags);
    mode_t mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_fails(path, flags) ? -1 : REAL(open64)(path, flags, mode);
}
