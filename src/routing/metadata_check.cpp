#include "routing/metadata_check.hpp"

namespace ashbeam {

namespace {

constexpr Duration kLogInterval = Duration::s(1);
constexpr std::size_t kMaxLoggedFileBytes = 80;
constexpr unsigned kNotFoundStatus = 404;

std::string decode_chunks(std::string_view bytes, std::size_t max_body_bytes) {
  http::Body body(max_body_bytes);
  body.expect_chunked();
  std::string raw;
  std::string plain;
  body.feed(bytes, raw, &plain);
  return plain;
}

}  // namespace

bool MetadataRequest::is_end_of_root_chain(AttemptResult result, const http::MessageParser& answer) const {
  return result == AttemptResult::kError && answer.status() == kNotFoundStatus && file.ends_with("root.json");
}

std::unique_ptr<MetadataRequest> MetadataCheck::match_request(std::string_view path,
                                                              std::uint64_t client_id) const {
  if (!verifier_) return nullptr;
  std::string_view file;
  const std::uint32_t repository = verifier_->find_repository(path, file);
  if (repository == metadata::MetadataVerifier::kNoRepository) return nullptr;
  return std::make_unique<MetadataRequest>(MetadataRequest{repository, std::string(file), client_id, {}});
}

metadata::Refusal MetadataCheck::check(const MetadataRequest& request, const http::MessageParser& answer) {
  if (answer.head().find("Content-Encoding"))
    return {metadata::RefusalReason::kUnreadable, "a coded body", "TUF 4.1"};
  const bool chunked = answer.head().find("Transfer-Encoding").has_value();
  const std::string plain =
      chunked ? decode_chunks(answer.raw_body(), context_.limits.max_body_bytes) : answer.raw_body();
  return verifier_->check(request.repository, request.file, plain, request.client_id, context_.loop.now());
}

bool MetadataCheck::accepts(MetadataRequest& request, const http::MessageParser& answer,
                            const std::string& address) {
  const metadata::Refusal refusal = check(request, answer);
  if (!refusal) return true;
  request.refusal = refusal.line();
  const Instant now = context_.loop.now();
  Instant& logged_at = refusal_logged_at_[refusal.reason];
  if (now - logged_at > kLogInterval) {
    logged_at = now;
    context_.log("metadata: file " + request.file.substr(0, kMaxLoggedFileBytes) + " from endpoint " +
                 address + " refused: " + request.refusal);
  }
  return false;
}

}  // namespace ashbeam
