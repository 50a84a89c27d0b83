// Uptane: two repositories that must agree, what a vehicle reports, and a doubted clock.
#include "metadata/uptane.hpp"

#include <gtest/gtest.h>

#include "metadata/publisher.hpp"

namespace ashbeam::metadata {
namespace {

const Instant kNow = Instant::at_us(1'800'000'000'000'000);

// Targets with custom parts, in place of the publisher's plain ones.
std::string with_custom(const Publisher& p, const std::string& path, std::vector<JsonMember> custom,
                        const std::string& second = "") {
  JsonNode body = p.signed_part("targets");
  for (auto& [name, member] : body.members) {
    if (name != "targets") continue;
    for (auto& [target, value] : member.members) {
      if (target != path) continue;
      auto members = value.members;
      members.push_back({"custom", json_object(custom)});
      value = json_object(std::move(members));
    }
    if (!second.empty()) {
      auto all = member.members;
      all.push_back({second, all[0].value});
      member = json_object(std::move(all));
    }
  }
  return Publisher::sign_envelope(body, p.roles.at("targets").keys);
}

std::vector<JsonMember> custom(const std::string& ecu, const std::string& hardware, std::int64_t release) {
  std::vector<JsonMember> all;
  all.push_back({"hardware_id", json_string(hardware)});
  all.push_back({"release_counter", json_number(release)});
  if (!ecu.empty()) all.push_back({"ecu_id", json_string(ecu)});
  return all;
}

TrustedMetadata trust_of(const Publisher& p, const std::string& targets) {
  // The snapshot names no hashes here, so that targets can be put in.
  TrustedMetadata t = pin_root(p.root()).trust;
  t = update_timestamp(t, p.timestamp(), kNow).trust;
  t = update_snapshot(t, p.snapshot(), kNow).trust;
  const TrustUpdate step = update_targets(t, targets, kNow);
  EXPECT_FALSE(step.refusal) << step.refusal.line();
  return step.trust;
}

struct Repositories {
  Publisher director{kNow + Span::s(86400)}, image{kNow + Span::s(86400)};
  const Ecu ecu{"ecu-1", "hw-a", 3};
  Repositories() {
    director.list_hashes = image.list_hashes = false;
    director.contents["targets"]["brake.img"] = image.contents["targets"]["brake.img"] = "brake 4";
  }
  std::string install(const std::string& from_director, const std::string& from_image) const {
    const InstallDecision i =
        check_install(trust_of(director, from_director), trust_of(image, from_image), "brake.img", ecu, kNow);
    EXPECT_EQ(i.target != nullptr, !i.refusal);
    return std::string(name_of(i.refusal.reason));
  }
};

TEST(Uptane, BothRepositoriesMustSayTheSame) {
  Repositories r;
  const std::string good = with_custom(r.image, "brake.img", custom("", "hw-a", 4));
  const auto director = [&](const std::string& ecu, const std::string& hardware, std::int64_t release) {
    return with_custom(r.director, "brake.img", custom(ecu, hardware, release));
  };
  EXPECT_EQ(r.install(director("ecu-1", "hw-a", 4), good), "none");
  EXPECT_EQ(r.install(director("ecu-2", "hw-a", 4), good), "ecu");
  EXPECT_EQ(r.install(director("ecu-1", "hw-b", 4), good), "ecu");
  EXPECT_EQ(r.install(director("ecu-1", "hw-a", 2), good), "rollback");
  EXPECT_EQ(r.install(director("ecu-1", "hw-a", 5), good), "disagreement");
  EXPECT_EQ(r.install(director("ecu-1", "hw-a", 4), with_custom(r.image, "brake.img", custom("", "hw-b", 4))),
            "disagreement");
  Repositories longer;
  longer.image.contents["targets"]["brake.img"] = "brake 4 and more";
  EXPECT_EQ(longer.install(with_custom(longer.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                           with_custom(longer.image, "brake.img", custom("", "hw-a", 4))),
            "disagreement");
  Repositories other;
  other.image.contents["targets"]["brake.img"] = "brake 5";
  EXPECT_EQ(other.install(with_custom(other.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                          with_custom(other.image, "brake.img", custom("", "hw-a", 4))),
            "disagreement");
  Repositories alone;  // a director can't install what the image repository does not list
  alone.image.contents["targets"].clear();
  EXPECT_EQ(alone.install(with_custom(alone.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                          alone.image.targets()),
            "unlisted");
  Repositories silent;
  silent.director.contents["targets"].clear();
  EXPECT_EQ(silent.install(silent.director.targets(),
                           with_custom(silent.image, "brake.img", custom("", "hw-a", 4))),
            "unlisted");
}

TEST(Uptane, ADirectorSpeaksForThisVehicleAlone) {
  Repositories r;
  const auto check = [&](const std::string& bytes, const std::vector<Ecu>& vehicle) {
    const TrustedMetadata t = trust_of(r.director, bytes);
    return std::string(name_of(check_director(*t.targets.at("targets"), vehicle).reason));
  };
  const std::vector<Ecu> vehicle{r.ecu, {"ecu-2", "hw-b", -1}};
  EXPECT_EQ(check(with_custom(r.director, "brake.img", custom("ecu-1", "hw-a", 3)), vehicle), "none");
  EXPECT_EQ(check(with_custom(r.director, "brake.img", custom("ecu-9", "hw-a", 3)), vehicle), "ecu");
  EXPECT_EQ(check(with_custom(r.director, "brake.img", custom("ecu-2", "hw-a", 3)), vehicle), "ecu");
  EXPECT_EQ(check(with_custom(r.director, "brake.img", custom("ecu-1", "hw-a", 2)), vehicle), "rollback");
  EXPECT_EQ(check(with_custom(r.director, "brake.img", custom("ecu-1", "hw-a", 3), "second.img"), vehicle),
            "ecu");
  r.director.delegations.push_back(
      {"targets", "part", {{SigningKey::generate(SigningKey::Kind::kEd25519)}, 1}, {"*"}, {}, false, {}, 1});
  EXPECT_EQ(check(r.director.targets(), vehicle), "delegation");
}

TEST(Uptane, PartialVerificationOfTheDirectorsTargets) {
  Repositories r;
  const TrustedMetadata pinned = pin_root(r.director.root()).trust;
  Targets into;
  const auto take = [&](const std::string& bytes, std::int64_t held, Instant now = kNow) {
    return std::string(name_of(verify_partial(*pinned.root, bytes, held, r.ecu, now, into).reason));
  };
  const std::string good = with_custom(r.director, "brake.img", custom("ecu-1", "hw-a", 4));
  EXPECT_EQ(take(good, 0), "none");
  EXPECT_EQ(into.targets.size(), 1U);
  EXPECT_EQ(take(good, 2), "rollback");
  EXPECT_EQ(take(good, 0, kNow + Span::s(90000)), "expired");
  EXPECT_EQ(take(r.image.targets(), 0), "threshold");
  EXPECT_EQ(take(with_custom(r.director, "brake.img", custom("ecu-1", "hw-b", 4)), 0), "ecu");
  EXPECT_EQ(take(with_custom(r.director, "brake.img", custom("ecu-1", "hw-a", 4), "second.img"), 0), "ecu");
}

TEST(Uptane, TimeIsBelievedWithOurNonceOnly) {
  const SigningKey key = SigningKey::generate(SigningKey::Kind::kEcdsa),
                   stranger = SigningKey::generate(SigningKey::Kind::kEcdsa);
  Keys keys;
  keys.emplace(key.id(), PublicKey::from_json(key.object()));
  const Role server{{key.id()}, 1};
  const auto word = [&](const SigningKey& by, const std::string& nonce, Instant when) {
    return Publisher::sign_envelope(
        json_object({{"nonces", json_list({json_string("x"), json_string(nonce)})},
                     {"time", json_string(format_date(when))}}),
        {by});
  };
  Instant into;
  const auto check = [&](const std::string& bytes, Instant last = kNow) {
    return std::string(name_of(verify_time_attestation(server, keys, bytes, "n-1", last, into).reason));
  };
  EXPECT_EQ(check(word(key, "n-1", kNow + Span::s(5))), "none");
  EXPECT_EQ(into, kNow + Span::s(5));
  EXPECT_EQ(check(word(key, "n-0", kNow + Span::s(5))), "time");
  EXPECT_EQ(check(word(key, "n-1", kNow - Span::s(5))), "time");
  EXPECT_EQ(check(word(stranger, "n-1", kNow + Span::s(5))), "threshold");
  EXPECT_EQ(check("{}"), "time");
}

TEST(Uptane, AVehiclesManifestCountsWholeOrNotAtAll) {
  const SigningKey primary = SigningKey::generate(SigningKey::Kind::kEd25519),
                   second = SigningKey::generate(SigningKey::Kind::kEd25519);
  VehicleRecord fleet;
  fleet.vin = "vin-1", fleet.primary = "p";
  for (const auto& [name, key] : {std::pair{"p", &primary}, std::pair{"s", &second}}) {
    fleet.keys.emplace(key->id(), PublicKey::from_json(key->object()));
    fleet.ecus[name] = {{key->id()}, 1};
  }
  const auto part = [](const std::string& serial, std::int64_t counter, const SigningKey& by) {
    return *[&] {
      std::string problem;
      return parse_json(
          Publisher::sign_envelope(
              json_object({{"ecu_serial", json_string(serial)},
                           {"counter", json_number(counter)},
                           {"installed_image",
                            json_object({{"filepath", json_string("a.img")},
                                         {"fileinfo",
                                          json_object({{"length", json_number(1)},
                                                       {"hashes",
                                                        json_object({{"sha256", json_string("ab")}})}})}})}}),
              {by}),
          {}, problem);
    }();
  };
  const auto manifest = [&](const std::string& vin, std::vector<JsonMember> parts, const SigningKey& by) {
    return Publisher::sign_envelope(json_object({{"vin", json_string(vin)},
                                                 {"primary_ecu_serial", json_string("p")},
                                                 {"ecu_version_manifests", json_object(std::move(parts))}}),
                                    {by});
  };
  std::vector<EcuReport> into;
  const auto take = [&](const std::string& bytes) {
    return std::string(name_of(accept_vehicle_manifest(fleet, bytes, into).reason));
  };
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 1, primary)}, {"s", part("s", 1, second)}}, primary)),
            "none");
  EXPECT_EQ(into.size(), 2U);
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 2, primary)}, {"s", part("s", 1, second)}}, primary)),
            "manifest");  // replayed
  EXPECT_EQ(fleet.last_counters.at("p"), 1);
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 2, primary)}, {"s", part("s", 2, primary)}}, primary)),
            "threshold");
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 2, primary)}, {"s", part("p", 2, second)}}, primary)),
            "ecu");
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 2, primary)}, {"x", part("x", 2, second)}}, primary)),
            "ecu");
  EXPECT_EQ(take(manifest("vin-2", {{"p", part("p", 2, primary)}}, primary)), "manifest");
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 2, primary)}}, second)), "threshold");
  EXPECT_EQ(take(manifest("vin-1", {{"s", part("s", 2, second)}}, primary)), "manifest");
  EXPECT_EQ(take(manifest("vin-1", {{"p", part("p", 2, primary)}, {"s", part("s", 2, second)}}, primary)),
            "none");
}

}  // namespace
}  // namespace ashbeam::metadata
