// Tests of target lookups through delegations.
#include "metadata/target_lookup.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

struct ChainLookup {
  TargetLookup lookup;  // `target` must not be dereferenced: its metadata no longer exists
  unsigned fetched_files = 0;
};

// Looks up "deep.bin", which the last role of a chain of delegations lists, and fetches the files that are
// missing. With `cycle`, the last role delegates back to the first one.
ChainLookup look_up_through_chain(unsigned roles, bool cycle) {
  constexpr unsigned kMaxFiles = 100;
  TestRepository repository;
  const Publisher::RoleKeys keys = role_with_new_key();
  const auto name = [](unsigned i) { return i == 0 ? std::string("targets") : "r" + std::to_string(i); };
  const auto delegate = [&](unsigned from, unsigned to) {
    repository.delegations.push_back({name(from), name(to), keys, {"*"}, {}, false, {}, 1});
  };
  for (unsigned i = 0; i < roles; ++i) delegate(i, i + 1);
  if (cycle) delegate(roles, 1);
  repository.target_contents[name(roles)]["deep.bin"] = "deep";
  TufClient client;
  EXPECT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository))
      << client.refusal_line();
  ChainLookup result;
  for (;;) {
    result.lookup = find_target(client.trust, "deep.bin", kNow);
    const std::string& missing = result.lookup.missing_role;
    if (missing.empty()) break;
    ++result.fetched_files;
    EXPECT_TRUE(client.apply_delegated_targets(result.lookup.missing_delegator, missing,
                                               repository.targets_file(missing)))
        << client.refusal_line();
    if (result.fetched_files > kMaxFiles) break;
  }
  return result;
}

TEST(TargetLookup, VisitsCyclesOnceAndBoundsVisitedRoles) {
  EXPECT_TRUE(look_up_through_chain(4, true).lookup.target);
  const ChainLookup long_chain = look_up_through_chain(40, false);
  EXPECT_FALSE(long_chain.lookup.target);
  EXPECT_EQ(long_chain.lookup.refusal.reason, RefusalReason::kDelegation);
  EXPECT_LE(long_chain.fetched_files, kMaxDelegationVisits);

  // A cycle in which no role lists the path: nothing is found, missing or refused.
  struct Edge {
    std::string from;
    std::string to;
  };
  TestRepository repository;
  const Publisher::RoleKeys keys = role_with_new_key();
  for (const Edge& edge : std::vector<Edge>{{"targets", "a"}, {"a", "b"}, {"b", "c"}, {"c", "a"}})
    repository.delegations.push_back({edge.from, edge.to, keys, {"*"}, {}, false, {}, 1});
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository));
  for (const Edge& edge : std::vector<Edge>{{"targets", "a"}, {"a", "b"}, {"b", "c"}})
    ASSERT_TRUE(client.apply_delegated_targets(edge.from, edge.to, repository.targets_file(edge.to)))
        << client.refusal_line();
  const TargetLookup not_found = find_target(client.trust, "x", kNow);
  EXPECT_TRUE(!not_found.target && not_found.missing_role.empty() && !not_found.refusal);
}

TEST(TargetLookup, FollowsTerminatingDelegationsPathPatternsAndHashPrefixes) {
  TestRepository repository;
  Publisher::DelegationSettings first = make_delegation("targets", "first", {"a/*.bin"});
  first.terminating = true;
  Publisher::DelegationSettings third = make_delegation("targets", "third", {});
  third.hash_prefixes = {sha256_hex("hashed").substr(0, 4)};
  repository.delegations = {first, make_delegation("targets", "second", {"a/*", "b/?/c"}), third};
  repository.target_contents["second"] = {
      {"a/x.bin", "hidden"}, {"a/x.txt", "x"}, {"a/b/x", "no"}, {"b/1/c", "1"}};
  repository.target_contents["third"] = {{"hashed", "h"}, {"other", "o"}};
  TufClient client;
  ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository));
  for (const char* role : {"first", "second", "third"})
    ASSERT_TRUE(client.apply_delegated_targets("targets", role, repository.targets_file(role)))
        << client.refusal_line();
  const auto role_of = [&](const char* path) {
    const TargetLookup lookup = find_target(client.trust, path, kNow);
    return lookup.target ? lookup.role : "nowhere";
  };
  EXPECT_EQ(role_of("a/x.bin"), "nowhere");  // the first delegation is terminating
  EXPECT_EQ(role_of("a/x.txt"), "second");
  EXPECT_EQ(role_of("a/b/x"), "nowhere");  // '*' does not match '/'
  EXPECT_EQ(role_of("b/1/c"), "second");
  EXPECT_EQ(role_of("hashed"), "third");
  EXPECT_EQ(role_of("other"), "nowhere");
}

TEST(TargetLookup, AcceptsTargetOnlyIfAllRolesInAgreementListIt) {
  for (const bool roles_agree : {true, false}) {
    TestRepository repository;
    Publisher::DelegationSettings entry = make_delegation("targets", "a", {"*"});
    entry.agreeing_roles = {"b"};
    entry.min_roles_in_agreement = 2;
    repository.delegations = {entry, make_delegation("elsewhere", "b", {"*"})};
    repository.target_contents["a"]["x"] = "x";
    repository.target_contents["b"]["x"] = roles_agree ? "x" : "y";
    TufClient client;
    ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository))
        << client.refusal_line();
    for (const char* role : {"a", "b"})
      ASSERT_TRUE(client.apply_delegated_targets("targets", role, repository.targets_file(role)))
          << client.refusal_line();
    const TargetLookup lookup = find_target(client.trust, "x", kNow);
    EXPECT_EQ(lookup.target != nullptr, roles_agree);
    EXPECT_EQ(lookup.refusal.reason, roles_agree ? RefusalReason::kNone : RefusalReason::kDelegation);
  }
}

}  // namespace
}  // namespace ashbeam::metadata
