// Uptane (Standard 2.0) on top of TUF's workflow: what a director and an image repository say together, what
// a vehicle reports, and the time where its clock is doubted. No I/O; each repository's own files are taken
// by trust.hpp first.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "metadata/trust.hpp"

namespace ashbeam::metadata {

struct Ecu {
  std::string id, hardware_id;
  std::int64_t release_counter = -1;  // of what is installed; -1: nothing is
};

// The director's targets by themselves (5.4.4.6): no delegations, each ECU of this vehicle at most once and
// none of another, the right hardware, no release older than what is installed.
Refusal check_director(const Targets& director, const std::vector<Ecu>& vehicle);

// May this ECU install that target? Both repositories must list it alike: length, every hash that either
// gives, hardware, release counter; and the director for this ECU. A director alone installs nothing
// (5.4.4.2).
struct Install {
  const Target* target = nullptr;
  std::string wants, wanted_by;  // a delegated role of the image repository that must be had first
  Refusal refusal;
};
Install may_install(const Trust& director, const Trust& image, std::string_view path, const Ecu& ecu,
                    Instant now);

// Partial verification (5.4.4.1): the director's targets file alone, by the keys of a root that the ECU
// holds. `held`: the version it took last; 0: none. `into` is set where nothing is refused.
Refusal take_partial(const Root& root, std::string_view bytes, std::int64_t held, const Ecu& ecu, Instant now,
                     Targets& into);

// A time server's word (5.3.2 of the deployment practices): signed, with our nonce, not before what it said
// last.
Refusal check_time(const Role& server, const Keys& keys, std::string_view bytes, std::string_view nonce,
                   Instant last, Instant& into);

// A vehicle's version manifest (5.4.2.1): signed by its primary, each ECU's part by that ECU, with counters
// that only rise.
struct Installed {
  std::string ecu, path;
  std::int64_t length = 0, counter = 0;
  Hashes hashes;
};
struct Fleet {  // what is known of one vehicle
  std::string vin, primary;
  std::map<std::string, Role, std::less<>> ecus;          // which keys speak for an ECU
  std::map<std::string, std::int64_t, std::less<>> seen;  // the last counter of each
  Keys keys;
};
// All of it or nothing: the counters in `fleet` move only where all is good.
Refusal take_manifest(Fleet& fleet, std::string_view bytes, std::vector<Installed>& into);

}  // namespace ashbeam::metadata
