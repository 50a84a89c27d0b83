// A slow, plain model of the five rules, run beside the module on generated streams of events. It keeps
// everything that ever happened and checks each action of the module by looking through all of it.
#include <random>
#include <set>

#include "policy_fixture.hpp"

namespace ashbeam {
namespace {

struct PlainRules : RouterActions {
  struct Send {
    RequestId hit;
    EndpointIndex host;
    ReleaseVersion build;
    unsigned leg, group;
    Instant at;
    bool out = true, may_have_run = true;
  };
  struct Known {
    unsigned group;
    std::uint64_t key;
    Instant taken, give_up;
    bool ended = false;
  };
  struct Machine {
    EndpointState state;
    ReleaseVersion build;
    unsigned zone, cell, kind;
    Instant start;
  };

  explicit PlainRules(const RouterSettings& terms) : terms_(terms) {}

  const RouterSettings terms_;
  Instant now;
  std::map<RequestId, Known> hits;
  std::vector<Send> sends;
  std::map<EndpointIndex, Machine> list;
  bool told = false;
  ReleaseVersion build = 1;
  unsigned stage = 0;
  ReleasePhase phase = ReleasePhase::kReleased;
  double cap = 0;
  Instant cap_since;
  std::map<std::uint64_t, ReleaseVersion> bound;
  std::size_t bounces = 0, errors = 0, trial_sends = 0, refused_rules = 0;

  bool on_trial(ReleaseVersion b) const {
    return b > build || (b == build && phase != ReleasePhase::kReleased);
  }
  bool may_have_run(RequestId hit) const {
    return std::any_of(sends.begin(), sends.end(),
                       [&](const Send& s) { return s.hit == hit && (s.out || s.may_have_run); });
  }
  Known& open_hit(RequestId id) {
    Known& hit = hits.at(id);
    EXPECT_FALSE(hit.ended) << "rule 1: hit " << id << " has its answer already";
    EXPECT_LE(now, hit.give_up) << "rule 1: hit " << id << " is acted on past its client's patience";
    return hit;
  }

  void send_attempt(RequestId id, EndpointIndex h) override {
    Known& hit = open_hit(id);
    const RequestClass& group = terms_.request_classes[hit.group];
    const Machine& host = list.at(h);
    unsigned leg = 0;
    for (const Send& s : sends) {
      if (s.hit != id) continue;
      ++leg;
      if (!s.out && !s.may_have_run) continue;
      EXPECT_NE(group.idempotency, Idempotency::kUnsafe) << "rule 2: a mutating hit goes out again";
      if (s.out) {
        EXPECT_TRUE(terms_.may_hedge) << "two forwards out at once";
      }
      if (group.idempotency != Idempotency::kKeyed) continue;
      EXPECT_LT(now - s.at, group.key_retention) << "rule 2: a tagged hit goes out past its memory";
      if (group.scope == IdempotencyScope::kZone) {
        EXPECT_EQ(list.at(s.host).zone, host.zone) << "rule 2: zone left";
      }
      if (group.scope == IdempotencyScope::kCell) {
        EXPECT_EQ(list.at(s.host).cell, host.cell) << "rule 2: cell left";
      }
    }
    EXPECT_LT(leg, terms_.max_attempts);
    EXPECT_EQ(host.state, EndpointState::kReady) << "rule 3: host " << h << " drains or is gone";
    if (on_trial(host.build)) {
      ++trial_sends;
      const bool announced = told && host.build == build;
      const double limit = announced ? cap : terms_.exposure_caps[0];
      double out = 1, in = 0;
      for (const Send& s : sends) {
        const bool counts = !terms_.exposure_per_class || s.group == hit.group;
        out += counts && s.build == host.build && s.at > now - terms_.exposure_window;
      }
      for (const auto& [other, k] : hits) {
        in += (!terms_.exposure_per_class || k.group == hit.group) && k.taken > now - terms_.exposure_window;
      }
      EXPECT_GT(limit, 0) << "rule 5: cap 0";
      EXPECT_LE(out, terms_.exposure_allowance + limit * in) << "rule 5: over the cap";
      if ((announced ? stage : 0) < terms_.idempotent_only_stages) {
        EXPECT_EQ(group.idempotency, Idempotency::kIdempotent) << "rule 5: closed stage";
      }
    }
    if (terms_.sticky_keys && bound.contains(hit.key)) {
      EXPECT_GE(host.build, bound.at(hit.key)) << "rule 5: a bound key goes back";
    }
    if (now - host.start < terms_.slow_start_duration) {  // rule 4, as a router alone can keep it
      double sent = 1, taken = 0, ability = 0;
      const auto able = [&](const Machine& m) {
        const double part = std::min((now - m.start) / terms_.slow_start_duration, 1.0);
        return terms_.initial_capacity + (1 - terms_.initial_capacity) * part;
      };
      for (const Send& s : sends) sent += s.host == h && s.at >= now - terms_.slow_start_window;
      for (const auto& [other, k] : hits) taken += k.taken > now - terms_.slow_start_window;
      for (const auto& [other, m] : list) ability += m.state == EndpointState::kReady ? able(m) : 0;
      EXPECT_LE(sent, 3 + 1.5 * taken * able(host) / ability) << "rule 4: a cold host gets too much";
    }
    sends.push_back({id, h, host.build, leg, hit.group, now});
  }
  void reject(RequestId id, Span) override {
    Known& hit = open_hit(id);
    const RequestClass& group = terms_.request_classes[hit.group];
    const bool harmless = group.idempotency == Idempotency::kIdempotent ||
                          (group.idempotency == Idempotency::kKeyed && group.scope == IdempotencyScope::kAll);
    if (!harmless) {
      EXPECT_FALSE(may_have_run(id)) << "rule 2: bounced though it may have run";
    }
    hit.ended = true;
    ++bounces;
  }
  void fail(RequestId id) override {
    open_hit(id).ended = true;
    ++errors;
  }
  void cancel_attempt(RequestId, unsigned) override {}
  void schedule_wakeup(Span, std::uint64_t) override {}
  void watch_endpoints() override {}
  void cast_vote(ReleaseVersion, unsigned, Vote v) override {
    EXPECT_FALSE(terms_.promoted_by_clock && v == Vote::kPromote);
  }
  void log(std::string_view) override {}
};

class Stream {
 public:
  Stream(const RouterSettings& terms, unsigned seed)
      : rules_(terms), random_(seed), router_(make_router_policy(terms, seed, rules_)) {
    router_->set_time(now_);
    router_->start();
  }

  void run(Span length) {
    for (const Instant until = now_ + length; now_ < until; now_ = now_ + Span::ms(5)) {
      rules_.now = now_;
      router_->set_time(now_);
      if (step_++ % 200 == 0) change_list();
      if (step_ % 600 == 30) change_stage();
      for (int i = draw(0, 2); i > 0; --i) take();
      end_some();
      if (step_ % 4 == 0) router_->on_wakeup(1);
      for (const auto& [id, hit] : rules_.hits) {
        if (!hit.ended) {
          EXPECT_LT(now_, hit.give_up + Span::ms(20)) << "rule 1: hit " << id << " is lost";
        }
      }
    }
  }
  PlainRules rules_;

 private:
  int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

  void change_list() {
    router_->begin_endpoint_update(true);
    auto old = std::move(rules_.list);
    rules_.list.clear();
    for (EndpointIndex h = 0; h < 12; ++h) {
      PlainRules::Machine m{EndpointState::kReady, 1, h % 2, h / 3, 0, Instant()};
      if (old.contains(h)) m = old[h];
      if (draw(0, 9) == 0) m.state = static_cast<EndpointState>(draw(0, 2));
      if (draw(0, 9) == 0)
        m = {EndpointState::kReady,
             static_cast<ReleaseVersion>(draw(-1, 1) + static_cast<int>(rules_.build)),
             m.zone,
             m.cell,
             0,
             now_};
      rules_.list[h] = m;
      router_->update_endpoint({h, m.state, m.build, m.zone, m.cell, m.kind, m.start});
    }
    router_->end_endpoint_update();
    if (!rules_.told) change_stage();
  }
  void change_stage() {
    const auto last = static_cast<unsigned>(rules_.terms_.exposure_caps.size()) - 1;
    if (!rules_.told || rules_.phase == ReleasePhase::kWithdrawn || rules_.phase == ReleasePhase::kReleased) {
      rules_.phase = rules_.told ? ReleasePhase::kCanary : ReleasePhase::kReleased;
      rules_.stage = rules_.told ? 0 : last;
      rules_.build += rules_.told;
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
    rules_.cap = back ? 0 : rules_.terms_.exposure_caps[rules_.stage];
    if (back) rules_.bound.clear();
    rules_.told = true;
    router_->on_release_state({rules_.build, rules_.stage, rules_.phase, rules_.cap, Span()});
  }
  void take() {
    const RequestId id = next_++;
    const auto group = static_cast<unsigned>(draw(0, 2));
    const auto key = static_cast<std::uint64_t>(draw(0, 40));
    const Instant give_up = now_ + Span::ms(draw(100, 2000));
    rules_.hits[id] = {group, key, now_, give_up};
    router_->on_request({id, group, 0, key, give_up});
  }
  void end_some() {
    for (std::size_t i = 0; i < rules_.sends.size(); ++i) {
      auto& s = rules_.sends[i];
      if (!s.out) continue;
      const Instant give_up = rules_.hits.at(s.hit).give_up;
      if (now_ < give_up && draw(0, 15) != 0) continue;
      const int fate = draw(0, 11);
      AttemptResult result = fate < 6 ? AttemptResult::kOk : static_cast<AttemptResult>(draw(1, 7));
      if (now_ >= give_up) result = AttemptResult::kTimeout;
      s.out = false;
      s.may_have_run = result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
                       result != AttemptResult::kCancelledBeforeSent;
      const PlainRules::Send sent = s;
      auto& hit = rules_.hits.at(s.hit);
      if (result == AttemptResult::kOk) hit.ended = true;
      if (result == AttemptResult::kOk && hit.key != 0 && sent.build >= rules_.build &&
          rules_.phase != ReleasePhase::kRollingBack && rules_.phase != ReleasePhase::kWithdrawn) {
        auto& b = rules_.bound[hit.key];
        b = std::max(b, sent.build);
      }
      router_->on_attempt_end({sent.hit, sent.leg, sent.host, result, now_ - sent.at, hit.ended});
    }
  }

  std::mt19937 random_;
  std::unique_ptr<RouterPolicy> router_;
  Instant now_ = Instant::at_us(0) + Span::s(50);
  RequestId next_ = 1;
  int step_ = 0;
};

TEST(Rules, PlainModelAgreesOnGeneratedStreams) {
  std::size_t trial = 0, bounces = 0, errors = 0;
  for (unsigned seed = 1; seed <= 24; ++seed) {
    RouterSettings terms = default_settings();
    terms.request_classes[1].key_retention = Span::ms(250);
    terms.sticky_keys = seed % 2 == 0;
    terms.exposure_per_class = seed % 3 == 0;
    terms.idempotent_only_stages = seed % 4;
    terms.may_hedge = seed % 5 != 0;
    terms.promoted_by_clock = seed % 7 == 0;
    terms.rolling_update = seed % 2 == 1;
    if (seed % 6 == 0) terms.request_classes[1].scope = IdempotencyScope::kAll;
    if (seed % 6 == 1) terms.request_classes[1].scope = IdempotencyScope::kCell;
    SCOPED_TRACE("seed " + std::to_string(seed));
    Stream stream(terms, seed);
    stream.run(Span::s(20));
    trial += stream.rules_.trial_sends;
    bounces += stream.rules_.bounces;
    errors += stream.rules_.errors;
  }
  EXPECT_GT(trial, 1000u);  // the streams reach what the rules are about
  EXPECT_GT(bounces, 100u);
  EXPECT_GT(errors, 100u);
}

}  // namespace
}  // namespace ashbeam
