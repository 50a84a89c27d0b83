// When an endpoint started, on the router's own clock, from the wall time that the list gives.
//
// Wall clocks step, forward or back, and may be off when a process starts; slow start must not depend on it.
// An endpoint that a change of the list brings cannot be older than the list as it was confirmed before, but
// for the list's own lag; an age that does not fit counts as none, so that the endpoint is taken for cold.
// Units: instants of the router's steady clock, and wall time in the same units. No I/O.
#pragma once
#include "base/time.hpp"

namespace ashbeam::policy {

// The list may tell of a start this much later than it happened.
inline constexpr Duration kMaxListLag = Duration::s(10);

// `list_confirmed_at`: when the list was last confirmed without this start; far past where it never was. Zero
// `boot_ms` says that the endpoint started long ago.
inline Instant compute_endpoint_start(double boot_ms, Instant now, Duration wall_clock_offset,
                                      Instant list_confirmed_at) {
  if (boot_ms <= 0) return Instant();
  const Duration age = now + wall_clock_offset - Instant::at_ms(boot_ms);
  const Duration max_age = now - list_confirmed_at + kMaxListLag;
  const bool is_plausible = age >= Duration() && (list_confirmed_at == Instant() || age <= max_age);
  return is_plausible ? now - age : now;
}

}  // namespace ashbeam::policy
