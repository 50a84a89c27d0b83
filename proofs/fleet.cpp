// Hundreds of routers, each alone with the module, before hosts that they share, in simulated time: a zone is
// lost with its routers and comes back cold, some of its hosts start anew before they were ever warm, lists
// come late and unevenly, traffic is uneven, clients come again. Hosts are plain counts of work by time. Its
// figures are simulated. `--seconds` is simulated time for each fleet. Then releases, one good and one bad,
// at a desk that takes few calls a second and needs votes of two in five routers: each stage brings cold
// hosts beside the earlier ones, of uneven sizes and zones.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "base/pcg.hpp"
#include "figures.hpp"
#include "fleet_settings.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam {
namespace {

constexpr double kWorkMs = 73, kLoad = 0.6,
                 kShares = 0.85;  // of a hit; of what all hosts can do: asked, sold
constexpr double kChance = 2;  // standard deviations past its budget at which a host falls: chance is no push
constexpr Span kStep = Span::ms(5), kNetwork = Span::ms(1), kConnect = Span::ms(250);
constexpr Span kLost = Span::s(3), kBack = Span::s(7), kAgain = Span::s(9), kDrains = Span::s(11),
               kOffer = Span::s(3), kTally = Span::s(2);

struct Host {
  unsigned zone = 0, kind = 0;
  double cores = 0;  // of usual speed
  ReleaseVersion build = 1;
  bool there = true;       // else its place is still empty
  Instant start, free_at;  // when its work in hand will be done
  bool up = true, drains = false, fell = false, counted = false;
  std::deque<std::pair<Instant, double>> sent;  // work within the window, in ms
  double sum = 0;
};

struct Tally {
  double cold_fell = 0, cold_peak = 0, cold_served = 0, cold_tried = 0, missing = 0, twice = 0, mutating = 0,
         mutating_again = 0, mutating_twice = 0, drained = 0, drains_told = 0, over_cap = 0, trial_sent = 0,
         asked = 0, served = 0, started_anew = 0;
  double calls_taken = 0, calls_turned_away = 0, calls_void = 0, bad_hits = 0, released_s = 0, back_s = 0;
};

class Fleet {
 public:
  enum class Release { kNone, kGood, kBad };  // none: a twelfth of the hosts is on trial all along
  Fleet(unsigned routers, unsigned hosts, std::uint64_t seed, Tally& tally, Release release = Release::kNone)
      : release_(release), chance_(seed), tally_(tally), hosts_(hosts), routers_(routers), stands_(routers) {
    double cores = 0;
    for (unsigned h = 0; h < hosts; ++h) {
      hosts_[h].zone = h % 2;
      const bool to_come = release != Release::kNone && h >= hosts / 2;  // machines come as they come
      hosts_[h].kind = to_come ? chance_.below(2) : h / 2 % 2;
      hosts_[h].cores = (hosts_[h].kind == 0 ? 4.0 : 1.2) * (0.85 + 0.3 * chance_.unit());
      if (to_come || (release == Release::kNone && h % 12 == 5)) hosts_[h].build = 2;  // on trial
      if (to_come) hosts_[h].there = hosts_[h].up = false;
      else cores += hosts_[h].cores;
    }
    per_s_ = cores * 1000 / kWorkMs;
    terms_ = fleet_settings(routers, kShares * per_s_);
    if (release != Release::kNone)
      terms_.bake_time = Span::ms(1200), terms_.platform_calls_per_s = routers / 4.0;
    double weights = 0;
    for (unsigned r = 0; r < routers; ++r) {
      routers_[r].fleet = this;
      routers_[r].me = r;
      weights += routers_[r].weight =
          r % 4 == 3 ? 4 : 0.5 + chance_.unit();  // a quarter see several times the mean
    }
    for (Instance& r : routers_) r.weight *= kLoad * per_s_ / weights;
    for (Instance& r : routers_) boot(r);
  }

  void run(Span length) {
    const Instant begun = now_;
    bool lost = release_ != Release::kNone, back = lost, again = lost,
         drains = lost;  // none beside a release
    for (; now_ - begun < length; now_ = now_ + kStep) {
      const Span at = now_ - begun;
      if (release_ != Release::kNone && at >= kOffer) run_desk();
      if (at >= kLost && !std::exchange(lost, true)) lose();
      if (at >= kBack && !std::exchange(back, true)) come_back();
      if (at >= kAgain && !std::exchange(again, true)) start_again();
      if (at >= kDrains && !std::exchange(drains, true)) drain();
      while (!due_.empty() && due_.top().at <= now_) {
        const Due d = due_.top();
        due_.pop();
        happen(d);
      }
      for (Instance& r : routers_) {
        // The front lends a dead router's clients to the others of its zone, or of the other one.
        const double per_s = r.router ? r.weight * (lost && !back ? 2 : 1) : 0;
        for (r.owed += per_s * kStep.s() * 2 * chance_.unit(); r.owed >= 1; r.owed -= 1) ask(r, 3);
      }
    }
    for (Instance& r : routers_) {
      for (const Hit& hit : r.hits) tally_.missing += !hit.done && hit.give_up < now_;
    }
  }

 private:
  struct Leg {
    unsigned host = 0;
    bool out = false, may_have_run = true;
    Instant sent;
  };
  struct Hit {
    unsigned group = 0, tries = 0;
    bool done = false;
    Instant give_up;
    std::vector<Leg> legs;
  };
  struct Instance : RouterActions {
    Fleet* fleet = nullptr;
    unsigned me = 0, life = 0;
    double weight = 0, owed = 0;
    std::unique_ptr<RouterPolicy> router;
    std::vector<Hit> hits;
    std::vector<Instant> drain_told;
    std::deque<Instant> taken[3], trial[3];
    void send_attempt(RequestId hit, EndpointIndex host) override { fleet->forward(*this, hit, host); }
    void reject(RequestId hit, Span after) override { fleet->finish(*this, hit, after); }
    void fail(RequestId hit) override { fleet->finish(*this, hit, Span()); }
    void cancel_attempt(RequestId hit, unsigned leg) override {
      fleet->due_.push(
          {fleet->now_ + kStep, ++fleet->order_, me, life, 1, hit, leg, AttemptResult::kCancelled});
    }
    void schedule_wakeup(Span in, std::uint64_t token) override {
      fleet->due_.push({fleet->now_ + in, ++fleet->order_, me, life, 2, 0, static_cast<unsigned>(token), {}});
    }
    void watch_endpoints() override {}
    void cast_vote(ReleaseVersion, unsigned stage, Vote vote) override { fleet->vote(*this, stage, vote); }
    void log(std::string_view) override {}
  };
  struct Due {
    Instant at;
    std::uint64_t order;
    // 1: a forward ends, 2: a wake, 3: news of a host, 4: a client comes again, 5: an answer of the desk, 6:
    // its news, 7: a machine starts, 8: a tally
    unsigned router, life, what;
    RequestId hit;
    unsigned other;
    AttemptResult result;
    bool operator<(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };

  // A router starts with the list as the last process had it: no news of what has just happened.
  void boot(Instance& r) {
    ++r.life;
    r.hits.clear();
    r.drain_told.assign(hosts_.size(), Instant::never());
    for (auto* counts : {&r.taken, &r.trial}) {
      for (auto& one : *counts) one.clear();
    }
    RouterSettings terms = terms_;
    terms.zone = r.me % 2;
    r.router = make_router_policy(terms, chance_.next() | 1ULL, r);
    r.router->set_time(now_);
    r.router->start();
    r.router->begin_endpoint_update(true);
    for (unsigned h = 0; h < hosts_.size(); ++h) {
      if (!hosts_[h].there) continue;
      r.router->update_endpoint(
          {h, EndpointState::kReady, hosts_[h].build, hosts_[h].zone, h, hosts_[h].kind, {}});
    }
    r.router->end_endpoint_update();
    if (release_ == Release::kNone)
      r.router->on_release_state({2, 0, ReleasePhase::kCanary, terms_.exposure_caps[0], Span::s(4)});
    else r.router->on_release_state({1, 2, ReleasePhase::kReleased, 1, Span::s(60)});
  }

  // ---- The desk ----

  void run_desk() {
    if (offered_ == Instant()) offered_ = now_, move_to(0);
    tokens_ = std::min(tokens_ + terms_.platform_calls_per_s * kStep.s(), terms_.platform_calls_per_s);
    if (phase_ != ReleasePhase::kCanary) return;
    if (now_ - tallied_ >= kTally) {
      tallied_ = now_;
      for (Instance& r : routers_) due_.push({now_ + kNetwork, ++order_, r.me, r.life, 8, 0, 0, {}});
      for (unsigned side = 0; side < 2; ++side) told_[side] = std::exchange(sample_[side], {});
    }
    unsigned on = 0, off = 0;
    for (const Stands& s : stands_) {
      if (now_ - s.since > terms_.vote_ttl) continue;
      on += s.vote == Vote::kPromote && s.stage == stage_, off += s.vote == Vote::kAbort;
    }
    const Span at = now_ - offered_;
    if (off >= terms_.abort_votes_needed) {
      phase_ = ReleasePhase::kRollingBack, tally_.back_s = at.s();
      for (unsigned h = 0; h < hosts_.size(); ++h) {
        if (hosts_[h].build == 2 && hosts_[h].there) hosts_[h].drains = true, tell(h);
      }
      tell_stage();
    } else if (on >= routers_.size() * 2 / 5 && now_ - clock_from_ >= terms_.bake_time) {
      if (stage_ + 1 < terms_.stage_fractions.size()) return move_to(stage_ + 1);
      phase_ = ReleasePhase::kReleased, tally_.released_s = at.s();
      tell_stage();
    }
  }

  void move_to(unsigned stage) {
    stage_ = stage, moved_ = now_;
    tell_stage();
    const auto half = static_cast<unsigned>(hosts_.size() / 2);
    const auto places = static_cast<unsigned>(std::lround(terms_.stage_fractions[stage] * half));
    Span last;
    for (unsigned h = half; h < half + places; ++h) {
      if (hosts_[h].there) continue;
      const Span boots = Span::ms(1200 + 1100 * chance_.unit());
      last = std::max(last, boots);
      due_.push({now_ + boots, ++order_, 0, 0, 7, h, 0, {}});
    }
    clock_from_ = now_ + last + Span::s(1);
  }

  void tell_stage() {
    for (Instance& r : routers_)
      due_.push({now_ + Span::ms(200 + 700 * chance_.unit()), ++order_, r.me, r.life, 6, 0, 0, {}});
  }

  void vote(Instance& r, unsigned stage, Vote vote) {
    auto answer = VoteOutcome::kAccepted;
    if (tokens_ < 1) answer = VoteOutcome::kThrottled, ++tally_.calls_turned_away;
    else if (stage != stage_ || phase_ != ReleasePhase::kCanary)
      answer = VoteOutcome::kConditionFailed, ++tally_.calls_void;
    if (answer != VoteOutcome::kThrottled) tokens_ -= 1;
    if (answer == VoteOutcome::kAccepted) stands_[r.me] = {vote, stage, now_}, ++tally_.calls_taken;
    due_.push({now_ + Span::ms(90), ++order_, r.me, r.life, 5, static_cast<RequestId>(answer), 0, {}});
  }

  void tell_router(Instance& r, bool answers, VoteOutcome answer) {
    const double cap = phase_ == ReleasePhase::kRollingBack ? 0 : terms_.exposure_caps[stage_];
    if (answers && answer != VoteOutcome::kAccepted) r.router->on_vote_refused(answer);
    else r.router->on_release_state({2, stage_, phase_, cap, now_ - moved_});
  }

  // Each router is told on its own, most soon, some late.
  void tell(unsigned host) {
    for (Instance& r : routers_) {
      const Span late = Span::ms(250 + 1100 * chance_.unit() + (chance_.below(20) == 0 ? 3000 : 0));
      due_.push({now_ + late, ++order_, r.me, 0, 3, host, 0, {}});
    }
  }

  void lose() {
    for (Host& h : hosts_) h.up = h.up && h.zone != 1;
    for (Instance& r : routers_) {
      if (r.me % 2 == 1) r.router.reset(), ++r.life;
    }
  }
  void start(unsigned h) {
    hosts_[h].up = true;
    hosts_[h].start = hosts_[h].free_at = now_;
    hosts_[h].counted = false;
    ++tally_.cold_tried;
    tell(h);
  }
  void come_back() {
    for (unsigned h = 0; h < hosts_.size(); ++h) {
      if (hosts_[h].zone == 1) start(h);
    }
    for (Instance& r : routers_) {
      if (!r.router) boot(r), ++tally_.started_anew;
    }
  }
  void start_again() {  // cold again before they were ever warm
    for (unsigned h = 1; h < hosts_.size(); h += 8) start(h);
  }
  void drain() {
    for (unsigned h = 0; h < hosts_.size(); h += 10) hosts_[h].drains = true, tell(h);
  }

  void ask(Instance& r, unsigned tries) {
    const auto id = static_cast<RequestId>(r.hits.size());
    r.hits.push_back({chance_.below(3), tries, false, now_ + terms_.request_classes[0].client_timeout, {}});
    r.taken[r.hits.back().group].push_back(now_);
    ++tally_.asked;
    r.router->set_time(now_);
    r.router->on_request({id, r.hits[id].group, 0, 0, r.hits[id].give_up});
  }

  double able(const Host& h) const {
    const double grown = std::clamp((now_ - h.start) / terms_.slow_start_duration, 0.0, 1.0);
    return terms_.initial_capacity + (1 - terms_.initial_capacity) * grown;
  }

  void forward(Instance& r, RequestId id, EndpointIndex at) {
    Hit& hit = r.hits[id];
    Host& h = hosts_[at];
    tally_.twice += hit.done;
    const auto again = [](const Leg& leg) { return leg.out || leg.may_have_run; };
    if (hit.group == 2) {
      tally_.mutating += 1, tally_.mutating_again += !hit.legs.empty();
      tally_.mutating_twice += std::any_of(hit.legs.begin(), hit.legs.end(), again);
    }
    tally_.drained += now_ - r.drain_told[at] > terms_.drain_grace;
    if (h.build == 2) count_trial(r, hit.group);
    hit.legs.push_back({at, true, true, now_});
    const auto leg = static_cast<unsigned>(hit.legs.size() - 1);
    if (!h.up || h.fell) {  // nothing answers there
      due_.push({now_ + kConnect, ++order_, r.me, r.life, 1, id, leg, AttemptResult::kConnectFailed});
      return;
    }
    // The work counts when it comes, and what is turned away has come, too.
    const double work = -std::log(1 - chance_.unit()) * kWorkMs;
    h.sent.emplace_back(now_, work);
    h.sum += work;
    while (h.sent.front().first < now_ - terms_.slow_start_window)
      h.sum -= h.sent.front().second, h.sent.pop_front();
    const bool cold = now_ - h.start < terms_.slow_start_duration;
    if (cold) {
      const double budget = terms_.overload_multiple * able(h) * h.cores * terms_.slow_start_window.ms();
      const double falls =
          budget + kChance * std::sqrt(2 * budget * kWorkMs);  // work is spread exponentially
      tally_.cold_peak = std::max(tally_.cold_peak, h.sum / falls);
      if (h.sum > falls) h.fell = true, ++tally_.cold_fell;
    }
    h.free_at = std::max(h.free_at, now_) + Span::ms(work / (h.cores * able(h)));
    const Instant end = std::max(h.free_at, now_ + Span::ms(work)) + kNetwork;
    AttemptResult result = end < hit.give_up ? AttemptResult::kOk : AttemptResult::kTimeout;
    if (release_ == Release::kBad && h.build == 2 && chance_.below(3) == 0)
      result = AttemptResult::kError, ++tally_.bad_hits;
    if (h.free_at - now_ > Span::s(2)) result = AttemptResult::kRejected;
    if (cold && result == AttemptResult::kOk && !std::exchange(h.counted, true)) ++tally_.cold_served;
    if (chance_.below(10) == 0) {  // the platform counts a sample
      auto& [all, lost] = sample_[h.build - 1][hit.group];
      ++all, lost += result != AttemptResult::kOk;
    }
    const Instant told =
        result == AttemptResult::kRejected ? now_ + kNetwork * 2 : std::min(end, hit.give_up);
    due_.push({told, ++order_, r.me, r.life, 1, id, leg, result});
  }

  void count_trial(Instance& r, unsigned group) {
    auto &out = r.trial[group], &in = r.taken[group];
    out.push_back(now_);
    while (out.front() < now_ - terms_.exposure_window) out.pop_front();
    while (!in.empty() && in.front() < now_ - terms_.exposure_window) in.pop_front();
    ++tally_.trial_sent;
    if (release_ == Release::kNone)
      tally_.over_cap += static_cast<double>(out.size()) >
                         terms_.exposure_allowance + terms_.exposure_caps[0] * static_cast<double>(in.size());
  }

  void finish(Instance& r, RequestId id, Span after) {
    Hit& hit = r.hits[id];
    tally_.twice += hit.done;
    tally_.missing += now_ > hit.give_up;
    hit.done = true;
    // Some wait as they are told, some come again at once.
    if (hit.tries == 0) return;
    const Span wait = chance_.below(2) == 0 ? after + Span::ms(30) : Span::ms(30 + 200 * chance_.unit());
    due_.push({now_ + wait, ++order_, r.me, r.life, 4, 0, hit.tries - 1, {}});
  }

  void happen(const Due& d) {
    Instance& r = routers_[d.router];
    if (d.what == 7) {
      hosts_[d.hit].there = true;
      return start(d.hit);
    }
    if (!r.router || (d.what != 3 && d.life != r.life)) return;
    r.router->set_time(now_);
    if (d.what == 2) return r.router->on_wakeup(d.other);
    if (d.what == 4) return ask(r, d.other);
    if (d.what == 5) return tell_router(r, true, static_cast<VoteOutcome>(d.hit));
    if (d.what == 6) return tell_router(r, false, VoteOutcome::kAccepted);
    if (d.what == 8) {
      for (unsigned build = 1; build <= 2; ++build) {
        for (unsigned g = 0; g < 3; ++g) {
          const auto [all, lost] = told_[build - 1][g];
          if (all > 0) r.router->on_outcome_sample({build, g, all, lost});
        }
      }
      return;
    }
    if (d.what == 3) {
      const Host& h = hosts_[d.hit];
      if (h.drains && r.drain_told[d.hit] == Instant::never())
        r.drain_told[d.hit] = now_, ++tally_.drains_told;
      r.router->begin_endpoint_update(false);
      r.router->update_endpoint({d.hit, h.drains ? EndpointState::kDraining : EndpointState::kReady, h.build,
                                 h.zone, d.hit, h.kind, h.start});
      return r.router->end_endpoint_update();
    }
    Hit& hit = r.hits[d.hit];
    Leg& leg = hit.legs[d.other];
    if (!leg.out) return;
    leg.out = false;
    leg.may_have_run = d.result != AttemptResult::kRejected && d.result != AttemptResult::kConnectFailed;
    const bool ok = d.result == AttemptResult::kOk && !hit.done;
    if (ok) hit.done = true, ++tally_.served;
    r.router->on_attempt_end({d.hit, d.other, leg.host, d.result, now_ - leg.sent, ok});
  }

  struct Stands {
    Vote vote = Vote::kAbstain;
    unsigned stage = 0;
    Instant since;
  };
  Release release_;
  unsigned stage_ = 0;
  ReleasePhase phase_ = ReleasePhase::kCanary;
  Instant offered_, moved_, clock_from_;
  double tokens_ = 0;
  using Counted = std::array<std::pair<unsigned, unsigned>, 3>;  // by path group: all, lost
  Counted sample_[2], told_[2];  // of the earlier build and of the one on trial
  Instant tallied_;
  Pcg chance_;
  Tally& tally_;
  RouterSettings terms_;
  double per_s_ = 0;
  Instant now_ = Instant::at_us(1'000'000'000);
  std::uint64_t order_ = 0;
  std::vector<Host> hosts_;
  std::vector<Instance> routers_;
  std::vector<Stands> stands_;  // by router
  std::priority_queue<Due> due_;
};

int prove(int argc, char** argv) {
  Proof proof("fleet", argc, argv);
  Tally t;
  const Span length = Span::s(proof.seconds);
  Fleet(350, 120, proof.seed, t).run(length);
  Fleet(300, 60, proof.seed + 1, t).run(length);
  Fleet(1024, 1024, proof.seed + 2, t).run(Span::s(1));  // no cap on either
  proof.figure("hits_asked", t.asked);
  proof.at_least("hits_served_part", t.served / t.asked, 0.4);
  proof.figure("routers_started_anew", t.started_anew);
  proof.figure("cold_starts", t.cold_tried);
  proof.at_most("cold_fell", t.cold_fell, 0);
  proof.figure("cold_peak_ratio", t.cold_peak);
  proof.at_least("cold_served", t.cold_served, t.cold_tried * 0.5);
  proof.at_most("answers_missing", t.missing, 0);
  proof.at_most("answers_twice", t.twice, 0);
  proof.figure("mutating_sent", t.mutating);
  proof.at_least("mutating_sent_again", t.mutating_again, 1);
  proof.at_most("mutating_twice", t.mutating_twice, 0);
  proof.at_least("drains_told", t.drains_told, 1);
  proof.at_most("drained_sent", t.drained, 0);
  proof.at_least("trial_sent", t.trial_sent, 1);
  proof.at_most("over_cap", t.over_cap, 0);
  Tally good, bad;
  Fleet(200, 80, proof.seed + 3, good, Fleet::Release::kGood).run(Span::s(24));
  proof.at_least("good_released_after_s", good.released_s, 1);  // 0: never
  proof.at_most("good_sent_back", good.back_s > 0, 0);
  proof.at_least("good_served_part", good.served / good.asked, 0.8);
  proof.at_most("good_cold_fell", good.cold_fell, 0);
  proof.at_least("calls_taken", good.calls_taken, 3 * 80);
  proof.figure("calls_turned_away", good.calls_turned_away);
  proof.figure("calls_void", good.calls_void);
  Fleet(200, 80, proof.seed + 4, bad, Fleet::Release::kBad).run(Span::s(24));
  proof.at_most("bad_released", bad.released_s > 0, 0);
  proof.at_least("bad_sent_back_after_s", bad.back_s, 1);
  proof.at_most("bad_hits_part", bad.bad_hits / bad.asked, 0.1);
  return proof.verdict();
}

}  // namespace
}  // namespace ashbeam

int main(int argc, char** argv) { return ashbeam::run_proof("fleet", argc, argv, ashbeam::prove); }
