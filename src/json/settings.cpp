#include "settings.h"

namespace gateway::json {
namespace {

using namespace decision;

Idempotency read_idempotency(std::string_view effect) {
    if (effect == "retryable") return Idempotency::idempotent;
    if (effect == "dedup") return Idempotency::with_key;
    if (effect == "fragile") return Idempotency::not_idempotent;
    throw_bad_value("effect", "retryable, dedup or fragile");
}

// An unknown name selects the narrowest scope.
DeduplicationScope read_deduplication_scope(std::string_view name) {
    if (name == "all") return DeduplicationScope::all;
    if (name == "zone") return DeduplicationScope::zone;
    return DeduplicationScope::cell;
}

// An unknown name means that hosts do not report their load.
LoadReports read_load_reports(std::string_view name) {
    if (name == "inline") return LoadReports::in_answers;
    if (name == "on_probe") return LoadReports::on_probe;
    return LoadReports::none;
}

RequestClass read_request_class(object members) {
    RequestClass request_class;
    request_class.name = as_text(required(members, "name"), "name");
    request_class.idempotency = read_idempotency(as_text(required(members, "effect"), "effect"));
    if (const auto scope = optional_key(members, "dedupScope"))
        request_class.deduplication_scope = read_deduplication_scope(as_text(*scope, "dedupScope"));
    request_class.deadline = Micros(as_integer(required(members, "deadlineUs"), "deadlineUs"));
    request_class.latency_objective = request_class.deadline;
    read(members, "promiseUs", request_class.latency_objective);
    read(members, "repeatWindowUs", request_class.deduplication_window);
    read(members, "value", request_class.priority_weight);
    read(members, "lateWorth", request_class.late_weight_share);
    return request_class;
}

Plan read_plan(object members) {
    Plan plan;
    plan.name = as_text(required(members, "name"), "name");
    read(members, "rate", plan.rate);
    read(members, "mostAtOnce", plan.burst);
    read(members, "maxOut", plan.max_concurrency);
    read(members, "worthFactor", plan.weight_factor);
    read(members, "excessWorth", plan.excess_weight_share);
    read(members, "excessCost", plan.excess_cost_share);
    read(members, "hardRate", plan.ceiling_rate);
    read(members, "hardBurst", plan.ceiling_burst);
    return plan;
}

void read_fleet(object members, Settings& settings) {
    settings.rank = static_cast<int>(as_integer(required(members, "rank"), "rank"));
    settings.instances = static_cast<int>(as_integer(required(members, "instances"), "instances"));
    if (const auto zone = optional_key(members, "locality")) settings.zone = as_text(*zone, "locality");
}

void read_classes_and_plans(object members, Settings& settings) {
    for (const element row : as_array(required(members, "requestClasses"), "requestClasses"))
        settings.classes.push_back(read_request_class(as_object(row, "requestClasses[]")));
    const auto plans = optional_key(members, "tiersOfService");
    if (!plans) return;
    for (const element row : as_array(*plans, "tiersOfService"))
        settings.plans.push_back(read_plan(as_object(row, "tiersOfService[]")));
}

void read_ceilings(object members, Settings& settings) {
    const object ceilings = as_object(required(members, "ceilings"), "ceilings");
    read(ceilings, "maxAttempts", settings.max_attempts);
    read(ceilings, "connectTimeoutUs", settings.connect_timeout);
    read(ceilings, "mayDuplicate", settings.may_hedge);
    read(ceilings, "cancel", settings.may_cancel);
    read(ceilings, "probes", settings.may_check_health);
    read(ceilings, "peers", settings.may_message_peers);
    read(ceilings, "retryAfter", settings.may_send_retry_after);
    read(ceilings, "maxRetryAfterUs", settings.max_retry_after);
}

void read_family_info(object members, Settings& settings) {
    const auto value = optional_key(members, "familyInfo");
    if (!value) return;
    const object family_info = as_object(*value, "familyInfo");
    read(family_info, "mailPerS", settings.messages_per_s);
    read(family_info, "unitsTop", settings.max_units);
    read(family_info, "truedUp", settings.units_settled_later);
}

void read_reporting(object members, Settings& settings) {
    const auto value = optional_key(members, "reporting");
    if (!value) return;
    const object reporting = as_object(*value, "reporting");
    settings.reports = read_load_reports(as_text(required(reporting, "how"), "how"));
}

void read_guarantees(object members, Settings& settings) {
    const object guarantees = as_object(required(members, "guarantees"), "guarantees");
    read(guarantees, "coldUs", settings.slow_start_time);
    read(guarantees, "fallUs", settings.overload_time);
    read(guarantees, "overloadFactor", settings.overload_multiple);
    read(guarantees, "startCapacity", settings.slow_start_capacity);
}

void read_costs(object members, Settings& settings) {
    if (const auto costs = optional_key(members, "costs"))
        read(as_object(*costs, "costs"), "crossZone", settings.cross_zone_cost);
}

}  // namespace

decision::Settings read_settings(object members) {
    Settings settings;
    read_fleet(members, settings);
    read_classes_and_plans(members, settings);
    read_ceilings(members, settings);
    read_family_info(members, settings);
    read_reporting(members, settings);
    read_guarantees(members, settings);
    read(members, "tickUs", settings.tick);
    read_costs(members, settings);
    return settings;
}

}  // namespace gateway::json
