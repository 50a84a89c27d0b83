// Lookups of targets through delegations.
#include "metadata/target_lookup.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

struct Fetched {
  TargetLookup lookup;  // `target` only says whether one was found: its metadata is gone
  unsigned files = 0;
};

// Looks up "deep.bin" below a chain of delegations, and fetches what is missing. `cycle`: the last role
// delegates back to the first.
Fetched fetch_through_chain(unsigned roles, bool cycle) {
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
  Fetched fetched;
  for (;;) {
    fetched.lookup = find_target(client.trust, "deep.bin", kNow);
    const std::string& missing = fetched.lookup.missing_role;
    if (missing.empty()) break;
    ++fetched.files;
    EXPECT_TRUE(client.apply_delegated_targets(fetched.lookup.missing_delegator, missing,
                                               repository.targets_file(missing)))
        << client.refusal_line();
    if (fetched.files > kMaxFiles) break;
  }
  return fetched;
}

TEST(TargetLookup, CyclesAreWalkedOnceAndVisitsAreBounded) {
  EXPECT_TRUE(fetch_through_chain(4, true).lookup.target);
  const Fetched far = fetch_through_chain(40, false);
  EXPECT_FALSE(far.lookup.target);
  EXPECT_EQ(far.lookup.refusal.reason, RefusalReason::kDelegation);
  EXPECT_LE(far.files, kMaxDelegationVisits);

  // Nothing at the end of a cycle of four.
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
  const TargetLookup none = find_target(client.trust, "x", kNow);
  EXPECT_TRUE(!none.target && none.missing_role.empty() && !none.refusal);
}

TEST(TargetLookup, TerminatingOnesPathsAndHashPrefixes) {
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
  EXPECT_EQ(role_of("a/x.bin"), "nowhere");  // the first one ends the search
  EXPECT_EQ(role_of("a/x.txt"), "second");
  EXPECT_EQ(role_of("a/b/x"), "nowhere");  // * does not match a /
  EXPECT_EQ(role_of("b/1/c"), "second");
  EXPECT_EQ(role_of("hashed"), "third");
  EXPECT_EQ(role_of("other"), "nowhere");
}

TEST(TargetLookup, SeveralRolesMustAgree) {
  for (const bool agree : {true, false}) {
    TestRepository repository;
    Publisher::DelegationSettings entry = make_delegation("targets", "a", {"*"});
    entry.agreeing_roles = {"b"};
    entry.min_roles_in_agreement = 2;
    repository.delegations = {entry, make_delegation("elsewhere", "b", {"*"})};
    repository.target_contents["a"]["x"] = "x";
    repository.target_contents["b"]["x"] = agree ? "x" : "y";
    TufClient client;
    ASSERT_TRUE(client.apply_root(repository.root_file()) && client.update_all(repository))
        << client.refusal_line();
    for (const char* role : {"a", "b"})
      ASSERT_TRUE(client.apply_delegated_targets("targets", role, repository.targets_file(role)))
          << client.refusal_line();
    const TargetLookup lookup = find_target(client.trust, "x", kNow);
    EXPECT_EQ(lookup.target != nullptr, agree);
    EXPECT_EQ(lookup.refusal.reason, agree ? RefusalReason::kNone : RefusalReason::kDelegation);
  }
}

}  // namespace
}  // namespace ashbeam::metadata
