#include "routing/service.hpp"

#include <algorithm>
#include <utility>

#include "protocol/header_names.hpp"
#include "routing/header_forwarding.hpp"

namespace ashbeam {

namespace {

constexpr std::string_view kHealthPath = "/health/ready";

constexpr unsigned kOkStatus = 200;
constexpr unsigned kBadRequestStatus = 400;
constexpr unsigned kMethodNotAllowedStatus = 405;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kUnavailableStatus = 503;

// Sets the numbers of sticky keys and of counted events to the limits, and reduces the time for which
// endpoints remember idempotency keys by the time that an attempt may wait for its connection: a retry must
// reach its endpoint while the endpoint still remembers the key.
RouterSettings with_limits(RouterSettings settings, const Limits& limits, Duration connect_timeout) {
  settings.max_sticky_keys = limits.max_sticky_keys;
  settings.max_counted_events = limits.max_counted_events;
  for (RequestClass& request_class : settings.request_classes)
    request_class.key_retention = std::max(Duration(), request_class.key_retention - connect_timeout);
  return settings;
}

std::vector<RequestClassRule> request_class_rules(const RouterSettings& settings,
                                                  const WireSettings& wire_settings) {
  std::vector<RequestClassRule> rules;
  const std::size_t count = wire_settings.request_classes.size();
  for (std::size_t i = 0; i < count; ++i)
    rules.push_back({wire_settings.request_classes[i], settings.request_classes[i].idempotency});
  return rules;
}

// Returns how long an attempt may wait for its connection. It is at most half of the drain grace period,
// because that wait shortens the time for which the endpoint list may be used (see
// endpoint_lease_settings()).
Duration connect_timeout(const Limits& limits, const RouterSettings& settings) {
  return std::min(limits.connect_timeout, settings.drain_grace * 0.5);
}

void answer_error(ClientConnection& client, const RequestError& error) {
  if (!error.allowed_method) return client.answer_plain(error.status);
  client.answer_plain(error.status, "Allow: " + std::string(*error.allowed_method) + "\r\n");
}

}  // namespace

Service::Service(EventLoop& loop, const Limits& limits, const RouterSettings& settings,
                 const WireSettings& wire_settings, const InstanceSettings& instance, LogFunction log)
    : instance_(instance), request_classes_(request_class_rules(settings, wire_settings)),
      tenants_(wire_settings.tenants), sticky_keys_(settings.sticky_keys),
      context_(loop, limits, std::move(log)),
      clients_(loop, limits, instance.listen_address,
               {.on_request = [this](auto& client, auto& request) { on_request(client, request); },
                .on_client_closed = [this](auto& client) { requests_.on_client_closed(client); },
                .on_surplus_input = [this](auto& client) { requests_.on_surplus_input(client); },
                .on_answer_deadline = [this](auto& client) { requests_.on_answer_deadline(client); }}),
      pools_(loop, limits, connect_timeout(limits, settings)),
      lease_(context_, pools_, endpoint_lease_settings(limits, settings, pools_.connect_timeout())),
      registry_(context_, pools_, lease_, wire_settings), readiness_(context_),
      endpoint_watch_(context_, instance.discovery_address, registry_, lease_, readiness_),
      releases_(context_, registry_, wire_settings.request_classes, instance.release_platform_address,
                instance.seed),
      authorization_(context_), metadata_(context_),
      recent_ids_(limits.max_remembered_request_ids, limits.max_remembered_request_ids_per_client,
                  limits.request_id_retention, instance.seed),
      requests_(context_, pools_, registry_, lease_, authorization_, metadata_, recent_ids_),
      shutdown_(context_, clients_, requests_), wakeups_(context_) {
  context_.policy.attach(
      make_router_policy(with_limits(settings, limits, pools_.connect_timeout()), instance.seed, *this));
}

Service::~Service() = default;

void Service::start() {
  readiness_.start();
  context_.policy.at_now().start();
  endpoint_watch_.apply_configured_list(instance_.configured_endpoint_list);
  lease_.start();
  releases_.apply_configured_state(instance_.configured_release_state);
  releases_.start();
  endpoint_watch_.start(instance_.seed);
}

void Service::change_addresses(const std::string& discovery, const std::string& release_platform) {
  endpoint_watch_.change_address(discovery);
  releases_.change_address(release_platform);
}

void Service::set_authorizer(std::unique_ptr<calling::Authorizer> authorizer, bool forward_token) {
  authorization_.enable(std::move(authorizer), forward_token);
}

void Service::set_metadata_verifier(std::unique_ptr<metadata::MetadataVerifier> verifier) {
  metadata_.enable(std::move(verifier));
}

void Service::listen_with_tls(const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials) {
  tls_acceptor_ =
      std::make_unique<TlsAcceptor>(context_.loop, settings, std::move(credentials), context_.log);
  clients_.listen_with_tls(
      settings.listen_address, [this](int fd) { return tls_acceptor_->accept(fd); },
      [this] { return tls_acceptor_->handshake_timeout(); });
}

void Service::cast_vote(ReleaseVersion version, unsigned stage, Vote vote) {
  releases_.cast_vote(version, stage, vote);
}

// ---- Requests ----

void Service::on_request(ClientConnection& client, http::MessageParser& request) {
  const http::Head& head = request.head();
  if (path_of(head) == kHealthPath) return answer_health_check(client, head);
  const Instant now = context_.loop.now();

  const calling::Identity* const identity = authorization_.identify(client, head, now);
  if (!identity) return;

  const auto parsed = parse_request(request, request_classes_, context_.limits);
  if (const auto* const error = std::get_if<RequestError>(&parsed)) return answer_error(client, *error);
  const auto& parameters = std::get<RequestParameters>(parsed);
  if (answer_unacceptable(client, request)) return;

  RequestArrival arrival;
  arrival.request_class = parameters.request_class;
  arrival.tenant = tenant_index_of(head, *identity);
  arrival.sticky_key = sticky_key_of(head, sticky_keys_);
  arrival.deadline = shutdown_.bound_deadline(now + parameters.time_left);

  calling::QuotaHold admission;
  if (!authorization_.admit(client, *identity, parameters.request_class, admission)) return;
  const RecentRequestIds::Digest id = recent_ids_.digest_of(*head.find(header::kRequestId));
  if (!remember_request_id(client, arrival.request_class, id, now)) return authorization_.release(admission);

  AcceptedRequest accepted = make_accepted_request(client, request, *identity);
  accepted.deadline = arrival.deadline;
  accepted.sticky_key = sticky_keys_ ? arrival.sticky_key : 0;
  accepted.id = id;
  accepted.admission = admission;
  arrival.request = requests_.accept(client, std::move(accepted));
  log_accepted(arrival, head, now);

  context_.policy.at_now().on_request(arrival);
}

bool Service::answer_unacceptable(ClientConnection& client, const http::MessageParser& request) const {
  const bool quiet = client.is_quiet();
  if (!quiet && client.has_surplus_input()) {
    client.close_after_answer();
    client.answer_plain(kBadRequestStatus);
    return true;
  }
  if (!quiet && client.has_client_left()) return true;
  if (requests_.has_room_for(request.buffered_bytes())) return false;
  client.answer_plain(kUnavailableStatus);
  return true;
}

void Service::answer_health_check(ClientConnection& client, const http::Head& head) const {
  if (head.method() != "GET") return client.answer_plain(kMethodNotAllowedStatus, "Allow: GET\r\n");
  const bool ready = readiness_.is_ready() && !shutdown_.has_begun();
  client.answer_plain(ready ? kOkStatus : kUnavailableStatus);
}

// No request is accepted with the id of another one that is in flight or was answered recently, whatever its
// tenant: endpoints know a request by its id.
bool Service::remember_request_id(ClientConnection& client, unsigned request_class,
                                  RecentRequestIds::Digest id, Instant now) {
  const Idempotency idempotency = request_classes_[request_class].idempotency;
  const bool may_run_again = idempotency == Idempotency::kIdempotent;
  switch (recent_ids_.begin(id, {client.serial_number(), may_run_again}, now)) {
    case RecentRequestIds::BeginResult::kPresent:
      client.answer_plain(kConflictStatus);
      return false;
    case RecentRequestIds::BeginResult::kFull:
      client.answer_plain(kUnavailableStatus);
      return false;
    case RecentRequestIds::BeginResult::kStored:
      break;
  }
  return true;
}

AcceptedRequest Service::make_accepted_request(const ClientConnection& client, http::MessageParser& request,
                                               const calling::Identity& identity) const {
  const http::Head& head = request.head();
  // A client that is not authenticated is identified by its connection.
  const bool proven = !identity.principal.empty();
  const std::uint64_t metadata_client_id = proven ? identity.subject_hash : client.serial_number();
  AcceptedRequest accepted;
  accepted.metadata = metadata_.match_request(path_of(head), metadata_client_id);
  accepted.head.assign(head.start_line());
  accepted.head +=
      authorization_.is_enabled()
          ? forwarded_lines_with_principal(head, identity.principal, authorization_.forwards_token())
          : forwarded_lines(head);
  accepted.body = request.take_raw_body();
  return accepted;
}

unsigned Service::tenant_index_of(const http::Head& head, const calling::Identity& identity) const {
  if (!identity.principal.empty()) return identity.policy_tenant;
  const auto found = std::find(tenants_.begin(), tenants_.end(), head.find(header::kTenant).value_or(""));
  return static_cast<unsigned>(found - tenants_.begin());
}

void Service::log_accepted(const RequestArrival& arrival, const http::Head& head, Instant now) {
  DetailLog& log = context_.detail_log;
  if (!log.is_enabled(LogTopic::kRequests)) return;
  const std::string_view id = head.find(header::kRequestId).value_or("");
  log.write_line(LogTopic::kRequests, now, "request %u: accepted, id %.*s, class %u, time left %.0f ms",
                 arrival.request, static_cast<int>(id.size()), id.data(), arrival.request_class,
                 (arrival.deadline - now).ms());
}

}  // namespace ashbeam
