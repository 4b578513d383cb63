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
constexpr std::size_t most_text = 64 * 1024;  // of a message
constexpr auto accept_again = 20ms;           // after an accept that failed
constexpr auto send_again = 5ms;  // while more descriptors are on their way than the kernel allows

// The folder's own path may be longer than the address of a socket can be: the name within it is short.
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
}  // namespace

Descriptor::~Descriptor() {
    if (number_ >= 0) ::close(number_);
}

HandoverChannel::HandoverChannel(asio::io_context& io, Descriptor&& socket)
    : socket_(io, socket.release()), again_(io) {}

void HandoverChannel::start(Callbacks callbacks) {
    callbacks_ = std::move(callbacks);
    read();
}

void HandoverChannel::close() {
    if (std::exchange(closed_, true)) return;
    error_code ec;
    socket_.close(ec);
    again_.cancel();
    callbacks_ = {};
}
void HandoverChannel::end() {
    if (closed_) return;
    const auto on_end = callbacks_.on_end;
    close();
    if (on_end) on_end();
}

void HandoverChannel::read() {
    if (closed_) return;
    socket_.async_wait(asio::posix::stream_descriptor::wait_read, [self = shared_from_this()](error_code ec) {
        if (ec || self->closed_) return;
        while (!self->closed_ && self->read_one()) {
        }
        self->read();
    });
}
bool HandoverChannel::read_one() {
    std::string text(most_text + 1, '\0');
    iovec bytes{text.data(), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr header{};
    header.msg_iov = &bytes, header.msg_iovlen = 1;
    header.msg_control = control.data(), header.msg_controllen = control.size();
    const ssize_t n = ::recvmsg(socket_.native_handle(), &header, MSG_CMSG_CLOEXEC);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return errno == EINTR;
    HandoverMessage message;
    if (const cmsghdr* const c = n > 0 ? CMSG_FIRSTHDR(&header) : nullptr;
        c != nullptr && c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_RIGHTS) {
        int number = -1;
        std::memcpy(&number, CMSG_DATA(c), sizeof number);
        message.descriptor = Descriptor(number);
    }
    if (n <= 0 || (header.msg_flags & MSG_TRUNC) != 0) return end(), false;
    message.kind = static_cast<HandoverMessage::Kind>(text[0]);
    message.text = text.substr(1, static_cast<std::size_t>(n) - 1);
    if (callbacks_.on_message) callbacks_.on_message(std::move(message));
    return true;
}

void HandoverChannel::send(HandoverMessage::Kind kind, std::string text, Descriptor&& descriptor) {
    if (closed_) return;
    unsent_.push_back({kind, std::move(text), std::move(descriptor)});
    if (!waiting_ && !broken_) flush();
}
void HandoverChannel::flush() {
    while (!closed_ && !unsent_.empty()) {
        if (send_one(unsent_.front())) {
            unsent_.pop_front();
            continue;
        }
        waiting_ = true;
        const auto go_on = [self = shared_from_this()](error_code ec) {
            self->waiting_ = false;
            if (!ec) self->flush();
        };
        if (errno == EAGAIN) return socket_.async_wait(asio::posix::stream_descriptor::wait_write, go_on);
        if (errno == ETOOMANYREFS || errno == EINTR || errno == ENOBUFS) {
            again_.expires_after(send_again);
            return again_.async_wait(go_on);
        }
        waiting_ = false;
        broken_ = true;
        // Not from within whoever sends: what they hold may end with this.
        return asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(); });
    }
}
bool HandoverChannel::send_one(const HandoverMessage& message) {
    char kind = static_cast<char>(message.kind);
    std::array<iovec, 2> bytes{iovec{&kind, 1},
                               iovec{const_cast<char*>(message.text.data()), message.text.size()}};
    msghdr header{};
    header.msg_iov = bytes.data(), header.msg_iovlen = bytes.size();
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    if (message.descriptor) {
        header.msg_control = control.data(), header.msg_controllen = control.size();
        cmsghdr* const c = CMSG_FIRSTHDR(&header);
        c->cmsg_level = SOL_SOCKET, c->cmsg_type = SCM_RIGHTS, c->cmsg_len = CMSG_LEN(sizeof(int));
        const int number = message.descriptor.get();
        std::memcpy(CMSG_DATA(c), &number, sizeof number);
    }
    return ::sendmsg(socket_.native_handle(), &header, MSG_NOSIGNAL) >= 0;
}

HandoverPlace::HandoverPlace(asio::io_context& io, std::string folder, const std::string& name)
    : io_(io), folder_(std::move(folder)), name_("spartrack-" + name), listener_(io), accept_pause_(io) {}

std::shared_ptr<HandoverChannel> HandoverPlace::find() const {
    const Descriptor folder = open_folder(folder_);
    if (!folder) return nullptr;
    const auto address = address_in(folder, name_);
    Descriptor socket = make_socket();
    if (!address || !socket ||
        ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0)
        return nullptr;
    return std::make_shared<HandoverChannel>(io_, std::move(socket));
}

void HandoverPlace::wait(std::function<void(std::shared_ptr<HandoverChannel>)> on_comer) {
    on_comer_ = std::move(on_comer);
    const Descriptor folder = open_folder(folder_);
    if (!folder) return;
    // Bound under another name first and moved then: whoever looks finds the former one or this one.
    const std::string fresh = name_ + "-" + std::to_string(::getpid());
    const auto address = address_in(folder, fresh);
    Descriptor socket = make_socket();
    ::unlinkat(folder.get(), fresh.c_str(), 0);
    if (!address || !socket ||
        ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
        ::listen(socket.get(), 4) != 0 ||
        ::renameat(folder.get(), fresh.c_str(), folder.get(), name_.c_str()) != 0) {
        LogLine(LogLevel::warning, "upgrade_no_place_to_wait").with("error", std::strerror(errno));
        return;
    }
    stop();
    listener_.assign(socket.release());
    accept();
}
void HandoverPlace::stop() {
    error_code ec;
    accept_pause_.cancel();
    listener_.close(ec);
}

void HandoverPlace::accept() {
    listener_.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
        if (ec || !listener_.is_open()) return;
        Descriptor socket(
            ::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket) {
            on_comer_(std::make_shared<HandoverChannel>(io_, std::move(socket)));
            return accept();
        }
        // Guards against a spin: without descriptors, whoever waits there would wake this at once and for
        // ever.
        accept_pause_.expires_after(accept_again);
        accept_pause_.async_wait([this](error_code stopped) {
            if (!stopped) accept();
        });
    });
}

}  // namespace gateway::server
