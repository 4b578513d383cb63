// Fault injection: makes system calls on sockets fail or write only a part, as Linux may at any time.
#pragma once

#include <cstddef>
#include <initializer_list>

namespace gateway::server::test {

// While one exists, `send` and `sendmsg` of this process write a third of the bytes, one at least.
class ShortWrites {
  public:
    ShortWrites();
    ~ShortWrites();
    ShortWrites(const ShortWrites&) = delete;
    ShortWrites& operator=(const ShortWrites&) = delete;
};

// The system calls that can be made to fail.
enum class SocketCall { accept, connect, socket };

// While one exists, the next calls of that kind fail with these errno values, in order, and those after them
// succeed. One may exist at a time.
class FailingCalls {
  public:
    FailingCalls(SocketCall call, std::initializer_list<int> errors);
    ~FailingCalls();
    // How many of the errors have not been used.
    [[nodiscard]] std::size_t remaining() const;
    FailingCalls(const FailingCalls&) = delete;
    FailingCalls& operator=(const FailingCalls&) = delete;

  private:
    const SocketCall call_;
};

}  // namespace gateway::server::test
