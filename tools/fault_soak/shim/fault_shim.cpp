// A library that is preloaded into a gateway. It makes system calls fail, transfer fewer bytes or be
// interrupted in ways that Linux documents, and steps the wall clock. The control file (shim_control.h) sets
// the rates of these faults. Without a control file the library changes nothing.
//
// Each function in the extern "C" block replaces the function of the same name in the C library and calls it.
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
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <initializer_list>
#include <random>
#include <type_traits>

#include "../shim_control.h"

namespace {
using fault_soak::ShimControl;

// A short read or write transfers the requested number of bytes divided by this.
constexpr std::size_t short_io_divisor = 3;
// A short read or write ignores the buffers of a message beyond this number.
constexpr std::size_t max_vectors = 64;

// Returns null if the environment names no control file or the file cannot be mapped. Opens the file by a
// direct system call instead of a function of the C library.
ShimControl* map_control_file() {
    const char* const path = std::getenv(fault_soak::shim_control_variable);
    if (path == nullptr) return nullptr;
    const int file = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC));
    if (file < 0) return nullptr;
    void* const mapped = ::mmap(nullptr, sizeof(ShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return mapped == MAP_FAILED ? nullptr : static_cast<ShimControl*>(mapped);
}

const ShimControl& control() {
    static const ShimControl no_faults;
    static const ShimControl* const mapped = map_control_file();
    return mapped != nullptr ? *mapped : no_faults;
}

std::minstd_rand& random_source() {
    static std::minstd_rand source([] {
        const char* const seed = std::getenv(fault_soak::shim_seed_variable);
        return static_cast<unsigned>(seed != nullptr ? std::atol(seed) : 1) + 1;
    }());
    return source;
}

// Decides randomly whether a call gets a fault. `rate` is in thousandths.
bool draw_fault(const std::atomic<std::uint32_t>& rate) {
    const std::uint32_t thousandths = rate.load(std::memory_order_relaxed);
    return thousandths > 0 && random_source()() % 1000 < thousandths;
}

// Sets errno and returns the result of a failed call.
int fail(int error) {
    errno = error;
    return -1;
}
int fail_with_one_of(std::initializer_list<int> errors) {
    return fail(errors.begin()[random_source()() % errors.size()]);
}
int fail_to_accept() { return fail_with_one_of({EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR}); }
FILE* fail_to_open() {
    errno = EIO;
    return nullptr;
}

// Returns the function of that name in the C library.
template <class Function>
Function* real_function(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// Returns whether the descriptor is a TCP socket over IPv4.
bool is_tcp(int socket) {
    int type = 0;
    socklen_t size = sizeof type;
    if (::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM) return false;
    int domain = 0;
    size = sizeof domain;
    return ::getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

std::size_t shortened(std::size_t size) { return std::max<std::size_t>(1, size / short_io_divisor); }

bool is_empty(const msghdr& message) {
    for (std::size_t i = 0; i < message.msg_iovlen; ++i)
        if (message.msg_iov[i].iov_len > 0) return false;
    return true;
}

// A message header that covers only a part of the bytes in the buffers of another message.
class ShortMessage {
  public:
    explicit ShortMessage(const msghdr& message) : header_(message) {
        const std::size_t count = std::min<std::size_t>(message.msg_iovlen, max_vectors);
        std::size_t total = 0;
        for (std::size_t i = 0; i < count; ++i) total += message.msg_iov[i].iov_len;
        std::size_t bytes_left = shortened(total);
        for (std::size_t i = 0; i < count; ++i) {
            vectors_[i] = {message.msg_iov[i].iov_base, std::min(message.msg_iov[i].iov_len, bytes_left)};
            bytes_left -= vectors_[i].iov_len;
        }
        header_.msg_iov = vectors_;
        header_.msg_iovlen = count;
    }
    ShortMessage(const ShortMessage&) = delete;
    ShortMessage& operator=(const ShortMessage&) = delete;

    [[nodiscard]] msghdr& header() noexcept { return header_; }

  private:
    msghdr header_;
    iovec vectors_[max_vectors];
};

// Implements sendmsg() and recvmsg(). The message is not const for recvmsg(), which sets its flags.
template <class Message>
ssize_t transfer(ssize_t (*real)(int, Message*, int), const std::atomic<std::uint32_t>& short_rate,
                 int socket, Message* message, int flags) {
    if (is_empty(*message) || !draw_fault(short_rate) || !is_tcp(socket)) return real(socket, message, flags);
    ShortMessage short_message(*message);
    const ssize_t size = real(socket, &short_message.header(), flags);
    if constexpr (!std::is_const_v<Message>) message->msg_flags = short_message.header().msg_flags;
    return size;
}

}  // namespace

extern "C" {

ssize_t send(int socket, const void* bytes, size_t size, int flags) {
    static const auto real = real_function<ssize_t(int, const void*, size_t, int)>("send");
    const bool is_short = size > 1 && draw_fault(control().short_writes) && is_tcp(socket);
    return real(socket, bytes, is_short ? shortened(size) : size, flags);
}
ssize_t sendmsg(int socket, const msghdr* message, int flags) {
    static const auto real = real_function<ssize_t(int, const msghdr*, int)>("sendmsg");
    return transfer(real, control().short_writes, socket, message, flags);
}
ssize_t recv(int socket, void* bytes, size_t size, int flags) {
    static const auto real = real_function<ssize_t(int, void*, size_t, int)>("recv");
    const bool is_short = size > 1 && draw_fault(control().short_reads) && is_tcp(socket);
    return real(socket, bytes, is_short ? shortened(size) : size, flags);
}
ssize_t recvmsg(int socket, msghdr* message, int flags) {
    static const auto real = real_function<ssize_t(int, msghdr*, int)>("recvmsg");
    return transfer(real, control().short_reads, socket, message, flags);
}
ssize_t sendto(int socket, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t length) {
    static const auto real =
        real_function<ssize_t(int, const void*, size_t, int, const sockaddr*, socklen_t)>("sendto");
    if (to != nullptr && draw_fault(control().lost_datagrams)) return static_cast<ssize_t>(size);
    return real(socket, bytes, size, flags, to, length);
}

int accept(int socket, sockaddr* address, socklen_t* length) {
    static const auto real = real_function<int(int, sockaddr*, socklen_t*)>("accept");
    if (draw_fault(control().failing_accepts)) return fail_to_accept();
    return real(socket, address, length);
}
int accept4(int socket, sockaddr* address, socklen_t* length, int flags) {
    static const auto real = real_function<int(int, sockaddr*, socklen_t*, int)>("accept4");
    if (draw_fault(control().failing_accepts)) return fail_to_accept();
    return real(socket, address, length, flags);
}
int connect(int socket, const sockaddr* address, socklen_t length) {
    static const auto real = real_function<int(int, const sockaddr*, socklen_t)>("connect");
    if (address->sa_family == AF_INET && draw_fault(control().failing_connects))
        return fail_with_one_of({EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN});
    if (address->sa_family != AF_INET || !draw_fault(control().hanging_connects))
        return real(socket, address, length);
    sockaddr_in black_hole = *reinterpret_cast<const sockaddr_in*>(address);
    black_hole.sin_port = htons(static_cast<std::uint16_t>(control().black_hole_port));
    return real(socket, reinterpret_cast<const sockaddr*>(&black_hole), sizeof black_hole);
}
int socket(int domain, int type, int protocol) {
    static const auto real = real_function<int(int, int, int)>("socket");
    if (domain == AF_INET && draw_fault(control().failing_connects))
        return fail_with_one_of({EMFILE, ENFILE, ENOBUFS, ENOMEM});
    return real(domain, type, protocol);
}
int bind(int socket, const sockaddr* address, socklen_t length) {
    static const auto real = real_function<int(int, const sockaddr*, socklen_t)>("bind");
    if (address->sa_family == AF_UNIX && draw_fault(control().failing_files))
        return fail_with_one_of({ENOSPC, EIO});
    return real(socket, address, length);
}

int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
    static const auto real = real_function<int(int, epoll_event*, int, int)>("epoll_wait");
    if (draw_fault(control().interrupted_waits)) return fail(EINTR);
    return real(epoll, events, max_events, timeout);
}

// The gateway reads its configuration through the buffered files of the C library.
FILE* fopen64(const char* path, const char* mode) {
    static const auto real = real_function<FILE*(const char*, const char*)>("fopen64");
    if (draw_fault(control().failing_files)) return fail_to_open();
    return real(path, mode);
}
FILE* fopen(const char* path, const char* mode) {
    static const auto real = real_function<FILE*(const char*, const char*)>("fopen");
    if (draw_fault(control().failing_files)) return fail_to_open();
    return real(path, mode);
}

int clock_gettime(clockid_t clock, timespec* time) {
    static const auto real = real_function<int(clockid_t, timespec*)>("clock_gettime");
    const int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME)
        time->tv_sec += control().wall_clock_step_s.load(std::memory_order_relaxed);
    return result;
}
int gettimeofday(timeval* time, void* zone) {
    static const auto real = real_function<int(timeval*, void*)>("gettimeofday");
    const int result = real(time, zone);
    if (result == 0) time->tv_sec += control().wall_clock_step_s.load(std::memory_order_relaxed);
    return result;
}

}  // extern "C"
