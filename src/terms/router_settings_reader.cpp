#include "terms/router_settings_reader.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

#include "terms/list_item_key.hpp"
#include "terms/setting_keys.hpp"

namespace ashbeam {

namespace {

namespace keys = setting_keys;
namespace values = setting_values;

constexpr double kMaxRouterCount = 1 << 20;
// 11.6 days: if the interval is not set, the endpoint list is in practice never polled.
constexpr double kDefaultEndpointPollIntervalMs = 1e9;
constexpr double kDefaultBakeTimeMs = 2000;
constexpr double kDefaultVoteAnswerTimeoutMs = 2000;
constexpr double kDefaultPlatformCallsPerS = 10;

Idempotency read_idempotency(const SettingsMap& settings, const std::string& key) {
  const std::string idempotency = settings.text(key);
  if (idempotency == values::kIdempotent) return Idempotency::kIdempotent;
  if (idempotency == values::kKeyed) return Idempotency::kKeyed;
  if (idempotency == values::kUnsafe) return Idempotency::kUnsafe;
  throw SettingsError("settings: '" + key + "' is '" + idempotency + "', expected '" + values::kIdempotent +
                      "', '" + values::kKeyed + "' or '" + values::kUnsafe + "'");
}

IdempotencyScope read_scope(const SettingsMap& settings, const std::string& key) {
  const std::string scope = settings.text(key, values::kScopeAll);
  if (scope == values::kScopeZone) return IdempotencyScope::kZone;
  if (scope == values::kScopeCell) return IdempotencyScope::kCell;
  return IdempotencyScope::kAll;
}

RequestClass read_request_class(const SettingsMap& settings, std::uint32_t index) {
  const auto key = [index](const char* field) { return list_item_key(keys::kRequestClasses, index, field); };
  RequestClass request_class;
  request_class.idempotency = read_idempotency(settings, key(keys::kClassIdempotency));
  request_class.scope = read_scope(settings, key(keys::kClassScope));
  request_class.latency_objective = settings.duration(key(keys::kClassLatencyObjectiveMs));
  request_class.client_timeout = settings.duration(key(keys::kClassClientTimeoutMs));
  request_class.key_retention = settings.duration(key(keys::kClassKeyRetentionMs), 0);
  request_class.priority_weight = settings.number(key(keys::kClassPriorityWeight), 1);
  request_class.late_priority_weight = settings.number(key(keys::kClassLatePriorityWeight), 0);
  return request_class;
}

void read_request_classes(const SettingsMap& settings, RouterSettings& router) {
  const std::string count_key = list_count_key(keys::kRequestClasses);
  const std::uint32_t count = settings.count(count_key);
  for (std::uint32_t index = 0; index < count; ++index) {
    router.request_classes.push_back(read_request_class(settings, index));
  }
  if (count == 0) throw SettingsError("settings: '" + count_key + "' is 0, expected at least 1");
}

void read_tenants(const SettingsMap& settings, RouterSettings& router) {
  const std::uint32_t count = settings.count(list_count_key(keys::kTenants), 0);
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::string key = list_item_key(keys::kTenants, index, keys::kTenantQuotaPerS);
    router.tenant_quota_per_s.push_back(settings.number(key, 0));
  }
  // The last entry is a quota of 0 for requests of tenants that are not in the list: sending an unknown
  // tenant name must not yield a larger quota than the settings grant.
  if (count > 0) router.tenant_quota_per_s.push_back(0);
  router.over_quota_weight_factor = settings.number(keys::kOverQuotaWeight, 1);
}

// Returns the number of routers. An implausible number is replaced by the largest number of routers that the
// other settings imply, with a warning. The reason: all routers together may send a limited load to an
// endpoint in slow start, and each router divides this load by the number of routers. A router that takes
// itself for the only one would send the full load.
std::uint32_t read_router_count(const SettingsMap& settings, std::vector<std::string>& warnings) {
  const double configured = settings.number(keys::kRouterCount, 0);
  const double min_count =
      std::max({settings.number(keys::kRouterIndex, 0) + 1, settings.number(keys::kPromoteVotesNeeded, 1),
                settings.number(keys::kAbortVotesNeeded, 1), 1.0});
  // A NaN is not plausible, because each comparison with it is false.
  const bool is_plausible = configured >= min_count && configured <= kMaxRouterCount;
  if (is_plausible) return static_cast<std::uint32_t>(configured);
  const double replacement = std::min(std::max(min_count, configured > 0 ? configured : 0), kMaxRouterCount);
  const auto count = static_cast<std::uint32_t>(replacement);
  warnings.push_back(
      "settings: '" + std::string(keys::kRouterCount) + "' is " +
      settings.text(keys::kRouterCount, "missing") + ", expected at least '" + keys::kRouterIndex +
      "' + 1, '" + keys::kPromoteVotesNeeded + "' and '" + keys::kAbortVotesNeeded + "', and at most " +
      std::to_string(static_cast<std::uint32_t>(kMaxRouterCount)) + "; using " + std::to_string(count));
  return count;
}

void read_fleet(const SettingsMap& settings, RouterSettings& router, std::vector<std::string>& warnings) {
  const auto count_items = [&settings](const char* key) {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(settings.text_list(key).size()));
  };
  router.zone_count = count_items(keys::kZones);
  router.machine_type_count = count_items(keys::kMachineTypes);
  router.zone = settings.count(keys::kZone, 0);
  router.router_count = read_router_count(settings, warnings);
  router.router_index = settings.count(keys::kRouterIndex, 0);
}

void read_permissions(const SettingsMap& settings, RouterSettings& router) {
  router.must_watch_endpoints =
      settings.text(keys::kDiscoveryMode, values::kDiscoveryAutomatic) == values::kDiscoverySubscribe;
  router.may_cancel = settings.boolean(keys::kMayCancel);
  router.may_hedge = settings.boolean(keys::kMayHedge);
  router.may_send_retry_after = settings.boolean(keys::kMaySendRetryAfter);
  router.max_retry_after = settings.duration(keys::kMaxRetryAfterMs, 0);
  router.max_attempts = settings.count(keys::kMaxAttempts, 1);
}

void read_endpoint_rules(const SettingsMap& settings, RouterSettings& router) {
  router.drain_grace = settings.duration(keys::kDrainGraceMs);
  router.endpoint_poll_interval =
      settings.duration(keys::kEndpointPollIntervalMs, kDefaultEndpointPollIntervalMs);
  router.slow_start_window = settings.duration(keys::kSlowStartWindowMs);
  router.overload_factor = settings.number(keys::kOverloadMultiple);
  router.initial_capacity_fraction = settings.number(keys::kInitialCapacity);
  router.slow_start_duration = settings.duration(keys::kSlowStartDurationMs);
  router.clock_tolerance = settings.duration(keys::kClockTickMs, 1);
  router.cross_zone_cost = settings.number(keys::kCrossZoneCost, 0);
  router.health_check_cost = settings.number(keys::kHealthCheckCost, 0);
}

void read_release_rules(const SettingsMap& settings, RouterSettings& router) {
  router.exposure_caps = settings.number_list(keys::kExposureCaps);
  if (router.exposure_caps.empty()) {
    throw SettingsError("settings: '" + std::string(keys::kExposureCaps) +
                        "' is missing or empty, expected one exposure cap per stage");
  }
  router.stage_endpoint_fractions = settings.number_list(keys::kStageFractions);
  router.exposure_per_class =
      settings.text(keys::kExposureCounting, values::kCountedTogether) == values::kCountedPerClass;
  router.sticky_keys = settings.boolean(keys::kStickyKeys);
  router.promoted_automatically =
      settings.text(keys::kPromotedBy, values::kPromotedBySingleVote) == values::kPromotedByClock;
  router.rolling_update = settings.text(keys::kReleaseStyle, values::kSideBySide) == values::kRolling;
  router.idempotent_only_stage_count = settings.count(keys::kIdempotentOnlyStages, 0);
  router.exposure_allowance = settings.number(keys::kExposureAllowance, 0);
  router.exposure_window = settings.duration(keys::kExposureWindowMs);
}

double read_platform_calls_per_s(const SettingsMap& settings, std::vector<std::string>& warnings) {
  const double configured = settings.number(keys::kPlatformCallsPerS, kDefaultPlatformCallsPerS);
  if (configured > 0) return configured;
  warnings.push_back("settings: '" + std::string(keys::kPlatformCallsPerS) + "' is " +
                     settings.text(keys::kPlatformCallsPerS) +
                     ", expected more than 0 calls per second; using 1");
  return 1;
}

void read_votes(const SettingsMap& settings, RouterSettings& router, std::vector<std::string>& warnings) {
  router.vote_ttl = settings.duration(keys::kVoteTtlMs);
  router.bake_time = settings.duration(keys::kBakeTimeMs, kDefaultBakeTimeMs);
  router.sample_interval = settings.duration(keys::kSampleIntervalMs, 0);
  router.vote_answer_timeout = settings.duration(keys::kVoteAnswerTimeoutMs, kDefaultVoteAnswerTimeoutMs);
  router.abort_votes_needed = settings.count(keys::kAbortVotesNeeded, 1);
  router.max_platform_calls_per_s = read_platform_calls_per_s(settings, warnings);
  router.dispute_report_fraction = settings.number(keys::kDisputeReportFraction, 0);
  router.outcome_sample_fraction = settings.number(keys::kOutcomeSampleFraction, 1);
}

}  // namespace

RouterSettings read_router_settings(const SettingsMap& settings, std::vector<std::string>* warnings) {
  RouterSettings router;
  std::vector<std::string> found_warnings;
  read_request_classes(settings, router);
  read_tenants(settings, router);
  read_fleet(settings, router, found_warnings);
  read_permissions(settings, router);
  read_endpoint_rules(settings, router);
  read_release_rules(settings, router);
  read_votes(settings, router, found_warnings);
  if (warnings) *warnings = std::move(found_warnings);
  return router;
}

}  // namespace ashbeam
