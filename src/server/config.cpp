#include "config.h"

#include <charconv>
#include <fstream>
#include <sstream>
#include <thread>

#include "json/settings.h"

namespace gateway::server {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;
// At the start of the process, an unreadable file is retried for up to this time, at this interval.
constexpr std::chrono::milliseconds max_read_time = 1s;
constexpr std::chrono::milliseconds read_retry_interval = 20ms;
constexpr std::size_t min_sockets = 64;
constexpr std::size_t min_memory_mb = 16;

std::uint64_t read_seed(json::element element) {
    std::uint64_t seed = 0;
    if (element.get(seed) == simdjson::SUCCESS) return seed;
    const std::string_view text = json::as_text(element, "seed");
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        json::throw_bad_value("seed", "a hexadecimal number of up to 16 digits");
    return seed;
}

std::string text_or(json::object root, const char* key, const Environment& environment,
                    const char* variable) {
    if (const auto element = json::optional_key(root, key)) return std::string(json::as_text(*element, key));
    const char* const value = environment(variable);
    if (value == nullptr)
        json::throw_bad_value(std::string(key) + " is missing",
                              "this key or the environment variable " + std::string(variable));
    return value;
}

void read_own_addresses(json::object root, const Environment& environment, Config& config) {
    config.name = text_or(root, "name", environment, "BALANCER_NAME");
    config.listen =
        read_endpoint<tcp::endpoint>(text_or(root, "listen", environment, "BALANCER_LISTEN"), "listen");
    config.discovery = read_endpoint<tcp::endpoint>(
        text_or(root, "discovery", environment, "BALANCER_DISCOVERY"), "discovery");
    if (const auto admin = json::optional_key(root, "mgmt"))
        config.admin_listen = read_endpoint<tcp::endpoint>(json::as_text(*admin, "mgmt"), "mgmt");
    else if (const char* const address = environment("BALANCER_MGMT"))
        config.admin_listen = read_endpoint<tcp::endpoint>(address, "mgmt");
}

void read_limits(json::object limits, Config& config) {
    if (const auto sockets = json::optional_key(limits, "sockets"))
        config.sockets = json::as_unsigned(*sockets, "limits.sockets");
    if (const auto memory = json::optional_key(limits, "memory_mb"))
        config.memory_mb = json::as_unsigned(*memory, "limits.memory_mb");
    if (config.sockets < min_sockets)
        json::throw_bad_value("limits.sockets", std::to_string(min_sockets) + " file descriptors or more");
    if (config.memory_mb < min_memory_mb)
        json::throw_bad_value("limits.memory_mb", std::to_string(min_memory_mb) + " MiB or more");
}

void read_peers(json::object root, Config& config) {
    if (const auto own = json::optional_key(root, "peer_listen"))
        config.peer_listen = read_endpoint<udp::endpoint>(json::as_text(*own, "peer_listen"), "peer_listen");
    if (const auto all = json::optional_key(root, "peers_all"))
        config.all_peers = read_endpoint<udp::endpoint>(json::as_text(*all, "peers_all"), "peers_all");
    if (const auto peers = json::optional_key(root, "peers"))
        for (json::element peer : json::as_array(*peers, "peers"))
            config.peers.push_back(read_endpoint<udp::endpoint>(json::as_text(peer, "peers[]"), "peers[]"));
}

void read_settings_section(json::object settings, Config& config) {
    config.settings = json::read_settings(settings);
    if (const auto mode = json::optional_key(settings, "membershipMode"))
        config.lists_pushed = json::as_text(*mode, "membershipMode") != "subscribe";
    const json::object guarantees = json::as_object(json::required(settings, "guarantees"), "guarantees");
    json::read(guarantees, "askWithinUs", config.max_poll_interval);
    if (config.max_poll_interval.count() < 0) json::throw_bad_value("askWithinUs", "a time of 0 or more");
    const json::object ceilings = json::as_object(json::required(settings, "ceilings"), "ceilings");
    json::read(ceilings, "connectTimeoutUs", config.connect_timeout);
    json::read(ceilings, "connIdleUs", config.host_idle_timeout);
    if (config.connect_timeout.count() <= 0) json::throw_bad_value("connectTimeoutUs", "a time above 0");
    if (config.host_idle_timeout.count() <= 0) json::throw_bad_value("connIdleUs", "a time above 0");
}

Config read(json::object root, const Environment& environment) {
    Config config;
    read_own_addresses(root, environment, config);
    if (const char* const folder = environment("TMPDIR")) config.handover_folder = folder;
    if (const auto seed = json::optional_key(root, "seed")) config.seed = read_seed(*seed);
    if (const auto limits = json::optional_key(root, "limits"))
        read_limits(json::as_object(*limits, "limits"), config);
    read_peers(root, config);
    if (const auto known = json::optional_key(root, "known"))
        config.initial_endpoints = read_endpoint_list(json::as_object(*known, "known"));
    read_settings_section(json::as_object(json::required(root, "settings"), "settings"), config);
    return config;
}
}  // namespace

Config parse_config(const std::string& text, const Environment& environment) {
    simdjson::dom::parser parser;
    json::object root;
    if (parser.parse(text).get(root) != simdjson::SUCCESS)
        throw ConfigError("config: malformed: expected one JSON object");
    try {
        return read(root, environment);
    } catch (const json::BadValue& error) {
        throw ConfigError(std::string("config: ") + error.what());
    }
}

Config load_config(const Environment& environment) {
    const char* const path = environment("BALANCER_CONFIG");
    if (path == nullptr) throw ConfigError("BALANCER_CONFIG: expected the path of the configuration file");
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        throw ConfigUnreadable(std::string("BALANCER_CONFIG: expected a readable file, got ") + path);
    return parse_config(text.str(), environment);
}

Config load_config_at_start(const Environment& environment) {
    const auto give_up_at = Steady::now() + max_read_time;
    while (true) {
        try {
            return load_config(environment);
        } catch (const ConfigUnreadable&) {
            if (Steady::now() >= give_up_at) throw;
        }
        std::this_thread::sleep_for(read_retry_interval);
    }
}

}  // namespace gateway::server
