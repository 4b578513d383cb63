// simulator_adapter: runs the decision module in the simulator. Reads JSON lines from standard input and
// writes the reply to each batch to standard output. Exits with status 0 at the end of the input, and with
// status 2 after malformed input or another error.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "simulator_wire.h"

namespace {

constexpr int exit_malformed_input = 2;

void write_reply(const std::string& reply) {
    std::fwrite(reply.data(), 1, reply.size(), stdout);
    std::fflush(stdout);
}

void serve_standard_input() {
    gateway::simulator::SimulatorWire wire;
    std::string line;
    std::string reply;
    while (std::getline(std::cin, line)) {
        if (!wire.process_line(line, reply)) continue;
        write_reply(reply);
        reply.clear();
    }
}

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        serve_standard_input();
    } catch (const std::exception& error) {
        std::cerr << "simulator_adapter: " << error.what() << '\n';
        return exit_malformed_input;
    }
    return 0;
}
