// Checks answers that carry TUF metadata files. An answer that the metadata verifier refuses is not forwarded
// to the client, and counts as an error of its endpoint.
//
// Call enable() before the first request, or never. Then call match_request() for each request, and accepts()
// for each answer to a request that matched. The cause of a refusal is stored in the MetadataRequest.
// Refusals are logged, at most one line for each reason and second. Times are instants of the event loop.
// Source: TUF, section 5.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "metadata/metadata_verifier.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

// A request for a file of a TUF repository.
struct MetadataRequest {
  std::uint32_t repository = 0;
  std::string file;
  std::uint64_t client_id = 0;  // identifies the client, see MetadataCheck::match_request()
  std::string refusal;          // why the last answer was refused; empty: none was

  // Returns whether the answer says that there is no newer root. A client requests the root of each next
  // version until the answer is 404 (TUF, section 5.3.3), which is therefore no error.
  bool is_end_of_root_chain(AttemptResult result, const http::MessageParser& answer) const;
};

class MetadataCheck {
 public:
  explicit MetadataCheck(RouterContext& context) : context_(context) {}

  // From now on answers are checked.
  void enable(std::unique_ptr<metadata::MetadataVerifier> verifier) { verifier_ = std::move(verifier); }
  const metadata::MetadataVerifier* verifier() const { return verifier_.get(); }

  // Returns null if `path` (without its query) belongs to no repository, or if no verifier is set.
  // `client_id` identifies the client, and must be the same in each of its requests.
  std::unique_ptr<MetadataRequest> match_request(std::string_view path, std::uint64_t client_id) const;
  // Returns whether the answer may be forwarded. If not, the cause is stored in `request.refusal` and logged
  // with `address`, which is the address of the endpoint.
  bool accepts(MetadataRequest& request, const http::MessageParser& answer, const std::string& address);

 private:
  metadata::Refusal check(const MetadataRequest& request, const http::MessageParser& answer);

  RouterContext& context_;
  std::unique_ptr<metadata::MetadataVerifier> verifier_;
  std::map<metadata::RefusalReason, Instant> refusal_logged_at_;
};

}  // namespace ashbeam
