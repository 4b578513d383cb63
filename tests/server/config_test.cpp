#include "config.h"

#include <gtest/gtest.h>

namespace gateway::server::test {
namespace {

TEST(Config, ErrorsNameTheKeyAndTheExpectedValue) {
    const auto empty_environment = [](const char*) -> const char* { return nullptr; };
    const auto error_of = [&](const std::string& text) -> std::string {
        try {
            static_cast<void>(parse_config(text, empty_environment));
        } catch (const ConfigError& error) {
            return error.what();
        }
        return "";
    };
    EXPECT_EQ(error_of("{"), "config: malformed: expected one JSON object");
    EXPECT_NE(error_of("{}").find("name is missing"), std::string::npos);
    EXPECT_NE(error_of(R"({"name":"n","listen":"nowhere"})").find("listen: expected an address"),
              std::string::npos);
    EXPECT_NE(error_of(R"({"name":"n","listen":"127.0.0.1:99999"})").find("listen: expected"),
              std::string::npos);
    EXPECT_NE(error_of(R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2"})").find("settings"),
              std::string::npos);
    EXPECT_NE(
        error_of(R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":3}})")
            .find("limits.sockets"),
        std::string::npos);
    EXPECT_NE(error_of(R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"xyz"})")
                  .find("seed"),
              std::string::npos);
    EXPECT_THROW(static_cast<void>(load_config(empty_environment)), ConfigError);
    EXPECT_THROW(static_cast<void>(load_config([](const char*) { return "/nowhere/at/all"; })), ConfigError);
}

TEST(Config, KeysThatTheFileOmitsAreReadFromTheEnvironment) {
    const Config config = parse_config(
        R"({"seed":"8c1f30d27a5be964","limits":{"sockets":500},"peers":["127.0.0.1:5"],"settings":{"rank":0,)"
        R"("instances":1,"requestClasses":[],"guarantees":{},"ceilings":{"connIdleUs":7000000,)"
        R"("connectTimeoutUs":90000}}})",
        [](const char* name) -> const char* {
            return std::string_view(name) == "BALANCER_NAME"     ? "n3"
                   : std::string_view(name) == "BALANCER_LISTEN" ? "127.0.0.4:8080"
                                                                 : "127.2.0.1:8500";
        });
    EXPECT_EQ(config.name, "n3");
    EXPECT_EQ(config.listen.port(), 8080);
    EXPECT_EQ(config.discovery.port(), 8500);
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.sockets, 500u);
    EXPECT_EQ(config.host_idle_timeout, std::chrono::seconds(7));
    EXPECT_EQ(config.connect_timeout, std::chrono::milliseconds(90));
}

}  // namespace
}  // namespace gateway::server::test
