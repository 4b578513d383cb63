// The set of all client connections, which determines the order of their eviction.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

#include "clock.h"
#include "reasons.h"

namespace gateway::server {

class ClientConnection;

// Keeps the connections in two lists. Newcomers are connections that have sent no complete request yet except
// for health checks, are paused or linger; the others are known. Each list begins with the first candidate
// for eviction: lingering connections come first, then those that connected, were paused or were used longest
// ago.
class ClientConnectionSet {
  public:
    using Connections = std::list<std::shared_ptr<ClientConnection>>;
    // The position of a connection in the set: its list and the entry there.
    struct Position {
        Connections* list = nullptr;
        Connections::iterator entry;
    };

    void add_newcomer(const std::shared_ptr<ClientConnection>& connection);
    void add_known(const std::shared_ptr<ClientConnection>& connection);
    // For a connection that has sent a complete request. It becomes the last of the known connections, so
    // that those used before it are evicted first.
    void move_to_known(ClientConnection& connection);
    // For a paused connection. It becomes the last of the newcomers, so that it is evicted before newcomers
    // that are added later, and before known connections as `evict_one` describes.
    void move_to_newcomers(ClientConnection& connection);
    // For a lingering connection. It becomes the first of the newcomers, and thereby the first candidate for
    // eviction.
    void move_to_front(ClientConnection& connection);
    static void remove(ClientConnection& connection);

    // Returns a copy, because handling a newcomer's input moves the connection to another list.
    [[nodiscard]] Connections newcomers() const { return newcomers_; }
    [[nodiscard]] std::size_t known_count() const { return known_.size(); }
    // Whether any connection has a request in flight, unread bytes, or a partly written response.
    [[nodiscard]] bool any_busy() const;
    // Whether any connection has a partly written response.
    [[nodiscard]] bool any_writing() const;

    // Closes one connection to free its descriptor; returns false if none can be closed. Selects a newcomer
    // whose grace period since the connect is over; if there is none, an idle known connection; then a known
    // connection whose client has stopped in the middle of a request; and at last a newer newcomer. Guards
    // against large numbers of clients that connect and send nothing, or never complete a request: their
    // connections are evicted before those of any client that has sent a request.
    bool evict_one();
    // Closes the idle known connection that was used longest ago; returns false if none is idle.
    bool evict_one_idle();
    // Closes all idle connections whose client has received a response, for a graceful shutdown.
    void close_idle();
    // Hands over all connections that are between two requests to another process.
    void hand_over();
    // Handles the connections whose deadline has passed.
    void handle_timeouts();
    void close_all(ClientCloseReason reason);

  private:
    static void add(Connections& list, const std::shared_ptr<ClientConnection>& connection);
    static void move(ClientConnection& connection, Connections& list, Connections::iterator before);
    bool evict_one_newcomer(Steady::duration min_age);
    bool evict_one_stalled();
    // Runs `handler` for each connection that fulfils `condition`, which has to be false for a closed one. A
    // connection that no longer fulfils it after the earlier handlers have run is skipped.
    template <class Condition, class Handler>
    void for_each_if(Condition condition, Handler handler);

    Connections newcomers_;
    Connections known_;
};

}  // namespace gateway::server
