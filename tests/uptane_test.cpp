// Uptane: two repositories that must agree, what a vehicle reports, and a doubted clock.
#include "metadata/uptane.hpp"

#include <gtest/gtest.h>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

// The publisher's targets file, with a custom part for one path. `second`: another path with the same target.
std::string with_custom(const Publisher& publisher, const std::string& path, std::vector<JsonMember> custom,
                        const std::string& second = "") {
  JsonNode signed_part = publisher.signed_part("targets");
  JsonNode* const targets = signed_part.find("targets", JsonNode::Kind::kObject);
  if (JsonNode* const target = targets->find(path, JsonNode::Kind::kObject)) {
    target->members.push_back({"custom", json_object(std::move(custom))});
    *target = json_object(std::move(target->members));
  }
  if (!second.empty()) {
    targets->members.push_back({second, JsonNode(targets->members[0].value)});
    *targets = json_object(std::move(targets->members));
  }
  return Publisher::sign_envelope(signed_part, publisher.roles.at("targets").keys);
}

std::vector<JsonMember> custom(const std::string& ecu, const std::string& hardware, std::int64_t release) {
  std::vector<JsonMember> all;
  all.push_back({"hardware_id", json_string(hardware)});
  all.push_back({"release_counter", json_number(release)});
  if (!ecu.empty()) all.push_back({"ecu_id", json_string(ecu)});
  return all;
}

// Trusted metadata with this targets file in place of the publisher's: the snapshot lists no hashes here.
TrustedMetadata trust_of(const Publisher& publisher, const std::string& targets) {
  TrustedMetadata trust = pin_root(publisher.root_file()).trust;
  trust = update_timestamp(trust, publisher.timestamp_file(), kNow).trust;
  trust = update_snapshot(trust, publisher.snapshot_file(), kNow).trust;
  const TrustUpdate update = update_targets(trust, targets, kNow);
  EXPECT_FALSE(update.refusal) << update.refusal.line();
  return update.trust;
}

struct Repositories {
  Publisher director{kDefaultExpiry};
  Publisher image{kDefaultExpiry};
  const Ecu ecu{"ecu-1", "hw-a", 3};
  Repositories() {
    for (Publisher* const publisher : {&director, &image}) {
      publisher->list_hashes = false;
      publisher->target_contents["targets"]["brake.img"] = "brake 4";
    }
  }
  std::string install(const std::string& from_director, const std::string& from_image) const {
    const InstallDecision decision =
        check_install(trust_of(director, from_director), trust_of(image, from_image), "brake.img", ecu, kNow);
    EXPECT_EQ(decision.target != nullptr, !decision.refusal);
    return std::string(name_of(decision.refusal.reason));
  }
};

TEST(Uptane, BothRepositoriesMustAgree) {
  Repositories repositories;
  const std::string good = with_custom(repositories.image, "brake.img", custom("", "hw-a", 4));
  const auto director = [&](const std::string& ecu, const std::string& hardware, std::int64_t release) {
    return with_custom(repositories.director, "brake.img", custom(ecu, hardware, release));
  };
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 4), good), "none");
  EXPECT_EQ(repositories.install(director("ecu-2", "hw-a", 4), good), "ecu");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-b", 4), good), "ecu");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 2), good), "rollback");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 5), good), "disagreement");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 4),
                                 with_custom(repositories.image, "brake.img", custom("", "hw-b", 4))),
            "disagreement");
  Repositories longer;
  longer.image.target_contents["targets"]["brake.img"] = "brake 4 and more";
  EXPECT_EQ(longer.install(with_custom(longer.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                           with_custom(longer.image, "brake.img", custom("", "hw-a", 4))),
            "disagreement");
  Repositories other;
  other.image.target_contents["targets"]["brake.img"] = "brake 5";
  EXPECT_EQ(other.install(with_custom(other.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                          with_custom(other.image, "brake.img", custom("", "hw-a", 4))),
            "disagreement");
  Repositories alone;  // a director can't install what the image repository does not list
  alone.image.target_contents["targets"].clear();
  EXPECT_EQ(alone.install(with_custom(alone.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                          alone.image.targets_file()),
            "unlisted");
  Repositories silent;
  silent.director.target_contents["targets"].clear();
  EXPECT_EQ(silent.install(silent.director.targets_file(),
                           with_custom(silent.image, "brake.img", custom("", "hw-a", 4))),
            "unlisted");
}

TEST(Uptane, ADirectorListsThisVehiclesEcusAlone) {
  Repositories repositories;
  const auto check = [&](const std::string& bytes, const std::vector<Ecu>& vehicle) {
    const TrustedMetadata t = trust_of(repositories.director, bytes);
    return std::string(name_of(check_director_targets(*t.targets.at("targets"), vehicle).reason));
  };
  const std::vector<Ecu> vehicle{repositories.ecu, {"ecu-2", "hw-b", -1}};
  EXPECT_EQ(check(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 3)), vehicle),
            "none");
  EXPECT_EQ(check(with_custom(repositories.director, "brake.img", custom("ecu-9", "hw-a", 3)), vehicle),
            "ecu");
  EXPECT_EQ(check(with_custom(repositories.director, "brake.img", custom("ecu-2", "hw-a", 3)), vehicle),
            "ecu");
  EXPECT_EQ(check(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 2)), vehicle),
            "rollback");
  EXPECT_EQ(check(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 3), "second.img"),
                  vehicle),
            "ecu");
  repositories.director.delegations.push_back({"targets", "part", {{new_key()}, 1}, {"*"}, {}, false, {}, 1});
  EXPECT_EQ(check(repositories.director.targets_file(), vehicle), "delegation");
}

TEST(Uptane, PartialVerificationOfTheDirectorsTargets) {
  Repositories repositories;
  const TrustedMetadata pinned = pin_root(repositories.director.root_file()).trust;
  Targets accepted;
  const auto accept = [&](const std::string& bytes, std::int64_t trusted_version, Instant now = kNow) {
    return std::string(name_of(
        verify_partial(*pinned.root, bytes, trusted_version, repositories.ecu, now, accepted).reason));
  };
  const std::string good = with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 4));
  EXPECT_EQ(accept(good, 0), "none");
  EXPECT_EQ(accepted.targets.size(), 1U);
  EXPECT_EQ(accept(good, 2), "rollback");
  EXPECT_EQ(accept(good, 0, kNow + Duration::s(90000)), "expired");
  EXPECT_EQ(accept(repositories.image.targets_file(), 0), "threshold");
  EXPECT_EQ(accept(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-b", 4)), 0), "ecu");
  EXPECT_EQ(
      accept(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 4), "second.img"), 0),
      "ecu");
}

TEST(Uptane, TimeIsAcceptedWithOurNonceOnly) {
  const SigningKey key = SigningKey::generate(SigningKey::Kind::kEcdsa);
  const SigningKey stranger = SigningKey::generate(SigningKey::Kind::kEcdsa);
  KeysById keys;
  keys.emplace(key.id(), PublicKey::from_json(key.public_key_object()));
  const Role server{{key.id()}, 1};
  const auto attestation = [&](const SigningKey& by, const std::string& nonce, Instant when) {
    return Publisher::sign_envelope(
        json_object({{"nonces", json_array({json_string("x"), json_string(nonce)})},
                     {"time", json_string(format_date(when))}}),
        {by});
  };
  Instant attested;
  const auto check = [&](const std::string& bytes, Instant last = kNow) {
    return std::string(name_of(verify_time_attestation(server, keys, bytes, "n-1", last, attested).reason));
  };
  EXPECT_EQ(check(attestation(key, "n-1", kNow + Duration::s(5))), "none");
  EXPECT_EQ(attested, kNow + Duration::s(5));
  EXPECT_EQ(check(attestation(key, "n-0", kNow + Duration::s(5))), "time");
  EXPECT_EQ(check(attestation(key, "n-1", kNow - Duration::s(5))), "time");
  EXPECT_EQ(check(attestation(stranger, "n-1", kNow + Duration::s(5))), "threshold");
  EXPECT_EQ(check("{}"), "time");
}

// An ECU's signed report.
JsonNode report(const std::string& serial, std::int64_t counter, const SigningKey& key) {
  const JsonNode hashes = json_object({{"sha256", json_string("ab")}});
  const JsonNode info = json_object({{"length", json_number(1)}, {"hashes", hashes}});
  const JsonNode image = json_object({{"filepath", json_string("a.img")}, {"fileinfo", info}});
  const JsonNode signed_part = json_object(
      {{"ecu_serial", json_string(serial)}, {"counter", json_number(counter)}, {"installed_image", image}});
  std::string problem;
  return *parse_json(Publisher::sign_envelope(signed_part, {key}), {}, problem);
}

TEST(Uptane, AVehicleManifestIsAcceptedCompletelyOrNotAtAll) {
  const SigningKey primary = new_key();
  const SigningKey second = new_key();
  VehicleRecord vehicle;
  vehicle.vin = "vin-1";
  vehicle.primary_serial = "p";
  const auto add_ecu = [&](const std::string& serial, const SigningKey& key) {
    vehicle.keys.emplace(key.id(), PublicKey::from_json(key.public_key_object()));
    vehicle.ecu_roles[serial] = {{key.id()}, 1};
  };
  add_ecu("p", primary);
  add_ecu("s", second);
  const auto manifest = [&](const std::string& vin, std::vector<JsonMember> reports, const SigningKey& by) {
    return Publisher::sign_envelope(json_object({{"vin", json_string(vin)},
                                                 {"primary_ecu_serial", json_string("p")},
                                                 {"ecu_version_manifests", json_object(std::move(reports))}}),
                                    {by});
  };
  std::vector<EcuReport> reports;
  const auto accept = [&](const std::string& bytes) {
    return std::string(name_of(accept_vehicle_manifest(vehicle, bytes, reports).reason));
  };
  EXPECT_EQ(
      accept(manifest("vin-1", {{"p", report("p", 1, primary)}, {"s", report("s", 1, second)}}, primary)),
      "none");
  EXPECT_EQ(reports.size(), 2U);
  EXPECT_EQ(
      accept(manifest("vin-1", {{"p", report("p", 2, primary)}, {"s", report("s", 1, second)}}, primary)),
      "manifest");  // replayed
  EXPECT_EQ(vehicle.last_counters.at("p"), 1);
  EXPECT_EQ(
      accept(manifest("vin-1", {{"p", report("p", 2, primary)}, {"s", report("s", 2, primary)}}, primary)),
      "threshold");
  EXPECT_EQ(
      accept(manifest("vin-1", {{"p", report("p", 2, primary)}, {"s", report("p", 2, second)}}, primary)),
      "ecu");
  EXPECT_EQ(
      accept(manifest("vin-1", {{"p", report("p", 2, primary)}, {"x", report("x", 2, second)}}, primary)),
      "ecu");
  EXPECT_EQ(accept(manifest("vin-2", {{"p", report("p", 2, primary)}}, primary)), "manifest");
  EXPECT_EQ(accept(manifest("vin-1", {{"p", report("p", 2, primary)}}, second)), "threshold");
  EXPECT_EQ(accept(manifest("vin-1", {{"s", report("s", 2, second)}}, primary)), "manifest");
  EXPECT_EQ(
      accept(manifest("vin-1", {{"p", report("p", 2, primary)}, {"s", report("s", 2, second)}}, primary)),
      "none");
}

}  // namespace
}  // namespace ashbeam::metadata
