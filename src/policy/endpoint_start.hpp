// Computes when an endpoint started, on the router's steady clock, from the wall-clock time in the endpoint
// list.
//
// Wall clocks are stepped forward or back and may be wrong when a process starts, and slow start must not
// depend on that. An endpoint that a change of the list adds cannot have started before the list was last
// confirmed without it, except for the lag of the list. An age that contradicts this is replaced by zero, so
// that the endpoint goes through slow start.
#pragma once
#include "base/time.hpp"

namespace ashbeam::policy {

// The maximum delay between the start of an endpoint and its appearance in the list.
inline constexpr Duration kMaxListLag = Duration::s(10);

// Returns when the endpoint started. `boot_ms` is the wall-clock time of its start in milliseconds; zero
// means that it started long ago, and Instant() is returned. `now` is the time of the steady clock, and
// `wall_clock_offset` is what the wall clock is ahead of it. `list_confirmed_at` is when the list was last
// confirmed without this start, or Instant() if it never was.
inline Instant compute_endpoint_start(double boot_ms, Instant now, Duration wall_clock_offset,
                                      Instant list_confirmed_at) {
  if (boot_ms <= 0) return Instant();
  const Duration age = now + wall_clock_offset - Instant::at_ms(boot_ms);
  const Duration max_age = now - list_confirmed_at + kMaxListLag;
  const bool is_plausible = age >= Duration() && (list_confirmed_at == Instant() || age <= max_age);
  return is_plausible ? now - age : now;
}

}  // namespace ashbeam::policy
