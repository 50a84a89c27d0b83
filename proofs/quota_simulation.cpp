#include "quota_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "base/pcg.hpp"
#include "calling/subject_table.hpp"

namespace ashbeam {

namespace {

using namespace calling;

constexpr double kLimitPerS = 0.5;  // of each subject
constexpr double kBurst = 4;
constexpr double kRoutersPerSubject = 2;
constexpr double kPeakFactor = 4;
constexpr Duration kBank = Duration::s(10);
constexpr unsigned kRoutersPerCheatingSubject = 50;  // routers that a cheating subject uses at once
constexpr double kReassignmentIntervalS = 15;        // time for which a subject keeps its routers
constexpr double kStepS = 0.02;
const Instant kBegin = Instant::at_us(1'700'000'000'000'000);

bool is_cheating(unsigned subject) { return subject % 1000 == 7; }
bool is_greedy(unsigned subject) { return subject % 2 == 0 || is_cheating(subject); }

class QuotaSimulation {
 public:
  QuotaSimulation(std::uint64_t seed, const QuotaSimulationSettings& settings)
      : settings_(settings), random_(seed),
        subject_rate_(RouterLimit::share_of({kLimitPerS, kBurst, 0}, kRoutersPerSubject, kPeakFactor, kBank)),
        tenant_limit_{kLimitPerS * settings.subjects, 1000.0 * settings.routers, 0},
        tenant_rate_(RouterLimit::share_of(tenant_limit_, settings.routers, kPeakFactor, kBank)),
        tenant_buckets_(settings.routers), admitted_(settings.subjects, 0) {
    for (Bucket& bucket : tenant_buckets_) {
      tables_.emplace_back(std::max(64U, settings.subjects * 3 / settings.routers));
      bucket.reset(nanoseconds_of(kBegin), Bucket::kUnset, Bucket::kUnset);
    }
  }

  // Simulates steps of 20 ms. In each, randomly drawn subjects send a request; greedy subjects send at three
  // times their limit, the others at half of it.
  void run() {
    const double requests_per_s = settings_.subjects * kLimitPerS * (0.5 * 3 + 0.5 * 0.5);
    double due = 0;
    for (double t = 0; t < settings_.seconds; t += kStepS) {
      const Instant now = kBegin + Duration::s(t);
      send_due_retries(now);
      for (due += requests_per_s * kStepS; due >= 1; due -= 1) send_random(t, now);
      send_cheating(now);
    }
  }

  void report(Proof& proof) const {
    const double fair = kLimitPerS * settings_.seconds + kBurst;
    const Totals totals = totals_by_kind();
    const double greedy_ratio = totals.greedy_admitted / (static_cast<double>(totals.greedy_subjects) * fair);
    proof.figure("sim_routers", settings_.routers);
    proof.figure("sim_subjects", settings_.subjects);
    proof.figure("sim_hits", static_cast<double>(sent_));
    proof.figure("sim_bytes_per_subject",
                 static_cast<double>(tables_[0].size_bytes()) * settings_.routers / settings_.subjects);
    // A router admits at most r (T + bank) + burst requests of a subject, where r is its share of the limit
    // and T the time. Here a subject has two routers at a time, assigned 1 + T / 15 times, and each
    // assignment gives it the burst of new buckets.
    const double assignments = 1 + std::ceil(settings_.seconds / kReassignmentIntervalS);
    proof.at_most("over_limit_ratio", greedy_ratio,
                  (kLimitPerS * settings_.seconds + assignments * kBurst) / fair);
    proof.at_most("over_limit_worst_ratio", totals.greedy_most / fair,
                  (kLimitPerS * (settings_.seconds + kBank.s()) + assignments * kBurst) / fair);
    proof.at_most("room_unused_ratio", std::max(0.0, 1 - greedy_ratio), 0.25);
    proof.at_most("cheats_ratio",
                  totals.cheats_admitted / (static_cast<double>(totals.cheating_subjects) * fair),
                  kRoutersPerCheatingSubject / kRoutersPerSubject);
    const double tenant_fair =
        tenant_limit_.requests_per_s * settings_.seconds + tenant_limit_.burst_requests;
    proof.at_most(
        "tenant_over_limit_ratio", static_cast<double>(tenant_admitted_) / tenant_fair,
        (tenant_limit_.requests_per_s * (settings_.seconds + kBank.s()) + tenant_limit_.burst_requests) /
            tenant_fair);
    if (retried_ > 0) {
      proof.at_least("waited_taken_ratio",
                     static_cast<double>(retried_admitted_) / static_cast<double>(retried_), 0.6);
    }
  }

 private:
  struct Retry {
    std::uint32_t subject = 0;
    std::uint32_t router = 0;
  };
  struct Totals {
    double greedy_admitted = 0;
    double greedy_most = 0;  // maximum of one greedy subject
    double cheats_admitted = 0;
    std::uint64_t greedy_subjects = 0;
    std::uint64_t cheating_subjects = 0;
  };

  // Returns 0 if the request is admitted, else the wait before a retry, in nanoseconds.
  std::int64_t send(unsigned subject, unsigned router, Instant now) {
    const std::int64_t now_ns = nanoseconds_of(now);
    const std::uint64_t hash = (subject + 1) * 0x9e3779b97f4a7c15ULL;
    SubjectTable& table = tables_[router];
    Bucket& own = table.bucket(table.find_or_insert(hash, now));
    Bucket& tenant = tenant_buckets_[router];
    const std::int64_t own_wait_ns = own.wait_ns(subject_rate_, now_ns);
    const std::int64_t tenant_wait_ns = tenant.wait_ns(tenant_rate_, now_ns);
    if (own_wait_ns == 0 && tenant_wait_ns == 0) {
      own.consume(subject_rate_, now_ns);
      tenant.consume(tenant_rate_, now_ns);
      ++admitted_[subject];
      ++tenant_admitted_;
      return 0;
    }
    return std::max(own_wait_ns > 0 ? own.assign_retry_slot_ns(subject_rate_, now_ns) : 0,
                    tenant_wait_ns > 0 ? tenant.assign_retry_slot_ns(tenant_rate_, now_ns) : 0);
  }

  unsigned router_of(unsigned subject, unsigned connection, double t) const {
    const auto assignment = static_cast<std::uint64_t>((t + subject % 15) / kReassignmentIntervalS);
    std::uint64_t hash = ((assignment << 40U) + static_cast<std::uint64_t>(subject) * 64 + connection + 1) *
                         0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 29U;
    return static_cast<unsigned>((hash * 0x94d049bb133111ebULL >> 32U) % settings_.routers);
  }

  void send_due_retries(Instant now) {
    while (!retries_.empty() && retries_.begin()->first <= (now - kBegin).us() / 1000) {
      for (const Retry& retry : retries_.begin()->second) {
        ++retried_;
        if (send(retry.subject, retry.router, now) == 0) ++retried_admitted_;
      }
      retries_.erase(retries_.begin());
    }
  }

  void send_random(double t, Instant now) {
    unsigned subject = random_.next_below(settings_.subjects / 2) * 2;
    if (random_.next_below(7) == 0) subject += 1;  // greedy to others: 3 to 0.5
    if (is_cheating(subject)) return;
    const unsigned router = router_of(subject, random_.next_below(2), t);
    ++sent_;
    const std::int64_t wait_ns = send(subject, router, now);
    // One in twenty retries after the given wait; the others give up.
    if (wait_ns > 0 && random_.next_below(20) == 0)
      retries_[((now - kBegin).us() + wait_ns / 1000) / 1000 + 1].push_back({subject, router});
  }

  // Each cheating subject sends at ten times its limit.
  void send_cheating(Instant now) {
    for (unsigned subject = 7; subject < settings_.subjects; subject += 1000) {
      if (random_.next_double() < kLimitPerS * 10 * kStepS)
        send(subject, router_of(subject, random_.next_below(kRoutersPerCheatingSubject), 0), now);
    }
  }

  Totals totals_by_kind() const {
    Totals totals;
    for (unsigned subject = 0; subject < settings_.subjects; ++subject) {
      if (is_cheating(subject)) {
        ++totals.cheating_subjects;
        totals.cheats_admitted += admitted_[subject];
      } else if (is_greedy(subject)) {
        ++totals.greedy_subjects;
        totals.greedy_admitted += admitted_[subject];
        totals.greedy_most = std::max(totals.greedy_most, static_cast<double>(admitted_[subject]));
      }
    }
    return totals;
  }

  QuotaSimulationSettings settings_;
  Pcg random_;
  RouterLimit subject_rate_;
  Limit tenant_limit_;
  RouterLimit tenant_rate_;
  std::vector<Bucket> tenant_buckets_;   // by router
  std::vector<SubjectTable> tables_;     // by router
  std::vector<std::uint16_t> admitted_;  // by subject
  std::uint64_t tenant_admitted_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t retried_ = 0;
  std::uint64_t retried_admitted_ = 0;
  std::map<std::int64_t, std::vector<Retry>> retries_;  // by the millisecond of the retry
};

}  // namespace

void simulate_quotas(Proof& proof, const QuotaSimulationSettings& settings) {
  QuotaSimulation simulation(proof.seed, settings);
  simulation.run();
  simulation.report(proof);
}

}  // namespace ashbeam
