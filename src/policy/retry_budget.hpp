// Bounds retries and hedged requests over time (retry budgets after Finagle; hedging after Dean and Barroso,
// "The Tail at Scale", 2013).
//
// Job: each request adds a part of a token, a retry takes one, and a hedged request several, being work done
// twice. So failures of many requests at once can't multiply the load. Units: tokens. No I/O. Errors: none.
#pragma once
#include <algorithm>
#include <cstdint>

namespace ashbeam::policy {

class RetryBudget {
 public:
  explicit RetryBudget(std::uint32_t router_count)
      : max_tokens_(std::max(kMaxFleetTokens / router_count, 2 * kHedgeCost)), tokens_(max_tokens_) {}

  void on_request() { tokens_ = std::min(tokens_ + kTokensPerRequest, max_tokens_); }
  bool allows_retry() const { return tokens_ >= kRetryCost; }
  void spend_retry() { tokens_ -= kRetryCost; }
  bool allows_hedge() const { return tokens_ >= kHedgeCost; }
  void spend_hedge() { tokens_ -= kHedgeCost; }

 private:
  static constexpr double kMaxFleetTokens = 60;  // of all routers together
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kRetryCost = 1;
  static constexpr double kHedgeCost = 4;

  double max_tokens_;
  double tokens_;
};

}  // namespace ashbeam::policy
