#include "endpoint_list.h"

#include <boost/asio/ip/udp.hpp>
#include <charconv>
#include <cstdio>
#include <sstream>

namespace gateway::server {
namespace {

EndpointState read_state(json::object entry) {
    const std::string_view state = json::as_text(json::required(entry, "state"), "state");
    if (state == "ready") return EndpointState::ready;
    if (state == "draining") return EndpointState::draining;
    if (state == "gone") return EndpointState::gone;
    json::throw_bad_value("state", "ready, draining or gone");
}

Endpoint read_entry(json::object entry) {
    Endpoint endpoint;
    endpoint.uid = json::as_text(json::required(entry, "uid"), "uid");
    endpoint.state = read_state(entry);
    // The address is optional for a host that is gone.
    if (json::optional_key(entry, "endpoint") || endpoint.state != EndpointState::gone)
        endpoint.address = read_endpoint<boost::asio::ip::tcp::endpoint>(
            json::as_text(json::required(entry, "endpoint"), "endpoint"), "endpoint");
    if (const auto zone = json::optional_key(entry, "az")) endpoint.zone = json::as_text(*zone, "az");
    if (const auto kind = json::optional_key(entry, "model")) endpoint.kind = json::as_text(*kind, "model");
    if (const auto cell = json::optional_key(entry, "pod_group"))
        endpoint.cell = json::as_integer(*cell, "pod_group");
    json::read(entry, "capacity_hint", endpoint.weight);
    if (const auto boot = json::optional_key(entry, "boot_ms"))
        endpoint.boot_ms = json::as_integer(*boot, "boot_ms");
    return endpoint;
}

void append_text(std::string& out, std::string_view key, std::string_view text) {
    constexpr unsigned char first_printable = 0x20;
    out.append("\"").append(key).append("\":\"");
    for (const char character : text) {
        if (character == '"' || character == '\\') out.push_back('\\');
        if (static_cast<unsigned char>(character) >= first_printable) {
            out.push_back(character);
            continue;
        }
        char escaped[8];
        std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(character));
        out.append(escaped);
    }
    out.push_back('"');
}

void append_number(std::string& out, std::string_view key, std::int64_t number) {
    out.append("\"").append(key).append("\":").append(std::to_string(number));
}

void append_entry(std::string& out, const Endpoint& endpoint) {
    char weight[32];
    std::snprintf(weight, sizeof weight, "%.17g", endpoint.weight);
    out.push_back('{');
    append_text(out, "uid", endpoint.uid);
    out.push_back(',');
    if (endpoint.address.port() != 0) {
        std::ostringstream address;
        address << endpoint.address;
        append_text(out, "endpoint", address.str());
        out.push_back(',');
    }
    append_text(out, "az", endpoint.zone);
    out.push_back(',');
    append_text(out, "model", endpoint.kind);
    out.push_back(',');
    append_number(out, "pod_group", endpoint.cell);
    out.push_back(',');
    append_text(out, "state", to_string(endpoint.state));
    out.append(",\"capacity_hint\":").append(weight).push_back(',');
    append_number(out, "boot_ms", endpoint.boot_ms);
    out.push_back('}');
}
}  // namespace

const char* to_string(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return "ready";
        case EndpointState::draining:
            return "draining";
        case EndpointState::gone:
            break;
    }
    return "gone";
}

std::string to_json(const EndpointList& list) {
    std::string text = "{";
    append_number(text, "rev", list.version);
    text.append(list.complete ? ",\"all\":true" : ",\"all\":false").append(",\"targets\":[");
    for (std::size_t i = 0; i < list.endpoints.size(); ++i) {
        if (i > 0) text.push_back(',');
        append_entry(text, list.endpoints[i]);
    }
    return text.append("]}");
}

template <class SocketAddress>
SocketAddress read_endpoint(std::string_view text, std::string_view name) {
    constexpr std::string_view expected = "an address and port such as 127.0.0.1:8080";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) json::throw_bad_value(name, expected);
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != end) json::throw_bad_value(name, expected);
    return {address, port};
}
template boost::asio::ip::tcp::endpoint read_endpoint(std::string_view, std::string_view);
template boost::asio::ip::udp::endpoint read_endpoint(std::string_view, std::string_view);

EndpointList read_endpoint_list(json::object object) {
    EndpointList list;
    list.version = json::as_integer(json::required(object, "rev"), "rev");
    list.complete = json::as_bool(json::required(object, "all"), "all");
    for (json::element element : json::as_array(json::required(object, "targets"), "targets"))
        list.endpoints.push_back(read_entry(json::as_object(element, "targets[]")));
    return list;
}

}  // namespace gateway::server
