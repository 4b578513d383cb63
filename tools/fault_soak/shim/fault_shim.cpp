// A library to be preloaded into a gateway: system calls fail, are cut short or interrupted in the ways that
// Linux documents, and the wall clock steps, as the control file says. Without that file nothing changes.
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <sys/un.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <new>
#include <random>

#include "../shim_control.h"

namespace {
using fault_soak::ShimControl;

constexpr std::size_t short_part = 3;
constexpr int most_vectors = 64;

ShimControl* map_control() {
    static ShimControl none;
    const char* const path = std::getenv(fault_soak::shim_control_variable);
    const int file =
        path != nullptr ? static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC)) : -1;
    if (file < 0) return &none;
    void* const mapped = ::mmap(nullptr, sizeof(ShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return mapped == MAP_FAILED ? &none : static_cast<ShimControl*>(mapped);
}
ShimControl& control() {
    static ShimControl* const mapped = map_control();
    return *mapped;
}

std::minstd_rand& random_source() {
    static std::minstd_rand source([] {
        const char* const seed = std::getenv(fault_soak::shim_seed_variable);
        return static_cast<unsigned>(seed != nullptr ? std::atol(seed) : 1) + 1;
    }());
    return source;
}
bool happens(const std::atomic<std::uint32_t>& chance) {
    const std::uint32_t thousandths = chance.load(std::memory_order_relaxed);
    return thousandths > 0 && random_source()() % 1000 < thousandths;
}
int one_of(std::initializer_list<int> errors) { return errors.begin()[random_source()() % errors.size()]; }
int fail(int error) {
    errno = error;
    return -1;
}

template <class Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

bool is_stream(int socket) {
    int domain = 0, type = 0;
    socklen_t size = sizeof type;
    if (::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM) return false;
    size = sizeof domain;
    return ::getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}
std::size_t short_of(std::size_t size) { return std::max<std::size_t>(1, size / short_part); }

// Copies the vectors, cut to a part of their bytes; the number of them.
int cut(const iovec* from, std::size_t count, iovec* to) {
    const int vectors = static_cast<int>(std::min<std::size_t>(count, most_vectors));
    std::size_t all = 0;
    for (int i = 0; i < vectors; ++i) all += from[i].iov_len;
    std::size_t left = short_of(all);
    for (int i = 0; i < vectors; ++i) {
        to[i] = {from[i].iov_base, std::min(from[i].iov_len, left)};
        left -= to[i].iov_len;
    }
    return vectors;
}
bool is_empty(const msghdr& message) {
    for (std::size_t i = 0; i < message.msg_iovlen; ++i)
        if (message.msg_iov[i].iov_len > 0) return false;
    return true;
}
}  // namespace

extern "C" {

ssize_t send(int socket, const void* bytes, size_t size, int flags) {
    static const auto real = next<ssize_t(int, const void*, size_t, int)>("send");
    const bool cuts = size > 1 && happens(control().short_writes) && is_stream(socket);
    return real(socket, bytes, cuts ? short_of(size) : size, flags);
}
ssize_t sendmsg(int socket, const msghdr* message, int flags) {
    static const auto real = next<ssize_t(int, const msghdr*, int)>("sendmsg");
    if (is_empty(*message) || !happens(control().short_writes) || !is_stream(socket))
        return real(socket, message, flags);
    iovec vectors[most_vectors];
    msghdr less = *message;
    less.msg_iovlen = static_cast<std::size_t>(cut(message->msg_iov, message->msg_iovlen, vectors));
    less.msg_iov = vectors;
    return real(socket, &less, flags);
}
ssize_t recv(int socket, void* bytes, size_t size, int flags) {
    static const auto real = next<ssize_t(int, void*, size_t, int)>("recv");
    const bool cuts = size > 1 && happens(control().short_reads) && is_stream(socket);
    return real(socket, bytes, cuts ? short_of(size) : size, flags);
}
ssize_t recvmsg(int socket, msghdr* message, int flags) {
    static const auto real = next<ssize_t(int, msghdr*, int)>("recvmsg");
    if (is_empty(*message) || !happens(control().short_reads) || !is_stream(socket))
        return real(socket, message, flags);
    iovec vectors[most_vectors];
    msghdr less = *message;
    less.msg_iovlen = static_cast<std::size_t>(cut(message->msg_iov, message->msg_iovlen, vectors));
    less.msg_iov = vectors;
    const ssize_t got = real(socket, &less, flags);
    message->msg_flags = less.msg_flags;
    return got;
}
ssize_t sendto(int socket, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t length) {
    static const auto real =
        next<ssize_t(int, const void*, size_t, int, const sockaddr*, socklen_t)>("sendto");
    if (to != nullptr && happens(control().lost_datagrams)) return static_cast<ssize_t>(size);
    return real(socket, bytes, size, flags, to, length);
}

int accept(int socket, sockaddr* address, socklen_t* length) {
    static const auto real = next<int(int, sockaddr*, socklen_t*)>("accept");
    if (happens(control().failing_accepts)) return fail(one_of({EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR}));
    return real(socket, address, length);
}
int accept4(int socket, sockaddr* address, socklen_t* length, int flags) {
    static const auto real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
    if (happens(control().failing_accepts)) return fail(one_of({EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR}));
    return real(socket, address, length, flags);
}
int connect(int socket, const sockaddr* address, socklen_t length) {
    static const auto real = next<int(int, const sockaddr*, socklen_t)>("connect");
    if (address->sa_family == AF_INET && happens(control().failing_connects))
        return fail(one_of({EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN}));
    if (address->sa_family != AF_INET || !happens(control().hanging_connects))
        return real(socket, address, length);
    sockaddr_in nowhere = *reinterpret_cast<const sockaddr_in*>(address);
    nowhere.sin_port = htons(static_cast<std::uint16_t>(control().black_hole_port));
    return real(socket, reinterpret_cast<const sockaddr*>(&nowhere), sizeof nowhere);
}
int socket(int domain, int type, int protocol) {
    static const auto real = next<int(int, int, int)>("socket");
    if (domain == AF_INET && happens(control().failing_connects))
        return fail(one_of({EMFILE, ENFILE, ENOBUFS, ENOMEM}));
    return real(domain, type, protocol);
}
int bind(int socket, const sockaddr* address, socklen_t length) {
    static const auto real = next<int(int, const sockaddr*, socklen_t)>("bind");
    if (address->sa_family == AF_UNIX && happens(control().failing_files)) return fail(one_of({ENOSPC, EIO}));
    return real(socket, address, length);
}

int epoll_wait(int poll, epoll_event* events, int most, int timeout) {
    static const auto real = next<int(int, epoll_event*, int, int)>("epoll_wait");
    if (happens(control().interrupted_waits)) return fail(EINTR);
    return real(poll, events, most, timeout);
}

// The configuration is read through the C library's buffered files.
FILE* fopen64(const char* path, const char* mode) {
    static const auto real = next<FILE*(const char*, const char*)>("fopen64");
    if (happens(control().failing_files)) return errno = EIO, nullptr;
    return real(path, mode);
}
FILE* fopen(const char* path, const char* mode) {
    static const auto real = next<FILE*(const char*, const char*)>("fopen");
    if (happens(control().failing_files)) return errno = EIO, nullptr;
    return real(path, mode);
}

int clock_gettime(clockid_t clock, timespec* time) {
    static const auto real = next<int(clockid_t, timespec*)>("clock_gettime");
    const int done = real(clock, time);
    if (done == 0 && clock == CLOCK_REALTIME)
        time->tv_sec += control().wall_clock_step_s.load(std::memory_order_relaxed);
    return done;
}
int gettimeofday(timeval* time, void* zone) {
    static const auto real = next<int(timeval*, void*)>("gettimeofday");
    const int done = real(time, zone);
    if (done == 0) time->tv_sec += control().wall_clock_step_s.load(std::memory_order_relaxed);
    return done;
}

}  // extern "C"
