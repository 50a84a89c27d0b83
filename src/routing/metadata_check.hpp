// Checks of answers that carry metadata files: an answer that the metadata verifier refuses is not forwarded,
// and counts as an error of its endpoint.
//
// Order of calls: enable() before the first request, or never; then match_request() for each request, and
// accepts() for each answer to one that matched. Units: instants of the event loop. Errors: the refusal's
// text is kept in the MetadataRequest; refusals are logged, one line for each kind and second. Source: TUF,
// section 5.
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

// A request for a repository's file.
struct MetadataRequest {
  std::uint32_t repository = 0;
  std::string file;
  std::uint64_t client_id = 0;  // a number that stays the client's own
  std::string refusal;          // why the last answer was not forwarded; empty: none was refused

  // A client asks for the root after the last one until there is none (TUF, section 5.3.3): that is no error.
  bool is_end_of_root_chain(AttemptResult result, const http::MessageParser& answer) const;
};

class MetadataCheck {
 public:
  explicit MetadataCheck(RouterContext& context) : context_(context) {}

  void enable(std::unique_ptr<metadata::MetadataVerifier> verifier) { verifier_ = std::move(verifier); }
  const metadata::MetadataVerifier* verifier() const { return verifier_.get(); }

  // Null where the path (without its query) is of no repository.
  std::unique_ptr<MetadataRequest> match_request(std::string_view path, std::uint64_t client_id) const;
  // `address`: of the endpoint, for the log.
  bool accepts(MetadataRequest& request, const http::MessageParser& answer, const std::string& address);

 private:
  metadata::Refusal check(const MetadataRequest& request, const http::MessageParser& answer);

  RouterContext& context_;
  std::unique_ptr<metadata::MetadataVerifier> verifier_;
  std::map<metadata::RefusalReason, Instant> refusal_logged_at_;
};

}  // namespace ashbeam
