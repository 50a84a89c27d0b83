// A slow, plain model of the five rules, run beside the module on generated streams of events. It keeps
// everything that ever happened and checks each action of the module by looking through all of it.
#include <random>
#include <set>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

struct PlainRules : RouterActions {
  struct SentAttempt {
    RequestId request;
    EndpointIndex endpoint;
    ReleaseVersion version;
    unsigned attempt, request_class;
    Instant at;
    bool in_flight = true, may_have_run = true;
  };
  struct KnownRequest {
    unsigned request_class;
    std::uint64_t key;
    Instant taken, deadline;
    bool ended = false;
  };
  struct ListedEndpoint {
    EndpointState state;
    ReleaseVersion version;
    unsigned zone, cell, machine_type;
    Instant start;
  };

  explicit PlainRules(const RouterSettings& settings) : settings_(settings) {}

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
    return std::any_of(attempts.begin(), attempts.end(), [&](const SentAttempt& s) {
      return s.request == request && (s.in_flight || s.may_have_run);
    });
  }
  KnownRequest& open_request(RequestId id) {
    KnownRequest& request = requests.at(id);
    EXPECT_FALSE(request.ended) << "rule 1: request " << id << " has its answer already";
    EXPECT_LE(now, request.deadline) << "rule 1: request " << id << " is acted on past its deadline";
    return request;
  }

  void send_attempt(RequestId id, EndpointIndex h) override {
    KnownRequest& request = open_request(id);
    const RequestClass& request_class = settings_.request_classes[request.request_class];
    const ListedEndpoint& endpoint = endpoints.at(h);
    unsigned attempt = 0;
    for (const SentAttempt& s : attempts) {
      if (s.request != id) continue;
      ++attempt;
      if (!s.in_flight && !s.may_have_run) continue;
      EXPECT_NE(request_class.idempotency, Idempotency::kUnsafe)
          << "rule 2: an unsafe request goes out again";
      if (s.in_flight) {
        EXPECT_TRUE(settings_.may_hedge) << "two attempts in flight at once";
      }
      if (request_class.idempotency != Idempotency::kKeyed) continue;
      EXPECT_LT(now - s.at, request_class.key_retention)
          << "rule 2: a keyed request goes out past its retention";
      if (request_class.scope == IdempotencyScope::kZone) {
        EXPECT_EQ(endpoints.at(s.endpoint).zone, endpoint.zone) << "rule 2: zone left";
      }
      if (request_class.scope == IdempotencyScope::kCell) {
        EXPECT_EQ(endpoints.at(s.endpoint).cell, endpoint.cell) << "rule 2: cell left";
      }
    }
    EXPECT_LT(attempt, settings_.max_attempts);
    EXPECT_EQ(endpoint.state, EndpointState::kReady) << "rule 3: endpoint " << h << " drains or is removed";
    if (is_canary(endpoint.version)) {
      ++canary_attempts;
      const bool newest = announced && endpoint.version == version;
      const double limit = newest ? exposure_cap : settings_.exposure_caps[0];
      double out = 1, in = 0;
      for (const SentAttempt& s : attempts) {
        const bool counts = !settings_.exposure_per_class || s.request_class == request.request_class;
        out += counts && s.version == endpoint.version && s.at > now - settings_.exposure_window;
      }
      for (const auto& [other, k] : requests) {
        in += (!settings_.exposure_per_class || k.request_class == request.request_class) &&
              k.taken > now - settings_.exposure_window;
      }
      EXPECT_GT(limit, 0) << "rule 5: cap 0";
      EXPECT_LE(out, settings_.exposure_allowance + limit * in) << "rule 5: over the cap";
      if ((newest ? stage : 0) < settings_.idempotent_only_stage_count) {
        EXPECT_EQ(request_class.idempotency, Idempotency::kIdempotent) << "rule 5: closed stage";
      }
    }
    if (settings_.sticky_keys && bound_keys.contains(request.key)) {
      EXPECT_GE(endpoint.version, bound_keys.at(request.key)) << "rule 5: a bound key goes back";
    }
    if (now - endpoint.start < settings_.slow_start_duration) {  // rule 4, as a router alone can keep it
      double sent = 1, taken = 0, ability = 0;
      const auto able = [&](const ListedEndpoint& m) {
        const double part = std::min((now - m.start) / settings_.slow_start_duration, 1.0);
        return settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * part;
      };
      for (const SentAttempt& s : attempts)
        sent += s.endpoint == h && s.at >= now - settings_.slow_start_window;
      for (const auto& [other, k] : requests) taken += k.taken > now - settings_.slow_start_window;
      for (const auto& [other, m] : endpoints) ability += m.state == EndpointState::kReady ? able(m) : 0;
      EXPECT_LE(sent, 3 + 1.5 * taken * able(endpoint) / ability) << "rule 4: a cold endpoint gets too much";
    }
    attempts.push_back({id, h, endpoint.version, attempt, request.request_class, now});
  }
  void reject(RequestId id, Duration) override {
    KnownRequest& request = open_request(id);
    const RequestClass& request_class = settings_.request_classes[request.request_class];
    const bool harmless =
        request_class.idempotency == Idempotency::kIdempotent ||
        (request_class.idempotency == Idempotency::kKeyed && request_class.scope == IdempotencyScope::kAll);
    if (!harmless) {
      EXPECT_FALSE(may_have_run(id)) << "rule 2: rejected though it may have run";
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
  void cast_vote(ReleaseVersion, unsigned, Vote v) override {
    EXPECT_FALSE(settings_.promoted_automatically && v == Vote::kPromote);
  }
  void log(std::string_view) override {}
};

class Stream {
 public:
  Stream(const RouterSettings& settings, unsigned seed)
      : rules_(settings), random_(seed), router_(make_router_policy(settings, seed, rules_)) {
    router_->set_time(now_);
    router_->start();
  }

  void run(Duration length) {
    for (const Instant until = now_ + length; now_ < until; now_ = now_ + Duration::ms(5)) {
      rules_.now = now_;
      router_->set_time(now_);
      if (step_++ % 200 == 0) change_list();
      if (step_ % 600 == 30) change_release();
      for (int i = draw(0, 2); i > 0; --i) request();
      end_some();
      if (step_ % 4 == 0) router_->on_wakeup(1);
      for (const auto& [id, request] : rules_.requests) {
        if (!request.ended) {
          EXPECT_LT(now_, request.deadline + Duration::ms(20)) << "rule 1: request " << id << " is lost";
        }
      }
    }
  }
  PlainRules rules_;

 private:
  int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

  void change_list() {
    router_->begin_endpoint_update(true);
    auto old = std::move(rules_.endpoints);
    rules_.endpoints.clear();
    for (EndpointIndex h = 0; h < 12; ++h) {
      PlainRules::ListedEndpoint m{EndpointState::kReady, 1, h % 2, h / 3, 0, Instant()};
      if (old.contains(h)) m = old[h];
      if (draw(0, 9) == 0) m.state = static_cast<EndpointState>(draw(0, 2));
      if (draw(0, 9) == 0)
        m = {EndpointState::kReady,
             static_cast<ReleaseVersion>(draw(-1, 1) + static_cast<int>(rules_.version)),
             m.zone,
             m.cell,
             0,
             now_};
      rules_.endpoints[h] = m;
      router_->update_endpoint({h, m.state, m.version, m.zone, m.cell, m.machine_type, m.start});
    }
    router_->end_endpoint_update();
    if (!rules_.announced) change_release();
  }
  void change_release() {
    const auto last = static_cast<unsigned>(rules_.settings_.exposure_caps.size()) - 1;
    if (!rules_.announced || rules_.phase == ReleasePhase::kWithdrawn ||
        rules_.phase == ReleasePhase::kReleased) {
      rules_.phase = rules_.announced ? ReleasePhase::kCanary : ReleasePhase::kReleased;
      rules_.stage = rules_.announced ? 0 : last;
      rules_.version += rules_.announced;
    } else if (rules_.phase == ReleasePhase::kRollingBack) {
      rules_.phase = ReleasePhase::kWithdrawn;
    } else if (draw(0, 3) == 0) {
      rules_.phase = ReleasePhase::kRollingBack;
    } else if (rules_.stage == last) {
      rules_.phase = ReleasePhase::kReleased;
    } else {
      ++rules_.stage;
    }
    const bool back = rules_.phase == ReleasePhase::kRollingBack || rules_.phase == ReleasePhase::kWithdrawn;
    rules_.exposure_cap = back ? 0 : rules_.settings_.exposure_caps[rules_.stage];
    if (back) rules_.bound_keys.clear();
    rules_.announced = true;
    router_->on_release_state({rules_.version, rules_.stage, rules_.phase, rules_.exposure_cap, Duration()});
  }
  void request() {
    const RequestId id = next_++;
    const auto request_class = static_cast<unsigned>(draw(0, 2));
    const auto key = static_cast<std::uint64_t>(draw(0, 40));
    const Instant deadline = now_ + Duration::ms(draw(100, 2000));
    rules_.requests[id] = {request_class, key, now_, deadline};
    router_->on_request({id, request_class, 0, key, deadline});
  }
  void end_some() {
    for (std::size_t i = 0; i < rules_.attempts.size(); ++i) {
      auto& s = rules_.attempts[i];
      if (!s.in_flight) continue;
      const Instant deadline = rules_.requests.at(s.request).deadline;
      if (now_ < deadline && draw(0, 15) != 0) continue;
      const int fate = draw(0, 11);
      AttemptResult result = fate < 6 ? AttemptResult::kOk : static_cast<AttemptResult>(draw(1, 7));
      if (now_ >= deadline) result = AttemptResult::kTimeout;
      s.in_flight = false;
      s.may_have_run = result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
                       result != AttemptResult::kCancelledBeforeSent;
      const PlainRules::SentAttempt sent = s;
      auto& request = rules_.requests.at(s.request);
      if (result == AttemptResult::kOk) request.ended = true;
      if (result == AttemptResult::kOk && request.key != 0 && sent.version >= rules_.version &&
          rules_.phase != ReleasePhase::kRollingBack && rules_.phase != ReleasePhase::kWithdrawn) {
        auto& b = rules_.bound_keys[request.key];
        b = std::max(b, sent.version);
      }
      router_->on_attempt_end(
          {sent.request, sent.attempt, sent.endpoint, result, now_ - sent.at, request.ended});
    }
  }

  std::mt19937 random_;
  std::unique_ptr<RouterPolicy> router_;
  Instant now_ = Instant::at_us(0) + Duration::s(50);
  RequestId next_ = 1;
  int step_ = 0;
};

TEST(Rules, PlainModelAgreesOnGeneratedStreams) {
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
    Stream stream(settings, seed);
    stream.run(Duration::s(20));
    canary += stream.rules_.canary_attempts;
    rejections += stream.rules_.rejections;
    failures += stream.rules_.failures;
  }
  EXPECT_GT(canary, 1000u);  // the streams reach what the rules are about
  EXPECT_GT(rejections, 100u);
  EXPECT_GT(failures, 100u);
}

}  // namespace
}  // namespace ashbeam
