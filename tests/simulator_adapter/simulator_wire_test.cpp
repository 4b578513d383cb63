// Tests of SimulatorWire with lines in the simulator's format, and of base64.
#include "simulator_wire.h"

#include <gtest/gtest.h>

#include "base64.h"

using namespace gateway::simulator;

namespace {
const std::string config =
    R"({"rank":0,"instances":1,"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":2000000,)"
    R"("promiseUs":800000,"value":1}],"ceilings":{"maxAttempts":2},"guarantees":{"startCapacity":0.2},"tickUs":4000,)"
    R"("tiersOfService":[{"name":"basic","rate":1,"mostAtOnce":2}],"unknownKey":[1,{"a":2}]})";

// Processes the lines and returns the replies, concatenated.
std::string process_lines(SimulatorWire& wire, std::initializer_list<std::string> lines) {
    std::string out;
    for (std::string line : lines) wire.process_line(line, out);
    return out;
}
// Processes the lines and returns the message of the first error, or an empty text if there is none.
std::string error_message_of(std::initializer_list<std::string> lines) {
    SimulatorWire wire;
    try {
        process_lines(wire, lines);
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}
std::string attach_line() { return R"(["Attach",0,18446744073709551615,)" + config + "]"; }
const std::string directory_line = R"(["Directory",0,[["h:1","z","k",0,"U",1,null]]])";
const std::string sync_line = R"(["Sync",0,"restored",1,0])";
const std::string request_line = R"(["NewRequest",0,7,1,0,1500000,"key:a",0,"basic","read",1])";
}  // namespace

TEST(SimulatorWire, AnEmptyBatchHasAnEmptyReply) {
    SimulatorWire wire;
    EXPECT_EQ(process_lines(wire, {R"(["Turn",5])", R"(["EofBatch"])"}), "[\"End\"]\n");
}

TEST(SimulatorWire, SendsARequestAndIgnoresUnknownMessages) {
    SimulatorWire wire;
    const std::string out = process_lines(
        wire, {R"(["Turn",5])", attach_line(), directory_line, sync_line, R"(["Novelty",0,{"x":1}])",
               R"(["TallyBack",0,"x","GOOD",1,2])", request_line, R"(["EofBatch"])"});
    EXPECT_NE(out.find(R"(["Send",0,7,"h:1",1500000])"), std::string::npos) << out;
    EXPECT_EQ(out.substr(out.size() - 8), "[\"End\"]\n");
}

TEST(SimulatorWire, ADestroyedInstanceProducesNoActions) {
    SimulatorWire wire;
    process_lines(wire, {R"(["Turn",5])", attach_line(), directory_line, sync_line, R"(["EofBatch"])"});
    EXPECT_EQ(process_lines(wire, {R"(["Turn",6])", R"(["Destroy",0])", request_line, R"(["EofBatch"])"}),
              "[\"End\"]\n");
}

TEST(SimulatorWire, ErrorsNameTheLineAndTheExpectedValue) {
    EXPECT_NE(error_message_of({R"(["Turn",5])", "{nonsense"})
                  .find("line 2: malformed line: expected one JSON array"),
              std::string::npos);
    EXPECT_NE(error_message_of({R"(["Turn","x"])"}).find("clock: expected a number"), std::string::npos);
    EXPECT_NE(error_message_of({R"(["Turn",5])", attach_line(), R"(["Sync",0,"replace",1,3])"})
                  .find("a list that a Directory declared"),
              std::string::npos);
    EXPECT_NE(
        error_message_of({R"(["Turn",5])", R"(["Attach",0,1,{"rank":0}])"}).find("'instances' is missing"),
        std::string::npos);
    EXPECT_NE(error_message_of({R"(["Turn",5])", attach_line(), R"(["NewRequest",0,7])"}).find("line 3"),
              std::string::npos);
    EXPECT_NE(error_message_of({R"(["Turn",5])", attach_line(), R"(["Returned",0,7,0,"h:1","ODD",1,true])"})
                  .find("status: expected"),
              std::string::npos);
    EXPECT_NE(error_message_of({R"(["EofBatch"])"}).find("a Turn line first"), std::string::npos);
    EXPECT_NE(error_message_of({R"(["Turn",5])", R"(["Turn",4])"}).find("does not go back"),
              std::string::npos);
}

TEST(SimulatorWire, ErrorLineNumbersCountAllProcessedLines) {
    SimulatorWire wire;
    process_lines(wire, {R"(["Turn",5])", "", R"(["EofBatch"])"});
    try {
        process_lines(wire, {R"(["Turn",4])"});
        FAIL() << "accepted a Turn line whose clock goes back";
    } catch (const WireError& error) {
        EXPECT_EQ(error.line_number(), 4u);
    }
}

TEST(SimulatorWire, Base64RoundTripsAndRejectsMalformedText) {
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
        std::string encoded;
        append_base64(encoded, text);
        EXPECT_EQ(encoded.size() % 4, 0u);
        EXPECT_EQ(decode_base64(encoded), text);
    }
    std::string encoded;
    append_base64(encoded, "hi 7");
    EXPECT_EQ(encoded, "aGkgNw==");
    for (const std::string malformed : {"a", "ab=c", "a===", "a-b=", "===="})
        EXPECT_FALSE(decode_base64(malformed)) << malformed;
}
