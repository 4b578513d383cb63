// Tests of the program api_gateway: signals and exit status.
#include "program.h"

#include <thread>

namespace gateway::server::test {
namespace {

std::string config(const std::string& discovery) {
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
           R"(","settings":{"rank":0,"instances":1,"tickUs":4000,"requestClasses":[{"name":"read",)"
           R"("effect":"retryable","deadlineUs":100000}],"ceilings":{"maxAttempts":4},)"
           R"("guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})";
}

void answer_empty_list(Server::Peer& peer) {
    if (peer.request.target().find("from=") == std::string::npos)
        peer.ok(R"({"rev":9,"all":true,"targets":[]})");
}

TEST(Program, ReloadsItsConfigurationOnSighupAndShutsDownOnSigterm) {
    asio::io_context io;
    Server first(io, answer_empty_list), second(io, answer_empty_list);
    Program program(config(first.address()));
    ASSERT_TRUE(run_until(io, [&] { return first.requests.size() >= 2; }));
    program.write(config(second.address()));
    program.signal(SIGHUP);
    ASSERT_TRUE(run_until(io, [&] { return second.requests.size() >= 2; }));
    // An invalid file changes nothing, and the program still handles the next signal.
    program.write("{broken");
    program.signal(SIGHUP);
    const std::size_t before = second.requests.size();
    ASSERT_TRUE(run_until(io, [&] { return second.requests.size() > before || program.ended(); }));
    ASSERT_FALSE(program.ended());
    const std::size_t polls = first.requests.size();
    program.write(config(first.address()));
    program.signal(SIGHUP);
    ASSERT_TRUE(run_until(io, [&] { return first.requests.size() > polls; }));
    program.signal(SIGTERM);
    ASSERT_TRUE(run_until(io, [&] { return program.ended(); }));
    EXPECT_EQ(program.exit_status(), 0);
}

// Guards against a reload that gives up on a partly written file: the previous discovery server closes its
// connections soon after the signal, whether the file was readable by then or not.
TEST(Program, RetriesAConfigurationThatIsPartlyWrittenAtSighup) {
    asio::io_context io;
    Server first(io, answer_empty_list), second(io, answer_empty_list);
    Program program(config(first.address()));
    ASSERT_TRUE(run_until(io, [&] { return first.requests.size() >= 2; }));
    const std::string complete = config(second.address());
    program.write(complete.substr(0, complete.size() / 2));
    program.signal(SIGHUP);
    const auto resume_at = std::chrono::steady_clock::now() + 300ms;
    ASSERT_TRUE(run_until(io, [&] { return std::chrono::steady_clock::now() >= resume_at; }));
    program.write(complete);
    ASSERT_TRUE(run_until(io, [&] { return !second.requests.empty(); }));
}

// Regression: the handler of SIGHUP was removed before the process ended, so a SIGHUP in that time killed it.
TEST(Program, SignalsDuringTheShutdownDoNotKillTheProgram) {
    for (const int number : {SIGHUP, SIGTERM}) {
        asio::io_context io;
        Server discovery(io, answer_empty_list);
        Program program(config(discovery.address()));
        ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() >= 2; }));
        program.signal(SIGTERM);
        const auto give_up_at = std::chrono::steady_clock::now() + 10s;
        while (!program.ended() && std::chrono::steady_clock::now() < give_up_at) {
            program.signal(number);
            std::this_thread::sleep_for(200us);
        }
        ASSERT_TRUE(program.ended());
        EXPECT_EQ(program.exit_status(), 0) << "signal " << number;
    }
}

TEST(Program, AnInvalidConfigurationFailsTheStart) {
    asio::io_context io;
    Program program(R"({"name":"n0","listen":"nowhere"})");
    ASSERT_TRUE(run_until(io, [&] { return program.ended(); }));
    EXPECT_EQ(program.exit_status(), 1);
}

}  // namespace
}  // namespace gateway::server::test
