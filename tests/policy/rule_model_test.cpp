// Runs RequestRouter on generated events, beside a simple reference model of the five rules of
// rule_guards.hpp. The model keeps the complete history and checks each action of the router by searching all
// of it.
#include <random>
#include <set>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

// Checks each action of the router against the rules.
struct ReferenceModel : RouterActions {
  struct SentAttempt {
    RequestId request;
    EndpointIndex endpoint;
    ReleaseVersion version;
    unsigned attempt, request_class;
    Instant sent_at;
    bool in_flight = true, may_have_run = true;
  };
  struct KnownRequest {
    unsigned request_class;
    std::uint64_t key;
    Instant received_at, deadline;
    bool ended = false;
  };
  struct ListedEndpoint {
    EndpointState state;
    ReleaseVersion version;
    unsigned zone, cell, machine_type;
    Instant started_at;
  };

  explicit ReferenceModel(const RouterSettings& settings) : settings_(settings) {}

  const RouterSettings settings_;
  Instant now;
  std::map<RequestId, KnownRequest> requests;
  std::vector<SentAttempt> attempts;
  std::map<EndpointIndex, ListedEndpoint> endpoints;
  bool announced = false;
  ReleaseVersion version = 1;
  unsigned stage = 0;
  ReleasePhase phase = ReleasePhase::kReleased;
  double exposure_cap = 0;
  Instant exposure_cap_since;
  std::map<std::uint64_t, ReleaseVersion> bound_keys;
  std::size_t rejections = 0, failures = 0, canary_attempts = 0, refused_rules = 0;

  bool is_canary(ReleaseVersion other) const {
    return other > version || (other == version && phase != ReleasePhase::kReleased);
  }
  bool may_have_run(RequestId request) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](const SentAttempt& sent) {
      return sent.request == request && (sent.in_flight || sent.may_have_run);
    });
  }
  KnownRequest& open_request(RequestId id) {
    KnownRequest& request = requests.at(id);
    EXPECT_FALSE(request.ended) << "rule 1: request " << id << " already has its final answer";
    EXPECT_LE(now, request.deadline) << "rule 1: request " << id << " gets an action after its deadline";
    return request;
  }

  void send_attempt(RequestId id, EndpointIndex index) override {
    KnownRequest& request = open_request(id);
    const RequestClass& request_class = settings_.request_classes[request.request_class];
    const ListedEndpoint& endpoint = endpoints.at(index);
    unsigned attempt = 0;
    for (const SentAttempt& sent : attempts) {
      if (sent.request != id) continue;
      ++attempt;
      if (!sent.in_flight && !sent.may_have_run) continue;
      EXPECT_NE(request_class.idempotency, Idempotency::kUnsafe)
          << "rule 2: an unsafe request that may have run is sent again";
      if (sent.in_flight) {
        EXPECT_TRUE(settings_.may_hedge)
            << "two attempts in flight although hedged requests are not permitted";
      }
      if (request_class.idempotency != Idempotency::kKeyed) continue;
      EXPECT_LT(now - sent.sent_at, request_class.key_retention)
          << "rule 2: a keyed request is sent again after its retention";
      if (request_class.scope == IdempotencyScope::kZone) {
        EXPECT_EQ(endpoints.at(sent.endpoint).zone, endpoint.zone)
            << "rule 2: a keyed request is sent to another zone";
      }
      if (request_class.scope == IdempotencyScope::kCell) {
        EXPECT_EQ(endpoints.at(sent.endpoint).cell, endpoint.cell)
            << "rule 2: a keyed request is sent to another cell";
      }
    }
    EXPECT_LT(attempt, settings_.max_attempts);
    EXPECT_EQ(endpoint.state, EndpointState::kReady)
        << "rule 3: endpoint " << index << " is draining or removed";
    if (is_canary(endpoint.version)) {
      ++canary_attempts;
      const bool newest = announced && endpoint.version == version;
      const double limit = newest ? exposure_cap : settings_.exposure_caps[0];
      double attempt_count = 1, arrivals_in_window = 0;
      for (const SentAttempt& sent : attempts) {
        const bool counts = !settings_.exposure_per_class || sent.request_class == request.request_class;
        attempt_count +=
            counts && sent.version == endpoint.version && sent.sent_at > now - settings_.exposure_window;
      }
      for (const auto& [other, known] : requests) {
        arrivals_in_window +=
            (!settings_.exposure_per_class || known.request_class == request.request_class) &&
            known.received_at > now - settings_.exposure_window;
      }
      EXPECT_GT(limit, 0) << "rule 5: canary attempt under a cap of 0";
      EXPECT_LE(attempt_count, settings_.exposure_allowance + limit * arrivals_in_window)
          << "rule 5: canary attempts exceed the exposure cap";
      if ((newest ? stage : 0) < settings_.idempotent_only_stage_count) {
        EXPECT_EQ(request_class.idempotency, Idempotency::kIdempotent)
            << "rule 5: a request that is not idempotent in a stage for idempotent ones";
      }
    }
    if (settings_.sticky_keys && bound_keys.contains(request.key)) {
      EXPECT_GE(endpoint.version, bound_keys.at(request.key))
          << "rule 5: a sticky key goes to an earlier version";
    }
    // Rule 4, as far as one router can ensure it.
    if (now - endpoint.started_at < settings_.slow_start_duration) {
      double sent_count = 1, arrival_count = 0, total_capacity = 0;
      const auto capacity_of = [&](const ListedEndpoint& listed) {
        const double elapsed_fraction =
            std::min((now - listed.started_at) / settings_.slow_start_duration, 1.0);
        return settings_.initial_capacity_fraction +
               (1 - settings_.initial_capacity_fraction) * elapsed_fraction;
      };
      for (const SentAttempt& sent : attempts)
        sent_count += sent.endpoint == index && sent.sent_at >= now - settings_.slow_start_window;
      for (const auto& [other, known] : requests)
        arrival_count += known.received_at > now - settings_.slow_start_window;
      for (const auto& [other, listed] : endpoints)
        total_capacity += listed.state == EndpointState::kReady ? capacity_of(listed) : 0;
      EXPECT_LE(sent_count, 3 + 1.5 * arrival_count * capacity_of(endpoint) / total_capacity)
          << "rule 4: an endpoint in slow start receives too many attempts";
    }
    attempts.push_back({id, index, endpoint.version, attempt, request.request_class, now});
  }
  void reject(RequestId id, Duration) override {
    KnownRequest& request = open_request(id);
    const RequestClass& request_class = settings_.request_classes[request.request_class];
    const bool harmless =
        request_class.idempotency == Idempotency::kIdempotent ||
        (request_class.idempotency == Idempotency::kKeyed && request_class.scope == IdempotencyScope::kAll);
    if (!harmless) {
      EXPECT_FALSE(may_have_run(id)) << "rule 2: a request that may have run is rejected";
    }
    request.ended = true;
    ++rejections;
  }
  void fail(RequestId id) override {
    open_request(id).ended = true;
    ++failures;
  }
  void cancel_attempt(RequestId, unsigned) override {}
  void schedule_wakeup(Duration, std::uint64_t) override {}
  void watch_endpoints() override {}
  void cast_vote(ReleaseVersion, unsigned, Vote vote) override {
    EXPECT_FALSE(settings_.promoted_automatically && vote == Vote::kPromote);
  }
  void log(std::string_view) override {}
};

// Generates requests, ends of attempts, and changes of the endpoint list and the release.
class EventGenerator {
 public:
  EventGenerator(const RouterSettings& settings, unsigned seed)
      : model_(settings), random_(seed), router_(make_router_policy(settings, seed, model_)) {
    router_->set_time(now_);
    router_->start();
  }

  void run(Duration length) {
    for (const Instant until = now_ + length; now_ < until; now_ = now_ + Duration::ms(5)) {
      model_.now = now_;
      router_->set_time(now_);
      if (step_++ % 200 == 0) change_endpoint_list();
      if (step_ % 600 == 30) change_release();
      for (int i = draw(0, 2); i > 0; --i) request();
      end_some_attempts();
      if (step_ % 4 == 0) router_->on_wakeup(1);
      for (const auto& [id, request] : model_.requests) {
        if (!request.ended) {
          EXPECT_LT(now_, request.deadline + Duration::ms(20))
              << "rule 1: request " << id << " has no answer after its deadline";
        }
      }
    }
  }
  ReferenceModel model_;

 private:
  int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

  void change_endpoint_list() {
    router_->begin_endpoint_update(true);
    auto previous_list = std::move(model_.endpoints);
    model_.endpoints.clear();
    for (EndpointIndex index = 0; index < 12; ++index) {
      ReferenceModel::ListedEndpoint listed{EndpointState::kReady, 1, index % 2, index / 3, 0, Instant()};
      if (previous_list.contains(index)) listed = previous_list[index];
      if (draw(0, 9) == 0) listed.state = static_cast<EndpointState>(draw(0, 2));
      if (draw(0, 9) == 0)
        listed = {EndpointState::kReady,
                  static_cast<ReleaseVersion>(draw(-1, 1) + static_cast<int>(model_.version)),
                  listed.zone,
                  listed.cell,
                  0,
                  now_};
      model_.endpoints[index] = listed;
      router_->update_endpoint({index, listed.state, listed.version, listed.zone, listed.cell,
                                listed.machine_type, listed.started_at});
    }
    router_->end_endpoint_update();
    if (!model_.announced) change_release();
  }
  void change_release() {
    const auto last = static_cast<unsigned>(model_.settings_.exposure_caps.size()) - 1;
    if (!model_.announced || model_.phase == ReleasePhase::kWithdrawn ||
        model_.phase == ReleasePhase::kReleased) {
      model_.phase = model_.announced ? ReleasePhase::kCanary : ReleasePhase::kReleased;
      model_.stage = model_.announced ? 0 : last;
      model_.version += model_.announced;
    } else if (model_.phase == ReleasePhase::kRollingBack) {
      model_.phase = ReleasePhase::kWithdrawn;
    } else if (draw(0, 3) == 0) {
      model_.phase = ReleasePhase::kRollingBack;
    } else if (model_.stage == last) {
      model_.phase = ReleasePhase::kReleased;
    } else {
      ++model_.stage;
    }
    const bool is_rolled_back =
        model_.phase == ReleasePhase::kRollingBack || model_.phase == ReleasePhase::kWithdrawn;
    model_.exposure_cap = is_rolled_back ? 0 : model_.settings_.exposure_caps[model_.stage];
    if (is_rolled_back) model_.bound_keys.clear();
    model_.announced = true;
    router_->on_release_state({model_.version, model_.stage, model_.phase, model_.exposure_cap, Duration()});
  }
  void request() {
    const RequestId id = next_++;
    const auto request_class = static_cast<unsigned>(draw(0, 2));
    const auto key = static_cast<std::uint64_t>(draw(0, 40));
    const Instant deadline = now_ + Duration::ms(draw(100, 2000));
    model_.requests[id] = {request_class, key, now_, deadline};
    router_->on_request({id, request_class, 0, key, deadline});
  }
  void end_some_attempts() {
    for (std::size_t i = 0; i < model_.attempts.size(); ++i) {
      auto& attempt = model_.attempts[i];
      if (!attempt.in_flight) continue;
      const Instant deadline = model_.requests.at(attempt.request).deadline;
      if (now_ < deadline && draw(0, 15) != 0) continue;
      const int result_draw = draw(0, 11);
      AttemptResult result = result_draw < 6 ? AttemptResult::kOk : static_cast<AttemptResult>(draw(1, 7));
      if (now_ >= deadline) result = AttemptResult::kTimeout;
      attempt.in_flight = false;
      attempt.may_have_run = result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
                             result != AttemptResult::kCancelledBeforeSent;
      const ReferenceModel::SentAttempt ended = attempt;
      auto& request = model_.requests.at(attempt.request);
      if (result == AttemptResult::kOk) request.ended = true;
      if (result == AttemptResult::kOk && request.key != 0 && ended.version >= model_.version &&
          model_.phase != ReleasePhase::kRollingBack && model_.phase != ReleasePhase::kWithdrawn) {
        auto& bound_version = model_.bound_keys[request.key];
        bound_version = std::max(bound_version, ended.version);
      }
      router_->on_attempt_end(
          {ended.request, ended.attempt, ended.endpoint, result, now_ - ended.sent_at, request.ended});
    }
  }

  std::mt19937 random_;
  std::unique_ptr<RouterPolicy> router_;
  Instant now_ = Instant::at_us(0) + Duration::s(50);
  RequestId next_ = 1;
  int step_ = 0;
};

TEST(RuleGuards, AgreeWithReferenceModelOnGeneratedEvents) {
  std::size_t canary = 0, rejections = 0, failures = 0;
  for (unsigned seed = 1; seed <= 24; ++seed) {
    RouterSettings settings = default_settings();
    settings.request_classes[1].key_retention = Duration::ms(250);
    settings.sticky_keys = seed % 2 == 0;
    settings.exposure_per_class = seed % 3 == 0;
    settings.idempotent_only_stage_count = seed % 4;
    settings.may_hedge = seed % 5 != 0;
    settings.promoted_automatically = seed % 7 == 0;
    settings.rolling_update = seed % 2 == 1;
    if (seed % 6 == 0) settings.request_classes[1].scope = IdempotencyScope::kAll;
    if (seed % 6 == 1) settings.request_classes[1].scope = IdempotencyScope::kCell;
    SCOPED_TRACE("seed " + std::to_string(seed));
    EventGenerator events(settings, seed);
    events.run(Duration::s(20));
    canary += events.model_.canary_attempts;
    rejections += events.model_.rejections;
    failures += events.model_.failures;
  }
  EXPECT_GT(canary, 1000u);  // The generated events reach the cases that the rules limit.
  EXPECT_GT(rejections, 100u);
  EXPECT_GT(failures, 100u);
}

}  // namespace
}  // namespace ashbeam
