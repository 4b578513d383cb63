// Makes system calls on sockets fail or take only a part of what they are given, as Linux may at any time.
#pragma once

#include <cstddef>
#include <initializer_list>

namespace gateway::server::test {

// While one exists, `send` and `sendmsg` of this process take a third of the bytes, one at least.
class ShortWrites {
  public:
    ShortWrites();
    ~ShortWrites();
    ShortWrites(const ShortWrites&) = delete;
    ShortWrites& operator=(const ShortWrites&) = delete;
};

enum class SocketCall { accept, connect, socket };

// While one exists, the next calls of that kind fail with these errors, in order, and those after them
// succeed.
class FailingCalls {
  public:
    FailingCalls(SocketCall call, std::initializer_list<int> errors);
    ~FailingCalls();
    std::size_t left() const;  // that have not been made
    FailingCalls(const FailingCalls&) = delete;
    FailingCalls& operator=(const FailingCalls&) = delete;

  private:
    const SocketCall call_;
};

}  // namespace gateway::server::test
