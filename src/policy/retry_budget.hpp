// Limits retries and hedged requests to a fraction of the requests, so that the failure of many requests at
// once cannot multiply the load on the endpoints.
//
// The budget is a token bucket. Each request adds a fraction of a token. A retry takes one token, and a
// hedged request takes several, because its work is done twice. Retry budgets are used by Finagle; hedged
// requests are described by Dean and Barroso, "The Tail at Scale", 2013.
#pragma once
#include <algorithm>
#include <cstdint>

namespace ashbeam::policy {

class RetryBudget {
 public:
  explicit RetryBudget(std::uint32_t router_count)
      : max_tokens_(std::max(kMaxFleetTokens / router_count, 2 * kHedgeCost)), tokens_(max_tokens_) {}

  // Called for each request that arrives.
  void on_request() { tokens_ = std::min(tokens_ + kTokensPerRequest, max_tokens_); }
  bool allows_retry() const { return tokens_ >= kRetryCost; }
  void spend_retry() { tokens_ -= kRetryCost; }
  bool allows_hedge() const { return tokens_ >= kHedgeCost; }
  void spend_hedge() { tokens_ -= kHedgeCost; }

 private:
  static constexpr double kMaxFleetTokens = 60;  // Capacity of the buckets of all routers together.
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kRetryCost = 1;
  static constexpr double kHedgeCost = 4;

  double max_tokens_;
  double tokens_;
};

}  // namespace ashbeam::policy
