// Tests of the admin server alone: valid and invalid requests, and callers that send no complete request.
#include "admin_server.h"

#include "loopback.h"

namespace gateway::server::test {
namespace {

struct AdminServerTest : ::testing::Test {
    asio::io_context io;
    std::vector<AdminCall> calls;
    AdminServer admin{io, any_port(), [this](const AdminCall& call) {
                          calls.push_back(call);
                          return call.host == "unknown" ? http::status::not_found : http::status::ok;
                      }};
    // Sends the text on a new connection and returns the status of the answer, or 0 if there is none.
    unsigned status_of(const std::string& text) {
        Client caller(io, admin.local_endpoint());
        caller.send(text);
        EXPECT_TRUE(run_until(io, [&] { return caller.closed(); })) << text;
        return caller.answers().empty() ? 0u : caller.answers()[0].result_int();
    }
    static std::string post(const std::string& path, const std::string& body = {}) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
};

TEST_F(AdminServerTest, ExecutesEachCallAndClosesItsConnection) {
    EXPECT_EQ(status_of("GET /status HTTP/1.1\r\nHost: x\r\n\r\n"), 200u);
    EXPECT_EQ(status_of(post("/maintenance/enter", "s-1")), 200u);
    EXPECT_EQ(status_of("POST /maintenance/exit HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "2\r\ns-\r\n2\r\n1\n\r\n0\r\n\r\n"),
              200u);
    EXPECT_EQ(status_of(post("/standby")), 200u);
    EXPECT_EQ(status_of(post("/active")), 200u);
    ASSERT_EQ(calls.size(), 5u);
    EXPECT_EQ(calls[1].kind, AdminCall::Kind::ban);
    EXPECT_EQ(calls[1].host, "s-1");
    EXPECT_EQ(calls[2].kind, AdminCall::Kind::unban);
    EXPECT_EQ(calls[2].host, "s-1");
    EXPECT_EQ(calls[3].kind, AdminCall::Kind::enter_standby);
    EXPECT_EQ(calls[4].kind, AdminCall::Kind::leave_standby);
}

TEST_F(AdminServerTest, RejectsRequestsThatAreNoValidCall) {
    EXPECT_EQ(status_of("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"), 404u);
    EXPECT_EQ(status_of("GET /standby HTTP/1.1\r\nHost: x\r\n\r\n"), 405u);
    EXPECT_EQ(status_of(post("/status")), 405u);
    EXPECT_EQ(status_of(post("/maintenance/enter")), 400u);
    EXPECT_EQ(status_of("nonsense\r\n\r\n"), 400u);
    EXPECT_EQ(status_of(post("/maintenance/enter", std::string(5000, 'x'))), 413u);
    EXPECT_TRUE(calls.empty());
    EXPECT_EQ(status_of(post("/maintenance/enter", "unknown")), 404u);
}

TEST_F(AdminServerTest, AnswersWithinASecondDespiteSilentAndIncompleteRequests) {
    std::vector<std::unique_ptr<Client>> unfinished_callers;
    for (int i = 0; i < 40; ++i) {
        unfinished_callers.push_back(std::make_unique<Client>(io, admin.local_endpoint()));
        if (i % 2)
            unfinished_callers.back()->send(
                "POST /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\ns-");
    }
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(status_of(post("/standby")), 200u);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 500ms);
    EXPECT_EQ(calls.size(), 1u);
    // An incomplete request is answered with status 408 in time.
    EXPECT_TRUE(run_until(io, [&] { return unfinished_callers[39]->closed(); }));
    EXPECT_EQ(unfinished_callers[39]->answers().at(0).result_int(), 408u);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
}

}  // namespace
}  // namespace gateway::server::test
