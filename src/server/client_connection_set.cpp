#include "client_connection_set.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "client_connection.h"
#include "containment.h"

namespace gateway::server {
using namespace std::chrono_literals;

namespace {
// A newcomer that connected at least this long ago, and has sent nothing that could be a complete request, is
// evicted first, because clients normally send their first request well within this time.
constexpr std::chrono::milliseconds newcomer_grace_period = 50ms;
// A known connection whose client has stopped for this long in the middle of a request can be evicted.
constexpr std::chrono::milliseconds stall_grace_period = 200ms;
}  // namespace

void ClientConnectionSet::add_newcomer(const std::shared_ptr<ClientConnection>& connection) {
    add(newcomers_, connection);
}

void ClientConnectionSet::add_known(const std::shared_ptr<ClientConnection>& connection) {
    add(known_, connection);
}

void ClientConnectionSet::add(Connections& list, const std::shared_ptr<ClientConnection>& connection) {
    connection->position_ = {&list, list.insert(list.end(), connection)};
}

void ClientConnectionSet::move_to_known(ClientConnection& connection) {
    move(connection, known_, known_.end());
}

void ClientConnectionSet::move_to_newcomers(ClientConnection& connection) {
    move(connection, newcomers_, newcomers_.end());
}

void ClientConnectionSet::move_to_front(ClientConnection& connection) {
    move(connection, newcomers_, newcomers_.begin());
}

void ClientConnectionSet::move(ClientConnection& connection, Connections& list,
                               Connections::iterator before) {
    Position& position = connection.position_;
    list.splice(before, *position.list, position.entry);
    position.list = &list;
}

void ClientConnectionSet::remove(ClientConnection& connection) {
    const Position position = connection.position_;
    position.list->erase(position.entry);
}

bool ClientConnectionSet::any_busy() const {
    const auto busy = [](const auto& connection) { return connection->busy(); };
    return std::any_of(newcomers_.begin(), newcomers_.end(), busy) ||
           std::any_of(known_.begin(), known_.end(), busy);
}

bool ClientConnectionSet::any_writing() const {
    const auto writing = [](const auto& connection) { return connection->writing_response(); };
    return std::any_of(newcomers_.begin(), newcomers_.end(), writing) ||
           std::any_of(known_.begin(), known_.end(), writing);
}

bool ClientConnectionSet::evict_one() {
    return evict_one_newcomer(newcomer_grace_period) || evict_one_idle() || evict_one_stalled() ||
           evict_one_newcomer({});
}

bool ClientConnectionSet::evict_one_newcomer(Steady::duration min_age) {
    const auto connected_by = Steady::now() - min_age;
    const auto found = std::find_if(newcomers_.begin(), newcomers_.end(), [&](const auto& connection) {
        return connection->evictable_newcomer(connected_by);
    });
    if (found == newcomers_.end()) return false;
    (*found)->close(ClientCloseReason::evicted);
    return true;
}

bool ClientConnectionSet::evict_one_idle() {
    const auto found =
        std::find_if(known_.begin(), known_.end(), [](const auto& connection) { return connection->idle(); });
    if (found == known_.end()) return false;
    (*found)->close(ClientCloseReason::evicted);
    return true;
}

bool ClientConnectionSet::evict_one_stalled() {
    const auto silent_since = Steady::now() - stall_grace_period;
    const auto found = std::find_if(known_.begin(), known_.end(), [&](const auto& connection) {
        return connection->stalled(silent_since);
    });
    if (found == known_.end()) return false;
    (*found)->close(ClientCloseReason::evicted);
    return true;
}

// Selects the connections before it runs any handler, because a handler may evict, close or move connections
// other than its own: no iterator into a list is held meanwhile.
template <class Condition, class Handler>
void ClientConnectionSet::for_each_if(Condition condition, Handler handler) {
    std::vector<std::shared_ptr<ClientConnection>> selected;
    for (const Connections* list : {&newcomers_, &known_})
        std::copy_if(list->begin(), list->end(), std::back_inserter(selected),
                     [&](const auto& connection) { return condition(*connection); });
    for (const auto& connection : selected)
        if (condition(*connection)) handler(*connection);
}

// Also closes newcomers that have only sent health checks, because their clients would not close these
// kept-alive connections by themselves.
void ClientConnectionSet::close_idle() {
    for_each_if([](const ClientConnection& connection) { return connection.idle_after_response(); },
                [](ClientConnection& connection) { connection.linger(); });
}

void ClientConnectionSet::hand_over() {
    for_each_if([](const ClientConnection& connection) { return connection.can_hand_over(); },
                [](ClientConnection& connection) { connection.hand_over(); });
}

void ClientConnectionSet::handle_timeouts() {
    const auto now = Steady::now();
    for_each_if([now](const ClientConnection& connection) { return connection.overdue(now); },
                [](ClientConnection& connection) {
                    run_contained(
                        "client", [&] { connection.on_timeout(); },
                        [&] { connection.close(ClientCloseReason::internal_error); });
                });
}

void ClientConnectionSet::close_all(ClientCloseReason reason) {
    while (!newcomers_.empty()) newcomers_.front()->close(reason);
    while (!known_.empty()) known_.front()->close(reason);
}

}  // namespace gateway::server
