#include "metadata/refusal.hpp"

#include <iterator>

#include "metadata/date.hpp"

namespace ashbeam::metadata {

namespace {

constexpr std::string_view kReasonNames[] = {
    "none",       "unreadable",   "too-long",     "wrong-role", "key",      "threshold", "root-version",
    "rollback",   "equivocation", "missing",      "mismatch",   "expired",  "unlisted",  "out-of-order",
    "delegation", "target",       "disagreement", "ecu",        "manifest", "time"};
static_assert(std::size(kReasonNames) == static_cast<std::size_t>(RefusalReason::kCount));

constexpr std::size_t kMaxDetailBytesInLine = 160;
constexpr std::size_t kAbbreviatedHashDigits = 12;

std::string with_version(std::string_view subject, std::int64_t version) {
  return std::string(subject) + " " + std::to_string(version);
}

}  // namespace

std::string_view name_of(RefusalReason reason) { return kReasonNames[static_cast<std::size_t>(reason)]; }

std::string_view abbreviate_hash(std::string_view hex) { return hex.substr(0, kAbbreviatedHashDigits); }

std::string Refusal::line() const {
  std::string line(name_of(reason));
  line += " " + detail.substr(0, kMaxDetailBytesInLine) + " (" + section + ")";
  for (char& c : line) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < ' ' || byte > '~') c = '?';
  }
  return line;
}

Refusal Refusal::unreadable(std::string detail, const char* section) {
  return {RefusalReason::kUnreadable, std::move(detail), section};
}

Refusal Refusal::rollback(std::string_view subject, std::int64_t found, std::int64_t trusted,
                          const char* section) {
  return {RefusalReason::kRollback, with_version(subject, found) + " < " + std::to_string(trusted), section};
}

Refusal Refusal::equivocation(std::string_view subject, std::int64_t version, std::string_view found_digest,
                              std::string_view trusted_digest, const char* section) {
  std::string detail = with_version(subject, version);
  detail.append(": ").append(abbreviate_hash(found_digest));
  detail.append(", trusted ").append(abbreviate_hash(trusted_digest));
  return {RefusalReason::kEquivocation, std::move(detail), section};
}

Refusal Refusal::expired(std::string_view subject, std::int64_t version, Instant expires,
                         const char* section) {
  return {RefusalReason::kExpired, with_version(subject, version) + " expired " + format_date(expires),
          section};
}

Refusal Refusal::threshold(std::string_view subject, std::int64_t valid_keys, std::int64_t threshold,
                           const char* section) {
  std::string detail(subject);
  detail += ": " + std::to_string(valid_keys) + " of " + std::to_string(threshold) + " distinct keys";
  return {RefusalReason::kThreshold, std::move(detail), section};
}

Refusal Refusal::version_mismatch(std::string_view subject, std::int64_t found, std::int64_t listed,
                                  const char* section) {
  return {RefusalReason::kMismatch, with_version(subject, found) + ", listed " + std::to_string(listed),
          section};
}

Refusal Refusal::file_name_mismatch(std::string_view subject, std::int64_t found, std::int64_t named,
                                    const char* section) {
  return {RefusalReason::kMismatch,
          with_version(subject, found) + " under the name of " + std::to_string(named), section};
}

}  // namespace ashbeam::metadata
