// Tests of binding with retries.
#include "bind_retry.h"

#include <gtest/gtest.h>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

namespace gateway::server::test {
namespace {
using boost::system::system_error;

TEST(BindRetry, RetriesDuringATransientShortage) {
    int bind_calls = 0;
    const int result = bind_with_retry("listen", [&] {
        if (++bind_calls < 3) throw system_error(boost::asio::error::no_descriptors);
        return 7;
    });
    EXPECT_EQ(result, 7);
    EXPECT_EQ(bind_calls, 3);
}

TEST(BindRetry, TheErrorNamesTheKeyOfAnAddressThatCannotBeBound) {
    int bind_calls = 0;
    const auto bind_socket = [&]() -> int {
        ++bind_calls;
        throw system_error(boost::asio::error::address_in_use);
    };
    try {
        static_cast<void>(bind_with_retry("mgmt", bind_socket));
        FAIL() << "expected a ConfigError";
    } catch (const ConfigError& error) {
        EXPECT_EQ(
            std::string(error.what()).rfind("config: mgmt: expected an address that can be bound, got", 0),
            0u)
            << error.what();
    }
    EXPECT_EQ(bind_calls, 1);
}

}  // namespace
}  // namespace gateway::server::test
