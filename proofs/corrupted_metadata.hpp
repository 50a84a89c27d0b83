// Checks that metadata files of each role are refused after random corruption in one place.
#pragma once
#include <cstdint>
#include <string>

#include "base/pcg.hpp"
#include "figures.hpp"
#include "metadata/publisher.hpp"
#include "metadata/trusted_metadata.hpp"

namespace ashbeam::metadata {

// Corrupts a file in one place: flips a bit, truncates, inserts, erases, repeats its end or replaces a byte.
// The result may equal the file.
inline void corrupt(std::string& bytes, Pcg& random) {
  const std::size_t at = random.next_below(static_cast<std::uint32_t>(bytes.size()));
  switch (random.next_below(6)) {
    case 0:
      bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.next_below(8)));
      break;
    case 1:
      bytes.resize(at);
      break;
    case 2:
      bytes.insert(at, 1, static_cast<char>(random.next_below(256)));
      break;
    case 3:
      bytes.erase(at, 1 + random.next_below(8));
      break;
    case 4:
      bytes += bytes.substr(at);
      break;
    default:
      bytes.replace(at, 1, std::to_string(random.next_below(100)));
      break;
  }
}

inline bool same_signed_part(const std::string& a, const std::string& b) {
  std::string problem;
  const auto first = parse_json(a, {}, problem);
  const auto second = parse_json(b, {}, problem);
  return first && second &&
         first->find("signed")->to_canonical_json() == second->find("signed")->to_canonical_json();
}

// Fails the test if a corrupted file is accepted, unless its signed part is unchanged. `tries` is the number
// of corrupted files.
inline void check_corrupted_files(Proof& proof, std::uint64_t tries) {
  const Instant now = Instant::at_us(1'800'000'000'000'000);
  Publisher publisher(now + Duration::s(86400));
  // Listed hashes would detect most corruptions before the signature is checked.
  publisher.list_hashes = false;
  publisher.target_contents["targets"]["app"] = "1";
  const std::string timestamp = publisher.timestamp_file();
  const std::string snapshot = publisher.snapshot_file();
  const std::string targets = publisher.targets_file();
  const TrustedMetadata with_root = pin_root(publisher.root_file()).trust;
  const TrustedMetadata with_timestamp = update_timestamp(with_root, timestamp, now).trust;
  const TrustedMetadata with_snapshot = update_snapshot(with_timestamp, snapshot, now).trust;
  Pcg random(proof.seed);
  std::uint64_t accepted = 0;
  std::uint64_t harmless = 0;
  for (std::uint64_t i = 0; i < tries; ++i) {
    const unsigned role = random.next_below(3);
    const std::string& file = role == 0 ? timestamp : role == 1 ? snapshot : targets;
    std::string bytes = file;
    corrupt(bytes, random);
    if (bytes == file) continue;
    const TrustUpdate update = role == 0   ? update_timestamp(with_root, bytes, now)
                               : role == 1 ? update_snapshot(with_timestamp, bytes, now)
                                           : update_targets(with_snapshot, bytes, now);
    if (update.refusal) continue;
    ++(same_signed_part(bytes, file) ? harmless : accepted);
  }
  proof.figure("core_files_spoilt", static_cast<double>(tries));
  proof.figure("core_harmless_changes", static_cast<double>(harmless));
  proof.at_most("core_spoilt_taken", static_cast<double>(accepted), 0);
}

}  // namespace ashbeam::metadata
