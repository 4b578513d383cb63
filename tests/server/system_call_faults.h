// Fault injection for system calls on sockets: makes them fail or write only a part, both of which Linux may
// do at any time.
#pragma once

#include <cstddef>
#include <initializer_list>

namespace gateway::server::test {

// While an object of this class exists, `send` and `sendmsg` on stream sockets of this process write only a
// third of the bytes, but at least one.
class ShortWrites {
  public:
    ShortWrites();
    ~ShortWrites();
    ShortWrites(const ShortWrites&) = delete;
    ShortWrites& operator=(const ShortWrites&) = delete;
};

// The system calls that can be made to fail.
enum class SocketCall { accept, connect, socket };

// While an object of this class exists, the next calls of the given kind fail with the given errno values, in
// order. Later calls are executed normally. Only one object may exist at a time.
class FailingCalls {
  public:
    FailingCalls(SocketCall call, std::initializer_list<int> errors);
    ~FailingCalls();
    // The number of errors that no call has returned yet.
    [[nodiscard]] std::size_t remaining() const;
    FailingCalls(const FailingCalls&) = delete;
    FailingCalls& operator=(const FailingCalls&) = delete;

  private:
    const SocketCall call_;
};

}  // namespace gateway::server::test
