#include "client_server.h"

#include <optional>
#include <utility>

#include "containment.h"
#include "log.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
constexpr std::chrono::milliseconds timeout_check_interval = 100ms;
// The number of known connections is limited to the socket limit divided by this number. Above the limit,
// each new connection evicts the idle known connection that was used longest ago. Guards against clients that
// send one request and never close their connection, so that too few descriptors are left for other clients.
constexpr std::size_t max_known_divisor = 6;
}  // namespace

ClientServer::ClientServer(asio::io_context& io, const tcp::endpoint& listen, SocketBudget& budget,
                           std::size_t max_body_bytes, Callbacks callbacks, Descriptor&& listener)
    : io_(io),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      listener_(io, listen, budget,
                {[this](tcp::socket&& socket, SocketBudget::Slot&& slot, Steady::time_point connected_at) {
                     on_connection(std::move(socket), std::move(slot), connected_at);
                 },
                 [this] { connections_.evict_one(); }},
                std::move(listener)),
      timeout_check_timer_(io),
      body_budget_(max_body_bytes) {
    budget_.on_shortage(SocketBudget::Side::client, [this] { return connections_.evict_one(); });
    check_timeouts();
    listener_.start();
}

ClientServer::~ClientServer() {
    listener_.detach();
    budget_.on_shortage(SocketBudget::Side::client, {});
    callbacks_.on_disconnected = [](std::uint64_t) {};
    callbacks_.on_closed = {};
    connections_.close_all(ClientCloseReason::shutdown);
}

void ClientServer::on_connection(tcp::socket&& socket, SocketBudget::Slot&& slot,
                                 Steady::time_point connected_at) {
    const auto connection = make_connection(std::move(socket), std::move(slot), connected_at);
    connections_.add_newcomer(connection);
    LogLine(LogLevel::debug, "client_accepted").with("connection", connection->number());
    connection->start();
    if (connections_.known_count() > budget_.limit() / max_known_divisor) connections_.evict_one_idle();
}

ClientServer::ConnectionPointer ClientServer::make_connection(tcp::socket&& socket, SocketBudget::Slot&& slot,
                                                              Steady::time_point connected_at) {
    ClientConnectionOwner& owner = *this;
    return std::make_shared<ClientConnection>(io_, owner, connections_, body_budget_, std::move(socket),
                                              std::move(slot), next_connection_number_++, connected_at);
}

void ClientServer::on_request(ClientConnection& connection, ClientRequest&& request) {
    requests_in_flight_.emplace(request.id, &connection);
    callbacks_.on_request(std::move(request));
}

void ClientServer::on_pieces_written(std::uint64_t request) { callbacks_.on_piece_written(request); }

void ClientServer::on_request_abandoned(std::uint64_t request) {
    requests_in_flight_.erase(request);
    callbacks_.on_disconnected(request);
}

void ClientServer::on_closed(ClientCloseReason reason, std::uint64_t connection, std::uint64_t request) {
    LogLine(LogLevel::debug, "client_closed")
        .with("connection", connection)
        .with("reason", to_string(reason))
        .with("request", request);
    if (callbacks_.on_closed) callbacks_.on_closed(reason, request);
}

ClientServer::ConnectionPointer ClientServer::find_in_flight(std::uint64_t id) const {
    const auto found = requests_in_flight_.find(id);
    return found == requests_in_flight_.end() ? nullptr : found->second->shared_from_this();
}

ClientServer::ConnectionPointer ClientServer::take_in_flight(std::uint64_t id) {
    auto connection = find_in_flight(id);
    requests_in_flight_.erase(id);
    return connection;
}

void ClientServer::answer(std::uint64_t id, Answer&& answer) {
    const auto connection = take_in_flight(id);
    if (!connection) return;
    connection->respond(std::move(answer));
    connection->resume();
}

void ClientServer::reject(std::uint64_t id, Answer&& answer) {
    const auto connection = take_in_flight(id);
    if (!connection) return;
    connection->respond(std::move(answer));
    connection->pause();
}

void ClientServer::begin_response(std::uint64_t id, Answer&& first) {
    if (const auto connection = find_in_flight(id)) connection->begin_stream(std::move(first));
}

void ClientServer::send_piece(std::uint64_t id, std::string&& piece) {
    if (const auto connection = find_in_flight(id)) connection->write_piece(std::move(piece), false);
}

void ClientServer::end_response(std::uint64_t id, std::string&& last) {
    if (const auto connection = take_in_flight(id)) connection->write_piece(std::move(last), true);
}

void ClientServer::abort_response(std::uint64_t id) {
    if (const auto connection = take_in_flight(id)) connection->abort_stream();
}

void ClientServer::accept_requests() {
    if (std::exchange(open_, true)) return;
    for (const auto& connection : connections_.newcomers())
        run_contained(
            "client", [&] { connection->process_input(); },
            [&] { connection->close(ClientCloseReason::internal_error); });
}

bool ClientServer::draining() const { return (draining_ && !hand_over_connection_) || standby_; }

void ClientServer::drain() {
    draining_ = true;
    connections_.close_idle();
}

void ClientServer::set_standby(bool enabled) {
    standby_ = enabled;
    if (enabled) connections_.close_idle();
}

void ClientServer::hand_over(HandOverConnection hand_over_connection) {
    hand_over_connection_ = std::move(hand_over_connection);
    listener_.suspend();
    connections_.hand_over();
}

void ClientServer::on_handed_over(Descriptor&& socket, std::string&& unread, bool first_request) {
    hand_over_connection_(std::move(socket), std::move(unread), first_request);
}

void ClientServer::end_hand_over() {
    hand_over_connection_ = {};
    drain();
}

void ClientServer::cancel_hand_over() {
    hand_over_connection_ = {};
    listener_.resume();
}

void ClientServer::adopt(Descriptor&& socket, std::string_view unread, bool first_request) {
    std::optional<SocketBudget::Slot> slot = budget_.acquire(SocketBudget::Side::client);
    error_code ec;
    tcp::socket adopted(io_);
    adopted.assign(listener_.local_endpoint().protocol(), socket.get(), ec);
    // `adopted` owns the descriptor from here on.
    if (!ec) socket.release();
    if (!slot || ec) return;
    const auto connection = make_connection(std::move(adopted), std::move(*slot), Steady::now());
    if (first_request) connections_.add_newcomer(connection);
    else connections_.add_known(connection);
    connection->start_adopted(unread, first_request);
}

// Handles expired timeouts now and again after each interval.
void ClientServer::check_timeouts() {
    connections_.handle_timeouts();
    // Closes connections that became idle after draining began.
    if (draining()) connections_.close_idle();
    timeout_check_timer_.expires_after(timeout_check_interval);
    timeout_check_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) check_timeouts();
    });
}

}  // namespace gateway::server
