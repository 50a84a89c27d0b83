// Tests of the Uptane checks: agreement of director and image repository, vehicle version manifests, and
// attested time.
#include "metadata/uptane.hpp"

#include <gtest/gtest.h>

#include "metadata_fixtures.hpp"

namespace ashbeam::metadata {
namespace {

// Returns the publisher's targets file with a custom part for the target `path`. Unless `second` is empty,
// the file lists the same target under that path, too.
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

// Returns trusted metadata with this targets file in place of the publisher's. The client accepts it because
// the snapshot lists no hashes here.
TrustedMetadata trust_with_targets(const Publisher& publisher, const std::string& targets) {
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
        check_install(trust_with_targets(director, from_director), trust_with_targets(image, from_image),
                      "brake.img", ecu, kNow);
    EXPECT_EQ(decision.target != nullptr, !decision.refusal);
    return std::string(name_of(decision.refusal.reason));
  }
};

TEST(Uptane, InstallsOnlyWhatBothRepositoriesListAlike) {
  Repositories repositories;
  const std::string valid = with_custom(repositories.image, "brake.img", custom("", "hw-a", 4));
  const auto director = [&](const std::string& ecu, const std::string& hardware, std::int64_t release) {
    return with_custom(repositories.director, "brake.img", custom(ecu, hardware, release));
  };
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 4), valid), "none");
  EXPECT_EQ(repositories.install(director("ecu-2", "hw-a", 4), valid), "ecu");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-b", 4), valid), "ecu");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 2), valid), "rollback");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 5), valid), "disagreement");
  EXPECT_EQ(repositories.install(director("ecu-1", "hw-a", 4),
                                 with_custom(repositories.image, "brake.img", custom("", "hw-b", 4))),
            "disagreement");
  Repositories other_length;
  other_length.image.target_contents["targets"]["brake.img"] = "brake 4 and more";
  EXPECT_EQ(other_length.install(with_custom(other_length.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                                 with_custom(other_length.image, "brake.img", custom("", "hw-a", 4))),
            "disagreement");
  Repositories other_content;
  other_content.image.target_contents["targets"]["brake.img"] = "brake 5";
  EXPECT_EQ(
      other_content.install(with_custom(other_content.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                            with_custom(other_content.image, "brake.img", custom("", "hw-a", 4))),
      "disagreement");
  Repositories director_only;  // only the director lists the target
  director_only.image.target_contents["targets"].clear();
  EXPECT_EQ(
      director_only.install(with_custom(director_only.director, "brake.img", custom("ecu-1", "hw-a", 4)),
                            director_only.image.targets_file()),
      "unlisted");
  Repositories image_only;
  image_only.director.target_contents["targets"].clear();
  EXPECT_EQ(image_only.install(image_only.director.targets_file(),
                               with_custom(image_only.image, "brake.img", custom("", "hw-a", 4))),
            "unlisted");
}

TEST(Uptane, RefusesDirectorTargetsForOtherEcusHardwareOrOlderReleases) {
  Repositories repositories;
  const auto check = [&](const std::string& bytes, const std::vector<Ecu>& vehicle) {
    const TrustedMetadata trust = trust_with_targets(repositories.director, bytes);
    return std::string(name_of(check_director_targets(*trust.targets.at("targets"), vehicle).reason));
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

TEST(Uptane, PartialVerificationRefusesInvalidDirectorTargets) {
  Repositories repositories;
  const TrustedMetadata pinned = pin_root(repositories.director.root_file()).trust;
  Targets accepted;
  const auto accept = [&](const std::string& bytes, std::int64_t trusted_version, Instant now = kNow) {
    return std::string(name_of(
        verify_partial(*pinned.root, bytes, trusted_version, repositories.ecu, now, accepted).reason));
  };
  const std::string valid = with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 4));
  EXPECT_EQ(accept(valid, 0), "none");
  EXPECT_EQ(accepted.targets.size(), 1U);
  EXPECT_EQ(accept(valid, 2), "rollback");
  EXPECT_EQ(accept(valid, 0, kNow + Duration::s(90000)), "expired");
  EXPECT_EQ(accept(repositories.image.targets_file(), 0), "threshold");
  EXPECT_EQ(accept(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-b", 4)), 0), "ecu");
  EXPECT_EQ(
      accept(with_custom(repositories.director, "brake.img", custom("ecu-1", "hw-a", 4), "second.img"), 0),
      "ecu");
}

TEST(Uptane, AcceptsAttestedTimeOnlyWithSentNonceAndNotBeforeLastTime) {
  const SigningKey key = SigningKey::generate(SigningKey::Kind::kEcdsa);
  const SigningKey unknown_key = SigningKey::generate(SigningKey::Kind::kEcdsa);
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
  EXPECT_EQ(check(attestation(unknown_key, "n-1", kNow + Duration::s(5))), "threshold");
  EXPECT_EQ(check("{}"), "time");
}

// Returns the signed report of an ECU.
JsonNode report(const std::string& serial, std::int64_t counter, const SigningKey& key) {
  const JsonNode hashes = json_object({{"sha256", json_string("ab")}});
  const JsonNode info = json_object({{"length", json_number(1)}, {"hashes", hashes}});
  const JsonNode image = json_object({{"filepath", json_string("a.img")}, {"fileinfo", info}});
  const JsonNode signed_part = json_object(
      {{"ecu_serial", json_string(serial)}, {"counter", json_number(counter)}, {"installed_image", image}});
  std::string error;
  return *parse_json(Publisher::sign_envelope(signed_part, {key}), {}, error);
}

TEST(Uptane, AcceptsVehicleManifestCompletelyOrNotAtAll) {
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
