#include "handover.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <optional>

#include "log.h"

namespace gateway::server {
namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t max_payload_bytes = 64 * 1024;
// The delay before an accept is retried after a failure.
constexpr auto accept_retry_interval = 20ms;
// The delay before a send is retried, for example while more descriptors are in transit between processes
// than the kernel allows.
constexpr auto send_retry_interval = 5ms;
constexpr int listen_backlog = 4;
// The prefix of the socket's file name. It must not change, although the program has another name now:
// processes of earlier releases look for it, and this process has to find theirs.
constexpr const char* socket_name_prefix = "spartrack-";

// Addresses the socket through the open folder's entry in /proc, because the folder's own path may exceed the
// maximum length of a Unix socket address.
std::optional<sockaddr_un> address_in(const Descriptor& folder, const std::string& name) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    const int length = std::snprintf(address.sun_path, sizeof address.sun_path, "/proc/self/fd/%d/%s",
                                     folder.get(), name.c_str());
    if (length < 0 || static_cast<std::size_t>(length) >= sizeof address.sun_path) return std::nullopt;
    return address;
}

Descriptor open_folder(const std::string& folder) {
    return Descriptor(folder.empty() ? -1 : ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
}

Descriptor make_socket() {
    return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

Descriptor received_descriptor(msghdr& header) {
    const cmsghdr* const control = CMSG_FIRSTHDR(&header);
    if (control == nullptr || control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS)
        return {};
    int number = -1;
    std::memcpy(&number, CMSG_DATA(control), sizeof number);
    return Descriptor(number);
}

// `control` is the buffer for the descriptor; it must outlive the use of `header`.
template <class Buffer>
void attach_descriptor(msghdr& header, Buffer& control, const Descriptor& descriptor) {
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    cmsghdr* const rights = CMSG_FIRSTHDR(&header);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(sizeof(int));
    const int number = descriptor.get();
    std::memcpy(CMSG_DATA(rights), &number, sizeof number);
}
}  // namespace

Descriptor::~Descriptor() {
    if (number_ >= 0) ::close(number_);
}

HandoverChannel::HandoverChannel(asio::io_context& io, Descriptor&& socket)
    : socket_(io, socket.release()), send_retry_(io) {}

void HandoverChannel::start(Callbacks callbacks) {
    callbacks_ = std::move(callbacks);
    receive();
}

void HandoverChannel::close() {
    if (std::exchange(closed_, true)) return;
    error_code ec;
    socket_.close(ec);
    send_retry_.cancel();
    callbacks_ = {};
}

void HandoverChannel::end() {
    if (closed_) return;
    const auto on_end = callbacks_.on_end;
    close();
    if (on_end) on_end();
}

void HandoverChannel::receive() {
    if (closed_) return;
    socket_.async_wait(asio::posix::stream_descriptor::wait_read, [self = shared_from_this()](error_code ec) {
        if (ec || self->closed_) return;
        while (!self->closed_ && self->receive_one()) {
        }
        self->receive();
    });
}

bool HandoverChannel::receive_one() {
    std::string bytes(max_payload_bytes + 1, '\0');
    iovec buffer{bytes.data(), bytes.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr header{};
    header.msg_iov = &buffer;
    header.msg_iovlen = 1;
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    const ssize_t size = ::recvmsg(socket_.native_handle(), &header, MSG_CMSG_CLOEXEC);
    if (size < 0 && errno == EINTR) return true;
    if (size < 0 && errno == EAGAIN) return false;
    HandoverMessage message;
    if (size > 0) message.descriptor = received_descriptor(header);
    if (size <= 0 || (header.msg_flags & MSG_TRUNC) != 0) {
        end();
        return false;
    }
    message.kind = static_cast<HandoverMessage::Kind>(bytes[0]);
    message.payload = bytes.substr(1, static_cast<std::size_t>(size) - 1);
    if (callbacks_.on_message) callbacks_.on_message(std::move(message));
    return true;
}

void HandoverChannel::send(HandoverMessage::Kind kind, std::string payload, Descriptor&& descriptor) {
    if (closed_) return;
    unsent_.push_back({kind, std::move(payload), std::move(descriptor)});
    if (!waiting_to_send_ && !broken_) flush();
}

void HandoverChannel::flush() {
    while (!closed_ && !unsent_.empty()) {
        if (send_one(unsent_.front())) {
            unsent_.pop_front();
            continue;
        }
        waiting_to_send_ = true;
        const auto resume = [self = shared_from_this()](error_code ec) {
            self->waiting_to_send_ = false;
            if (!ec) self->flush();
        };
        if (errno == EAGAIN) return socket_.async_wait(asio::posix::stream_descriptor::wait_write, resume);
        if (errno == ETOOMANYREFS || errno == EINTR || errno == ENOBUFS) {
            send_retry_.expires_after(send_retry_interval);
            return send_retry_.async_wait(resume);
        }
        waiting_to_send_ = false;
        broken_ = true;
        // The call is posted to the event loop, because it may destroy objects that the caller of `send`
        // still uses.
        return asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(); });
    }
}

bool HandoverChannel::send_one(const HandoverMessage& message) {
    char kind = static_cast<char>(message.kind);
    std::array<iovec, 2> bytes{iovec{&kind, 1},
                               iovec{const_cast<char*>(message.payload.data()), message.payload.size()}};
    msghdr header{};
    header.msg_iov = bytes.data();
    header.msg_iovlen = bytes.size();
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    if (message.descriptor) attach_descriptor(header, control, message.descriptor);
    return ::sendmsg(socket_.native_handle(), &header, MSG_NOSIGNAL) >= 0;
}

HandoverSocket::HandoverSocket(asio::io_context& io, std::string folder, const std::string& name)
    : io_(io),
      folder_(std::move(folder)),
      name_(socket_name_prefix + name),
      listener_(io),
      accept_retry_(io) {}

std::shared_ptr<HandoverChannel> HandoverSocket::connect_to_predecessor() const {
    const Descriptor folder = open_folder(folder_);
    if (!folder) return nullptr;
    const auto address = address_in(folder, name_);
    Descriptor socket = make_socket();
    if (!address || !socket ||
        ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0)
        return nullptr;
    return std::make_shared<HandoverChannel>(io_, std::move(socket));
}

void HandoverSocket::listen(std::function<void(std::shared_ptr<HandoverChannel>)> on_successor) {
    on_successor_ = std::move(on_successor);
    const Descriptor folder = open_folder(folder_);
    if (!folder) return;
    // The socket is bound under a temporary name and then renamed, so that a process that looks for it always
    // finds one.
    const std::string temporary_name = name_ + "-" + std::to_string(::getpid());
    const auto address = address_in(folder, temporary_name);
    Descriptor socket = make_socket();
    ::unlinkat(folder.get(), temporary_name.c_str(), 0);
    if (!address || !socket ||
        ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
        ::listen(socket.get(), listen_backlog) != 0 ||
        ::renameat(folder.get(), temporary_name.c_str(), folder.get(), name_.c_str()) != 0) {
        LogLine(LogLevel::warning, "upgrade_listen_failed").with("error", std::strerror(errno));
        return;
    }
    stop();
    listener_.assign(socket.release());
    accept();
}

void HandoverSocket::stop() {
    error_code ec;
    accept_retry_.cancel();
    listener_.close(ec);
}

void HandoverSocket::accept() {
    listener_.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
        if (ec || !listener_.is_open()) return;
        Descriptor socket(
            ::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket) {
            on_successor_(std::make_shared<HandoverChannel>(io_, std::move(socket)));
            return accept();
        }
        // If no descriptors are left, a successor that waits to be accepted would otherwise wake the event
        // loop over and over.
        accept_retry_.expires_after(accept_retry_interval);
        accept_retry_.async_wait([this](error_code stopped) {
            if (!stopped) accept();
        });
    });
}

}  // namespace gateway::server
