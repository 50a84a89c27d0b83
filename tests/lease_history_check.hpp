// Compares EndpointLease with a reference model on generated histories of discovery.
#pragma once
#include <gtest/gtest.h>

#include "base/pcg.hpp"
#include "policy/endpoint_lease.hpp"

namespace ashbeam::policy {

struct LeaseCheck {
  int histories = 0;
  int samples_per_history = 0;
  std::uint64_t seed = 0;
  double max_answer_age_s = 0;  // of the connection on which an endpoint has answered
  Duration grace;
  Duration send_delay;
  Duration max_network_delay;  // the part of `send_delay` after the first byte was sent
};

// How often the lease permitted an attempt, how often it did not, and how often only an answer permitted it.
struct LeaseDecisions {
  int allowed = 0;
  int refused = 0;
  int extended = 0;
};

// Generates histories, takes samples of each at random times, and fails if the lease permits an attempt that
// the model forbids. A history has kLength (in seconds), lease_at(time), notified(time), and accepts(from,
// to): whether its endpoint accepted requests during all of that time.
template <typename History>
void check_lease(const LeaseCheck& check, LeaseDecisions& decisions) {
  Pcg random(check.seed);
  for (int i = 0; i < check.histories; ++i) {
    const History history(random);
    for (int sample = 0; sample < check.samples_per_history; ++sample) {
      const Instant now = Instant::at_us(0) + Duration::s(History::kLength * random.next_double());
      const EndpointLease lease = history.lease_at(now);
      const EndpointListValidity validity = lease.validity();
      // An answer to an earlier request, on a connection that was opened before the request.
      const Instant opened = now - Duration::s(check.max_answer_age_s * random.next_double());
      const Instant sent = opened + (now - opened) * random.next_double();
      const bool accepted = history.accepts(opened, sent) && lease.is_listed_process(opened);
      if (!validity.allows(now, accepted ? sent : Instant())) {
        ++decisions.refused;
        continue;
      }
      ++decisions.allowed;
      decisions.extended += !validity.allows(now, Instant());
      if (const auto notified = history.notified(now)) {
        ASSERT_LE(now + check.send_delay - check.max_network_delay, *notified + check.grace)
            << "history " << i;
      }
    }
  }
}

}  // namespace ashbeam::policy
