#include "action_writer.h"

#include <charconv>
#include <limits>
#include <string_view>
#include <variant>

#include "base64.h"

namespace gateway::simulator {
namespace {

using namespace decision;

constexpr std::string_view end_of_reply = "[\"End\"]\n";
constexpr std::string_view every_peer = "*";

void append_number(std::string& out, std::uint64_t value) {
    char digits[std::numeric_limits<std::uint64_t>::digits10 + 1];
    out.append(digits, std::to_chars(digits, digits + sizeof digits, value).ptr);
}

void append_text(std::string& out, std::string_view text) {
    out.push_back('"');
    for (const char character : text) {
        if (character == '"' || character == '\\') out.push_back('\\');
        out.push_back(character);
    }
    out.push_back('"');
}

// Appends one line, a JSON array. Call `begin`, then `add` functions for the values in order, then `end`.
class LineWriter {
  public:
    LineWriter(std::string& out, std::int64_t gateway_id) : out_(out), gateway_id_(gateway_id) {}

    void begin(std::string_view name) {
        out_.append("[\"").append(name).append("\",");
        append_number(out_, static_cast<std::uint64_t>(gateway_id_));
    }
    void add(std::uint64_t value) {
        out_.push_back(',');
        append_number(out_, value);
    }
    void add(std::string_view text) {
        out_.push_back(',');
        append_text(out_, text);
    }
    void add(Micros time) { add(static_cast<std::uint64_t>(time.count())); }
    // The simulator expects the label of a timer as text.
    void add_token(std::uint64_t token) {
        out_.append(",\"");
        append_number(out_, token);
        out_.push_back('"');
    }
    void add_base64(std::string_view bytes) {
        out_.append(",\"");
        append_base64(out_, bytes);
        out_.push_back('"');
    }
    void end() { out_.append("]\n"); }

  private:
    std::string& out_;
    std::int64_t gateway_id_;
};

// Writes the name and the values of the line for each kind of action.
struct ActionVisitor {
    LineWriter& line;

    void operator()(const SendAttempt& action) const {
        line.begin("Send");
        line.add(action.id);
        line.add(action.host);
        line.add(action.timeout);
    }
    void operator()(const RejectRequest& action) const {
        line.begin("Bounce");
        line.add(action.id);
        line.add(action.retry_after);
    }
    void operator()(const FailRequest& action) const {
        line.begin("DropRequest");
        line.add(action.id);
    }
    void operator()(const CancelAttempt& action) const {
        line.begin("Retract");
        line.add(action.id);
        line.add(static_cast<std::uint64_t>(action.attempt));
    }
    void operator()(const CheckHealth& action) const {
        line.begin("Test");
        line.add(action.host);
    }
    void operator()(const SetTimer& action) const {
        line.begin("WakeAt");
        line.add(action.from_now);
        line.add_token(action.token);
    }
    // The simulator reports complete answers only, so no event that it sends leads to this action.
    void operator()(const StreamResponse&) const {}
    // Snapshots are part of an upgrade, which the simulator does not support: no event that it sends leads to
    // this action.
    void operator()(const SaveSnapshot&) const {}
    void operator()(const SendMessage& action) const {
        line.begin("WritePeer");
        if (action.to < 0) line.add(every_peer);
        else line.add(static_cast<std::uint64_t>(action.to));
        line.add_base64(action.bytes);
    }
};

}  // namespace

void ActionWriter::write(std::int64_t gateway_id, const Action& action) {
    LineWriter line(reply_, gateway_id);
    std::visit(ActionVisitor{line}, action);
    line.end();
}

void ActionWriter::end_reply(std::string& out) {
    out.append(reply_).append(end_of_reply);
    reply_.clear();
}

}  // namespace gateway::simulator
