#include "system_call_faults.h"

#include <dlfcn.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <vector>

namespace {
using gateway::server::test::SocketCall;

bool short_writes = false;
std::array<std::deque<int>, 3> errors_due;  // by SocketCall
constexpr std::size_t part = 3;

std::size_t short_of(std::size_t bytes) {
    return bytes <= 1 ? bytes : std::max<std::size_t>(1, bytes / part);
}

template <class Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// The first bytes of what the vectors hold.
std::vector<iovec> first_bytes(const msghdr& message) {
    std::vector<iovec> vectors(message.msg_iov, message.msg_iov + message.msg_iovlen);
    std::size_t all = 0;
    for (const iovec& v : vectors) all += v.iov_len;
    std::size_t left = short_of(all);
    for (iovec& v : vectors) {
        v.iov_len = std::min(v.iov_len, left);
        left -= v.iov_len;
    }
    return vectors;
}

bool is_stream(int socket) {
    int type = 0;
    socklen_t size = sizeof type;
    return ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}
// True where the call is to fail, with errno set.
bool fails(SocketCall call) {
    std::deque<int>& due = errors_due[static_cast<std::size_t>(call)];
    if (due.empty()) return false;
    errno = due.front();
    due.pop_front();
    return true;
}
}  // namespace

// These take the place of the C library's in this program.
extern "C" ssize_t send(int socket, const void* bytes, size_t size, int flags) {
    static const auto real = next<ssize_t(int, const void*, size_t, int)>("send");
    return real(socket, bytes, short_writes && is_stream(socket) ? short_of(size) : size, flags);
}
extern "C" ssize_t sendmsg(int socket, const msghdr* message, int flags) {
    static const auto real = next<ssize_t(int, const msghdr*, int)>("sendmsg");
    if (!short_writes || !is_stream(socket)) return real(socket, message, flags);
    std::vector<iovec> vectors = first_bytes(*message);
    msghdr less = *message;
    less.msg_iov = vectors.data();
    return real(socket, &less, flags);
}

extern "C" int accept(int socket, sockaddr* address, socklen_t* length) {
    static const auto real = next<int(int, sockaddr*, socklen_t*)>("accept");
    return fails(SocketCall::accept) ? -1 : real(socket, address, length);
}
extern "C" int accept4(int socket, sockaddr* address, socklen_t* length, int flags) {
    static const auto real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
    return fails(SocketCall::accept) ? -1 : real(socket, address, length, flags);
}
extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
    static const auto real = next<int(int, const sockaddr*, socklen_t)>("connect");
    return fails(SocketCall::connect) ? -1 : real(socket, address, length);
}
extern "C" int socket(int domain, int type, int protocol) {
    static const auto real = next<int(int, int, int)>("socket");
    return fails(SocketCall::socket) ? -1 : real(domain, type, protocol);
}

namespace gateway::server::test {
FailingCalls::FailingCalls(SocketCall call, std::initializer_list<int> errors) : call_(call) {
    errors_due[static_cast<std::size_t>(call)] = errors;
}
std::size_t FailingCalls::left() const { return errors_due[static_cast<std::size_t>(call_)].size(); }
FailingCalls::~FailingCalls() {
    for (std::deque<int>& due : errors_due) due.clear();
}
ShortWrites::ShortWrites() { short_writes = true; }
ShortWrites::~ShortWrites() { short_writes = false; }
}  // namespace gateway::server::test
