// How the deployment's settings are read: counts that can't be right, and tenants.
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

// A router that wrongly takes itself for one of few would send endpoints that warm up what all together may.
TEST(RouterSettingsReader, ImplausibleCountsAreReadSafelyAndReportedOnce) {
  const auto read = [](const std::string& more, std::size_t warning_count) {
    std::vector<std::string> warnings;
    RouterSettings settings = read_router_settings(SettingsMap(kSettings + more), &warnings);
    EXPECT_EQ(warnings.size(), warning_count) << more;
    return settings;
  };
  EXPECT_EQ(read("replicasOfMe=300\nmyNumber=299\nfamilyInfo.onVotes=118\n", 0).router_count, 300u);
  EXPECT_EQ(read("replicasOfMe=0\nmyNumber=7\n", 1).router_count, 8u);
  EXPECT_EQ(read("replicasOfMe=-3\n", 1).router_count, 1u);
  EXPECT_EQ(read("replicasOfMe=nan\nmyNumber=3\n", 1).router_count, 4u);
  EXPECT_EQ(read("replicasOfMe=3\nfamilyInfo.onVotes=118\nfamilyInfo.noesNeeded=45\n", 1).router_count, 118u);
  EXPECT_EQ(read("replicasOfMe=1e12\n", 1).router_count, 1u << 20);
  EXPECT_EQ(read("replicasOfMe=2\nfamilyInfo.callsPerS=0\n", 1).platform_calls_per_s, 1);
}

// Whoever is no tenant of the settings has no quota, and no other tenant's.
TEST(RouterSettingsReader, ThereIsAnEntryWithoutAQuotaForWhoeverIsNoTenant) {
  const std::string two = "parties.count=2\nparties.0.name=x\nparties.0.allowancePerS=9\nparties.1.name=y\n";
  EXPECT_EQ(read_router_settings(SettingsMap(kSettings + two)).tenant_quota_per_s,
            (std::vector<double>{9, 0, 0}));
  EXPECT_TRUE(read_router_settings(SettingsMap(kSettings + std::string("parties.count=0\n")))
                  .tenant_quota_per_s.empty());
}

}  // namespace
}  // namespace ashbeam
