// The customers of this gateway.
#pragma once

#include <string>
#include <unordered_map>

#include "context.h"
#include "customer.h"

namespace gateway::decision {

// Owns the customers. References stay valid until `expire_idle` drops the customer.
class CustomerTable {
  public:
    explicit CustomerTable(const Context& context);

    // The request's customer, new or known, used now.
    Customer& find_or_create(const RequestArrived& request);
    // Null where no customer has that name's hash.
    [[nodiscard]] Customer* find(std::uint32_t hash);
    // Drops customers that have nothing in hand or in flight and were not used for `idle_timeout`.
    void expire_idle();
    // Longest time in which an empty quota refills: a customer unused for longer has all its tokens again, so
    // that dropping it changes nothing. Guards against memory that grows with everybody who ever came.
    [[nodiscard]] Micros idle_timeout() const noexcept { return idle_timeout_; }

    // The order is the hash table's: nothing that is emitted may depend on it.
    [[nodiscard]] auto begin() { return customers_.begin(); }
    [[nodiscard]] auto end() { return customers_.end(); }

    void serialize(auto& codec) { codec(customers_); }

  private:
    const Context& context_;
    Micros idle_timeout_;
    std::unordered_map<std::string, Customer> customers_;  // by name
};

}  // namespace gateway::decision
