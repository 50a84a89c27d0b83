// Metadata: the client's workflow against named attacks, and beside a slow plain model on generated
// repositories.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <set>

#include "base/pcg.hpp"
#include "metadata/publisher.hpp"
#include "metadata/target_lookup.hpp"

namespace ashbeam::metadata {
namespace {

const Instant kNow = Instant::at_us(1'800'000'000'000'000);
const Instant kLater = kNow + Span::s(86400);

struct Client {
  TrustedMetadata trust;
  Refusal last;
  bool take(const TrustUpdate& step) {
    last = step.refusal;
    if (!step.refusal) trust = step.trust;
    return !step.refusal;
  }
  bool root(const std::string& b) { return take(trust.root ? update_root(trust, b) : pin_root(b)); }
  bool timestamp(const std::string& b, Instant now = kNow) { return take(update_timestamp(trust, b, now)); }
  bool snapshot(const std::string& b, Instant now = kNow) { return take(update_snapshot(trust, b, now)); }
  bool targets(const std::string& b, Instant now = kNow) { return take(update_targets(trust, b, now)); }
  bool delegated(const std::string& by, const std::string& role, const std::string& b) {
    return take(update_delegated_targets(trust, by, role, b, kNow));
  }
  bool all(const Publisher& p) {
    return timestamp(p.timestamp()) && snapshot(p.snapshot()) && targets(p.targets());
  }
  std::string why() const { return last ? last.line() : "none"; }
};

struct Repository : Publisher {
  Repository() : Publisher(kLater) { contents["targets"]["app.bin"] = "app"; }
  void publish() {  // everything above targets anew
    ++versions["targets"], ++versions["snapshot"], ++versions["timestamp"];
  }
};

TEST(MetadataJson, IsReadStrictlyAndWrittenCanonically) {
  std::string problem;
  const auto node = parse_json(R"( {"b": [1, -2, true, null], "a": "q\"\\\u00e9\n"} )", {}, problem);
  ASSERT_TRUE(node) << problem;
  EXPECT_EQ(node->canonical(), "{\"a\":\"q\\\"\\\\\xc3\xa9\n\",\"b\":[1,-2,true,null]}");
  JsonLimits small;
  small.nodes = 50;
  for (const std::string& bad :
       {std::string(R"({"a":1,"a":1})"), std::string(R"({"a":1e0})"), std::string(R"({"a":1.0})"),
        std::string("{} x"), std::string("{}{}"), std::string("{\"a\":\"\xff\"}"),
        std::string("{\"a\":\"\xed\xa0\x80\"}"), std::string(65536, '['),
        std::string(R"({"a":18446744073709551615})"), std::string("[1,]"), std::string(""),
        std::string(R"({"a":01})"), "[" + std::string(200, '1') + "]", std::string(R"({"a":)"),
        std::string("{\"a\":\"\x01\"}")}) {
    EXPECT_FALSE(parse_json(bad, {}, problem)) << bad.substr(0, 40);
    EXPECT_FALSE(problem.empty());
  }
  std::string many = "[0";
  for (int i = 0; i < 60; ++i) many += ",0";
  EXPECT_FALSE(parse_json(many + "]", small, problem));
}

TEST(MetadataDates, ThereAndBack) {
  Pcg chance(3);
  for (int i = 0; i < 2000; ++i) {
    const Instant t = Instant::at_us(static_cast<std::int64_t>(chance.below(4'000'000'000U)) * 1'000'000);
    ASSERT_EQ(parse_date(format_date(t)), t) << format_date(t);
  }
  EXPECT_EQ(format_date(Instant::at_us(951'782'400'000'000)), "2000-02-29T00:00:00Z");
  EXPECT_EQ(format_date(Instant::at_us(1'700'000'000'000'000)), "2023-11-14T22:13:20Z");
  for (const char* bad :
       {"2027-02-29T00:00:00Z", "2027-13-01T00:00:00Z", "2027-01-01T24:00:00Z", "2027-01-01T00:00:00",
        "2027-1-01T00:00:00ZZ", "2027-01-00T00:00:00Z", "2027-01-01 00:00:00Z"})
    EXPECT_FALSE(parse_date(bad)) << bad;
}

TEST(MetadataTrust, AWholeUpdateWithKeysOfAllKinds) {
  Repository r;
  for (const auto kind : {SigningKey::Kind::kEcdsa, SigningKey::Kind::kRsa}) {
    for (auto& [role, signers] : r.roles)
      signers.keys.push_back(SigningKey::generate(kind)), ++signers.threshold;
  }
  Client c;
  ASSERT_TRUE(c.root(r.root())) << c.why();
  ASSERT_TRUE(c.all(r)) << c.why();
  const TargetLookup found = find_target(c.trust, "app.bin", kNow);
  ASSERT_TRUE(found.target);
  EXPECT_FALSE(check_target(*found.target, "app"));
  EXPECT_TRUE(check_target(*found.target, "apq") && check_target(*found.target, "app2"));
  EXPECT_FALSE(find_target(c.trust, "other", kNow).target);
  const TrustUpdate again = update_timestamp(c.trust, r.timestamp(), kNow);
  EXPECT_TRUE(!again.refusal && !again.changed && again.verifications == 0);
}

// Each row: what an attacker does after a client has followed the repository to its second state, and the
// refusal.
TEST(MetadataTrust, NamedAttacks) {
  struct Row {
    const char* what;
    RefusalReason reason;
    std::function<bool(Client&, Repository&)> attack;  // true: it got through
  };
  const auto resign = [](const JsonNode& body, const Repository& r, const char* role) {
    return Publisher::sign_envelope(body, r.roles.at(role).keys);
  };
  const Row rows[] = {
      {"timestamp goes back", RefusalReason::kRollback,
       [](Client& c, Repository& r) {
         r.versions["timestamp"] = 1;
         return c.timestamp(r.timestamp());
       }},
      {"snapshot in timestamp goes back", RefusalReason::kRollback,
       [](Client& c, Repository& r) {
         ++r.versions["timestamp"], r.versions["snapshot"] = 1;
         return c.timestamp(r.timestamp());
       }},
      {"targets in snapshot goes back", RefusalReason::kRollback,
       [](Client& c, Repository& r) {
         ++r.versions["timestamp"], ++r.versions["snapshot"], r.versions["targets"] = 1;
         return c.timestamp(r.timestamp()) && c.snapshot(r.snapshot());
       }},
      {"same timestamp, other bytes", RefusalReason::kEquivocation,
       [](Client& c, Repository& r) {
         r.expires["timestamp"] = kLater + Span::s(60);
         return c.timestamp(r.timestamp());
       }},
      {"a role is listed no more", RefusalReason::kMissing,
       [](Client& c, Repository& r) {
         r.delegations.clear();
         r.publish();
         return c.timestamp(r.timestamp()) && c.snapshot(r.snapshot());
       }},
      {"freeze: timestamp expired", RefusalReason::kExpired,
       [](Client& c, Repository& r) { return c.timestamp(r.timestamp(), kLater + Span::s(1)); }},
      {"snapshot expired", RefusalReason::kExpired,
       [](Client& c, Repository& r) {
         r.publish(), r.expires["snapshot"] = kNow - Span::s(1);
         return c.timestamp(r.timestamp()) && c.snapshot(r.snapshot());
       }},
      {"targets expired", RefusalReason::kExpired,
       [](Client& c, Repository& r) {
         r.publish(), r.expires["targets"] = kNow - Span::s(1);
         return c.all(r);
       }},
      {"root expired", RefusalReason::kExpired,
       [](Client& c, Repository& r) {
         const auto old = r.roles["root"];
         r.versions["root"] = 2, r.expires["root"] = kNow - Span::s(1);
         c.root(r.root());
         return c.timestamp(r.timestamp());
       }},
      {"mix and match: an older snapshot", RefusalReason::kMismatch,
       [](Client& c, Repository& r) {
         const std::string older = r.snapshot();
         r.publish();
         return c.timestamp(r.timestamp()) && c.snapshot(older);
       }},
      {"mix and match: older targets", RefusalReason::kMismatch,
       [](Client& c, Repository& r) {
         const std::string older = r.targets();
         r.publish();
         return c.timestamp(r.timestamp()) && c.snapshot(r.snapshot()) && c.targets(older);
       }},
      {"threshold one key short", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         ++r.versions["timestamp"];
         return c.timestamp(
             Publisher::sign_envelope(r.signed_part("timestamp"), {r.roles["timestamp"].keys[0]}));
       }},
      {"one key twice", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         ++r.versions["timestamp"];
         const auto& k = r.roles["timestamp"].keys[0];
         return c.timestamp(Publisher::sign_envelope(r.signed_part("timestamp"), {k, k, k}));
       }},
      {"signed by keys of another role", RefusalReason::kThreshold,
       [&](Client& c, Repository& r) {
         ++r.versions["timestamp"];
         return c.timestamp(resign(r.signed_part("timestamp"), r, "snapshot"));
       }},
      {"signed by a stranger under a good id", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         ++r.versions["timestamp"];
         std::string file = r.timestamp();
         const JsonNode body = r.signed_part("timestamp");
         const auto sig = r.roles["timestamp"].keys[0].sign(body.canonical());
         const std::string other = SigningKey::generate(SigningKey::Kind::kEd25519).sign(body.canonical());
         return c.timestamp(file.replace(file.find(sig), sig.size(), other));
       }},
      {"a byte of the signed part", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         ++r.versions["timestamp"];
         std::string file = r.timestamp();
         const std::size_t at = file.rfind("\"version\":3");
         return c.timestamp(file.replace(at, 11, "\"version\":9"));
       }},
      {"snapshot offered as timestamp", RefusalReason::kWrongRole,
       [](Client& c, Repository& r) { return c.timestamp(r.snapshot()); }},
      {"trailing bytes", RefusalReason::kUnreadable,
       [](Client& c, Repository& r) { return c.timestamp(r.timestamp() + "{}"); }},
      {"a member twice", RefusalReason::kUnreadable,
       [](Client& c, Repository& r) {
         std::string file = r.timestamp();
         return c.timestamp(file.replace(file.rfind('}'), 1, ",\"signed\":{}}"));
       }},
      {"version as 1e0", RefusalReason::kUnreadable,
       [](Client& c, Repository& r) {
         std::string file = r.timestamp();
         return c.timestamp(file.replace(file.find("\"version\":2"), 11, "\"version\":2e0"));
       }},
      {"64 KiB of brackets", RefusalReason::kTooLong,
       [](Client& c, Repository&) { return c.timestamp(std::string(65536, '[')); }},
      {"16 KiB of brackets", RefusalReason::kUnreadable,
       [](Client& c, Repository&) { return c.timestamp(std::string(16000, '[')); }},
      {"a date that there is not", RefusalReason::kUnreadable,
       [](Client& c, Repository& r) {
         std::string file = r.timestamp();
         const std::size_t at = file.find("\"expires\":\"") + 11;
         return c.timestamp(file.replace(at, 10, "2027-02-31"));
       }},
      {"another specification", RefusalReason::kUnreadable,
       [](Client& c, Repository& r) {
         std::string file = r.timestamp();
         return c.timestamp(file.replace(file.find("1.0.31"), 6, "2.0.31"));
       }},
      {"root skips a version", RefusalReason::kRootVersion,
       [](Client& c, Repository& r) {
         r.versions["root"] = 3;
         return c.root(r.root());
       }},
      {"root goes back", RefusalReason::kRollback,
       [](Client& c, Repository& r) {
         r.versions["root"] = 2;
         c.root(r.root());
         r.versions["root"] = 1, r.expires["root"] = kLater + Span::s(5);
         return c.root(r.root());
       }},
      {"the same root, other bytes", RefusalReason::kEquivocation,
       [](Client& c, Repository& r) {
         r.expires["root"] = kLater + Span::s(5);
         return c.root(r.root());
       }},
      {"root without the former keys", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         r.roles["root"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
         r.versions["root"] = 2;
         return c.root(r.root());
       }},
      {"root without its own keys", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         const auto old = r.roles["root"].keys;
         r.roles["root"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
         r.versions["root"] = 2;
         return c.root(Publisher::sign_envelope(r.signed_part("root"), old));
       }},
      {"a key under an id that is not its own", RefusalReason::kKey,
       [](Client& c, Repository& r) {
         r.versions["root"] = 2;
         JsonNode body = r.signed_part("root");
         for (auto& [name, member] : body.members) {
           if (name != "keys") continue;
           member.members[0].value = SigningKey::generate(SigningKey::Kind::kEd25519).object();
         }
         return c.root(Publisher::sign_envelope(body, r.roles["root"].keys));
       }},
      {"a threshold of 0", RefusalReason::kUnreadable,
       [](Client& c, Repository& r) {
         r.versions["root"] = 2, r.roles["timestamp"].threshold = 0;
         return c.root(r.root());
       }},
      {"snapshot before its timestamp", RefusalReason::kOutOfOrder,
       [](Client& c, Repository& r) {
         c.trust.timestamp = nullptr;
         return c.snapshot(r.snapshot());
       }},
      {"a role that nobody delegates to", RefusalReason::kUnlisted,
       [](Client& c, Repository& r) { return c.delegated("targets", "stranger", r.targets("part")); }},
      {"a delegated role by the wrong keys", RefusalReason::kThreshold,
       [](Client& c, Repository& r) {
         r.list_hashes = false;
         r.publish();
         return c.all(r) &&
                c.delegated("targets", "part",
                            Publisher::sign_envelope(r.signed_part("part"), r.roles["targets"].keys));
       }},
  };
  for (const Row& row : rows) {
    Repository r;
    r.roles["timestamp"].keys.push_back(SigningKey::generate(SigningKey::Kind::kEd25519));
    r.roles["timestamp"].threshold = 2;
    Publisher::Delegated part{"targets", "part", {{SigningKey::generate(SigningKey::Kind::kEd25519)}, 1},
                              {"p/*"},   {},     false,
                              {},        1};
    r.delegations.push_back(part);
    Client c;
    ASSERT_TRUE(c.root(r.root()) && c.all(r)) << c.why();
    r.publish();
    ASSERT_TRUE(c.all(r)) << c.why();
    EXPECT_FALSE(row.attack(c, r)) << row.what;
    EXPECT_EQ(name_of(c.last.reason), name_of(row.reason)) << row.what << ": " << c.why();
  }
}

TEST(MetadataTrust, OneKeyUnderTwoIdsCountsOnce) {
  Repository r;
  const SigningKey key = SigningKey::generate(SigningKey::Kind::kEd25519);
  r.roles["timestamp"].keys = {key, key.with_extra_member("x-note")};
  r.roles["timestamp"].threshold = 2;
  Client c;
  ASSERT_TRUE(c.root(r.root())) << c.why();
  EXPECT_FALSE(c.timestamp(r.timestamp()));
  EXPECT_EQ(c.why(), "threshold timestamp: 1 of 2 distinct keys (TUF 5.4.2)");
}

TEST(MetadataTrust, RootRotatesBetweenTimestampAndSnapshot) {
  Repository r;
  Client c;
  ASSERT_TRUE(c.root(r.root()) && c.timestamp(r.timestamp()));
  const auto old = r.roles["root"];
  r.roles["root"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
  r.versions["root"] = 2;
  EXPECT_TRUE(c.root(r.root(&old))) << c.why();  // only root's own keys: what was had stands
  EXPECT_TRUE(c.snapshot(r.snapshot()) && c.targets(r.targets())) << c.why();
  const auto second = r.roles["root"];
  r.roles["snapshot"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
  r.versions["root"] = 3;
  EXPECT_TRUE(c.root(r.root(&second))) << c.why();
  EXPECT_FALSE(c.trust.timestamp || c.trust.snapshot);  // the old key's word falls
  EXPECT_TRUE(c.all(r)) << c.why();
}

TEST(MetadataTrust, FastForwardAndTheRecoveryByRoot) {
  Repository r;
  Client c;
  ASSERT_TRUE(c.root(r.root()) && c.all(r));
  r.versions["timestamp"] = INT64_MAX, r.versions["snapshot"] = INT64_MAX;
  ASSERT_TRUE(c.all(r));  // who has the keys can do that
  r.versions["timestamp"] = 3, r.versions["snapshot"] = 3;
  EXPECT_FALSE(c.timestamp(r.timestamp()));
  r.roles["timestamp"].keys = {SigningKey::generate(SigningKey::Kind::kEd25519)};
  r.versions["root"] = 2;
  ASSERT_TRUE(c.root(r.root())) << c.why();
  EXPECT_TRUE(c.all(r)) << c.why();
}

TEST(MetadataDelegations, CyclesAreWalkedOnceAndVisitsAreBounded) {
  const auto run = [](unsigned roles, bool cycle) {
    Repository r;
    const Publisher::RoleKeys by{{SigningKey::generate(SigningKey::Kind::kEd25519)}, 1};
    const auto name = [](unsigned i) { return i == 0 ? std::string("targets") : "r" + std::to_string(i); };
    for (unsigned i = 0; i < roles; ++i)
      r.delegations.push_back({name(i), name(i + 1), by, {"*"}, {}, false, {}, 1});
    if (cycle) r.delegations.push_back({name(roles), name(1), by, {"*"}, {}, false, {}, 1});
    r.contents[name(roles)]["deep.bin"] = "deep";
    Client c;
    EXPECT_TRUE(c.root(r.root()) && c.all(r)) << c.why();
    unsigned fetched = 0;
    for (;;) {
      const TargetLookup f = find_target(c.trust, "deep.bin", kNow);
      if (f.missing_role.empty()) return std::pair(f, fetched);
      ++fetched;
      EXPECT_TRUE(c.delegated(f.missing_delegator, f.missing_role, r.targets(f.missing_role))) << c.why();
      if (fetched > 100) return std::pair(f, fetched);
    }
  };
  EXPECT_TRUE(run(4, true).first.target);
  const auto [far, fetched] = run(40, false);
  EXPECT_FALSE(far.target);
  EXPECT_EQ(far.refusal.reason, RefusalReason::kDelegation);
  EXPECT_LE(fetched, kMaxDelegationVisits);
  Repository r;  // nothing at the end of a circle of four
  const Publisher::RoleKeys by{{SigningKey::generate(SigningKey::Kind::kEd25519)}, 1};
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{{"targets", "a"}, {"a", "b"}, {"b", "c"}, {"c", "a"}})
    r.delegations.push_back({from, to, by, {"*"}, {}, false, {}, 1});
  Client c;
  ASSERT_TRUE(c.root(r.root()) && c.all(r));
  for (const auto& [by_whom, role] :
       std::vector<std::pair<std::string, std::string>>{{"targets", "a"}, {"a", "b"}, {"b", "c"}})
    ASSERT_TRUE(c.delegated(by_whom, role, r.targets(role))) << c.why();
  const TargetLookup none = find_target(c.trust, "x", kNow);
  EXPECT_TRUE(!none.target && none.missing_role.empty() && !none.refusal);
}

TEST(MetadataDelegations, TerminatingOnesPathsAndHashPrefixes) {
  Repository r;
  const auto by = [] { return Publisher::RoleKeys{{SigningKey::generate(SigningKey::Kind::kEd25519)}, 1}; };
  r.delegations.push_back({"targets", "first", by(), {"a/*.bin"}, {}, true, {}, 1});
  r.delegations.push_back({"targets", "second", by(), {"a/*", "b/?/c"}, {}, false, {}, 1});
  r.delegations.push_back({"targets", "third", by(), {}, {sha256_hex("hashed").substr(0, 4)}, false, {}, 1});
  r.contents["second"]["a/x.bin"] = "hidden", r.contents["second"]["a/x.txt"] = "x",
  r.contents["second"]["a/b/x"] = "no", r.contents["second"]["b/1/c"] = "1",
  r.contents["third"]["hashed"] = "h", r.contents["third"]["other"] = "o";
  Client c;
  ASSERT_TRUE(c.root(r.root()) && c.all(r));
  for (const char* role : {"first", "second", "third"})
    ASSERT_TRUE(c.delegated("targets", role, r.targets(role))) << c.why();
  const auto in = [&](const char* path) {
    const TargetLookup f = find_target(c.trust, path, kNow);
    return f.target ? f.role : "nowhere";
  };
  EXPECT_EQ(in("a/x.bin"), "nowhere");  // the first one ends the search
  EXPECT_EQ(in("a/x.txt"), "second");
  EXPECT_EQ(in("a/b/x"), "nowhere");  // * does not go over a /
  EXPECT_EQ(in("b/1/c"), "second");
  EXPECT_EQ(in("hashed"), "third");
  EXPECT_EQ(in("other"), "nowhere");
}

TEST(MetadataDelegations, SeveralRolesMustAgree) {
  for (const bool agree : {true, false}) {
    Repository r;
    const auto by = [] { return Publisher::RoleKeys{{SigningKey::generate(SigningKey::Kind::kEd25519)}, 1}; };
    r.delegations.push_back({"targets", "a", by(), {"*"}, {}, false, {"b"}, 2});
    r.delegations.push_back({"elsewhere", "b", by(), {"*"}, {}, false, {}, 1});
    r.contents["a"]["x"] = "x", r.contents["b"]["x"] = agree ? "x" : "y";
    Client c;
    ASSERT_TRUE(c.root(r.root()) && c.all(r)) << c.why();
    for (const char* role : {"a", "b"}) ASSERT_TRUE(c.delegated("targets", role, r.targets(role))) << c.why();
    const TargetLookup f = find_target(c.trust, "x", kNow);
    EXPECT_EQ(f.target != nullptr, agree);
    EXPECT_EQ(f.refusal.reason, agree ? RefusalReason::kNone : RefusalReason::kDelegation);
  }
}

// ---- A slow plain model, over what is known of each file rather than its bytes ----

struct Facts {
  std::string type, bytes;
  std::int64_t version = 0;
  Instant expires;
  std::set<std::string> signed_by;                                    // keys
  std::map<std::string, std::set<std::string>> keys;                  // root: by role
  std::map<std::string, std::int64_t> thresholds;                     // root
  std::map<std::string, std::pair<std::int64_t, std::string>> lists;  // file: version and bytes
};

struct Plain {
  const Facts *root = nullptr, *timestamp = nullptr, *snapshot = nullptr, *targets = nullptr;
  static bool enough(const Facts& root, const std::string& role, const Facts& f) {
    std::int64_t n = 0;
    for (const auto& k : root.keys.at(role)) n += f.signed_by.contains(k);
    return n >= root.thresholds.at(role);
  }
  bool take(const Facts& f, Instant now) {
    if (f.type == "root") {
      if (f.bytes == root->bytes) return true;
      if (!enough(*root, "root", f) || !enough(f, "root", f) || f.version != root->version + 1) return false;
      const bool fall = f.keys.at("timestamp") != root->keys.at("timestamp") ||
                        f.thresholds.at("timestamp") != root->thresholds.at("timestamp") ||
                        f.keys.at("snapshot") != root->keys.at("snapshot") ||
                        f.thresholds.at("snapshot") != root->thresholds.at("snapshot");
      const bool targets_fall = f.keys.at("targets") != root->keys.at("targets") ||
                                f.thresholds.at("targets") != root->thresholds.at("targets");
      root = &f;
      if (fall) timestamp = snapshot = targets = nullptr;
      if (targets_fall) targets = nullptr;
      return true;
    }
    if (f.type == "timestamp") {
      if (now >= root->expires || now >= f.expires || !enough(*root, "timestamp", f)) return false;
      if (timestamp) {
        if (f.version < timestamp->version) return false;
        if (f.version == timestamp->version && f.bytes != timestamp->bytes) return false;
        if (f.lists.at("snapshot").first < timestamp->lists.at("snapshot").first) return false;
      }
      timestamp = &f;
      return true;
    }
    if (!timestamp || now >= timestamp->expires) return false;
    if (f.type == "snapshot") {
      const auto& listed = timestamp->lists.at("snapshot");
      if (f.bytes != listed.second || f.version != listed.first || now >= f.expires ||
          !enough(*root, "snapshot", f))
        return false;
      if (snapshot) {
        if (f.version == snapshot->version && f.bytes != snapshot->bytes) return false;
        if (f.lists.at("targets").first < snapshot->lists.at("targets").first) return false;
      }
      snapshot = &f;
      if (targets && targets->version != f.lists.at("targets").first) targets = nullptr;
      return true;
    }
    if (!snapshot || now >= snapshot->expires) return false;
    const auto& listed = snapshot->lists.at("targets");
    if (f.bytes != listed.second || f.version != listed.first || now >= f.expires ||
        !enough(*root, "targets", f))
      return false;
    if (targets && targets->version == f.version && targets->bytes != f.bytes) return false;
    targets = &f;
    return true;
  }
};

TEST(MetadataTrust, AgreesWithThePlainModelOnGeneratedRepositories) {
  std::vector<SigningKey> pool;
  for (int i = 0; i < 6; ++i) pool.push_back(SigningKey::generate(SigningKey::Kind::kEd25519));
  unsigned good = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Pcg chance(seed);
    Publisher p(kLater);
    const auto roll_keys = [&](const std::string& role) {
      auto& s = p.roles[role];
      s.keys.clear();
      for (const auto& k : pool) {
        if (chance.below(3) == 0) s.keys.push_back(k);
      }
      if (s.keys.empty()) s.keys.push_back(pool[chance.below(6)]);
      s.threshold = 1 + chance.below(static_cast<std::uint32_t>(s.keys.size()));
    };
    for (const char* role : {"root", "timestamp", "snapshot", "targets"}) roll_keys(role);
    std::deque<Facts> all;  // stays where it is
    // A file as the repository would have it now, signed by whoever chance picks.
    const auto make = [&](const std::string& type) -> const Facts& {
      Facts f;
      f.type = type;
      f.version = p.versions[type];
      f.expires = p.expires.contains(type) ? p.expires[type] : p.default_expiry;
      std::vector<SigningKey> by = p.roles[type].keys;
      if (type == "root") by = pool;
      if (chance.below(8) == 0) {
        by.clear();
        for (const auto& k : pool) {
          if (chance.below(2) == 0) by.push_back(k);
        }
      }
      for (const auto& k : by) f.signed_by.insert(k.id());
      if (type == "root") {
        for (const auto& [role, s] : p.roles) {
          for (const auto& k : s.keys) f.keys[role].insert(k.id());
          f.thresholds[role] = s.threshold;
        }
      }
      if (type == "timestamp") f.lists["snapshot"] = {p.versions["snapshot"], p.snapshot()};
      if (type == "snapshot") f.lists["targets"] = {p.versions["targets"], p.targets()};
      f.bytes = Publisher::sign_envelope(p.signed_part(type), by);
      all.push_back(f);
      return all.back();
    };
    Client c;
    Plain plain;
    const Facts* first = nullptr;
    for (int i = 0; i < 50 && !first; ++i) {
      const Facts& f = make("root");
      if (c.root(f.bytes)) first = &f;
    }
    ASSERT_TRUE(first);
    plain.root = first;
    const char* const types[] = {"root", "timestamp", "snapshot", "targets"};
    for (int step = 0; step < 120; ++step) {
      const std::string type = types[chance.below(4)];
      switch (chance.below(8)) {
        case 0:
          p.versions[type] += type == "root" ? 1 : chance.below(3);
          break;
        case 1:
          if (p.versions[type] > 1 && chance.below(3) == 0) --p.versions[type];
          break;
        case 2:
          p.expires[type] = kNow + Span::s(static_cast<double>(chance.below(200)) - 40);
          break;
        case 3:
          if (chance.below(4) == 0) roll_keys(type), p.versions["root"] = plain.root->version + 1;
          break;
        case 4:
          p.contents["targets"]["f" + std::to_string(chance.below(4))] = std::to_string(step);
          break;
        default:
          break;
      }
      const Instant now = kNow + Span::s(chance.below(60));
      const Facts* f = nullptr;
      if (chance.below(4) == 0)
        f = &all[chance.below(static_cast<std::uint32_t>(all.size()))];  // an old one, replayed
      else f = &make(chance.below(2) == 0 ? type : types[1 + step % 3]);
      const TrustUpdate taken = f->type == "root"        ? update_root(c.trust, f->bytes)
                                : f->type == "timestamp" ? update_timestamp(c.trust, f->bytes, now)
                                : f->type == "snapshot"  ? update_snapshot(c.trust, f->bytes, now)
                                                         : update_targets(c.trust, f->bytes, now);
      Plain tried = plain;
      const bool should = tried.take(*f, now);
      ASSERT_EQ(!taken.refusal, should)
          << seed << " " << step << " " << f->type << " " << taken.refusal.line();
      ++(should ? good : refused);
      if (should) plain = tried, c.trust = taken.trust;
      ASSERT_EQ(c.trust.timestamp != nullptr, plain.timestamp != nullptr) << seed << " " << step;
      ASSERT_EQ(c.trust.snapshot != nullptr, plain.snapshot != nullptr) << seed << " " << step;
    }
  }
  EXPECT_GT(good, 700U);
  EXPECT_GT(refused, 2000U);
}

}  // namespace
}  // namespace ashbeam::metadata
