// ashbeam's decisions, all of them, behind choice.hpp; one object is one router and shares nothing with
// others. It follows docs/design.md, where each departure stands with its reason: a share of the told cap
// goes to the build on trial and climbs while all is quiet, steps back on moderate harm, and drops to zero
// with a 'back' vote on severe harm. In order: news, judging, share and votes, picking a host, a hit's steps,
// guards. Whatever is sent, bounced or errored passes the guards at the end.
#include "policy/router_policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <tuple>
#include <utility>

#include "base/count.hpp"
#include "base/index_map.hpp"
#include "base/mean.hpp"
#include "base/pcg.hpp"
#include "base/recent.hpp"
#include "base/slab.hpp"
#include "base/sliding_count.hpp"
#include "policy/call_pacing.hpp"

namespace ashbeam {
namespace {

// The design's marks.
constexpr double kFirstShare = 0.3, kShareStep = 0.2;
constexpr Span kQuietStep = Span::s(1), kQuietForOn = Span::s(2), kPastNewestStart = Span::s(3);
constexpr Span kLongestWait = Span::s(11), kUsualBake = Span::s(2);  // a shorter bake shortens these spans
constexpr double kModerateSlow = 1.25, kFewOutcomes = 20, kEnoughTimes = 30;
constexpr double kModeratePoints = 0.02, kSeverePoints = 0.05, kModerateFails = 3, kSevereFails = 5;
// Evidence, as a log-likelihood ratio, beyond the marks: what a few judges need; more judges for each vote
// that it takes are more chances of a false alarm, and each asks for more.
constexpr double kLikely = 2, kSure = 3, kFewJudges = 5;
// Lasting harm; all hosts against the time before the offer, while so much of that time's ability is there.
constexpr double kLastingSlow = 1.6, kAllSlow = 1.8, kAllSlowLasting = 2.3, kMostAble = 0.85;
// Harm that lasts this long is severe; hosts lost from outside explain slowness for so long.
constexpr Span kLasting = Span::s(3), kTroubleFades = Span::s(8);
// Wrong answers reach us as a sample of reports: how many it takes, and the part of answers they stand for.
constexpr double kFewReports = 3, kWrongPart = 0.03;
// The sequential test of a host: good hosts fail this rarely, sick ones fail this much more than their build.
constexpr double kGoodFails = 0.02, kSickMore = 0.4, kEject = 5, kTrust = -2;
constexpr Span kFirstRest = Span::s(1), kLongestRest = Span::s(8);
constexpr double kMostEjected = 0.4;  // beyond this part of every zone's the cause is not the hosts
constexpr Span kLongestAsk = Span::s(3);
constexpr Span kBeat = Span::ms(20), kJudgeEvery = Span::ms(250), kFinish = Span::ms(26);
constexpr double kFurtherPart = 0.2, kFurtherMost = 60;  // the budget of few routers in all
constexpr double kCopyCost = 4;                          // of that budget: a copy is work done twice
constexpr unsigned kMostLegs = 8;
constexpr double kUsual = 0.01, kRecent = 0.03, kUsualSent = 0.005;  // what a new figure weighs, at the least
constexpr double kAnew = 4, kFaultStep = 0.15, kFreeLoad = 1;  // a host's own work in open hits, before load
constexpr std::uint64_t kBeatToken = 1, kAskToken = 2;
constexpr EndpointIndex kNobody = UINT32_MAX, kExcused = kNobody - 1;
constexpr std::size_t kSamples = 96, kMostPins = 1 << 17;  // keys remembered; new ones beyond: to no trial
// Times this old are still compared; news of a host's speed gives way to its zone's that soon.
constexpr Span kSameTimes = Span::s(10), kNewsFades = Span::s(2);
// Of a host's fair part: machines of the smaller kind can do about half of the mean, and `multiple` is twice.
constexpr double kColdPart = 0.75, kUnsurePart = 0.7, kLostZone = 3, kNoBound = 1e9;
// Outcomes after which older ones count half; what an earlier build's are worth at the next judging.
constexpr double kFade = 80, kTallyFade = 160, kEarlierFades = 0.94;

struct Forward {
  EndpointIndex host = 0;
  ReleaseVersion build = 0;
  Instant sent;
  double predicted_ms = 0, load = 0;
  bool out = false, may_have_run = false;
};

struct Speed {  // learnt latency for each hit at a host, of the mean path group
  double unit_ms = 0;
  Instant unit_at;
};

struct Host {
  EndpointState state = EndpointState::kRemoved;
  bool in_list = false;
  ReleaseVersion build = 0;
  unsigned zone = 0, cell = 0, kind = 0;
  Instant last_start, last_heard, last_ok, unheard_since, rest_until;
  Instant dead_at;      // when it last refused a connection, or none came up
  Instant valid_until;  // by its own answers, see extend_endpoint_validity
  Span rest = kFirstRest;
  unsigned open = 0;
  Speed speed;           // see unit_ms()
  double suspicion = 0;  // log-likelihood ratio of sick against good
  bool ejected = false;
  std::vector<Count> by_group;  // and, last, of all
  Count served;                 // failed: disputed later
  double phase = 0;             // this router's lot for the part of a hit that a cold host may have
  SlidingCount forwards;
};

struct Zone {
  double ready = 0, out = 0;     // hosts
  double dead = 0;               // connections that did not come up, none of its hosts having answered since
  Instant dead_at;               // the last of so many that the zone is held for lost
  std::array<double, 2> pace{};  // what its hosts of earlier builds and of the trial do, those out as well
};

struct Kind {                  // of machine
  double sent = 0, hosts = 0;  // to warm hosts of earlier builds, within a cold window
  double part = 0;
  Mean usual;  // sent to one of those
};

struct Sample {
  Instant at;
  float ms = 0;
  EndpointIndex host = 0;
};

using Samples = Recent<Sample, kSamples>;

struct Pick {
  EndpointIndex host = IndexMap::kNone;
  double predicted_ms = 0;
  explicit operator bool() const { return host != IndexMap::kNone; }
};

using Drawable = std::pair<EndpointIndex, double>;  // that may have the hit, and how often it is drawn

enum class Harm { kQuiet, kModerate, kSevere };
enum class Side : std::uint8_t { kEarlier, kTrial };

class Choice final : public RouterPolicy {
  struct Hit {
    RequestId id = 0;
    bool live = false, done = false;  // live: in a place of the slab; done: finally answered
    unsigned group = 0, legs = 0;
    double worth = 1;     // against the mean hit's
    double patience = 1;  // the part of its time that may be predicted to pass: more for what is worth more
    std::uint64_t key = 0;
    Instant late_at, give_up_at;
    std::array<Forward, kMostLegs> leg;
    EndpointIndex blamed = kNobody;  // whose error is not settled yet
    Instant blamed_from;
    // What comes next: at a time, and when a forward's result is handed in.
    Instant due = Instant::never();
    void (Choice::*at_due)(Hit&) = nullptr;
    void (Choice::*at_result)(Hit&, AttemptResult) = nullptr;
  };
  struct GroupFigures {  // a path group, as far as decisions use it
    Idempotency repeats;
    IdempotencyScope drop;
    Span target, memory;
    double benefit;
    double mean_ms;  // learnt mean latency at warm hosts
    SlidingCount taken, on_trial;
  };
  struct Customer {
    double per_s, tokens;
  };
  using Wish = std::tuple<Vote, ReleaseVersion, unsigned>;  // and its stage

 public:
  void set_time(Instant now) override { now_ = now; }

  Choice(const RouterSettings& t, std::uint64_t seed, RouterActions& sink)
      : sink_(sink), chance_(seed), zone_(t.zone), kinds_(t.machine_type_count),
        max_forwards_(std::min(t.max_attempts, kMostLegs)), must_ask_(t.must_watch_endpoints),
        may_cancel_(t.may_cancel), may_copy_(t.may_hedge), by_group_(t.exposure_per_class),
        one_way_(t.sticky_keys), clocked_(t.promoted_by_clock), rolling_(t.rolling_update),
        longest_retry_after_(t.max_retry_after),
        calls_for_list_(std::min(t.endpoint_poll_interval, kLongestAsk)), cold_window_(t.slow_start_window),
        warm_after_(t.slow_start_duration), tick_(t.clock_tick), window_(t.exposure_window),
        vote_life_(t.vote_ttl), vote_round_(Span::s(t.router_count / std::max(t.platform_calls_per_s, 1.0))),
        back_round_(Span::s(t.abort_votes_needed / std::max(t.platform_calls_per_s, 1.0))),
        start_capacity_(t.initial_capacity),
        further_most_(std::max(kFurtherMost / t.router_count, 2 * kCopyCost)),
        anew_part_(kAnew / t.router_count),
        crowd_(std::log(std::max(1.0, t.router_count / (kFewJudges * std::max(t.abort_votes_needed, 1U))))),
        sure_(kSure + 2 * crowd_), pace_(std::clamp(t.bake_time / kUsualBake, 0.3, 1.0)),
        cross_price_(t.cross_zone_cost), over_share_worth_(t.over_quota_weight),
        first_cap_(t.exposure_caps.front()), spare_(t.exposure_allowance),
        reported_share_(t.dispute_report_fraction), rings_(t.stage_fractions),
        closed_stages_(t.idempotent_only_stages) {
    for (const RequestClass& g : t.request_classes) {
      groups_.push_back({g.idempotency,
                         g.scope,
                         g.latency_objective,
                         g.key_retention,
                         g.priority_weight,
                         g.latency_objective.ms() / 6,
                         {},
                         {}});
    }
    for (const double per_s : t.tenant_quota_per_s)
      customers_.push_back({per_s / t.router_count, per_s / t.router_count});
    for (const GroupFigures& g : groups_) mean_ms_ += g.mean_ms / static_cast<double>(groups_.size());
    recent_.mean = usual_.mean = mean_ms_ / kFreeLoad;
    for (const Customer& c : customers_) fair_per_s_ += c.per_s;
    unsure_ = kUnsurePart * t.overload_multiple;
    further_ = further_most_;
    if (!t.may_send_retry_after) longest_retry_after_ = Span();
    for (auto& by_kind : samples_) by_kind.resize(kinds_ * groups_.size());
    for (auto& by_group : tally_) by_group.resize(groups_.size());
    kind_.resize(kinds_);
    zones_.resize(t.zone_count);
    speeds_.resize(t.zone_count * kinds_, {usual_.mean, {}});
  }

  // ---- News ----

  void start() override {
    quiet_from_ = full_from_ = stage_since_ = born_ = now_;
    sink_.schedule_wakeup(kBeat, kBeatToken);
    if (must_ask_) sink_.watch_endpoints();
  }

  void begin_endpoint_update(bool whole) override {
    calls_for_list_.succeeded();  // not at its end: news of a stage ends there too, again and again
    for (Host& host : hosts_) host.in_list = !whole && host.in_list;
  }

  void update_endpoint(const EndpointUpdate& update) override {
    const EndpointIndex h = update.endpoint;
    const ReleaseVersion build = update.version;
    const unsigned zone = update.zone;
    const Instant last_start = update.started_at;
    if (h >= hosts_.size()) hosts_.resize(h + 1);
    Host& host = hosts_[h];
    if (host.build != build || host.last_start != last_start || host.state == EndpointState::kRemoved) {
      Host former = std::exchange(host, Host{});  // another process: what was learnt of it says nothing
      host.open = former.open, host.forwards = std::move(former.forwards);
      host.by_group.resize(groups_.size() + 1);
      host.last_heard = now_, host.phase = chance_.unit();
    }
    host.in_list = true, host.state = update.state, host.build = build, host.last_start = last_start;
    host.zone = zone, host.cell = update.cell, host.kind = std::min(update.machine_type, kinds_ - 1);
    if (zone >= zones_.size())
      zones_.resize(zone + 1), speeds_.resize((zone + 1) * kinds_, {usual_.mean, {}});
  }

  void end_endpoint_update() override {
    ready_ = trial_ready_ = earlier_ready_ = 0;
    ReleaseVersion lowest = UINT32_MAX;
    newest_start_ = Instant();
    for (Host& host : hosts_) {
      if (!host.in_list) host.state = EndpointState::kRemoved;
      if (host.state != EndpointState::kReady) continue;
      ++ready_;
      lowest = std::min(lowest, host.build);
    }
    if (!told_ && ready_ > 0) build_ = lowest;
    most_ready_ = std::max(most_ready_, ready_);
    if (fair_per_s_ > 0 && most_ready_ > 0)
      fair_part_ = fair_per_s_ * cold_window_.s() / static_cast<double>(most_ready_);
    young_part_ = young_part();
    for (const Host& host : hosts_) {
      if (host.state != EndpointState::kReady) continue;
      ++(on_trial(host.build) ? trial_ready_ : earlier_ready_);
      if (host.build == build_) newest_start_ = std::max(newest_start_, host.last_start);
    }
  }

  // The list could not be had: the old one stands for as long as it is valid.
  void on_endpoint_watch_failed() override {
    sink_.schedule_wakeup(calls_for_list_.wait_after_failure(chance_.unit()), kAskToken);
  }

  void set_endpoint_list_validity(const EndpointListValidity& validity) override {
    list_validity_ = validity;
  }

  void extend_endpoint_validity(EndpointIndex h, Instant until) override {
    if (h < hosts_.size()) hosts_[h].valid_until = std::max(hosts_[h].valid_until, until);
  }

  // No news comes with it. Condition failed, throttled or failed: nothing stands. No answer: it may stand, so
  // it is cast again.
  void on_vote_refused(VoteOutcome outcome) override {
    standing_ = Vote::kAbstain;
    next_vote_ = now_ + turn(outcome == VoteOutcome::kConditionFailed ? 2 : 0.25, 0.75);
  }

  void on_release_state(const ReleaseState& state) override {
    const ReleaseVersion build = state.version;
    const unsigned stage = state.stage;
    const ReleasePhase phase = state.phase;
    const double cap = state.exposure_cap;
    if (told_ && build < build_) return;
    if (!told_ || build != build_) fresh_build(build);
    if (stage != stage_ || phase != phase_ || !told_) {
      stage_since_ = now_ - state.age;
      if (standing_ == Vote::kPromote || standing_ == Vote::kPause) standing_ = Vote::kAbstain;
      held_ = false;
      if (told_ || phase == ReleasePhase::kCanary)
        log("build %u stage %u phase %d cap %.3f share %.2f", build, stage, static_cast<int>(phase), cap,
            share_);
    }
    if (phase == ReleasePhase::kRollingBack || phase == ReleasePhase::kWithdrawn) {
      gone_back_ = build;  // no key is bound to it, or to one before it, any longer
      standing_ = Vote::kAbstain;
    }
    told_ = true;
    stage_ = stage;
    phase_ = phase;
    cap_ = cap;
    end_endpoint_update();
  }

  void on_outcome_sample(const OutcomeSample& sample) override {
    const ReleaseVersion build = sample.version;
    const unsigned group = sample.request_class;
    if (group >= groups_.size() || build > build_) return;
    Count& c = tally_[build == build_][group];
    if (c.all > kTallyFade) c.all /= 2, c.failed /= 2;
    c.merge({1.0 * sample.count, 1.0 * sample.failed});
  }

  void on_disputed_answer(const DisputedAnswer& disputed) override {
    const EndpointIndex h = disputed.endpoint;
    if (h < hosts_.size() && now_ - disputed.since_sent > hosts_[h].last_start) hosts_[h].served.failed += 1;
  }

  // ---- Judging ----

  // Takes in a forward's outcome: the host's speed, its health, and the evidence for or against its build.
  void learn(Hit& hit, const Forward& f, AttemptResult result, Span took) {
    Host& host = hosts_[f.host];
    GroupFigures& group = groups_[hit.group];
    if (result == AttemptResult::kRejected || result == AttemptResult::kCancelledBeforeSent ||
        result == AttemptResult::kLocalFailure)
      return;
    if (f.sent < host.last_start || f.build != host.build) return;  // of another process
    if (result == AttemptResult::kConnectFailed || result == AttemptResult::kReset) last_trouble_ = now_;
    if (result == AttemptResult::kConnectFailed) {
      host.dead_at = now_;
      if (++zones_[host.zone].dead >= kLostZone) zones_[host.zone].dead_at = now_;
    } else if (result < AttemptResult::kTimeout) {
      zones_[host.zone].dead = 0;
    }
    const bool failed = result != AttemptResult::kOk && result != AttemptResult::kCancelled;
    if (result == AttemptResult::kError) return blame_later(hit, f);
    if (result != AttemptResult::kCancelled) weigh(f.host, failed);
    if (result == AttemptResult::kOk) note(host, hit, 0), host.served.all += 1;
    if (result != AttemptResult::kOk && result != AttemptResult::kCancelled &&
        result != AttemptResult::kTimeout)
      return;
    const double ms = took.ms();
    if (result == AttemptResult::kOk) host.last_ok = now_;
    // Called off early, or at a host known to be sick, it says nothing of speed.
    if (result != AttemptResult::kOk && (ms < f.predicted_ms || host.ejected)) return;
    const double unit = ms * able(host) * mean_ms_ / group.mean_ms / (kFreeLoad + f.load);
    teach(speed(host), unit, 0.02);
    if (warm(host) && host.build <= build_) {
      samples(side(host), host.kind, hit.group).add({now_, static_cast<float>(ms), f.host});
    }
    if (result != AttemptResult::kOk && host.last_ok <= f.sent)
      return;  // answers nobody: it is sick, not slow
    host.speed.unit_ms = unit_ms(host);
    teach(host.speed, unit, 0.1);
    if (!warm(host)) return;
    recent_.add(std::min(unit, recent_.mean * 10), kRecent);
    usual_.add(std::min(unit, usual_.mean * 10), kUsual);
    group.mean_ms += 0.02 * (std::min(ms, group.mean_ms * 10) - group.mean_ms);
    mean_ms_ += 0.02 * (std::min(ms, mean_ms_ * 10) - mean_ms_);
  }

  // An error is of the host's and its build's own making, or else of the hit's: one that fails at a second
  // host as well is to blame itself and convicts neither. Guards against hits that fail anywhere.
  void blame_later(Hit& hit, const Forward& f) {
    if (hit.blamed == kNobody) {
      hit.blamed = f.host, hit.blamed_from = f.sent;
    } else if (hit.blamed != f.host) {
      at_fault_ += kFaultStep * (1 - at_fault_);
      hit.blamed = kExcused;
    }
  }

  // The hit has ended: an error that no other host has borne out or refuted counts as much as is usual.
  void settle_blame(Hit& hit, bool served) {
    if (hit.blamed >= kExcused) return;
    if (served) at_fault_ -= kFaultStep * at_fault_;
    const double fail = served ? 1 : 1 - at_fault_;
    weigh(hit.blamed, fail);
    if (hit.blamed_from > hosts_[hit.blamed].last_start) note(hosts_[hit.blamed], hit, fail);
    hit.blamed = kNobody;
  }

  // Evidence for or against a host's build, of warm hosts only.
  void note(Host& host, const Hit& hit, double fail) {
    if (!warm(host)) return;
    host.by_group[hit.group].add(fail, kFade);
    host.by_group.back().add(fail, kFade * static_cast<double>(groups_.size()));
  }

  // A new time weighs more, the longer ago the last one came.
  void teach(Speed& speed, double unit, double least) const {
    const double weight = std::clamp((now_ - speed.unit_at) / kNewsFades, least, 0.3);
    speed.unit_ms += weight * (std::min(unit, speed.unit_ms * 10) - speed.unit_ms);
    speed.unit_at = now_;
  }

  // The sequential test: is this host sick, against good hosts and against its own build's failures?
  void weigh(EndpointIndex h, double failed) {
    Host& host = hosts_[h];
    const double others = usual_fails_[static_cast<int>(side(host))].rate();
    const bool alone = (side(host) == Side::kTrial ? trial_ready_ : earlier_ready_) < 2;
    const double good = std::clamp(others, kGoodFails, 0.5);
    const double sick = good + kSickMore;
    host.suspicion += failed > 0 ? failed * std::log(sick / good) : std::log((1 - sick) / (1 - good));
    host.suspicion = std::clamp(host.suspicion, kTrust, kEject + 1);
    if (host.suspicion < kEject || (alone && on_trial(host.build))) return;  // alone: the build is judged
    host.suspicion = kEject - 2.5;  // one more failure after its rest ejects it again
    host.ejected = true;
    host.rest_until = now_ + host.rest * (0.8 + 0.4 * chance_.unit());
    host.rest = std::min(host.rest * 2, kLongestRest);
    log("host %u out for %.1f s: build %u, others of it fail %.3f", h, (host.rest_until - now_).s(),
        host.build, others);
  }

  // The design's marks for failures, and beyond what chance makes of failures that strike both sides alike.
  Harm marks(const Count& trial, const Count& earlier) const {
    const double more = trial.rate() - earlier.rate(), sure = surety(trial, earlier);
    if (more >= kSeverePoints && trial.failed >= kSevereFails && sure >= sure_) return Harm::kSevere;
    if (more >= kModeratePoints && trial.failed >= kModerateFails && sure >= kLikely) return Harm::kModerate;
    return Harm::kQuiet;
  }

  // Failures of the trial against the earlier builds, by path group and pooled. A few sick hosts must not
  // convict a build: with two hosts or more the one that fails most is left out, after a release the quarter;
  // a lone one only holds its build while hosts of earlier builds are out for failing. Earlier outcomes fade:
  // trouble for all that begins during a trial must not stand against a long good past.
  Harm failures(Count& trial, Count& earlier) {
    std::vector<std::pair<double, EndpointIndex>> tried;
    bool sickness = false;
    for (EndpointIndex h = 0; h < hosts_.size(); ++h) {
      Host& host = hosts_[h];
      if (host.state == EndpointState::kRemoved) continue;
      for (Count& c : host.by_group) c.fade(host.build < build_ && !host.ejected ? kEarlierFades : 1);
      const Count& all = host.by_group.back();
      sickness = sickness || (host.build < build_ && host.ejected && all.failed >= kModerateFails);
      if (host.build == build_ && all.all > 0) tried.emplace_back(-all.failed, h);
    }
    const Harm worst = tried.size() == 1 && sickness ? Harm::kModerate : Harm::kSevere;
    std::sort(tried.begin(), tried.end());
    std::vector<bool> left_out(hosts_.size());
    const std::size_t spared = tried.size() < 2                    ? 0
                               : phase_ == ReleasePhase::kReleased ? (tried.size() + 3) / 4
                                                                   : 1;
    for (std::size_t i = 0; i < spared; ++i) left_out[tried[i].second] = true;
    Harm harm = Harm::kQuiet;
    for (std::size_t g = 0; g <= groups_.size(); ++g) {
      Count t, e;
      for (EndpointIndex h = 0; h < hosts_.size(); ++h) {
        const Host& host = hosts_[h];
        if (host.state == EndpointState::kRemoved || host.build > build_) continue;
        if ((host.ejected && sickness) || left_out[h]) continue;
        (side(host) == Side::kTrial ? t : e).merge(host.by_group[g]);
      }
      const bool pooled = g == groups_.size();
      if (pooled) {
        if (e.all >= kFewOutcomes) past_fail_rate_ = e.rate();
        trial = t, earlier = e;
      }
      if (e.all < kFewOutcomes) e = {kFade, kFade * std::max(e.rate(), past_fail_rate_)};
      if (t.all < (pooled ? kFewOutcomes : kFewOutcomes / 2)) continue;
      harm = std::max(harm, std::min(marks(t, e), worst));
    }
    return trial.all < kFewOutcomes ? Harm::kQuiet : harm;
  }

  // With too few outcomes of our own the platform's tally stands in, where there is one.
  Harm tally_harm() const {
    Harm harm = Harm::kQuiet;
    for (std::size_t g = 0; g < groups_.size(); ++g) {
      const Count &e = tally_[0][g], &t = tally_[1][g];
      if (std::min(t.all, e.all) >= kFewOutcomes) harm = std::max(harm, marks(t, e));
    }
    return harm;
  }

  // A sign test on times of the same few seconds: do clearly more than half of the trial's lie above `mark`
  // times the earlier median for like machines and path group? The worst host is left out, as for failures.
  bool slow(double mark, double least, double sure) {
    std::array<float, kSamples> sorted;
    std::vector<Count> seen(hosts_.size());  // failed: above the mark
    for (unsigned kind = 0; kind < kinds_; ++kind) {
      for (unsigned g = 0; g < groups_.size(); ++g) {
        const Samples &e = samples(Side::kEarlier, kind, g), &t = samples(Side::kTrial, kind, g);
        float* end = sorted.data();
        for (const Sample& s : e) {
          if (now_ - s.at < kSameTimes) *end++ = s.ms;
        }
        if (end - sorted.data() < static_cast<int>(kFewOutcomes / 2)) continue;
        float* const middle = sorted.data() + (end - sorted.data()) / 2;
        std::nth_element(sorted.data(), middle, end);
        for (const Sample& s : t) {
          if (now_ - s.at >= kSameTimes) continue;
          seen[s.host].merge({1, s.ms > static_cast<float>(mark) * *middle ? 1.0 : 0.0});
        }
      }
    }
    Count sum, worst;
    for (const Count& c : seen) {
      if (2 * c.failed - c.all > 2 * worst.failed - worst.all) worst = c;
      sum.merge(c);
    }
    if (worst.all < sum.all) sum.merge({-worst.all, -worst.failed});
    return sum.all >= least && sum.failed > sum.all / 2 + std::sqrt(sum.all * sure / 2);
  }

  Harm judge() {
    Count trial, earlier;
    Harm harm = failures(trial, earlier);
    const bool by_tally = trial.all < kFewOutcomes;
    if (by_tally) harm = tally_harm();
    Count wrong[2];
    for (const Host& host : hosts_) {
      if (host.build <= build_) wrong[side(host) == Side::kTrial].merge(host.served);
    }
    const double part = wrong[1].rate() / reported_share_, base = wrong[0].rate() / reported_share_;
    const bool marked = wrong[1].failed >= kFewReports && part > 2 * base + kWrongPart;
    if (marked && surety(wrong[1], wrong[0]) >= sure_) {
      log("wrong answers: trial %.3f earlier %.3f reports %.0f", part, base, wrong[1].failed);
      return Harm::kSevere;
    }
    if (harm == Harm::kSevere) {
      log("severe%s: trial %.0f of %.0f failed, earlier %.3f", by_tally ? " by the tally" : "", trial.failed,
          trial.all, earlier.rate());
      return harm;
    }
    // Departure: a build that slows old and new hosts alike shows only against the times before it came. A
    // released one has nothing beside it: there only twice as much counts.
    const bool beside = phase_ == ReleasePhase::kCanary;
    const double yardstick = calm_unit_ms_ * (beside ? 1 : 2),
                 slower = yardstick > 0 ? recent_.mean / yardstick : 1;
    look_for_burst(slower > kAllSlow);
    const bool calm = now_ - last_trouble_ > kTroubleFades && ability_ > kMostAble * calm_ready_;
    const double all_slow = calm ? slower : 1;
    if (all_slow > kAllSlow || (beside && slow(kModerateSlow, kFewOutcomes, kLikely))) {
      // Departure: lasting harm far above its mark is severe: votes alone can end it.
      if (harm_from_ > Instant() && now_ - harm_from_ >= kLasting &&
          (all_slow > std::pow(kAllSlowLasting, 1 + 0.75 * crowd_) ||
           (beside && slow(kLastingSlow, kFewOutcomes, kSure)))) {
        log("slow for %.1f s: all hosts %.2f x before the trial", (now_ - harm_from_).s(), all_slow);
        return Harm::kSevere;
      }
      harm = Harm::kModerate;
    }
    return harm;
  }

  // A burst that came before the slowness explains it as hosts lost from outside do, while it goes on; what
  // grows once all is slow may be retries. Guards against good builds sent back for a burst.
  void look_for_burst(bool slow_already) {
    if (now_ - born_ < window_ + tick_) return;
    const auto in = static_cast<double>(all_taken_.from(now_ - window_ + tick_));
    const double usual = usual_taken_.mean,
                 sure = in > 0 && usual > 0 ? in * std::log(in / usual) - in + usual : 0;
    const bool before = !slow_already || now_ - last_burst_ < kQuietStep;
    if (before && in > kAllSlow * usual && sure >= kSure) last_trouble_ = last_burst_ = now_;
    usual_taken_.add(in, kRecent);
  }

  // ---- Share and votes ----

  void fresh_build(ReleaseVersion build) {
    // A released one is now the earlier build, its times the yardstick.
    if (told_ && phase_ == ReleasePhase::kReleased) samples_[0] = samples_[1], tally_[0] = tally_[1];
    std::fill(samples_[1].begin(), samples_[1].end(), Samples{});
    std::fill(tally_[1].begin(), tally_[1].end(), Count{});
    calm_unit_ms_ = told_ && usual_.count >= kEnoughTimes ? usual_.mean : 0;
    calm_ready_ = static_cast<double>(ready_);
    build_ = build, share_ = kFirstShare, braked_ = stepped_back_ = false;
    quiet_from_ = full_from_ = now_;
    harm_from_ = Instant();
    standing_ = Vote::kAbstain;
  }

  void step_share() {
    if (!told_ || phase_ == ReleasePhase::kRollingBack || phase_ == ReleasePhase::kWithdrawn) return;
    const Harm harm = braked_ ? Harm::kSevere : judge();
    if (harm == Harm::kSevere) {
      if (!braked_) log("brake: build %u stage %u share %.2f to 0, voting back", build_, stage_, share_);
      braked_ = true, share_ = 0;
      return cast(Vote::kAbort);
    }
    if (harm == Harm::kModerate) {
      if (harm_from_ == Instant()) harm_from_ = now_;
      last_harm_ = now_;
    } else if (now_ - last_harm_ >= kQuietStep * pace_) {
      harm_from_ = Instant();
    }
    if (phase_ == ReleasePhase::kReleased) return;
    if (harm == Harm::kModerate) {
      if (!stepped_back_) {
        share_ = std::max(share_ - kShareStep, kShareStep);
        stepped_back_ = true;
        log("step back: build %u stage %u share %.2f", build_, stage_, share_);
        if (clocked_ && !held_) cast(Vote::kPause), held_ = true;
      }
      quiet_from_ = full_from_ = now_;
      if (standing_ == Vote::kPromote) cast(Vote::kAbstain);
      return;
    }
    stepped_back_ = false;
    if (trial_ready_ == 0) quiet_from_ = now_;                     // nothing to be quiet about yet
    const double step = std::min(1.0, (1 - share_) / kShareStep);  // the last may be a part of one
    if (share_ < 1 && now_ - quiet_from_ >= kQuietStep * (pace_ * step)) {
      share_ = std::min(1.0, share_ + kShareStep), quiet_from_ = now_;
      if (share_ >= 1) log("full share: build %u stage %u", build_, stage_);
    }
    if (share_ < 1) full_from_ = now_;
    if (!clocked_ && ready_for_on()) cast(Vote::kPromote);
  }

  // Patient: two quiet seconds at the full cap, and three past the newest trial start, of which the stage's
  // clock has then run two.
  bool ready_for_on() {
    if (share_ < 1 || now_ - full_from_ < kQuietForOn * pace_ || trial_ready_ == 0) return false;
    const Span in_stage = now_ - stage_since_;
    // Departure: not at the last stage, where all load follows and a build that is bad under it would jam.
    const Span past = kPastNewestStart * (stage_ + 1 < rings_.size() ? pace_ : 1.0);
    if (in_stage < past + Span::s(pace_) || now_ - newest_start_ < past) return false;
    // Hosts that are out, as of a lost zone, are not waited for, nor are their successors.
    const double there = in_use_[1], places = rolling_ ? there + in_use_[0] : std::max(there, in_use_[0]);
    const double due = stage_ < rings_.size() ? rings_[stage_] * places : places;
    return there >= 0.85 * due - 0.5 || in_stage > kLongestWait * pace_;
  }

  void cast(Vote vote) {
    const bool stands = standing_ == vote && (vote == Vote::kAbort || standing_stage_ == stage_);
    if (stands && now_ - voted_at_ < vote_life_ * 0.7) return;
    // Guards against all routers voting at once: each waits for a turn of its own choosing within the time
    // that the platform takes to hear them, 'back' for the votes that it needs. What a second can take is
    // cast at once.
    if (const Wish wish(vote, build_, stage_); !stands && wish != wish_) {
      wish_ = wish;
      const Span round = vote == Vote::kPromote ? vote_round_ * 0.75 : back_round_;
      next_vote_ = now_ + std::max(Span(), round - Span::s(1)) * chance_.unit();
    }
    if (now_ < next_vote_) return;
    if (!stands) log("vote %d: build %u stage %u share %.2f", static_cast<int>(vote), build_, stage_, share_);
    sink_.cast_vote(build_, stage_, vote);
    standing_ = vote, standing_stage_ = stage_, voted_at_ = now_;
    next_vote_ = now_ + std::min(turn(0.5, 0.5), vote_life_ * 0.7);
  }

  // Until this router's next call to the platform: parts of the time in which it takes one of each.
  Span turn(double least, double more) { return vote_round_ * (least + more * chance_.unit()); }

  // What a warm host usually gets from us; where the earlier builds have none of its kind, by its speed.
  double usually(const Host& host) const {
    unsigned k = host.kind;
    for (unsigned other = 0; other < kinds_ && kind_[k].usual.count == 0; ++other) k = other;
    return kind_[k].usual.mean * speeds_[host.zone * kinds_ + k].unit_ms / speed(host).unit_ms;
  }

  // The part of hits that is drawn for the trial: the share of what its machines should carry, within the
  // cap.
  double trial_part() const { return trial_ready_ == 0 ? 0 : share_ * std::min(cap_, even_); }

  // What the trial's machines should carry, so that times can be compared: what like machines of the earlier
  // builds get, not an even number, which jams where the trial has the small ones or few of the large; of
  // those near by, where every zone has both and crossing has a price.
  double even_part() const {
    std::array<double, 2> all{}, near = zones_[zone_].pace;
    bool both = cross_price_ > 0;
    for (const Zone& zone : zones_) {
      both = both && zone.pace[0] > 0 && zone.pace[1] > 0;
      all[0] += zone.pace[0], all[1] += zone.pace[1];
    }
    if (!both) near = all;
    return near[1] > 0 ? near[1] / (near[0] + near[1]) : 0;
  }

  // ---- Picking a host ----

  // Old news of a host gives way to what is known of its zone's machines of that kind. Guards against slow
  // ones that are taken for the mean one as often as forgotten.
  double unit_ms(const Host& host) const {
    const double all = speed(host).unit_ms;
    const Speed& own = host.speed;
    return own.unit_ms > 0 ? all + (own.unit_ms - all) * std::exp((own.unit_at - now_) / kNewsFades) : all;
  }

  // The part of its capacity that a host can count on at its age.
  double able(Instant start) const {
    const double grown = std::clamp((now_ - start) / warm_after_, 0.0, 1.0);
    return start_capacity_ + (1 - start_capacity_) * grown;
  }
  double able(const Host& host) const { return able(host.last_start); }

  // When a host may have started: as the list says, or since it, or its whole zone, was last seen dead. The
  // list tells of that late, and a host that comes back is cold whether we were told or not.
  Instant may_have_started(const Host& host) const {
    return std::max({host.last_start, host.dead_at, zones_[host.zone].dead_at});
  }

  double quickness(const Host& host) const { return std::sqrt(usual_.mean / unit_ms(host)); }

  double predicted(const Hit& hit, EndpointIndex h) const {
    const Host& host = hosts_[h];
    return groups_[hit.group].mean_ms / mean_ms_ * unit_ms(host) * (kFreeLoad + host.open) / able(host);
  }

  bool fit(const Host& host) const {
    return !host.ejected || many_out_ || (now_ >= host.rest_until && host.open == 0);
  }

  // Two random choices, quick hosts drawn more often; two more where neither leaves the hit much room.
  Pick two_choices(const Hit& hit, std::vector<Drawable>& list) {
    const double roomy = (hit.late_at - now_).ms() / 4;
    Pick best;
    for (int draw = 0; draw < 4 && !list.empty(); ++draw) {
      if (draw == 2 && best.predicted_ms < roomy) break;
      double all = 0;
      for (const auto& [h, weight] : list) all += weight;
      double at = chance_.unit() * all;
      std::size_t i = 0;
      while (i + 1 < list.size() && (at -= list[i].second) > 0) ++i;
      const double ms = predicted(hit, list[i].first);
      if (!best || ms < best.predicted_ms) best = {list[i].first, ms};
      list[i] = list.back();
      list.pop_back();
    }
    return best;
  }

  // Near by first; further off where that is worth its price: the part of its worth a hit gains in likely
  // being in time, were times spread exponentially.
  Pick pick(const Hit& hit, Side side, double share) {
    for (const bool only_fit : {true, false}) {
      own_.clear(), other_.clear();
      for (EndpointIndex h = 0; h < hosts_.size(); ++h) {
        const Host& host = hosts_[h];
        if (only_fit && !fit(host)) continue;
        if (on_trial(host.build) != (side == Side::kTrial)) continue;
        if (!may_forward(hit, h, share)) continue;
        (host.zone == zone_ ? own_ : other_).push_back({h, quickness(host)});
      }
      const Pick near = two_choices(hit, own_), far = two_choices(hit, other_);
      if (!near && !far) continue;
      if (!near || !far) return near ? near : far;
      const double left = (hit.late_at - now_).ms();
      const double gain = std::exp(-left / near.predicted_ms) - std::exp(-left / far.predicted_ms);
      return gain * hit.worth > cross_price_ ? far : near;
    }
    return {};
  }

  // What is less than one hit for each of many routers, lots have shared out already: were coin and quicker
  // hosts to do so again, cold hosts would get next to nothing while the warm ones of their build jam.
  Pick pick_lot(const Hit& hit) {
    if (hit.legs > 0 || lots_.empty()) return {};
    own_.clear();
    for (const EndpointIndex h : lots_) {
      const bool trial = on_trial(hosts_[h].build);
      if (trial && ((one_way_ && hit.key != 0) || hosts_[h].phase >= room(hosts_[h]) * share_)) continue;
      if (fit(hosts_[h]) && may_forward(hit, h, trial ? share_ : 1.0))
        own_.push_back({h, quickness(hosts_[h])});
    }
    const Pick lot = two_choices(hit, own_);
    return lot && lot.predicted_ms <= (hit.late_at - now_).ms() * 0.6 ? lot : Pick{};
  }

  double coin(const Hit& hit) {
    if (!one_way_ || hit.key == 0) return chance_.unit();
    // The key decides: bound keys stay a stable set.
    const std::uint64_t mixed = (hit.key ^ (hit.key >> 32U)) * 0x9e3779b97f4a7c15ULL;
    return static_cast<double>(mixed >> 40U) / 16777216.0 / 0.9;
  }

  // The draw decides between trial and earlier builds; the other side is asked only where the drawn one has
  // no room or is predicted late. Departure: then the trial may take up to the full cap, and no more.
  Pick choose(const Hit& hit) {
    if (const Pick lot = pick_lot(hit)) return lot;
    // Failed once: the earlier build's hosts tell whether it is the hit that is to blame.
    const bool drawn = hit.blamed >= kExcused && coin(hit) < trial_part();
    const double left = (hit.late_at - now_).ms();
    Pick first = pick(hit, drawn ? Side::kTrial : Side::kEarlier, earlier_ready_ > 0 ? share_ : 1.0);
    if (first && first.predicted_ms <= left * 0.6) return first;
    if (!drawn && braked_ && earlier_ready_ > 0) return first;
    const Pick second = pick(hit, drawn ? Side::kEarlier : Side::kTrial, 1.0);
    if (second && (!first || second.predicted_ms < first.predicted_ms * 0.7)) return second;
    return first;
  }

  // ---- A hit's steps ----

  void on_request(const RequestArrival& arrival) override {
    const RequestId id = arrival.request;
    const unsigned group = arrival.request_class;
    const unsigned customer = arrival.tenant;
    if (group >= groups_.size()) return sink_.fail(id);
    const std::uint32_t place = hits_.take();
    places_.put(id, place);
    Hit& hit = hits_[place];
    hit.id = id, hit.live = true;
    hit.group = group, hit.key = arrival.sticky_key;
    hit.give_up_at = arrival.deadline - kFinish;
    hit.late_at = std::min(now_ + groups_[group].target, hit.give_up_at);
    double worth = groups_[group].benefit / groups_[group].mean_ms;
    best_worth_ = std::max(best_worth_ * 0.999, worth);
    if (customer < customers_.size()) {
      Customer& c = customers_[customer];
      if (c.tokens < 1) worth *= over_share_worth_;
      else c.tokens -= 1;
    }
    mean_worth_ += 0.01 * (worth * groups_[group].mean_ms - mean_worth_);
    hit.worth = worth * groups_[group].mean_ms / std::max(mean_worth_, 1e-9);
    hit.patience = (0.25 + 0.5 * worth / best_worth_) * (2 - std::min(1.0, anew_part_));
    groups_[group].taken.add(now_);
    all_taken_.add(now_);
    further_ = std::min(further_ + kFurtherPart, further_most_);
    route(hit);
  }

  // Sends the hit on, waits a little for room, or gives it up at once.
  void route(Hit& hit) {
    const Pick to = choose(hit);
    const double left = (hit.late_at - now_).ms();
    if (!to) {
      // No host may have it now. It waits only while an answer could still be in time.
      const bool hope = groups_[hit.group].repeats == Idempotency::kIdempotent || !may_have_run(hit);
      if (!hope || left <= groups_[hit.group].mean_ms * 1.5 || ready_ == 0 ||
          now_ >= list_validity_.any_endpoint)
        return give_up(hit);
      hit.due = now_ + kBeat;
      hit.at_due = &Choice::route;
      return;
    }
    // Taken only if predicted in time; what is worth least goes first. A host that holds none of our hits
    // takes one all the same, of many routers by lot: on old times alone nothing new would be learnt of it.
    const bool anew = hosts_[to.host].open == 0 && chance_.unit() < anew_part_;
    if (!anew && to.predicted_ms > left * hit.patience && may_bounce(hit)) return give_up(hit);
    send(hit, to);
  }

  void send(Hit& hit, Pick to, bool last = false) {
    Host& host = hosts_[to.host];
    hit.leg[hit.legs++] = {to.host, host.build, now_, to.predicted_ms, 1.0 * host.open++, true, true};
    if (host.unheard_since <= host.last_heard) host.unheard_since = now_;
    host.forwards.add(now_);
    if (on_trial(host.build)) groups_[by_group_ ? hit.group : 0].on_trial.add(now_);
    sink_.send_attempt(hit.id, to.host);
    hit.at_result = &Choice::after_forward;
    hit.due = hit.give_up_at, hit.at_due = &Choice::give_up;
    const GroupFigures& group = groups_[hit.group];
    if (!last && group.repeats != Idempotency::kUnsafe && hit.legs < max_forwards_ &&
        (may_copy_ || may_cancel_)) {
      const double target = group.target.ms();
      const Span patience = Span::ms(std::clamp(3 * to.predicted_ms, 0.35 * target, 0.65 * target));
      if (now_ + patience + kBeat < hit.give_up_at) {
        hit.due = now_ + patience;
        hit.at_due = &Choice::second_chance;
      }
    }
  }

  // A forward has taken much longer than predicted: a copy where that is allowed, else it is called off and
  // sent again. Guards against hosts that take hits and answer none; harms under overload, hence the limit.
  void second_chance(Hit& hit) {
    hit.due = hit.give_up_at, hit.at_due = &Choice::give_up;
    if (further_ < kCopyCost || hit.legs >= max_forwards_ || now_ >= hit.late_at) return;
    const Pick to = choose(hit);
    if (!to || to.predicted_ms > (hit.late_at - now_).ms()) return;
    further_ -= kCopyCost;
    if (!may_copy_) return sink_.cancel_attempt(hit.id, hit.legs - 1);
    send(hit, to, true);
  }

  void after_forward(Hit& hit, AttemptResult result) {
    if (any_out(hit)) return;  // a copy is still on its way
    const bool in_time = now_ + Span::ms(groups_[hit.group].mean_ms * 0.5) < hit.give_up_at;
    if (result == AttemptResult::kLocalFailure && in_time && hit.legs < max_forwards_) {
      // It never left: no part of the retry budget, and a moment for this machine to recover.
      hit.due = now_ + kBeat * static_cast<double>(1U << hit.legs), hit.at_due = &Choice::route;
      return;
    }
    if (!in_time || hit.legs >= max_forwards_ || further_ < 1 || hit.blamed == kExcused) return give_up(hit);
    further_ -= 1;
    route(hit);
  }

  Span retry_after() { return std::min(longest_retry_after_, Span::ms(150 + 300 * chance_.unit())); }

  // The final answer of a hit that will not be delivered, at once.
  void give_up(Hit& hit) {
    if (may_bounce(hit) && now_ < hit.give_up_at) sink_.reject(hit.id, retry_after());
    else sink_.fail(hit.id);
    over(hit);
  }

  // Nothing is sent for this hit any more; what is still out is called off and its place kept until it ends.
  void over(Hit& hit, bool served = false) {
    settle_blame(hit, served);
    hit.done = true;
    hit.due = Instant::never();
    for (unsigned i = 0; i < hit.legs; ++i)
      if (hit.leg[i].out && may_cancel_) sink_.cancel_attempt(hit.id, i);
    drop_if_over(hit);
  }

  void drop_if_over(Hit& hit) {
    if (any_out(hit)) return;
    const std::uint32_t place = places_.find(hit.id);
    places_.erase(hit.id);
    hit.live = false;
    hits_.give_back(place);
  }

  void on_attempt_end(const AttemptEnd& end) override {
    const RequestId id = end.request;
    const unsigned leg = end.attempt;
    const EndpointIndex h = end.endpoint;
    const AttemptResult result = end.result;
    const std::uint32_t place = places_.find(id);
    if (place == IndexMap::kNone || h >= hosts_.size()) return;
    Hit& hit = hits_[place];
    if (leg >= hit.legs || !hit.leg[leg].out) return;
    Forward& f = hit.leg[leg];
    f.out = false;
    f.may_have_run = result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
                     result != AttemptResult::kCancelledBeforeSent && result != AttemptResult::kLocalFailure;
    Host& host = hosts_[h];
    host.open -= host.open > 0;
    if (result < AttemptResult::kTimeout)
      host.last_heard = now_;  // what we ended ourselves is no sign of life
    learn(hit, f, result, end.duration);
    if (result == AttemptResult::kOk && one_way_ && hit.key != 0 && f.build >= build_) {
      const std::uint32_t bound = pins_.find(hit.key);
      pins_.put(hit.key, bound == IndexMap::kNone ? f.build : std::max(f.build, bound));
    }
    if (hit.done) drop_if_over(hit);
    else if (end.answered_client) over(hit, result == AttemptResult::kOk);
    else (this->*hit.at_result)(hit, result);
  }

  void on_client_disconnect(RequestId id) override {
    const std::uint32_t place = places_.find(id);
    if (place != IndexMap::kNone && !hits_[place].done) over(hits_[place]);
  }

  void on_wakeup(std::uint64_t token) override {
    if (token == kAskToken) return sink_.watch_endpoints();
    if (token != kBeatToken) return;
    sink_.schedule_wakeup(kBeat, kBeatToken);
    for (Customer& c : customers_)
      c.tokens = std::min(c.tokens + c.per_s * kBeat.s(), std::max(c.per_s, 1.0));
    look_at_hosts();
    for (std::uint32_t place = 0; place < hits_.places(); ++place) {
      Hit& hit = hits_[place];
      if (hit.live && !hit.done && hit.due <= now_) (this->*hit.at_due)(hit);
    }
    if (now_ < next_judge_) return;
    next_judge_ = now_ + kJudgeEvery * pace_;
    step_share();
  }

  // At each beat: silent hosts, hosts that have rested, and what cold ones may get.
  void look_at_hosts() {
    double best = speeds_.front().unit_ms;
    for (const Speed& all : speeds_) best = std::min(best, all.unit_ms);
    for (Speed& all : speeds_) {  // were hits refused on old times, nothing new would be heard of them
      if (now_ - all.unit_at > Span::s(1)) all.unit_ms = std::max(all.unit_ms * 0.995, best);
    }
    for (Zone& zone : zones_) zone.ready = zone.out = 0, zone.pace = {};
    const Span long_window = std::max(window_, cold_window_);
    double in = 0, ability = 0;
    ability_ = 0, usual_fails_ = {}, in_use_ = {};
    young_part_ = young_part();
    for (GroupFigures& g : groups_) in += static_cast<double>(g.taken.from(now_ - long_window + tick_));
    lots_.clear();
    for (Kind& k : kind_) k.sent = k.hosts = 0;
    for (EndpointIndex h = 0; h < hosts_.size(); ++h) {
      Host& host = hosts_[h];
      if (host.state != EndpointState::kReady) continue;
      const double most = room(host);
      const bool by_lot = most < 1;
      if (by_lot && host.zone == zone_ && host.phase < most) lots_.push_back(h);
      // A host that takes hits and answers none: its silence counts as failures, one for each long wait.
      const Span silence = now_ - std::max(host.last_heard, host.unheard_since);
      const Span usual = Span::ms(unit_ms(host) * (kFreeLoad + host.open));
      if (host.open > 0 && silence > std::max(Span::ms(800), usual * 4))
        host.last_heard = now_, weigh(h, true);
      if (host.ejected && now_ >= host.rest_until && host.suspicion <= 0) {
        host.ejected = false;
        host.rest = kFirstRest;
        log("host %u back", h);
      }
      ability += able(host);
      if (!by_lot) zones_[host.zone].pace[static_cast<int>(side(host))] += able(host) * usually(host);
      zones_[host.zone].ready += 1, zones_[host.zone].out += host.ejected;
      if (host.ejected) continue;
      in_use_[static_cast<int>(side(host))] += 1;

      ability_ += able(host);
      usual_fails_[static_cast<int>(side(host))].merge(host.by_group.back());
      if (now_ - may_have_started(host) < warm_after_) continue;
      if (on_trial(host.build)) continue;
      kind_[host.kind].sent += static_cast<double>(host.forwards.from(now_ - cold_window_));
      kind_[host.kind].hosts += 1;
    }
    even_ = even_part();
    // A zone lost whole leaves the others to carry on: only where all of them fail is it no host's doing.
    const auto many_out = [](const Zone& z) { return z.out > kMostEjected * z.ready || z.ready == 0; };
    many_out_ = std::all_of(zones_.begin(), zones_.end(), many_out);
    // What a host at its full capacity may get from us in a cold window: never more than our part of what the
    // customers' shares say that the fleet can do, however many hits come while hosts are out.
    const double even =
        std::min(in * (cold_window_ / long_window) / std::max(ability, 1.0), kColdPart * fair_part_);
    for (Kind& k : kind_) {
      k.part = k.hosts > 0 ? std::min(k.sent / k.hosts, even) : 0.7 * even;
      if (k.hosts > 0) k.usual.add(k.sent / k.hosts, kUsualSent);
    }
  }

  // ---- Guards ----

  // A build is on trial unless it is told to be released; what the news does not name yet is as well.
  bool on_trial(ReleaseVersion build) const {
    return build > build_ || (build == build_ && phase_ != ReleasePhase::kReleased);
  }

  bool exposure_allows(const Hit& hit, ReleaseVersion build, double share) {
    const unsigned stage = build == build_ && told_ ? stage_ : 0;
    if (stage < closed_stages_ && groups_[hit.group].repeats != Idempotency::kIdempotent) return false;
    const double cap = build == build_ && told_ ? cap_ : first_cap_;
    if (cap <= 0 || share <= 0) return false;
    // Forwards are counted a tick longer and takings a tick shorter than the window, against edges of it.
    const auto out = groups_[by_group_ ? hit.group : 0].on_trial.from(now_ - window_ - tick_);
    const auto in = (by_group_ ? groups_[hit.group].taken : all_taken_).from(now_ - window_ + tick_);
    // Where only the trial is left, a further forward takes the room that another hit brings with it.
    const double spare = hit.legs > 0 ? spare_ / 2 : spare_;
    return static_cast<double>(out) + 1 <= spare + cap * static_cast<double>(in) * share;
  }

  // What a host may have from us in a cold window.
  double room(const Host& host) const {
    const Instant start = may_have_started(host);
    const bool cold = now_ - start < warm_after_ + Span::ms(300);
    return std::min(young_part_, cold ? kind_[host.kind].part * able(start) : kNoBound);
  }

  // A cold host gets no more than a warm one of its kind, nor than its part of all hits by ability, scaled by
  // the least it can do at its age. Guards against pushing it over. What is less than one hit a window is
  // drawn by lot (the host's phase), so that many routers together send it what they may.
  bool cold_allows(Host& host) {
    const double most = room(host);
    if (most >= kNoBound) return true;
    const auto sent = static_cast<double>(host.forwards.from(now_ - cold_window_));
    return sent + host.phase < most;
  }

  // One of so many routers that its part of a host is less than one hit a window does not know, just started
  // itself, who else did: until hosts as young as itself are warm, all together may send each what it bears
  // if it is one, less a margin for chance.
  double young_part() const {
    const bool young = now_ - born_ < warm_after_ && fair_part_ < 1;
    return young ? unsure_ * able(born_) * fair_part_ : kNoBound;
  }

  // Guards against hosts that drained unheard of: a change counts as notified whether or not it arrived.
  bool news_allows(const Host& host) const {
    return now_ < list_validity_.no_endpoint &&
           now_ < std::max(list_validity_.any_endpoint, host.valid_until);
  }

  // The one place that says whether a forward is allowed.
  bool may_forward(const Hit& hit, EndpointIndex h, double share) {
    Host& host = hosts_[h];
    if (hit.done || host.state != EndpointState::kReady) return false;
    if (now_ >= hit.give_up_at || hit.legs >= max_forwards_) return false;
    if (!news_allows(host)) return false;
    const GroupFigures& group = groups_[hit.group];
    for (unsigned i = 0; i < hit.legs; ++i) {
      const Forward& f = hit.leg[i];
      if (f.host == h && (f.out || ready_ > 2)) return false;  // not where it was before
      if (!f.out && !f.may_have_run) continue;
      if (group.repeats == Idempotency::kUnsafe) return false;
      if (group.repeats != Idempotency::kKeyed) continue;
      if (now_ - f.sent >= group.memory - tick_) return false;
      const Host& first = hosts_[f.host];
      if (group.drop == IdempotencyScope::kZone && first.zone != host.zone) return false;
      if (group.drop == IdempotencyScope::kCell && (first.cell != host.cell || first.zone != host.zone))
        return false;
    }
    if (one_way_ && hit.key != 0) {
      const std::uint32_t pin = pins_.find(hit.key);
      if (pin != IndexMap::kNone && pin > gone_back_ && host.build < pin) return false;
      if (pin == IndexMap::kNone && pins_.size() >= kMostPins && on_trial(host.build)) return false;
    }
    if (on_trial(host.build) && !exposure_allows(hit, host.build, share)) return false;
    return cold_allows(host);
  }

  static bool any_out(const Hit& hit) {
    return std::any_of(hit.leg.begin(), hit.leg.begin() + hit.legs, [](const Forward& f) { return f.out; });
  }

  bool may_have_run(const Hit& hit) const {
    const auto may = [](const Forward& f) { return f.may_have_run; };  // true while it is out
    return std::any_of(hit.leg.begin(), hit.leg.begin() + hit.legs, may);
  }

  // A bounce says that trying again is harmless.
  bool may_bounce(const Hit& hit) const {
    const GroupFigures& group = groups_[hit.group];
    if (group.repeats == Idempotency::kIdempotent || !may_have_run(hit)) return true;
    return group.repeats == Idempotency::kKeyed && group.drop == IdempotencyScope::kAll;
  }

 private:
  bool warm(const Host& host) const { return now_ - host.last_start >= warm_after_; }
  Side side(const Host& host) const { return host.build >= build_ ? Side::kTrial : Side::kEarlier; }
  const Speed& speed(const Host& host) const { return speeds_[host.zone * kinds_ + host.kind]; }
  Speed& speed(const Host& host) { return speeds_[host.zone * kinds_ + host.kind]; }
  Samples& samples(Side s, unsigned kind, unsigned group) {
    return samples_[s == Side::kTrial][kind * groups_.size() + group];
  }
  template <class... Figures>
  void log(const char* form, Figures... figures) {
    char line[160];
    const int n = std::snprintf(line, sizeof line, form, figures...);
    sink_.log({line, static_cast<std::size_t>(std::clamp(n, 0, 159))});
  }

  RouterActions& sink_;
  Pcg chance_;
  Instant now_;
  // Figures derived from the terms.
  std::vector<GroupFigures> groups_;
  std::vector<Customer> customers_;
  unsigned zone_, kinds_, max_forwards_;
  bool must_ask_, may_cancel_, may_copy_, by_group_, one_way_, clocked_, rolling_;
  Span longest_retry_after_;
  policy::CallPacing calls_for_list_;
  Span cold_window_, warm_after_, tick_, window_, vote_life_, vote_round_, back_round_;
  double fair_per_s_ = 0, unsure_ = 1, even_ = 0;  // even_: of all hits, at the last beat
  // In a cold window: our part of what a host is known to do, and the bound on any host while we are young.
  double fair_part_ = kNoBound, young_part_ = kNoBound;
  double start_capacity_, further_most_, anew_part_, crowd_, sure_, pace_, cross_price_, over_share_worth_,
      first_cap_, spare_, reported_share_;
  std::vector<double> rings_;
  unsigned closed_stages_;
  // What is out there.
  std::vector<Host> hosts_;
  std::vector<Drawable> own_, other_;  // scratch for picking
  std::vector<EndpointIndex> lots_;    // hosts near by of which we have drawn a part of a hit
  std::vector<Kind> kind_;
  std::vector<Zone> zones_;
  std::vector<Speed> speeds_;  // by zone and kind of machine
  EndpointListValidity list_validity_;
  std::size_t ready_ = 0, most_ready_ = 0;
  bool many_out_ = false;
  // The build on trial.
  bool told_ = false;
  ReleaseVersion build_ = 0, gone_back_ = 0;
  unsigned stage_ = 0;
  ReleasePhase phase_ = ReleasePhase::kReleased;
  double cap_ = 0, share_ = kFirstShare;
  Instant stage_since_, quiet_from_, full_from_, harm_from_, last_harm_, next_judge_, newest_start_,
      last_trouble_, last_burst_, born_;
  bool braked_ = false, stepped_back_ = false, held_ = false;
  std::size_t trial_ready_ = 0, earlier_ready_ = 0;
  double past_fail_rate_ = 0;
  // Of earlier builds and of the trial:
  std::array<Count, 2> usual_fails_;             // at hosts that are not out
  std::array<double, 2> in_use_{};               // such hosts
  std::array<std::vector<Samples>, 2> samples_;  // by kind of machine and path group
  std::array<std::vector<Count>, 2> tally_;      // by path group
  // Our vote.
  Vote standing_ = Vote::kAbstain;
  unsigned standing_stage_ = 0;
  Wish wish_;
  Instant voted_at_, next_vote_;
  // Hits and keys.
  Slab<Hit> hits_;
  IndexMap places_, pins_;
  Mean usual_, recent_;  // latency for each hit at a host: of late, and in the last seconds
  Mean usual_taken_;     // hits in a window
  double mean_ms_ = 0, calm_unit_ms_ = 0, calm_ready_ = 0, ability_ = 0, best_worth_ = 0, mean_worth_ = 1,
         further_ = 0, at_fault_ = 0;
  SlidingCount all_taken_;
};

}  // namespace

std::unique_ptr<RouterPolicy> make_router_policy(const RouterSettings& terms, std::uint64_t seed,
                                                 RouterActions& sink) {
  return std::make_unique<Choice>(terms, seed, sink);
}

}  // namespace ashbeam
