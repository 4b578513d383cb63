#include "bind_retry.h"

#include <gtest/gtest.h>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

namespace gateway::server::test {
namespace {
using boost::system::system_error;

TEST(BindRetry, RetriesThroughATransientShortage) {
    int calls = 0;
    const int bound = bind_with_retry("listen", [&] {
        if (++calls < 3) throw system_error(boost::asio::error::no_descriptors);
        return 7;
    });
    EXPECT_EQ(bound, 7);
    EXPECT_EQ(calls, 3);
}

TEST(BindRetry, NamesTheKeyOfAnAddressThatCannotBeBound) {
    int calls = 0;
    const auto fail = [&]() -> int {
        ++calls;
        throw system_error(boost::asio::error::address_in_use);
    };
    try {
        static_cast<void>(bind_with_retry("mgmt", fail));
        FAIL() << "expected a ConfigError";
    } catch (const ConfigError& error) {
        EXPECT_EQ(
            std::string(error.what()).rfind("config: mgmt: expected an address that can be bound, got", 0),
            0u)
            << error.what();
    }
    EXPECT_EQ(calls, 1);
}

}  // namespace
}  // namespace gateway::server::test
