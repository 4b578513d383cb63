// Makes the system calls that write to sockets take only a part of what they are given, as Linux may at any
// time.
#pragma once

namespace spartrack::test {

// While one exists, `send` and `sendmsg` of this process take a third of the bytes, one at least.
class ShortWrites {
  public:
    ShortWrites();
    ~ShortWrites();
    ShortWrites(const ShortWrites&) = delete;
    ShortWrites& operator=(const ShortWrites&) = delete;
};

}  // namespace spartrack::test
