// All connections of clients, in the order in which they are evicted.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

#include "clock.h"
#include "reasons.h"

namespace gateway::server {

class ClientConnection;

// Keeps the connections in two lists, each with the one that connected or was used longest ago first:
// newcomers, which have sent no complete request yet, are paused or linger, and known ones, which have.
class ClientConnectionSet {
  public:
    using Connections = std::list<std::shared_ptr<ClientConnection>>;
    // Where the set holds a connection.
    struct Position {
        Connections* list = nullptr;
        Connections::iterator entry;
    };

    void add_newcomer(const std::shared_ptr<ClientConnection>& connection);
    void add_known(const std::shared_ptr<ClientConnection>& connection);
    // It has sent a complete request: it is evicted after those that have not, and after those used before
    // it.
    void move_to_known(ClientConnection& connection);
    // It is paused: it is evicted before those that come after it, and before known ones.
    void move_to_newcomers(ClientConnection& connection);
    // It lingers: it is evicted before all others.
    void move_to_front(ClientConnection& connection);
    static void remove(ClientConnection& connection);

    // A copy, because handling a newcomer's input moves it.
    [[nodiscard]] Connections newcomers() const { return newcomers_; }
    [[nodiscard]] std::size_t known_count() const { return known_.size(); }
    // Whether a connection has a request in flight or unread, or a response that is not written completely.
    [[nodiscard]] bool any_busy() const;

    // Closes one connection to free its descriptor; returns false where none can be closed. Guards against
    // crowds that connect and send nothing, or never complete a request: they are evicted for each other
    // before any client that has sent a request loses its connection to them.
    bool evict_one();
    // Closes the known connection that has been idle for longest; returns false where none is idle.
    bool evict_one_idle();
    // Closes all idle connections whose client has had a response, for a graceful shutdown.
    void close_idle();
    // Hands over all connections between two requests to another process.
    void hand_over();
    // Handles the connections whose deadline has passed.
    void handle_timeouts();
    void close_all(ClientCloseReason reason);

  private:
    static void add(Connections& list, const std::shared_ptr<ClientConnection>& connection);
    static void move(ClientConnection& connection, Connections& list, Connections::iterator before);
    bool evict_one_newcomer(Steady::duration silent_for);
    static void handle_timeouts(Connections& list);
    template <class Action>
    void for_each(Action action);

    Connections newcomers_;
    Connections known_;
};

}  // namespace gateway::server
