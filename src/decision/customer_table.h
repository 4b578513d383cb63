// The customers of this gateway.
#pragma once

#include <string>
#include <unordered_map>

#include "context.h"
#include "customer.h"

namespace gateway::decision {

// Owns the customers. References to a customer stay valid until `expire_idle` removes it.
class CustomerTable {
  public:
    explicit CustomerTable(const Context& context);

    // The request's customer, which is created if it is unknown. Updates the time of the customer's latest
    // use.
    Customer& find_or_create(const RequestArrived& request);
    // The customer whose name has this hash, or null.
    [[nodiscard]] Customer* find(std::uint32_t hash);
    // Removes customers that have no requests, attempts or lease requests and were not used for
    // `idle_timeout`.
    void expire_idle();
    // The longest time that an empty quota takes to refill. A customer that is idle for longer has a full
    // quota, so removing it changes no decision. Removal keeps memory from growing with every customer ever
    // seen.
    [[nodiscard]] Micros idle_timeout() const noexcept { return idle_timeout_; }

    // Iterates in the unspecified order of the hash table. No emitted action may depend on this order.
    [[nodiscard]] auto begin() { return customers_.begin(); }
    [[nodiscard]] auto end() { return customers_.end(); }

    void serialize(auto& codec) { codec(customers_); }

  private:
    const Context& context_;
    Micros idle_timeout_;
    std::unordered_map<std::string, Customer> customers_;  // by name
};

}  // namespace gateway::decision
