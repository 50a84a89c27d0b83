#include "routing/request_authorization.hpp"

#include <string>
#include <utility>

#include "protocol/header_names.hpp"
#include "routing/retry_after.hpp"

namespace ashbeam {

namespace {

constexpr Duration kLogInterval = Duration::s(1);

std::string challenge_line(calling::Refusal reason) {
  if (reason == calling::Refusal::kNoCredentials) return "WWW-Authenticate: Bearer\r\n";
  const std::string word(calling::name_of(reason));
  return "WWW-Authenticate: Bearer error=\"invalid_token\", error_description=\"" + word + "\"\r\n";
}

}  // namespace

RequestAuthorization::RequestAuthorization(RouterContext& context)
    : context_(context), log_timer_(context.loop, [this] { log_refusals(); }) {}

void RequestAuthorization::enable(std::unique_ptr<calling::Authorizer> authorizer, bool forward_token) {
  authorizer_ = std::move(authorizer);
  forward_token_ = forward_token;
}

const calling::Identity* RequestAuthorization::identify(ClientConnection& client, const http::Head& head,
                                                        Instant now) {
  const TlsStream::PeerCertificate proof = client.peer_proof(now);
  if (proof.is_rejected) {
    client.close_after_answer();
    refuse(client, calling::Refusal::kCertificate, Duration());
    return nullptr;
  }
  if (!authorizer_) return &identity_;
  calling::Credentials credentials;
  credentials.authorization = head.find("Authorization").value_or("");
  credentials.is_ambiguous = head.count("Authorization") > 1 || head.count(header::kTenant) > 1;
  credentials.account = head.find(header::kTenant).value_or("");
  credentials.certificate = proof.certificate;
  Duration retry_after;
  const calling::Refusal reason =
      authorizer_->authenticate(credentials, client.history, context_.loop.now(), identity_, retry_after);
  if (reason == calling::Refusal::kNone) return &identity_;
  refuse(client, reason, retry_after);
  return nullptr;
}

bool RequestAuthorization::admit(ClientConnection& client, const calling::Identity& identity,
                                 unsigned request_class, calling::QuotaHold& hold) {
  if (!authorizer_) return true;
  Duration retry_after;
  const calling::Refusal reason =
      authorizer_->admit(identity, request_class, context_.loop.now(), hold, retry_after);
  if (reason == calling::Refusal::kNone) return true;
  refuse(client, reason, retry_after);
  return false;
}

void RequestAuthorization::release(const calling::QuotaHold& hold) {
  if (authorizer_) authorizer_->release(hold);
}

void RequestAuthorization::refuse(ClientConnection& client, calling::Refusal reason, Duration retry_after) {
  if (authorizer_ && !log_timer_.is_scheduled()) log_timer_.schedule_after(kLogInterval);
  const std::string refused_line = header::field_line(header::kRefusalReason, calling::name_of(reason));
  const unsigned status = calling::http_status_of(reason);
  if (status == 403) return client.answer_plain(status, refused_line);
  if (status == 401) return client.answer_plain(status, challenge_line(reason));
  // Truncated to whole milliseconds, plus one, so that the client does not come back too early.
  const Duration rounded_up = Duration::us((retry_after.us() / 1000 + 1) * 1000);
  client.answer_plain(429, retry_after_line(rounded_up) + refused_line);
}

void RequestAuthorization::log_refusals() {
  std::string counts;
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    const auto reason = static_cast<calling::Refusal>(i);
    const std::uint64_t refused = authorizer_->refusal_count(reason) - logged_refusals_[i];
    if (refused == 0) continue;
    logged_refusals_[i] += refused;
    if (!counts.empty()) counts += ", ";
    counts.append(calling::name_of(reason)).append(" ").append(std::to_string(refused));
  }
  context_.log("calling: requests refused within 1 s: " + counts);
}

}  // namespace ashbeam
