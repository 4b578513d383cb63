#include "gateway_config.h"

#include <sstream>

namespace fault_soak {
namespace {

std::string micros(Duration duration) { return std::to_string(duration.count() * 1000); }

std::string quoted_list(const std::vector<std::string>& texts) {
    std::string list;
    for (const std::string& text : texts) list.append(list.empty() ? "\"" : ",\"").append(text).append("\"");
    return list;
}

std::string classes_json(const OracleSettings& settings) {
    std::ostringstream text;
    text << R"("requestClasses":[)"
         << R"({"name":"read","effect":"retryable","deadlineUs":800000,"promiseUs":300000,"value":1},)"
         << R"({"name":"book","effect":"dedup","dedupScope":"zone","deadlineUs":1500000,"promiseUs":700000,)"
         << R"("repeatWindowUs":)" << micros(settings.deduplication_window) << R"(,"value":3},)"
         << R"({"name":"pay","effect":"fragile","deadlineUs":1200000,"promiseUs":600000,"value":4}],)"
         << R"("tiersOfService":[{"name":"open","rate":0,"mostAtOnce":0,"worthFactor":1},)"
         << R"({"name":"metered","rate":8,"mostAtOnce":8,"maxOut":2,"worthFactor":1,"excessCost":0.5}])";
    return text.str();
}

std::string ceilings_json(const GatewayConfig& config) {
    std::ostringstream text;
    text << R"("ceilings":{"cancel":true,"probes":true,"peers":true,"retryAfter":true,"maxAttempts":4,)"
         << R"("mayDuplicate":)" << (config.may_hedge ? "true" : "false")
         << R"(,"connIdleUs":3000000,"connectTimeoutUs":250000,"maxRetryAfterUs":1000000})";
    return text.str();
}

std::string guarantees_json(const OracleSettings& settings) {
    std::ostringstream text;
    text << R"("guarantees":{"answerSlackUs":8000,"askWithinUs":1000000,"stopSendingWithinUs":)"
         << micros(settings.drain_grace) << R"(,"coldUs":)" << micros(settings.slow_start_time)
         << R"(,"fallUs":)" << micros(settings.overload_time) << R"(,"startCapacity":)"
         << settings.slow_start_capacity << R"(,"overloadFactor":)" << settings.overload_multiple << "}";
    return text.str();
}

std::string settings_json(const GatewayConfig& config, const OracleSettings& settings) {
    std::ostringstream text;
    text << R"("settings":{"rank":)" << config.number << R"(,"instances":)" << config.gateways
         << R"(,"locality":"a","failureDomains":["a","b"],"tickUs":2000,"membershipMode":")"
         << (config.lists_pushed ? "automatic" : "subscribe") << R"(",)" << classes_json(settings)
         << R"(,"familyInfo":{"mailPerS":200,"unitsTop":3},)"
         << R"("reporting":{"how":"inline","names":["outstanding","backlog"]},)" << ceilings_json(config)
         << "," << guarantees_json(settings) << "}";
    return text.str();
}

}  // namespace

std::string to_json(const GatewayConfig& config, const OracleSettings& settings) {
    std::ostringstream text;
    text << R"({"name":"n)" << config.number << R"(","listen":")" << config.listen << R"(","mgmt":")"
         << config.admin << R"(","discovery":")" << config.discovery << R"(","seed":")" << std::hex
         << config.seed << std::dec << R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":384},)"
         << R"("peer_listen":")" << config.peer_listen << R"(","peers":[)" << quoted_list(config.peers)
         << R"(],"known":)" << config.known_list << "," << settings_json(config, settings) << "}";
    return text.str();
}

}  // namespace fault_soak
