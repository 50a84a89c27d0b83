// Converting the deployment's settings to RouterSettings: implausible counts, and quotas of tenants.
#include "terms/router_settings_reader.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ashbeam {
namespace {

const std::string kSettings =
    "grades.count=1\ngrades.0.effect=idempotent\ngrades.0.goalTimeMs=500.0\ngrades.0.deadlineMs=2000.0\n"
    "rules.drainGraceMs=1000.0\nrules.fallMs=1000.0\nrules.fallMultiple=2.0\nrules.startCapacity=0.33\n"
    "rules.warmAfterMs=4000.0\nfamilyInfo.mostShares=0.1,1.0\nfamilyInfo.spanMs=2000.0\n"
    "familyInfo.ballotTtlMs=6000.0\n";

// Each router sends an endpoint in slow start its part of the load that all routers together may send. A
// router with too small a number of routers would overload the endpoint.
TEST(RouterSettingsReader, ReplacesImplausibleCountsBySafeValuesWithOneWarningEach) {
  const auto read = [](const std::string& lines, std::size_t warning_count) {
    std::vector<std::string> warnings;
    RouterSettings settings = read_router_settings(SettingsMap(kSettings + lines), &warnings);
    EXPECT_EQ(warnings.size(), warning_count) << lines;
    return settings;
  };
  EXPECT_EQ(read("replicasOfMe=300\nmyNumber=299\nfamilyInfo.onVotes=118\n", 0).router_count, 300u);
  EXPECT_EQ(read("replicasOfMe=0\nmyNumber=7\n", 1).router_count, 8u);
  EXPECT_EQ(read("replicasOfMe=-3\n", 1).router_count, 1u);
  EXPECT_EQ(read("replicasOfMe=nan\nmyNumber=3\n", 1).router_count, 4u);
  EXPECT_EQ(read("replicasOfMe=3\nfamilyInfo.onVotes=118\nfamilyInfo.noesNeeded=45\n", 1).router_count, 118u);
  EXPECT_EQ(read("replicasOfMe=1e12\n", 1).router_count, 1u << 20);
  EXPECT_EQ(read("replicasOfMe=2\nfamilyInfo.callsPerS=0\n", 1).max_platform_calls_per_s, 1);
}

// A request of a tenant that the settings do not list must not get a quota, in particular not another
// tenant's.
TEST(RouterSettingsReader, AppendsQuotaOfZeroForUnknownTenants) {
  const std::string two_tenants =
      "parties.count=2\nparties.0.name=x\nparties.0.allowancePerS=9\nparties.1.name=y\n";
  EXPECT_EQ(read_router_settings(SettingsMap(kSettings + two_tenants)).tenant_quota_per_s,
            (std::vector<double>{9, 0, 0}));
  EXPECT_TRUE(read_router_settings(SettingsMap(kSettings + std::string("parties.count=0\n")))
                  .tenant_quota_per_s.empty());
}

}  // namespace
}  // namespace ashbeam
