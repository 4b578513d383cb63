#include "endpoint_list.h"

#include <boost/asio/ip/udp.hpp>
#include <charconv>

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
}  // namespace

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
