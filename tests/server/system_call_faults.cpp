// Replaces the system calls on sockets with versions that can fail or write only a part.
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
// The errno values of the next failing calls, by SocketCall.
std::array<std::deque<int>, 3> pending_errors;
constexpr std::size_t short_write_divisor = 3;

// The number of bytes that a short write accepts.
std::size_t short_write_bytes(std::size_t bytes) {
    return bytes <= 1 ? bytes : std::max<std::size_t>(1, bytes / short_write_divisor);
}

// Returns the C library's definition of a function that this file replaces.
template <class Function>
Function* real_function(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// Returns the message's vectors, shortened to the bytes that a short write accepts.
std::vector<iovec> short_write_vectors(const msghdr& message) {
    std::vector<iovec> vectors(message.msg_iov, message.msg_iov + message.msg_iovlen);
    std::size_t total = 0;
    for (const iovec& vector : vectors) total += vector.iov_len;
    std::size_t remaining = short_write_bytes(total);
    for (iovec& vector : vectors) {
        vector.iov_len = std::min(vector.iov_len, remaining);
        remaining -= vector.iov_len;
    }
    return vectors;
}

bool is_stream(int socket) {
    int type = 0;
    socklen_t size = sizeof type;
    return ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

// Returns whether the call has to fail, and sets errno if it does.
bool inject_failure(SocketCall call) {
    std::deque<int>& errors = pending_errors[static_cast<std::size_t>(call)];
    if (errors.empty()) return false;
    errno = errors.front();
    errors.pop_front();
    return true;
}
}  // namespace

// These definitions replace the C library's in this program.
extern "C" ssize_t send(int socket, const void* bytes, size_t size, int flags) {
    static const auto real = real_function<ssize_t(int, const void*, size_t, int)>("send");
    return real(socket, bytes, short_writes && is_stream(socket) ? short_write_bytes(size) : size, flags);
}

extern "C" ssize_t sendmsg(int socket, const msghdr* message, int flags) {
    static const auto real = real_function<ssize_t(int, const msghdr*, int)>("sendmsg");
    if (!short_writes || !is_stream(socket)) return real(socket, message, flags);
    std::vector<iovec> vectors = short_write_vectors(*message);
    msghdr shortened = *message;
    shortened.msg_iov = vectors.data();
    return real(socket, &shortened, flags);
}

extern "C" int accept(int socket, sockaddr* address, socklen_t* length) {
    static const auto real = real_function<int(int, sockaddr*, socklen_t*)>("accept");
    return inject_failure(SocketCall::accept) ? -1 : real(socket, address, length);
}

extern "C" int accept4(int socket, sockaddr* address, socklen_t* length, int flags) {
    static const auto real = real_function<int(int, sockaddr*, socklen_t*, int)>("accept4");
    return inject_failure(SocketCall::accept) ? -1 : real(socket, address, length, flags);
}

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
    static const auto real = real_function<int(int, const sockaddr*, socklen_t)>("connect");
    return inject_failure(SocketCall::connect) ? -1 : real(socket, address, length);
}

extern "C" int socket(int domain, int type, int protocol) {
    static const auto real = real_function<int(int, int, int)>("socket");
    return inject_failure(SocketCall::socket) ? -1 : real(domain, type, protocol);
}

namespace gateway::server::test {

FailingCalls::FailingCalls(SocketCall call, std::initializer_list<int> errors) : call_(call) {
    pending_errors[static_cast<std::size_t>(call)] = errors;
}

std::size_t FailingCalls::remaining() const { return pending_errors[static_cast<std::size_t>(call_)].size(); }

FailingCalls::~FailingCalls() {
    for (std::deque<int>& errors : pending_errors) errors.clear();
}

ShortWrites::ShortWrites() { short_writes = true; }
ShortWrites::~ShortWrites() { short_writes = false; }

}  // namespace gateway::server::test
